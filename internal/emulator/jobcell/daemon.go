// Package jobcell runs in-process daemons that serve one shard on an emulated cluster.
package jobcell

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"samphirestile.example/samphirestile/internal/emulator/cluster"
	"samphirestile.example/samphirestile/internal/fleet"
	"samphirestile.example/samphirestile/internal/jobconfig"
	"samphirestile.example/samphirestile/internal/lease"
	"samphirestile.example/samphirestile/internal/monotonic"
	"samphirestile.example/samphirestile/internal/partition"
	"samphirestile.example/samphirestile/internal/shard"
	"samphirestile.example/samphirestile/internal/store"
)

// Daemon serves one shard on an emulated store and emulated workers, without listeners.
type Daemon struct {
	store   *cluster.Store
	workers *cluster.Workers
	service fleet.ServiceID
	renewer *lease.Renewer
	log     *logrus.Logger
	cancel  context.CancelFunc

	mu        sync.Mutex
	owner     *shard.Owner
	stopOwner context.CancelFunc
}

var _ lease.Runner = (*Daemon)(nil)

// StartDaemon starts a daemon that acquires the service's shard when it has no owner.
func StartDaemon(s *cluster.Store, w *cluster.Workers, service fleet.ServiceID, name string) *Daemon {
	discardLog := logrus.New()
	discardLog.SetOutput(io.Discard)
	self := lease.Member{Name: name, Incarnation: name}
	d := &Daemon{store: s, workers: w, service: service, renewer: lease.NewRenewer(s, self, discardLog), log: discardLog}
	owners := lease.NewOwners(s, d.renewer, self, d, func(partition.Depths, []fleet.ServiceID) []string { return []string{string(service)} }, discardLog)
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	go d.renewer.Run(ctx)
	go owners.Run(ctx)
	return d
}

// Start implements lease.Runner.
func (d *Daemon) Start(name string, token uint64, id store.LeaseID) {
	ctx, cancel := context.WithCancel(context.Background())
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stopOwner = cancel
	d.owner = shard.New(shard.Config{
		Shard: name, Service: d.service, Token: token, OwnerKey: lease.OwnerKey(name), Store: d.store, Dialer: d.workers,
		Bounds:               shard.Bounds{MaxLease: 2 * shard.MaxWorkerLease, StatusRetention: time.Minute},
		LatestWorkerLeaseEnd: func() monotonic.Time { return d.renewer.ValidUntil(id).Add(shard.MaxWorkerLease) },
		Workers:              d.workers.List, Changes: make(chan struct{}),
		Configuration: func() *jobconfig.Configuration { return &jobconfig.Configuration{} }, Log: d.log, Scope: tally.NoopScope,
	})
	go d.owner.Run(ctx)
}

// Stop implements lease.Runner.
func (d *Daemon) Stop(string, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stopOwner != nil {
		d.stopOwner()
	}
	d.owner = nil
}

// Owner returns this daemon's owner of the shard, or nil while it does not own the shard.
func (d *Daemon) Owner() *shard.Owner {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.owner
}

// Kill stops the daemon without releasing its lease, which then expires.
func (d *Daemon) Kill() {
	d.cancel()
	d.Stop("", false)
}
