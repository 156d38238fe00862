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

// claimsRetry is the pause after claims could not be read.
const claimsRetry = 150 * time.Millisecond

// wantedDepth is how deep a part of a pool should be. The policy behind an advisor
// may allow few workers, which a part may not have, so such pools stay whole.
func (d *Daemon) wantedDepth(pool fleet.ServiceID, present int, busy bool) int {
	c, _ := d.configurations.Current()
	if c == nil {
		return present
	}
	for i := range c.Queues {
		if c.Queues[i].Service == pool && c.Queues[i].Advice != nil {
			return present
		}
	}
	return partition.WantedDepth(d.fleet(c), present, busy)
}

func (d *Daemon) fleet(c *jobconfig.Configuration) partition.Fleet {
	return partition.Fleet{Workers: d.roster.Count(), Pools: len(servedPools(c)), Daemons: d.owners.Members()}
}

// divided reports whether some pool has several parts, or should have.
func (d *Daemon) divided() bool {
	if len(d.owners.Depths()) > 0 {
		return true
	}
	return slices.ContainsFunc(d.pools(), func(pool fleet.ServiceID) bool { return d.wantedDepth(pool, 0, true) > 0 })
}

// readClaims reads the claims as they are after this daemon has acquired a shard:
// former owners cannot change them any more. It reports false once ctx has ended.
func (d *Daemon) readClaims(ctx context.Context) bool {
	if len(d.owners.Depths()) == 0 {
		return ctx.Err() == nil
	}
	for ctx.Err() == nil {
		err := d.claims.Read(ctx)
		if err == nil {
			return true
		}
		d.log.WithError(err).Warn("claims on workers not read")
		monotonic.Sleep(ctx, claimsRetry)
	}
	return false
}

func (d *Daemon) assigner(name string, token uint64, o *shard.Owner) *claim.Assigner {
	pool := partition.Parse(name).Pool
	return claim.New(claim.Config{
		Store: d.store, Book: d.claims, Shard: o, OwnerKey: lease.OwnerKey(name), Token: token, Depths: d.owners.Depths,
		Power:       d.settings.Power,
		WantedDepth: func(present int, busy bool) int { return d.wantedDepth(pool, present, busy) },
		Fleet: func() partition.Fleet {
			if c, _ := d.configurations.Current(); c != nil {
				return d.fleet(c)
			}
			return partition.Fleet{}
		},
		Workers: func() map[worker.ID]worker.Worker { return d.roster.ByService(pool) }, ListVersion: d.roster.Version, Log: d.log,
	})
}

// workersOf returns the listed workers of a shard. The caller must not change the result.
func (d *Daemon) workersOf(shard string, pool fleet.ServiceID) map[worker.ID]worker.Worker {
	all := d.roster.ByService(pool)
	if d.owners.Depths()[string(pool)] == 0 {
		return all
	}
	own := map[worker.ID]worker.Worker{}
	for _, id := range d.claims.Held(pool, shard) {
		if w, ok := all[id]; ok {
			own[id] = w
		}
	}
	return own
}

// pool returns what reaches the jobs and workers of a pool.
func (d *Daemon) pool(name fleet.ServiceID) (jobapi.Shard, bool) {
	depths := d.owners.Depths()
	if depths[string(name)] == 0 {
		return d.find(string(name))
	}
	holder := func(id worker.ID) string {
		c, _ := d.claims.Get(name, id)
		return c.Shard
	}
	return &jobapi.Pool{Name: name, Depths: depths, Find: d.find, ClaimedBy: holder}, true
}
