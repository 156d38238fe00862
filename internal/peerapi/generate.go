// Package peerapi provides the client and the authentication of the control messages
// between daemons; the generated code is in package oas (ogen, from api/peer.yaml).
package peerapi

//go:generate go tool ogen --target oas --package oas --clean ../../api/peer.yaml
