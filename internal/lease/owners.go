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

	"samphirestile.example/samphirestile/internal/follow"
	"samphirestile.example/samphirestile/internal/monotonic"
	"samphirestile.example/samphirestile/internal/partition"
	"samphirestile.example/samphirestile/internal/store"
)

const (
	// relistInterval bounds how long a silent watch can hide a vacancy.
	relistInterval = 2500 * time.Millisecond
	// settleTime lets daemons that start together see each other before the first
	// of them takes everything.
	settleTime = 250 * time.Millisecond
	// shedAfter is how long nothing must have changed before a daemon hands a shard
	// to another one, so that one change is seen by all before the next.
	shedAfter = 3 * time.Second
	// vacancyTick is how often vacant shards are looked at.
	vacancyTick = 60 * time.Millisecond
	// calmTick is how often shards are looked at while each has an owner. A vacancy
	// that the store tells of is looked at at once.
	calmTick = 500 * time.Millisecond
)

// Runner serves the shards that this daemon owns.
type Runner interface {
	// Start begins to serve a shard under a fencing token.
	Start(shard string, token uint64)
	// Stop ends it. Planned stops record all progress first.
	Stop(shard string, planned bool)
}

// Owners follows who owns which shard and acquires vacant ones.
type Owners struct {
	store    store.Transactional
	follower *follow.Follower
	keeper   *Renewer
	self     Member
	runner   Runner
	shards   func(partition.Depths) []string
	log      *logrus.Logger

	mu       sync.Mutex
	revision uint64
	members  map[string]Member
	owners   map[string]owner
	// depths of the parts of pools; replaced as a whole when one changes.
	depths   partition.Depths
	vacant   map[string]monotonic.Time
	running  map[string]uint64
	stopping bool
	// moving are shards that are being handed over.
	moving map[string]bool
	// changedAt is when a member or an owner last came or went.
	changedAt monotonic.Time
	// listedAt is when the records were first read.
	listedAt monotonic.Time
	wake     chan struct{}
}

type owner struct {
	Member
	token uint64
	lease store.LeaseID
}

// NewOwners returns a follower; shards lists the shards that need an owner, given
// the depths of those that are parts.
func NewOwners(s store.Transactional, k *Renewer, self Member, r Runner, shards func(partition.Depths) []string, log *logrus.Logger) *Owners {
	o := &Owners{
		store: s, keeper: k, self: self, runner: r, shards: shards, log: log,
		members: map[string]Member{}, owners: map[string]owner{}, depths: partition.Depths{}, vacant: map[string]monotonic.Time{}, moving: map[string]bool{},
		running: map[string]uint64{}, wake: make(chan struct{}, 1),
	}
	o.follower = follow.New(follow.Config{Store: s, Prefix: prefix, Target: o, RelistInterval: relistInterval, Log: log})
	return o
}

// Owner returns the owner of a shard.
func (o *Owners) Owner(shard string) (Member, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	w, ok := o.owners[shard]
	return w.Member, ok
}

// Depths returns how deep the parts of pools are. The caller must not change it.
func (o *Owners) Depths() partition.Depths {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.depths
}

// Members returns how many daemons take part.
func (o *Owners) Members() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.members)
}

// PeerAddresses returns the addresses of the other daemons that take part.
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

// Run follows and acquires until ctx ends.
func (o *Owners) Run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { o.follower.Run(ctx) })
	timer := time.NewTimer(vacancyTick)
	defer timer.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-o.wake:
		case <-o.keeper.changed:
		}
		o.settle()
		o.acquireVacant(ctx)
		if shard, token := o.toShed(); shard != "" {
			group.Go(func() { o.handOver(ctx, shard, token) })
		}
		timer.Reset(o.pause())
	}
	group.Wait()
}

// pause returns for how long nothing needs to be looked at unless a record changes.
func (o *Owners) pause() time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.vacant) > 0 || o.listedAt == 0 || monotonic.Now().Sub(o.listedAt) < settleTime+calmTick {
		return vacancyTick
	}
	return calmTick
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
	o.members, o.owners = map[string]Member{}, map[string]owner{}
	for _, e := range records {
		o.put(e)
	}
	o.revision = max(o.revision, revision)
	if len(o.members) != members || len(o.owners) != owners {
		o.changedAt = monotonic.Now()
	}
	if o.listedAt == 0 {
		o.listedAt = monotonic.Now()
	}
	o.notify()
}

func (o *Owners) put(e store.Entry) {
	if shard, ok := strings.CutPrefix(e.Key, partPrefix); ok {
		depth, err := partition.DecodeDepth(e)
		if err != nil {
			o.log.WithError(err).Warn("skipped an unreadable record")
			return
		}
		if o.depths[shard] != depth {
			o.depths = maps.Clone(o.depths)
			o.depths[shard] = depth
		}
		return
	}
	var m Member
	if err := json.Unmarshal(e.Value, &m); err != nil {
		o.log.WithError(err).WithField("key", e.Key).Warn("skipped an unreadable record")
		return
	}
	if name, ok := strings.CutPrefix(e.Key, memberPrefix); ok {
		o.members[name] = m
	}
	if shard, ok := strings.CutPrefix(e.Key, ownerPrefix); ok {
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
		if shard, ok := strings.CutPrefix(e.Key, ownerPrefix); ok {
			delete(o.owners, shard)
		}
	}
	o.changedAt = monotonic.Now()
	o.notify()
}

// settle starts and stops shards so that they match the records and the lease.
func (o *Owners) settle() {
	lease, _ := o.keeper.Lease()
	o.mu.Lock()
	defer o.mu.Unlock()
	for shard, token := range o.running {
		w, ok := o.owners[shard]
		mine := ok && w.token == token
		if lease == 0 || (!mine && o.revision > token) {
			o.log.WithFields(logrus.Fields{"shard": shard, "token": token, "owner": w.Name, "revision": o.revision}).Warn("ownership lost")
			delete(o.running, shard)
			o.runner.Stop(shard, false)
		}
	}
	if o.stopping || lease == 0 {
		return
	}
	for shard, w := range o.owners {
		// An earlier attempt whose answer was lost may have succeeded.
		if w.Incarnation == o.self.Incarnation && w.lease == lease && o.running[shard] == 0 && !o.moving[shard] {
			o.start(shard, w.token)
		}
	}
}

func (o *Owners) start(shard string, token uint64) {
	o.log.WithFields(logrus.Fields{"shard": shard, "token": token}).Info("shard acquired")
	o.running[shard] = token
	o.runner.Start(shard, token)
}

// acquireVacant takes the vacant shards whose delay has passed.
func (o *Owners) acquireVacant(ctx context.Context) {
	lease, _ := o.keeper.Lease()
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
		if err == nil && !o.stopping {
			o.owners[shard] = owner{Member: o.self, token: revision, lease: lease}
			o.start(shard, revision)
		}
		o.mu.Unlock()
		if err != nil {
			o.log.WithError(err).WithField("shard", shard).Info("shard not acquired")
			switch {
			case errors.As(err, new(*store.ConditionError)):
				if err := o.follower.Read(ctx); err != nil {
					o.log.WithError(err).Info("owners of shards not read")
				}
			case errors.As(err, new(*store.NotFoundError)):
				// The lease has ended, so no other shard can be taken before the next one.
				return
			}
		}
	}
}

// due returns the vacant shards that this daemon should try to take now.
func (o *Owners) due() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.stopping || o.revision == 0 || monotonic.Now().Sub(o.listedAt) < settleTime {
		return nil
	}
	var vacant []string
	for _, shard := range o.shards(o.depths) {
		if _, ok := o.owners[shard]; ok {
			delete(o.vacant, shard)
			continue
		}
		vacant = append(vacant, shard)
	}
	if len(vacant) == 0 {
		return nil
	}
	members, owned := o.loads()
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

// loads returns the members and how many shards each owns. The caller holds mu.
func (o *Owners) loads() ([]Member, map[string]int) {
	var members []Member
	owned := map[string]int{}
	for name, m := range o.members {
		m.Name = name
		members = append(members, m)
	}
	for _, w := range o.owners {
		owned[w.Name]++
	}
	return members, owned
}

// toShed returns a shard that this daemon should hand over to a less loaded one, or "".
func (o *Owners) toShed() (string, uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := monotonic.Now()
	if o.stopping || len(o.running) == 0 || o.listedAt == 0 || now.Sub(max(o.changedAt, o.listedAt)) < shedAfter {
		return "", 0
	}
	members, owned := o.loads()
	if !overloaded(o.self, members, owned) || !o.keeper.answered(now) {
		return "", 0
	}
	chosen := ""
	for shard := range o.running {
		if shard > chosen {
			chosen = shard
		}
	}
	o.changedAt = now
	token := o.running[chosen]
	delete(o.running, chosen)
	o.moving[chosen] = true
	o.log.WithFields(logrus.Fields{"shard": chosen, "owned": owned[o.self.Name], "power": o.self.CPUCores, "members": len(members)}).Info("shard is given to a daemon with less load")
	return chosen, token
}

// handOver ends a shard as planned and removes its ownership key, so that another daemon takes it at once.
func (o *Owners) handOver(ctx context.Context, shard string, token uint64) {
	defer func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		delete(o.moving, shard)
	}()
	o.runner.Stop(shard, true)
	key := OwnerKey(shard)
	_, err := o.store.Commit(ctx, store.Transaction{
		Conditions: []store.Condition{{Key: key, Version: token}}, Removals: []string{key},
	})
	if err != nil {
		o.log.WithError(err).WithField("shard", shard).Warn("shard not handed over; its lease ends later")
		return
	}
	o.log.WithFields(logrus.Fields{"shard": shard, "token": token}).Info("shard handed over")
}

// Release hands all shards over: it records their progress and removes the
// ownership keys, so that other daemons take them at once.
func (o *Owners) Release(ctx context.Context) {
	o.mu.Lock()
	o.stopping = true
	running := o.running
	o.running = map[string]uint64{}
	o.mu.Unlock()
	for shard, token := range running {
		o.handOver(ctx, shard, token)
	}
}
