// Package jobcell runs daemons that serve one shard on the emulated cluster.
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
)

// Daemon serves one shard on an emulated store and emulated workers, without listeners.
type Daemon struct {
	store   *cluster.Store
	workers *cluster.Workers
	service fleet.ServiceID
	keeper  *lease.Renewer
	log     *logrus.Logger
	cancel  context.CancelFunc

	mu     sync.Mutex
	owner  *shard.Owner
	ending context.CancelFunc
}

var _ lease.Runner = (*Daemon)(nil)

// StartDaemon starts a daemon that takes the service's shard when it has no owner.
func StartDaemon(s *cluster.Store, w *cluster.Workers, service fleet.ServiceID, name string) *Daemon {
	quiet := logrus.New()
	quiet.SetOutput(io.Discard)
	self := lease.Member{Name: name, Incarnation: name}
	d := &Daemon{store: s, workers: w, service: service, keeper: lease.NewRenewer(s, self, quiet), log: quiet}
	owners := lease.NewOwners(s, d.keeper, self, d, func(partition.Depths) []string { return []string{string(service)} }, quiet)
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	go d.keeper.Run(ctx)
	go owners.Run(ctx)
	return d
}

// Start implements lease.Runner.
func (d *Daemon) Start(name string, token uint64) {
	ctx, cancel := context.WithCancel(context.Background())
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ending = cancel
	d.owner = shard.New(shard.Config{
		Shard: name, Service: d.service, Token: token, OwnerKey: lease.OwnerKey(name), Store: d.store, Dialer: d.workers,
		Bounds:               shard.Bounds{MaxLease: 2 * shard.MaxWorkerLease, StatusRetention: time.Minute},
		LatestWorkerLeaseEnd: func() monotonic.Time { return d.keeper.ValidUntil().Add(shard.MaxWorkerLease) },
		Workers:              d.workers.List, Changes: make(chan struct{}),
		Configuration: func() *jobconfig.Configuration { return &jobconfig.Configuration{} }, Log: d.log, Scope: tally.NoopScope,
	})
	go d.owner.Run(ctx)
}

// Stop implements lease.Runner.
func (d *Daemon) Stop(string, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.ending != nil {
		d.ending()
	}
	d.owner = nil
}

// Owner returns the owner of the shard, or nil while another daemon has it.
func (d *Daemon) Owner() *shard.Owner {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.owner
}

// Kill ends the daemon without a word to anybody; its lease runs out.
func (d *Daemon) Kill() {
	d.cancel()
	d.Stop("", false)
}
