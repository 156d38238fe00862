package jobdaemon

import (
	"context"
	"slices"
	"time"

	"samphirestile.example/samphirestile/internal/claim"
	"samphirestile.example/samphirestile/internal/fleet"
	"samphirestile.example/samphirestile/internal/jobapi"
	"samphirestile.example/samphirestile/internal/jobconfig"
	"samphirestile.example/samphirestile/internal/lease"
	"samphirestile.example/samphirestile/internal/monotonic"
	"samphirestile.example/samphirestile/internal/partition"
	"samphirestile.example/samphirestile/internal/shard"
	"samphirestile.example/samphirestile/internal/worker"
)

// claimsRetryDelay is the delay after a failed read of the claims.
const claimsRetryDelay = 150 * time.Millisecond

// wantedDepth returns the depth to which a partition should be split. Pools with an advisor
// are not split: the advisor may allow only few workers, and a partition may have none of them. Pools
// that only finish the jobs of a former configuration are not split either.
func (d *Daemon) wantedDepth(pool fleet.ServiceID, currentDepth int, cpuBound bool) int {
	c, _ := d.configurations.Current()
	if c == nil {
		return currentDepth
	}
	serves := false
	for i := range c.Queues {
		if c.Queues[i].Service != pool {
			continue
		}
		serves = true
		if c.Queues[i].Advice != nil {
			return currentDepth
		}
	}
	if !serves {
		return currentDepth
	}
	return partition.WantedDepth(d.clusterSize(c), currentDepth, cpuBound)
}

func (d *Daemon) clusterSize(c *jobconfig.Configuration) partition.ClusterSize {
	return partition.ClusterSize{Workers: d.roster.Count(), Pools: len(poolsInUse(c, d.owners.BoundServices())), Daemons: d.owners.Members()}
}

// partitioned reports whether any pool has, or should have, several partitions.
func (d *Daemon) partitioned() bool {
	if len(d.owners.Depths()) > 0 {
		return true
	}
	return slices.ContainsFunc(d.pools(), func(pool fleet.ServiceID) bool { return d.wantedDepth(pool, 0, true) > 0 })
}

// readClaims reads the claims after this daemon has acquired a shard, when its previous
// owner can no longer change them. It returns false if ctx is done.
func (d *Daemon) readClaims(ctx context.Context) bool {
	if len(d.owners.Depths()) == 0 {
		return ctx.Err() == nil
	}
	for ctx.Err() == nil {
		err := d.claims.Read(ctx)
		if err == nil {
			return true
		}
		d.log.WithError(err).Warn("claims on workers not read; will retry")
		monotonic.Sleep(ctx, claimsRetryDelay)
	}
	return false
}

func (d *Daemon) assigner(name string, token uint64, o *shard.Owner) *claim.Assigner {
	pool := partition.Parse(name).Pool
	return claim.New(claim.Config{
		Store: d.store, Table: d.claims, Shard: o, OwnerKey: lease.OwnerKey(name), Token: token, Depths: d.owners.Depths,
		CPUCores:    d.settings.CPUCores,
		WantedDepth: func(currentDepth int, cpuBound bool) int { return d.wantedDepth(pool, currentDepth, cpuBound) },
		ClusterSize: func() partition.ClusterSize {
			if c, _ := d.configurations.Current(); c != nil {
				return d.clusterSize(c)
			}
			return partition.ClusterSize{}
		},
		Workers: func() map[worker.ID]worker.Worker { return d.roster.ByService(pool) }, ListVersion: d.roster.Version, Log: d.log,
	})
}

// workersOf returns the listed workers of a shard. The caller must not modify the result.
func (d *Daemon) workersOf(shard string, pool fleet.ServiceID) map[worker.ID]worker.Worker {
	all := d.roster.ByService(pool)
	if d.owners.Depths()[string(pool)] == 0 {
		return all
	}
	own := map[worker.ID]worker.Worker{}
	for _, id := range d.claims.WorkersOf(pool, shard) {
		if w, ok := all[id]; ok {
			own[id] = w
		}
	}
	return own
}

// pool returns the shard interface to all partitions of a pool.
func (d *Daemon) pool(name fleet.ServiceID) (jobapi.Shard, bool) {
	depths := d.owners.Depths()
	if depths[string(name)] == 0 {
		return d.find(string(name))
	}
	claimedBy := func(id worker.ID) string {
		c, _ := d.claims.Get(name, id)
		return c.Shard
	}
	return &jobapi.Pool{Name: name, Depths: depths, Find: d.find, ClaimedBy: claimedBy}, true
}
