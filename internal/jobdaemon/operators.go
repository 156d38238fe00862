package jobdaemon

import (
	"context"
	"maps"
	"slices"
	"strings"

	"samphirestile.example/samphirestile/internal/fleet"
	"samphirestile.example/samphirestile/internal/fleetapi"
	"samphirestile.example/samphirestile/internal/hosts"
	"samphirestile.example/samphirestile/internal/jobapi"
)

// operatorView provides the operator interface of this daemon.
type operatorView struct{ d *Daemon }

var _ fleetapi.Fleet = operatorView{}

// Pools implements fleetapi.Fleet.
func (v operatorView) Pools() []fleet.ServiceID { return v.d.pools() }

// SparePools implements fleetapi.Fleet.
func (v operatorView) SparePools() map[fleet.ServiceID]bool { return v.d.sparePools() }

// Shard implements fleetapi.Fleet.
func (v operatorView) Shard(pool fleet.ServiceID) (jobapi.Shard, bool) { return v.d.pool(pool) }

// OwnerOf implements fleetapi.Fleet.
func (v operatorView) OwnerOf(pool fleet.ServiceID) string {
	var names []string
	for _, p := range v.d.owners.Depths().Partitions(pool) {
		if m, ok := v.d.owners.Owner(p.Shard()); ok && !slices.Contains(names, m.Name) {
			names = append(names, m.Name)
		}
	}
	return strings.Join(names, ", ")
}

// Zones implements fleetapi.Fleet.
func (v operatorView) Zones() map[fleet.AvailabilityZone]bool {
	zones := map[fleet.AvailabilityZone]bool{}
	for _, name := range v.d.settings.Zones {
		zones[name] = false
	}
	evacuated, _ := v.d.configurations.Evacuations()
	maps.Copy(zones, evacuated)
	return zones
}

// Hosts implements fleetapi.Fleet.
func (v operatorView) Hosts(ctx context.Context) ([]hosts.Host, error) { return v.d.hostAPI.List(ctx) }

// Waves implements fleetapi.Fleet.
func (v operatorView) Waves(ctx context.Context) ([]hosts.Progress, error) {
	waves, err := hosts.ReadProgress(ctx, v.d.store, v.d.configurations.Waves())
	for _, w := range waves {
		if w.Err != nil {
			v.d.log.WithError(w.Err).WithField("wave", w.Number).Warn("progress of a wave not shown")
		}
	}
	return waves, err
}
