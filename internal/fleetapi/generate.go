// Package fleetapi serves the operators' HTTP interface to jobs, pools, hosts, workers
// and maintenance; its generated code is in package oas (ogen, from api/fleet.yaml).
package fleetapi

//go:generate go tool ogen --target oas --package oas --clean ../../api/fleet.yaml
