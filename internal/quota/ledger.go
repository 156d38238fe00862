package quota

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"samphirestile.example/samphirestile/internal/monotonic"
	"samphirestile.example/samphirestile/internal/store"
	"samphirestile.example/samphirestile/internal/worker"
)

const (
	recordKey = "samphirestile/quota"
	// passInterval is the minimum time between two passes of a ledger. It bounds the writes of one
	// shard while demand changes. Without a request the next pass follows after 8 further intervals.
	passInterval = 150 * time.Millisecond
	// conflictRetries is the number of immediate retries after write conflicts: in a
	// demand peak several shards request larger grants at the same time.
	conflictRetries = 3
	// inheritedHold is how long a new owner keeps the grants of its predecessor. It exceeds the
	// longest lease that workers accept, ten seconds, during which runs of the predecessor may go on
	// on workers that have not responded to the new owner. A UsageReporter ends it earlier.
	inheritedHold = 11 * time.Second
	// abandonedDelay exceeds the time for which runs of the last owner of a shard may go on: the longest lease of a
	// worker, and commands that are executed late.
	abandonedDelay = 30 * time.Second
	// maxRemovedShards bounds the conditions of one write.
	maxRemovedShards = 16
)

// Grants holds the granted parts of accounts' limits, by shard and account.
type Grants map[string]map[string]worker.Resources

// Source provides the demand of a shard.
type Source interface {
	// Limits returns the limits of the accounts that have one.
	Limits() map[string]worker.Resources
	// AccountDemands returns the shard's demand, by account.
	AccountDemands() map[string]AccountDemand
}

// UsageReporter is implemented by a Source that knows when AccountDemands includes all runs of earlier
// owners.
type UsageReporter interface {
	UsageKnown() bool
}

// ShortageReporter is implemented by a Source that knows which of its tasks wait only for the limit of their account.
type ShortageReporter interface {
	// Shortages returns, by account, the task or gang that has been waiting the longest.
	Shortages() map[string]Shortage
}

// Peers is what a ledger knows of the other shards.
type Peers struct {
	// Requests are the requests of all shards; nil means that shards neither request resources nor yield them.
	Requests *Requests
	// Lease is the lease of this daemon, to which the record of its requests is attached.
	Lease store.LeaseID
	// HasOwner reports whether a shard has an owner, and OwnerKey returns the key that exists while it has one. Nil means
	// that all shards have owners.
	HasOwner func(shard string) bool
	OwnerKey func(shard string) string
}

// Ledger maintains one shard's grants.
type Ledger struct {
	store    store.Transactional
	shard    string
	ownerKey string
	token    uint64
	source   Source
	onGrowth func()
	peers    Peers
	log      *logrus.Logger

	// requests is used by Run only.
	requests ownRequests
	// abandoned holds since when shards with grants have had no owner. It is used by Run only.
	abandoned map[string]monotonic.Time

	mu      sync.Mutex
	grants  Grants
	version uint64
	loaded  bool
	// inherited holds the shard's grants when they were first read; they are not reduced before
	// inheritedUntil.
	inherited      map[string]worker.Resources
	inheritedUntil monotonic.Time
	// unresolved is set after a write with an unknown outcome. It may still be carried
	// out as long as the record has the same version, so the next pass writes again.
	unresolved bool
	wake       chan struct{}
}

// NewLedger returns a ledger of the shard; onGrowth is called when more resources may
// have been granted.
func NewLedger(s store.Transactional, shard, ownerKey string, token uint64, source Source, onGrowth func(), peers Peers, log *logrus.Logger) *Ledger {
	return &Ledger{
		store: s, shard: shard, ownerKey: ownerKey, token: token, source: source, onGrowth: onGrowth, peers: peers, log: log,
		grants: Grants{}, abandoned: map[string]monotonic.Time{}, wake: make(chan struct{}, 1),
	}
}

// Allows reports whether the shard's grant covers the account's use. An account without a limit
// is always allowed.
func (l *Ledger) Allows(account string, limit, use worker.Resources) bool {
	if limit == (worker.Resources{}) {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.loaded {
		return false
	}
	own := l.grants[l.shard][account]
	return Within(limit, Effective(limit, own, own.Plus(l.others(account))), use)
}

// AllowsStart reports whether tasks may start with which the account's use would be the given one: the grant covers
// it, and it leaves the resources that another shard's request reserves.
func (l *Ledger) AllowsStart(account string, limit, use worker.Resources) bool {
	if !l.Allows(account, limit, use) {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	missing, reserved := l.requestedByOthers(account, limit)
	return !reserved || Within(limit, limit.Minus(l.others(account)).Minus(missing), use)
}

// requestedByOthers returns what the first request for an account lacks, and whether that is reserved. It is nothing if
// this shard's request is the first. The caller holds mu.
func (l *Ledger) requestedByOthers(account string, limit worker.Resources) (missing worker.Resources, reserved bool) {
	shard, q := l.peers.Requests.first(account, l.peers.HasOwner)
	if shard == "" || shard == l.shard {
		return missing, false
	}
	missing = limited(largest(worker.Resources{}, Capped(q.Need, limit).Minus(l.grants[shard][account])), limit)
	return missing, q.Reserved && missing != (worker.Resources{})
}

func (l *Ledger) others(account string) worker.Resources {
	var sum worker.Resources
	for shard, accounts := range l.grants {
		if shard != l.shard {
			sum = sum.Plus(accounts[account])
		}
	}
	return sum
}

// RequestUpdate requests a pass within passInterval, for example because a task waits for a larger
// grant.
func (l *Ledger) RequestUpdate() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Run adapts the grants to the demand until ctx ends.
func (l *Ledger) Run(ctx context.Context) {
	lastFailure := ""
	requested := l.peers.Requests.subscribe()
	defer l.peers.Requests.unsubscribe(requested)
	for ctx.Err() == nil {
		changed, err := l.adapt(ctx)
		err = errors.Join(err, l.updateRequests(ctx))
		if err == nil {
			lastFailure = ""
		} else if err.Error() != lastFailure {
			// A record that cannot be read fails each pass.
			lastFailure = err.Error()
			l.log.WithError(err).WithField("shard", l.shard).Info("quota grants not updated")
		}
		if changed {
			l.onGrowth()
		}
		monotonic.Sleep(ctx, passInterval)
		select {
		case <-ctx.Done():
		case <-l.wake:
		case <-requested:
			// Tasks may start that had to leave resources to another shard.
			l.onGrowth()
		// Surplus is returned even if no update is requested.
		case <-time.After(8 * passInterval):
		}
	}
}

// adapt updates the shard's grants if they should change, and reports whether they may
// have grown. The record is read only if something may have to change.
func (l *Ledger) adapt(ctx context.Context) (bool, error) {
	l.mu.Lock()
	loaded, unresolved := l.loaded, l.unresolved
	l.mu.Unlock()
	if loaded && !unresolved {
		if _, change, unmet := l.planGrants(); !change && !unmet {
			return false, nil
		}
	}
	for range conflictRetries {
		changed, err := l.rewrite(ctx)
		if !errors.As(err, new(*store.ConditionError)) {
			return changed, err
		}
	}
	return l.rewrite(ctx)
}

// rewrite reads the record and writes the shard's grants as planned. It reports whether the
// grants may have grown. A *store.ConditionError means that another shard has written
// meanwhile, or that this daemon has lost the ownership of the shard.
func (l *Ledger) rewrite(ctx context.Context) (bool, error) {
	if err := l.read(ctx); err != nil {
		return false, err
	}
	removed := l.findAbandoned()
	next, change, _ := l.planGrants()
	l.mu.Lock()
	loaded, unresolved := l.loaded, l.unresolved
	l.mu.Unlock()
	if !change && !unresolved && len(removed) == 0 {
		return !loaded, nil
	}
	return l.write(ctx, next, removed)
}

// findAbandoned returns shards whose grants may be removed because they have had no owner for abandonedDelay.
func (l *Ledger) findAbandoned() []string {
	if l.peers.HasOwner == nil {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := monotonic.Now()
	maps.DeleteFunc(l.abandoned, func(shard string, _ monotonic.Time) bool { _, ok := l.grants[shard]; return !ok })
	var abandoned []string
	for shard := range l.grants {
		if shard == l.shard || l.peers.HasOwner(shard) {
			delete(l.abandoned, shard)
			continue
		}
		since, ok := l.abandoned[shard]
		if !ok {
			since = now
			l.abandoned[shard] = now
		}
		if now.Sub(since) > abandonedDelay && len(abandoned) < maxRemovedShards {
			abandoned = append(abandoned, shard)
		}
	}
	return abandoned
}

// limit limits each grant to the range of amounts: a negative grant of one shard would raise what
// the others may use above the limit of the account.
func (g Grants) limit() {
	for _, accounts := range g {
		for account, r := range accounts {
			accounts[account] = r.Limited()
		}
	}
}

// read replaces the grants by those in the store. It leaves them unchanged if the record is older
// than they are, or if a write with an unknown outcome may still be carried out.
func (l *Ledger) read(ctx context.Context) error {
	e, err := l.store.Get(ctx, recordKey)
	grants := Grants{}
	if err != nil && !errors.As(err, new(*store.NotFoundError)) {
		return fmt.Errorf("read grants of shard %s in %s: %w", l.shard, recordKey, err)
	}
	if err == nil {
		if err := json.Unmarshal(e.Value, &grants); err != nil {
			return fmt.Errorf("decode grants in %s at version %d: %w", recordKey, e.Version, err)
		}
	}
	grants.limit()
	l.mu.Lock()
	defer l.mu.Unlock()
	if e.Version < l.version || (l.unresolved && e.Version == l.version) {
		return nil
	}
	l.grants, l.version, l.loaded, l.unresolved = grants, e.Version, true, false
	if l.inherited == nil {
		l.inherited, l.inheritedUntil = map[string]worker.Resources{}, monotonic.Now().Add(inheritedHold)
		maps.Copy(l.inherited, grants[l.shard])
	}
	return nil
}

// planGrants returns the shard's planned grants for the current demand, whether they differ
// from the granted ones, and whether they leave demand unmet. In the last case the record
// has to be read: other shards may have returned resources since.
func (l *Ledger) planGrants() (next map[string]worker.Resources, change, unmet bool) {
	// Whether the use is known is asked first: the demand that is read after it is then complete.
	reporter, ok := l.source.(UsageReporter)
	known := ok && reporter.UsageKnown()
	limits, demands := l.source.Limits(), l.source.AccountDemands()
	l.mu.Lock()
	defer l.mu.Unlock()
	hold := !known && monotonic.Now() < l.inheritedUntil
	shards := len(l.grants)
	if _, ok := l.grants[l.shard]; !ok {
		shards++
	}
	next = map[string]worker.Resources{}
	for account, limit := range limits {
		own := l.grants[l.shard][account]
		missing, reserved := l.requestedByOthers(account, limit)
		planned := Plan(limit, own, l.others(account), shards, l.usableDemand(account, limit, demands[account]), Requested{missing, reserved})
		if hold {
			// The limit may have been lowered since, or the record may be invalid.
			planned = largest(planned, Capped(own.Min(l.inherited[account]), limit))
		}
		if planned != (worker.Resources{}) {
			next[account] = planned
		}
		change = change || planned != own
		d := demands[account]
		unmet = unmet || !Within(limit, planned, d.Running.Plus(d.Waiting))
	}
	return next, change, unmet
}

// usableDemand returns the demand without the task of the shard's request if the free resources do not suffice for it and are
// not reserved: tasks of other shards can use them meanwhile. The caller holds mu.
func (l *Ledger) usableDemand(account string, limit worker.Resources, d AccountDemand) AccountDemand {
	q, ok := l.requests.accounts[account]
	if !ok || q.Reserved || Within(limit, limit.Minus(l.others(account)), q.Need) {
		return d
	}
	d.Waiting = largest(worker.Resources{}, d.Waiting.Minus(q.Need.Minus(d.Running)))
	return d
}

// write writes the shard's next grants, removes those of abandoned shards, and reports whether the grants may have
// grown.
func (l *Ledger) write(ctx context.Context, next map[string]worker.Resources, abandoned []string) (bool, error) {
	conditions := []store.Condition{{Key: recordKey}, {Key: l.ownerKey, Version: l.token}}
	l.mu.Lock()
	grants := Grants{}
	for shard, accounts := range l.grants {
		grants[shard] = accounts
	}
	grants[l.shard] = next
	for _, shard := range abandoned {
		l.log.WithFields(logrus.Fields{"shard": shard, "by": l.shard, "grants": grants[shard], "version": l.version}).Info("grants of a shard without an owner are removed")
		delete(grants, shard)
		// Without an owner the key does not exist.
		conditions = append(conditions, store.Condition{Key: l.peers.OwnerKey(shard)})
	}
	// Resources that are returned must not be used from here on, as the write may take effect
	// even if its response is lost.
	kept := map[string]worker.Resources{}
	for account, r := range l.grants[l.shard] {
		n := next[account]
		kept[account] = r.Min(n)
	}
	reduced := Grants{}
	for shard, accounts := range l.grants {
		reduced[shard] = accounts
	}
	reduced[l.shard] = kept
	l.grants = reduced
	version := l.version
	conditions[0].Version = version
	l.mu.Unlock()

	value, err := json.Marshal(grants)
	if err != nil {
		return false, fmt.Errorf("encode grants of %d shards: %w", len(grants), err)
	}
	revision, err := l.store.Commit(ctx, store.Transaction{
		Conditions: conditions, Writes: []store.Write{{Key: recordKey, Value: value}},
	})
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		for _, shard := range abandoned {
			delete(l.abandoned, shard)
		}
		l.unresolved = errors.As(err, new(*store.UnknownOutcomeError))
		// After a definite failure nothing is allowed until the record has been read again. After an
		// unknown outcome the reduced grants set above stay usable.
		l.loaded = l.unresolved
		l.RequestUpdate()
		return false, fmt.Errorf("write grants of shard %s at version %d: %w", l.shard, version, err)
	}
	l.grants, l.version, l.unresolved = grants, revision, false
	return true, nil
}
