// Package config holds the configuration in force on this daemon and keeps it
// up to date from the store and from peers.
package config

import (
	"samphirestile.example/samphirestile/internal/fleet"
)

// Snapshot is one accepted configuration. It is immutable.
type Snapshot struct {
	Revision  uint64                              `json:"revision"`
	Services  map[fleet.ServiceID]fleet.Service   `json:"services"`
	Teams     map[fleet.TeamID]fleet.Team         `json:"teams"`
	Keys      map[string]fleet.Key                `json:"keys"`
	Endpoints map[fleet.EndpointID]fleet.Endpoint `json:"endpoints"`
}

// Source gives the configuration in force.
type Source interface {
	// Current returns the snapshot in force; nil before the first one arrived.
	Current() *Snapshot
	// Subscribe returns a channel that receives a value after each change of the
	// snapshot; notices may be merged. stop ends the subscription.
	Subscribe() (changed <-chan struct{}, stop func())
}
