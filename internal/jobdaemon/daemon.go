// Package jobdaemon implements the daemon that serves jobs on the users' platform.
package jobdaemon

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"samphirestile.example/samphirestile/internal/advice"
	"samphirestile.example/samphirestile/internal/claim"
	"samphirestile.example/samphirestile/internal/entry"
	"samphirestile.example/samphirestile/internal/fleet"
	"samphirestile.example/samphirestile/internal/fleetapi"
	"samphirestile.example/samphirestile/internal/hosts"
	"samphirestile.example/samphirestile/internal/httpserver"
	"samphirestile.example/samphirestile/internal/intake"
	"samphirestile.example/samphirestile/internal/jobapi"
	"samphirestile.example/samphirestile/internal/jobconfig"
	"samphirestile.example/samphirestile/internal/lease"
	"samphirestile.example/samphirestile/internal/metrics"
	"samphirestile.example/samphirestile/internal/monotonic"
	"samphirestile.example/samphirestile/internal/operatorapi"
	"samphirestile.example/samphirestile/internal/partition"
	"samphirestile.example/samphirestile/internal/policy"
	"samphirestile.example/samphirestile/internal/quota"
	"samphirestile.example/samphirestile/internal/roster"
	"samphirestile.example/samphirestile/internal/shard"
	"samphirestile.example/samphirestile/internal/store"
	"samphirestile.example/samphirestile/internal/worker"
	"samphirestile.example/samphirestile/platform"
)

const (
	// hostsShard is the singleton role that commands hosts. It is owned like a shard.
	hostsShard = "@hosts"
	// workersShard is the singleton role that publishes the digest of the workers.
	workersShard = "@workers"
	// hostCommandMargin is how long before the lease expires this daemon stops commanding
	// hosts, so that the last commands arrive before a successor acquires the role.
	hostCommandMargin = lease.TTL / 2
	// revokeLeaseTimeout bounds the revocation of the lease at the end of a planned stop.
	revokeLeaseTimeout = 500 * time.Millisecond
	// drainTime lets the platform observe that the daemon is not ready: it probes readiness
	// once a second and requires two failures.
	drainTime = 2200 * time.Millisecond
	// closeTimeout bounds the last write of an owner's records in a planned stop. It covers the
	// pause of an owner after it has reported a worker as empty, 0.6 s, and the write, 1.5 s.
	closeTimeout = 2200 * time.Millisecond
	// shutdownTime bounds the calls in flight at the end of a planned stop.
	shutdownTime      = 1500 * time.Millisecond
	readHeaderTimeout = 3 * time.Second
	idleTimeout       = 30 * time.Second
)

// Daemon is one process on the platform.
type Daemon struct {
	settings platform.Settings
	policy   policy.Policy
	log      *logrus.Logger
	self     lease.Member

	// direct is the daemon's own connection to the store; store relays calls through other
	// daemons while that one fails.
	direct, store  store.Transactional
	renewer        *lease.Renewer
	owners         *lease.Owners
	configurations *entry.ConfigurationFollower
	roster         *roster.Roster
	claims         *claim.Table
	quotaRequests  *quota.Requests
	shardCount     atomic.Int64
	timeOfDay      *monotonic.TimeOfDay
	clients        *jobapi.Clients
	advice         *advice.Queue // nil without an advisor
	hostAPI        *platform.Hosts
	workers        platform.Workers
	operators      operatorapi.Tokens
	metrics        *metrics.Registry
	stopping       atomic.Bool

	mu         sync.Mutex
	shards     map[string]*ownedShard
	ownedRoles int
}

// ownedShard is a shard or a singleton role that this daemon owns.
type ownedShard struct {
	owner   *shard.Owner
	served  *jobapi.Fenced
	manager *hosts.Manager
	cancel  context.CancelFunc
	done    chan struct{}
}

// New returns a daemon that is not running yet. Without operator tokens it does not serve
// the operator interface.
func New(s platform.Settings, p policy.Policy, operators operatorapi.Tokens, log *logrus.Logger) (*Daemon, error) {
	incarnation := make([]byte, 8)
	if _, err := rand.Read(incarnation); err != nil {
		return nil, fmt.Errorf("generate an incarnation: %w", err)
	}
	registry := metrics.New()
	d := &Daemon{
		settings: s, policy: p, log: log, direct: platform.NewStore(s.StoreAddress, registry.Traffic("store"), registry.Traffic("store_watch")),
		clients: jobapi.NewClients(registry.Traffic("daemon")), hostAPI: platform.NewHosts(s.HostsAddress, registry.Traffic("hosts")),
		workers: platform.Workers{Traffic: registry.Traffic("worker")}, operators: operators,
		metrics: registry, shards: map[string]*ownedShard{}, timeOfDay: monotonic.NewTimeOfDay(),
		self: lease.Member{Name: s.Node, Address: s.PeerAddress, Incarnation: hex.EncodeToString(incarnation), CPUCores: s.CPUCores},
	}
	d.store = store.Hedged{Transactional: &store.Relay{
		Transactional: d.direct, Peers: func() []string { return d.owners.PeerAddresses() }, CallPeer: d.clients.StoreCall, Log: log,
	}}
	if s.AdvisorAddress != "" {
		d.advice = advice.New(platform.NewAdvisor(s.AdvisorAddress, registry.Traffic("advisor")), log, registry.Scope())
	}
	d.renewer = lease.NewRenewer(d.store, d.self, log)
	d.owners = lease.NewOwners(d.store, d.renewer, d.self, d, d.shardNames, log)
	d.configurations = entry.NewConfigurationFollower(d.store, entry.RecordFormat{
		Prefix: platform.OperatorPrefix, ConfigurationKey: platform.ConfigurationKey, WavePrefix: platform.WavePrefix,
		Configuration: platform.DecodeConfiguration, Wave: decodeWave, Evacuation: evacuationFormat(s),
	}, log)
	d.roster = roster.New(d.store, platform.WorkerPrefix, platform.DecodeWorker, d.ownsShards, log)
	d.quotaRequests = quota.NewRequests(d.store, d.ownsShards, log)
	d.claims = claim.NewTable(d.store, func() bool { return d.ownsAny() && d.partitioned() }, d.roster.Notify, log)
	return d, nil
}

// evacuationFormat returns nil where the settings have no bound for the evacuation of availability zones.
func evacuationFormat(s platform.Settings) *entry.EvacuationFormat {
	if s.Bounds.Evacuation <= 0 {
		return nil
	}
	return &entry.EvacuationFormat{
		Prefix: platform.EvacuationPrefix, Zone: platform.DecodeEvacuation, Zones: s.Zones, Bound: s.Bounds.Evacuation,
	}
}

func decodeWave(e store.Entry) (hosts.Wave, bool, error) {
	w, ok, err := platform.DecodeWave(e)
	out := hosts.Wave{Number: w.Number, Within: w.Within, AtOnce: w.AtOnce}
	for _, id := range w.Hosts {
		out.Hosts = append(out.Hosts, fleet.HostID(id))
	}
	return out, ok, err
}

// shardNames lists the shards that need an owner: the partitions of the pools that serve queues or may hold
// jobs, and the singleton roles.
func (d *Daemon) shardNames(depths partition.Depths, bound []fleet.ServiceID) []string {
	c, _ := d.configurations.Current()
	if c == nil {
		return nil
	}
	names := []string{hostsShard, workersShard}
	roles := len(names)
	for _, pool := range poolsInUse(c, bound) {
		for _, p := range depths.Partitions(pool) {
			names = append(names, p.Shard())
		}
	}
	d.shardCount.Store(int64(len(names) - roles))
	return names
}

// poolsInUse lists the services of all queues, and those to which queues are or were bound: they may hold jobs that
// were accepted under an earlier configuration.
func poolsInUse(c *jobconfig.Configuration, bound []fleet.ServiceID) []fleet.ServiceID {
	var pools []fleet.ServiceID
	seen := map[fleet.ServiceID]bool{}
	add := func(s fleet.ServiceID) {
		if !seen[s] {
			seen[s] = true
			pools = append(pools, s)
		}
	}
	for i := range c.Queues {
		add(c.Queues[i].Service)
	}
	for _, s := range bound {
		add(s)
	}
	return pools
}

func (d *Daemon) ownsShards() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.shards) > d.ownedRoles
}

// ownsAny reports whether this daemon owns a shard or a singleton role. The role that
// commands hosts drains workers of all partitions.
func (d *Daemon) ownsAny() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.shards) > 0
}

// Start implements lease.Runner.
func (d *Daemon) Start(name string, token uint64, id store.LeaseID) {
	ctx, cancel := context.WithCancel(context.Background())
	s := &ownedShard{cancel: cancel, done: make(chan struct{})}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.shards[name] = s
	if isSingletonRole(name) {
		d.ownedRoles++
		run := d.roleRunner(name, token, id, s)
		go func() {
			defer close(s.done)
			run(ctx)
		}()
		return
	}
	d.quotaRequests.Wake()
	changes := d.roster.Subscribe()
	s.owner = shard.New(d.shardConfig(name, token, id, changes))
	s.served = &jobapi.Fenced{Shard: s.owner, Name: name, Certain: func() bool { return monotonic.Now() < d.renewer.ValidUntil(id) }}
	go func() {
		defer close(s.done)
		defer d.roster.Unsubscribe(changes)
		select {
		case <-d.roster.Ready():
		case <-ctx.Done():
			return
		}
		if !d.readClaims(ctx) {
			return
		}
		var group sync.WaitGroup
		group.Go(func() { d.assigner(name, token, s.owner).Run(ctx) })
		s.owner.Run(ctx)
		group.Wait()
	}()
}

// isSingletonRole reports whether the name is that of a singleton role, not of a shard.
func isSingletonRole(name string) bool { return name == hostsShard || name == workersShard }

// roleRunner returns the function that the owner of a singleton role runs.
func (d *Daemon) roleRunner(name string, token uint64, id store.LeaseID, s *ownedShard) func(context.Context) {
	if name == workersShard {
		p := &roster.Publisher{Roster: d.roster, Store: d.store, MinWorkers: roster.DigestMinWorkers, OwnerKey: lease.OwnerKey(name), Token: token, Log: d.log}
		return p.Run
	}
	s.manager = d.hostsManager(token, id)
	return s.manager.Run
}

// Stop implements lease.Runner.
func (d *Daemon) Stop(name string, planned bool) {
	d.mu.Lock()
	s := d.shards[name]
	delete(d.shards, name)
	if s != nil && isSingletonRole(name) {
		d.ownedRoles--
	}
	d.mu.Unlock()
	if s == nil {
		return
	}
	if planned && s.owner != nil {
		d.closeOwner(name, s)
	}
	s.cancel()
	if !planned {
		return
	}
	<-s.done
	if s.manager != nil {
		ctx, cancel := context.WithTimeout(context.Background(), shutdownTime)
		defer cancel()
		if err := s.manager.Release(ctx); err != nil {
			d.log.WithError(err).Warn("last commands to hosts not recorded for the successor")
		}
	}
}

// closeOwner closes an owner. While the store does not answer, the batch in progress delays the last one
// without bound; it ends with the owner's context.
func (d *Daemon) closeOwner(name string, s *ownedShard) {
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		s.owner.Close()
	}()
	timer := time.NewTimer(closeTimeout)
	defer timer.Stop()
	select {
	case <-closed:
	case <-timer.C:
		d.log.WithField("shard", name).Warn("records not written in time; the shard is stopped without them")
		s.cancel()
		<-closed
	}
}

func (d *Daemon) hasOwner(shard string) bool {
	_, ok := d.owners.Owner(shard)
	return ok
}

func (d *Daemon) shardConfig(name string, token uint64, id store.LeaseID, changes <-chan struct{}) shard.Config {
	b := d.settings.Bounds
	service := partition.Parse(name).Pool
	workerLease := min(shard.MaxWorkerLease, b.MaxLease/2)
	c := shard.Config{
		Shard: name, Service: service, Token: token, OwnerKey: lease.OwnerKey(name), PartitionKey: lease.PartitionKey(name), Store: d.store, Bindings: d.owners,
		Quota:  quota.Peers{Requests: d.quotaRequests, Lease: id, HasOwner: d.hasOwner, OwnerKey: lease.OwnerKey},
		Dialer: d.workers, Advice: d.advice, Log: d.log, Scope: d.metrics.Scope(), Changes: changes,
		Bounds:               shard.Bounds{MaxLease: b.MaxLease, StopGrace: b.StopGrace, StatusRetention: b.StatusRetention, Evacuation: b.Evacuation},
		Policy:               d.policy,
		JobMemory:            func() int64 { return jobMemory(d.settings.MemoryBytes, int(d.shardCount.Load())) },
		UnixMS:               d.timeOfDay.UnixMS,
		LatestWorkerLeaseEnd: func() monotonic.Time { return d.renewer.ValidUntil(id).Add(workerLease) },
		Workers:              func() map[worker.ID]worker.Worker { return d.workersOf(name, service) },
		Claim: func(id worker.ID) (string, uint64) {
			c, _ := d.claims.Get(service, id)
			return c.Shard, c.Revision
		},
		Configuration: func() *jobconfig.Configuration {
			c, _ := d.configurations.Current()
			return c
		},
	}
	if b.Evacuation > 0 {
		c.Evacuations = d.configurations.Evacuations
	}
	return c
}

func (d *Daemon) hostsManager(token uint64, id store.LeaseID) *hosts.Manager {
	c := hosts.Config{
		Platform: d.hostAPI, Store: d.store, Shards: shardCalls{d},
		Holder: hosts.Holder{Name: d.settings.Node, Token: token}, OwnerKey: lease.OwnerKey(hostsShard),
		Valid: func() bool {
			return !d.stopping.Load() && monotonic.Now() < d.renewer.ValidUntil(id).Add(-hostCommandMargin)
		},
		Waves: d.configurations.Waves, Pools: d.pools, Spare: d.sparePools,
		StatusKey: platform.WaveStatusKey, EncodeStatus: platform.EncodeWaveStatus,
		MaintenanceTime: d.settings.Bounds.Maintenance, MoveTime: d.settings.Bounds.Migration, TermGap: d.settings.Bounds.HostTermGap, Log: d.log,
	}
	if d.policy.Draining.Enabled {
		c.DrainTime = hosts.PatientDrainTime
	}
	if d.settings.Bounds.Evacuation > 0 {
		c.Evacuated = func() map[fleet.AvailabilityZone]bool {
			zones, _ := d.configurations.Evacuations()
			return zones
		}
	}
	return hosts.New(c)
}

// pools lists the pools that serve queues or may hold jobs.
func (d *Daemon) pools() []fleet.ServiceID {
	c, _ := d.configurations.Current()
	if c == nil {
		return nil
	}
	return poolsInUse(c, d.owners.BoundServices())
}

func (d *Daemon) sparePools() map[fleet.ServiceID]bool {
	pools := map[fleet.ServiceID]bool{}
	if c, _ := d.configurations.Current(); c != nil {
		for name, s := range c.Services {
			pools[name] = s.Spare
		}
	}
	return pools
}

// shardCalls implements hosts.Shards with calls to the owners of the shards.
type shardCalls struct{ d *Daemon }

// Empty implements hosts.Shards.
func (e shardCalls) Empty(ctx context.Context, service fleet.ServiceID, id worker.ID) (bool, error) {
	s, ok := e.d.pool(service)
	if !ok {
		return false, &shard.NotOwnerError{Shard: string(service)}
	}
	return s.Empty(ctx, id)
}

// Demand implements hosts.Shards.
func (e shardCalls) Demand(ctx context.Context, service fleet.ServiceID, due []worker.ID) (hosts.Demand, error) {
	s, ok := e.d.pool(service)
	if !ok {
		return hosts.Demand{}, &shard.NotOwnerError{Shard: string(service)}
	}
	d, err := s.Demand(ctx, due)
	return hosts.Demand{Wanted: d.Wanted, Settling: d.Settling, Releasable: d.Releasable}, err
}

// find returns the owner of a shard, which may be this daemon.
func (d *Daemon) find(name string) (jobapi.Shard, bool) {
	if s, ok := d.local(name); ok {
		return s, true
	}
	m, ok := d.owners.Owner(name)
	if !ok || m.Incarnation == d.self.Incarnation {
		return nil, false
	}
	s, err := d.clients.Remote(m.Address, name)
	if err != nil {
		d.log.WithError(err).WithFields(logrus.Fields{"shard": name, "address": m.Address}).Error("address of the shard's owner invalid")
		return nil, false
	}
	return s, true
}

func (d *Daemon) local(name string) (jobapi.Shard, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.shards[name]
	if s == nil || s.owner == nil {
		return nil, false
	}
	return s.served, true
}

// Run serves until ctx is done, and then performs a planned stop.
func (d *Daemon) Run(ctx context.Context) error {
	intake.LimitMemory(d.settings.MemoryBytes)
	servers, failed, err := d.listen()
	if err != nil {
		return err
	}
	background, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	loops := []func(context.Context){d.renewer.Run, d.owners.Run, d.configurations.Run, d.roster.Run, d.claims.Run, d.quotaRequests.Run, d.timeOfDay.Run, d.endBindings}
	if d.advice != nil {
		loops = append(loops, d.advice.Run)
	}
	for _, run := range loops {
		group.Go(func() { run(background) })
	}
	d.log.WithFields(logrus.Fields{
		"daemon": d.self.Name, "incarnation": d.self.Incarnation, "availability_zone": d.settings.AvailabilityZone,
		"clients": d.settings.ClientAddress, "peers": d.settings.PeerAddress,
	}).Info("daemon started")
	var failure error
	select {
	case <-ctx.Done():
	case failure = <-failed:
	}
	err = d.stop(servers)
	cancel()
	group.Wait()
	return errors.Join(failure, err, d.metrics.Close())
}

// stop hands over the shards, waits until the platform directs clients to other daemons,
// closes the servers and revokes the lease.
func (d *Daemon) stop(servers []*httpserver.Server) error {
	began := time.Now()
	d.log.Info("daemon stops")
	d.stopping.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), drainTime+shutdownTime)
	defer cancel()
	d.owners.Release(ctx)
	time.Sleep(max(0, drainTime-time.Since(began)))
	failed := make([]error, len(servers))
	var group sync.WaitGroup
	for i, s := range servers {
		group.Go(func() {
			if err := s.Shutdown(ctx); err != nil {
				failed[i] = fmt.Errorf("shut down the server on %s: %w", s.Addr, err)
			}
		})
	}
	group.Wait()
	revokeCtx, cancelRevoke := context.WithTimeout(context.Background(), revokeLeaseTimeout)
	defer cancelRevoke()
	if err := d.renewer.Revoke(revokeCtx); err != nil {
		d.log.WithError(err).Warn("lease not revoked; it expires by itself")
	}
	d.log.WithField("took_ms", time.Since(began).Milliseconds()).Info("daemon stopped")
	return errors.Join(failed...)
}

// listen opens the listeners and starts the servers.
func (d *Daemon) listen() ([]*httpserver.Server, <-chan error, error) {
	peers, err := jobapi.NewServer(&jobapi.Server{Local: d.local, Store: d.direct})
	if err != nil {
		return nil, nil, fmt.Errorf("create the server of the peer interface: %w", err)
	}
	gateway := &entry.Gateway{
		Configurations: d.configurations, RevocationDeadline: d.settings.Bounds.Revoke,
		Router: &entry.Router{
			Find: d.pool, Bindings: d.owners,
			Lookup: &entry.Lookup{Store: d.store, Depths: d.owners.Depths, Responds: d.configurations.ConfirmedRecently}, Log: d.log,
		},
		Log: d.log, Scope: d.metrics.Scope(),
		Protocol: entry.Protocol{
			Key: platform.APIKey, Timeout: platform.RequestTimeout, DecodeJob: platform.DecodeJob,
			WriteState: platform.WriteState, WriteWaiting: platform.WriteWaiting,
		},
	}
	type listener struct {
		address string
		handler http.Handler
		// peer is the kind of caller in the traffic metrics.
		peer string
		// part is the part of the budget for input.
		part intake.Part
	}
	ready := http.NewServeMux()
	ready.HandleFunc(platform.ReadinessPath, d.serveReadiness)
	all := []listener{
		{d.settings.ClientAddress, gateway, "client", intake.Clients}, {d.settings.ReadyAddress, ready, "readiness", intake.Control},
		{d.settings.PeerAddress, peers, "daemon", intake.Peers}, {d.settings.MetricsAddress, d.metrics.Handler(), "metrics", intake.Control},
	}
	failed := make(chan error, len(all))
	var servers []*httpserver.Server
	if len(d.operators) > 0 {
		operators, err := fleetapi.NewServer(operatorView{d}, d.operators, d.log)
		if err != nil {
			return nil, nil, fmt.Errorf("create the server of the operator interface: %w", err)
		}
		all = append(all, listener{d.settings.OperatorAddress, operators, "operator", intake.Control})
	}
	bounds := intake.ForMachine(d.settings.MemoryBytes, d.settings.FileDescriptors, d.policy.Intake, d.metrics.Scope(), d.log)
	for _, l := range all {
		if l.address == "" {
			continue
		}
		tcpListener, err := net.Listen("tcp", l.address)
		if err != nil {
			return nil, nil, fmt.Errorf("open the %s listener: %w", l.peer, err)
		}
		options := intake.Options{Part: l.part}
		if l.part == intake.Clients {
			options.Configured = d.configuredLimits
		}
		s := httpserver.New(bounds.Wrap(&http.Server{Addr: l.address, Handler: l.handler, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout}, options))
		servers = append(servers, s)
		go func() {
			if err := s.Serve(bounds.Listener(s.Listener(d.metrics.Traffic(l.peer).Listener(tcpListener)), options)); !errors.Is(err, http.ErrServerClosed) {
				failed <- fmt.Errorf("serve %s calls on %s: %w", l.peer, l.address, err)
			}
		}()
	}
	return servers, failed, nil
}

// configuredLimits returns the limit on heads and the idle time of the configuration in force, 0 for those that it
// does not set.
func (d *Daemon) configuredLimits() (headBytes int, idle time.Duration) {
	c, _ := d.configurations.Current()
	if c == nil {
		return 0, 0
	}
	return c.Limits.HeaderBytes, c.Limits.IdleTimeout
}

// serveReadiness reports to the platform whether to direct clients to this daemon. Without
// the store a daemon still serves open queues, but other daemons serve clients better.
func (d *Daemon) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	c, age := d.configurations.Current()
	if d.stopping.Load() || c == nil || age > time.Duration(readyFraction*float64(d.settings.Bounds.Revoke)) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// readyFraction is the fraction of the revocation deadline after which a daemon with an
// unconfirmed configuration is not ready.
const readyFraction = 0.6
