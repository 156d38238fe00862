package lease

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"samphirestile.example/samphirestile/internal/binding"
	"samphirestile.example/samphirestile/internal/fleet"
	"samphirestile.example/samphirestile/internal/follow"
	"samphirestile.example/samphirestile/internal/monotonic"
	"samphirestile.example/samphirestile/internal/partition"
	"samphirestile.example/samphirestile/internal/store"
)

const (
	// relistInterval bounds how long a stalled watch can hide a vacant shard.
	relistInterval = 2500 * time.Millisecond
	// discoveryDelay lets daemons that start together discover each other before the first
	// one acquires all shards.
	discoveryDelay = 250 * time.Millisecond
	// transferDelay is how long members and owners must be unchanged before a daemon hands
	// over a shard, so that all daemons observe one change before the next.
	transferDelay = 3 * time.Second
	// vacancyInterval is the interval between reconciliation passes while a shard is vacant.
	vacancyInterval = 60 * time.Millisecond
	// stableInterval is the interval while each shard has an owner. A vacancy reported by
	// the store starts a pass immediately.
	stableInterval = 500 * time.Millisecond
)

// Runner serves the shards that this daemon owns.
type Runner interface {
	// Start starts serving a shard under a fencing token. The ownership ends with the lease.
	Start(shard string, token uint64, lease store.LeaseID)
	// Stop stops serving it. A planned stop records all progress first.
	Stop(shard string, planned bool)
}

// Owners tracks the owner of each shard, acquires vacant shards and hands shards over to
// less loaded daemons.
type Owners struct {
	store    store.Transactional
	follower *follow.Follower
	renewer  *Renewer
	self     Member
	runner   Runner
	shards   func(partition.Depths, []fleet.ServiceID) []string
	log      *logrus.Logger
	// rejections reports records that are read again and again.
	rejections *follow.Rejections

	mu       sync.Mutex
	revision uint64
	members  map[string]Member
	owners   map[string]owner
	// depths holds the depths of pool partitions. It is replaced, not modified, on a change.
	depths partition.Depths
	// bindings holds the bindings of queues by key.
	bindings map[string]binding.Recorded
	vacant   map[string]monotonic.Time
	running  map[string]ownership
	stopping bool
	// ended holds, for each shard, the last token under which this daemon stopped serving it. A
	// shard is not served again under that token, although its record may still be observed
	// after the ownership has ended.
	ended map[string]uint64
	// changedAt is when the members or the owners last changed.
	changedAt monotonic.Time
	// firstReadAt is when the records were first read.
	firstReadAt monotonic.Time
	wake        chan struct{}
}

// ownership identifies one ownership of a shard by this daemon.
type ownership struct {
	token uint64
	lease store.LeaseID
}

type owner struct {
	Member
	token uint64
	lease store.LeaseID
}

// NewOwners returns an Owners. The function shards lists the shards that need an owner, given the depths
// of pool partitions and the services that accept or may hold jobs.
func NewOwners(
	s store.Transactional, r *Renewer, self Member, runner Runner, shards func(partition.Depths, []fleet.ServiceID) []string, log *logrus.Logger,
) *Owners {
	o := &Owners{
		store: s, renewer: r, self: self, runner: runner, shards: shards, log: log, rejections: follow.NewRejections(log),
		members: map[string]Member{}, owners: map[string]owner{}, depths: partition.Depths{}, bindings: map[string]binding.Recorded{}, vacant: map[string]monotonic.Time{}, ended: map[string]uint64{},
		running: map[string]ownership{}, wake: make(chan struct{}, 1),
	}
	o.follower = follow.New(follow.Config{Store: s, Prefix: prefix, Target: o, RelistInterval: relistInterval, Log: log})
	return o
}

// Owner returns the owner of a shard.
func (o *Owners) Owner(shard string) (Member, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	record, ok := o.owners[shard]
	return record.Member, ok && record.Address != ""
}

// Depths returns the depths of pool partitions. The caller must not modify the result.
func (o *Owners) Depths() partition.Depths {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.depths
}

// Members returns the number of daemons that compete for shards.
func (o *Owners) Members() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.members)
}

// PeerAddresses returns the addresses of the other daemons.
func (o *Owners) PeerAddresses() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	var addresses []string
	for _, m := range o.members {
		if m.Name != o.self.Name {
			addresses = append(addresses, m.Address)
		}
	}
	return addresses
}

// Run tracks and acquires shards until ctx is done.
func (o *Owners) Run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { o.follower.Run(ctx) })
	timer := time.NewTimer(vacancyInterval)
	defer timer.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-o.wake:
		case <-o.renewer.changed:
		}
		o.reconcile()
		o.acquireVacant(ctx)
		if shard, token := o.shardToTransfer(); shard != "" {
			group.Go(func() { o.handOver(ctx, shard, token) })
		}
		timer.Reset(o.interval())
	}
	group.Wait()
}

// interval returns the time until the next reconciliation pass unless a record changes.
func (o *Owners) interval() time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.vacant) > 0 || o.firstReadAt == 0 || monotonic.Now().Sub(o.firstReadAt) < discoveryDelay+stableInterval {
		return vacancyInterval
	}
	return stableInterval
}

func (o *Owners) notify() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// Replace implements follow.Target.
func (o *Owners) Replace(records []store.Entry, revision uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	members, owners := len(o.members), len(o.owners)
	o.members = map[string]Member{}
	// A shard that this daemon has acquired since is not in the list.
	maps.DeleteFunc(o.owners, func(_ string, record owner) bool { return record.token <= revision })
	bound := map[string]bool{}
	for _, e := range records {
		o.put(e)
		bound[e.Key] = true
	}
	for key, b := range o.bindings {
		if !bound[key] && b.Revision <= revision {
			delete(o.bindings, key)
		}
	}
	o.revision = max(o.revision, revision)
	if len(o.members) != members || len(o.owners) != owners {
		o.changedAt = monotonic.Now()
	}
	if o.firstReadAt == 0 {
		o.firstReadAt = monotonic.Now()
	}
	o.notify()
}

func (o *Owners) put(e store.Entry) {
	if shard, ok := strings.CutPrefix(e.Key, partitionPrefix); ok {
		depth, err := partition.DecodeDepth(e)
		if err != nil {
			o.rejections.Report(e.Key, err)
			return
		}
		if o.depths[shard] != depth {
			o.depths = maps.Clone(o.depths)
			o.depths[shard] = depth
		}
		return
	}
	if strings.HasPrefix(e.Key, bindingPrefix) {
		o.putBinding(e)
		return
	}
	m, err := decodeMember(e.Value)
	if err != nil {
		o.rejections.Report(e.Key, err)
	}
	if name, ok := strings.CutPrefix(e.Key, memberPrefix); ok {
		if err == nil && m.Name == name {
			o.members[name] = m
		} else {
			delete(o.members, name)
		}
	}
	if shard, ok := strings.CutPrefix(e.Key, ownerPrefix); ok {
		// A shard whose record cannot be read is not vacant: as long as the key exists, each attempt
		// to acquire the shard fails.
		if e.Created < o.owners[shard].token {
			return
		}
		o.owners[shard] = owner{Member: m, token: e.Created, lease: e.Lease}
	}
}

// Apply implements follow.Target.
func (o *Owners) Apply(changes []store.Event) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, e := range changes {
		o.revision = max(o.revision, e.Version)
		if !e.Deleted {
			o.put(e.Entry)
			continue
		}
		if name, ok := strings.CutPrefix(e.Key, memberPrefix); ok {
			delete(o.members, name)
		}
		// What this daemon has written may be newer than the removal.
		if shard, ok := strings.CutPrefix(e.Key, ownerPrefix); ok && o.owners[shard].token <= e.Version {
			delete(o.owners, shard)
		}
		if o.bindings[e.Key].Revision <= e.Version {
			delete(o.bindings, e.Key)
		}
	}
	o.changedAt = monotonic.Now()
	o.notify()
}

// reconcile starts and stops shards to match the ownership records and the lease.
func (o *Owners) reconcile() {
	lease, _ := o.renewer.Lease()
	o.mu.Lock()
	defer o.mu.Unlock()
	for shard, own := range o.running {
		record, ok := o.owners[shard]
		mine := ok && record.token == own.token
		if lease != own.lease || (!mine && o.revision > own.token) {
			o.log.WithFields(logrus.Fields{"shard": shard, "token": own.token, "owner": record.Name, "revision": o.revision}).Warn("ownership lost")
			o.end(shard)
			o.runner.Stop(shard, false)
		}
	}
	if o.stopping || lease == 0 {
		return
	}
	for shard, record := range o.owners {
		// An acquisition whose response was lost may have succeeded.
		if record.Incarnation == o.self.Incarnation && record.lease == lease && o.running[shard].token == 0 && record.token > o.ended[shard] {
			o.start(shard, ownership{record.token, lease})
		}
	}
}

// end records that this daemon no longer serves a shard. The caller holds mu.
func (o *Owners) end(shard string) {
	o.ended[shard] = max(o.ended[shard], o.running[shard].token)
	delete(o.running, shard)
}

// start starts serving a shard. The caller holds mu.
func (o *Owners) start(shard string, own ownership) {
	o.log.WithFields(logrus.Fields{"shard": shard, "token": own.token, "lease": own.lease}).Info("shard acquired")
	o.running[shard] = own
	o.runner.Start(shard, own.token, own.lease)
}

// acquireVacant acquires the vacant shards whose delay has elapsed.
func (o *Owners) acquireVacant(ctx context.Context) {
	lease, _ := o.renewer.Lease()
	if lease == 0 {
		return
	}
	for _, shard := range o.due() {
		value, err := json.Marshal(o.self)
		if err != nil {
			o.log.WithError(err).Error("cannot encode the member")
			return
		}
		key := OwnerKey(shard)
		revision, err := o.store.Commit(ctx, store.Transaction{
			Conditions: []store.Condition{{Key: key}}, Writes: []store.Write{{Key: key, Value: value, Lease: lease}},
		})
		o.mu.Lock()
		delete(o.vacant, shard)
		stopping := o.stopping
		if err == nil && !stopping {
			o.owners[shard] = owner{Member: o.self, token: revision, lease: lease}
			o.start(shard, ownership{revision, lease})
		}
		o.mu.Unlock()
		if err == nil && stopping {
			o.removeOwnership(ctx, shard, revision)
			return
		}
		if err != nil {
			o.log.WithError(err).WithField("shard", shard).Info("shard not acquired")
			switch {
			case errors.As(err, new(*store.ConditionError)):
				if err := o.follower.Read(ctx); err != nil {
					o.log.WithError(err).Info("cannot read the shard owners after a failed acquisition")
				}
			case errors.As(err, new(*store.NotFoundError)):
				// The lease has expired; no shard can be acquired without a new one.
				return
			}
		}
	}
}

// due returns the vacant shards that this daemon should try to acquire now.
func (o *Owners) due() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.stopping || o.revision == 0 || monotonic.Now().Sub(o.firstReadAt) < discoveryDelay {
		return nil
	}
	var vacant []string
	for _, shard := range o.shards(o.depths, o.boundServices()) {
		if _, ok := o.owners[shard]; ok {
			delete(o.vacant, shard)
			continue
		}
		vacant = append(vacant, shard)
	}
	if len(vacant) == 0 {
		return nil
	}
	members, owned := o.shardCounts()
	now := monotonic.Now()
	var due []string
	for _, shard := range vacant {
		since, ok := o.vacant[shard]
		if !ok {
			o.vacant[shard], since = now, now
		}
		if now.Sub(since) >= acquireDelay(o.self.Name, shard, members, owned) {
			due = append(due, shard)
			owned[o.self.Name]++
		}
	}
	return due
}

// shardCounts returns the members and the number of shards that each owns. The caller
// holds mu.
func (o *Owners) shardCounts() ([]Member, map[string]int) {
	var members []Member
	owned := map[string]int{}
	for name, m := range o.members {
		m.Name = name
		members = append(members, m)
	}
	for _, record := range o.owners {
		owned[record.Name]++
	}
	return members, owned
}

// shardToTransfer returns a shard that this daemon should hand over to a less loaded one,
// with its token, or "".
func (o *Owners) shardToTransfer() (string, uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := monotonic.Now()
	if o.stopping || len(o.running) == 0 || o.firstReadAt == 0 || now.Sub(max(o.changedAt, o.firstReadAt)) < transferDelay {
		return "", 0
	}
	members, owned := o.shardCounts()
	if !overloaded(o.self, members, owned) || !o.renewer.confirmedRecently(now) {
		return "", 0
	}
	chosen := ""
	for shard := range o.running {
		if shard > chosen {
			chosen = shard
		}
	}
	o.changedAt = now
	token := o.running[chosen].token
	o.end(chosen)
	o.log.WithFields(logrus.Fields{"shard": chosen, "owned": owned[o.self.Name], "power": o.self.CPUCores, "members": len(members)}).Info("shard is given to a daemon with less load")
	return chosen, token
}

// handOver stops a shard with all progress recorded and removes its ownership key, so that
// another daemon acquires it at once. The shard has no owner until the removal succeeds, so an
// attempt without a definite outcome is repeated.
func (o *Owners) handOver(ctx context.Context, shard string, token uint64) {
	o.runner.Stop(shard, true)
	for !o.removeOwnership(ctx, shard, token) && ctx.Err() == nil {
		monotonic.Sleep(ctx, retryInterval)
	}
}

// removeOwnership removes the ownership key of a shard and reports whether it is certainly removed.
func (o *Owners) removeOwnership(ctx context.Context, shard string, token uint64) bool {
	key := OwnerKey(shard)
	_, err := o.store.Commit(ctx, store.Transaction{
		Conditions: []store.Condition{{Key: key, Version: token}}, Removals: []string{key},
	})
	// After a failed condition the key is gone: by an earlier attempt, or with the lease.
	if err != nil && !errors.As(err, new(*store.ConditionError)) {
		o.log.WithError(err).WithFields(logrus.Fields{"shard": shard, "token": token}).Warn("shard not handed over")
		return false
	}
	o.log.WithFields(logrus.Fields{"shard": shard, "token": token}).Info("shard handed over")
	return true
}

// Release hands over all shards, so that other daemons acquire them at once, and prevents
// further acquisitions by this daemon. An ownership key that cannot be removed ends with the lease.
func (o *Owners) Release(ctx context.Context) {
	o.mu.Lock()
	o.stopping = true
	running := maps.Clone(o.running)
	for shard := range running {
		o.end(shard)
	}
	o.mu.Unlock()
	var group sync.WaitGroup
	for shard, own := range running {
		group.Go(func() {
			o.runner.Stop(shard, true)
			o.removeOwnership(ctx, shard, own.token)
		})
	}
	group.Wait()
}
