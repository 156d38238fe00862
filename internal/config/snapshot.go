// Package config maintains the active configuration of this daemon ("in force" in the
// APIs) and keeps it up to date from the store and from peers.
package config

import (
	"samphirestile.example/samphirestile/internal/fleet"
)

// Snapshot is one accepted configuration. It is immutable.
type Snapshot struct {
	Revision uint64 `json:"revision"`
	// AccountRevisions holds the last revision that may have changed each account and thus the
	// limits of its teams; AccountsRevision is the last one that may have changed any account.
	AccountRevisions map[string]uint64 `json:"account_revisions"`
	AccountsRevision uint64            `json:"accounts_revision"`

	Services  map[fleet.ServiceID]fleet.Service   `json:"services"`
	Teams     map[fleet.TeamID]fleet.Team         `json:"teams"`
	Keys      map[string]fleet.Key                `json:"keys"`
	Endpoints map[fleet.EndpointID]fleet.Endpoint `json:"endpoints"`
}

// Source provides the active configuration.
type Source interface {
	// Current returns the active snapshot, or nil if there is none yet.
	Current() *Snapshot
	// Subscribe returns a channel that receives a value after the snapshot changed; values
	// of several changes may be coalesced. stop cancels the subscription.
	Subscribe() (changed <-chan struct{}, stop func())
}

// LimitRevision returns the last revision that may have changed the limit of the team. A team
// that moves between accounts changes both, so the account that it has now suffices.
func (s *Snapshot) LimitRevision(id fleet.TeamID) uint64 {
	if t, ok := s.Teams[id]; ok {
		if revision, ok := s.AccountRevisions[t.Account]; ok {
			return revision
		}
	}
	return s.AccountsRevision
}
