// Package operatorapi serves the operators' HTTP interface to configuration, services,
// endpoints, teams, keys and daemons. Its generated code is in package oas (ogen, from
// api/operator.yaml), its handlers are in the packages commands and queries.
package operatorapi

//go:generate go tool ogen --target oas --package oas --clean ../../api/operator.yaml
