// Package queries implements the read-only operations of the operators' interface.
package queries

import (
	"samphirestile.example/samphirestile/internal/config"
	"samphirestile.example/samphirestile/internal/dispatch"
	"samphirestile.example/samphirestile/internal/fleet"
	"samphirestile.example/samphirestile/internal/membership"
	"samphirestile.example/samphirestile/internal/ownership"
)

// Configuration is the configuration in force; *config.Manager implements it.
type Configuration interface {
	Current() *config.Snapshot
	Documents() (revision uint64, documents map[string][]byte, err error)
	History() ([]config.ChangeRecord, error)
	Validate(c config.Change) error
	IsRevoked(keyID string) bool
	Durable(keyID string) bool
}

// View provides the seats of the cell; membership.Source implements it.
type View interface{ View() membership.View }

// UsageSource provides the usage of a team on this daemon; allotment.Limiter implements it.
type UsageSource interface {
	Usage(team fleet.TeamID) (running, units int)
}

// Loads provides the load of a service on this daemon; dispatch.Dispatcher implements it.
type Loads interface {
	Load(service fleet.ServiceID) (load dispatch.Load, ok bool)
}

// Queries implements the read-only operations of oas.Handler.
type Queries struct {
	Configuration Configuration
	View          View
	TeamUsage     UsageSource
	Loads         Loads
	// Owners returns the current assignment of endpoints to seats.
	Owners func() ownership.Assignment
}

// snapshot returns the configuration in force, or a *config.NotReadyError if there is none.
func (q *Queries) snapshot() (*config.Snapshot, error) {
	if s := q.Configuration.Current(); s != nil {
		return s, nil
	}
	return nil, &config.NotReadyError{}
}
