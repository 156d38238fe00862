package quota

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"samphirestile.example/samphirestile/internal/monotonic"
	"samphirestile.example/samphirestile/internal/store"
	"samphirestile.example/samphirestile/internal/worker"
)

const (
	key = "samphirestile/quota"
	// interval bounds the writes of one shard while demand moves.
	interval = 150 * time.Millisecond
	// conflictAttempts follow at once when another shard has written first: in a turn
	// several shards ask for more at the same time.
	conflictAttempts = 3
)

// Grants are the parts of accounts' limits, by shard and account.
type Grants map[string]map[string]worker.Resources

// Source tells the ledger what a shard needs.
type Source interface {
	// Limits returns the limits of accounts that have one.
	Limits() map[string]worker.Resources
	// Demands returns what the shard needs, by account.
	Demands() map[string]Demand
}

// Ledger holds one shard's grants.
type Ledger struct {
	store    store.Transactional
	shard    string
	ownerKey string
	token    uint64
	source   Source
	granted  func()
	log      *logrus.Logger

	mu      sync.Mutex
	grants  Grants
	version uint64
	known   bool
	// unresolved is set after a write without an answer. It may still be carried
	// out as long as the record has the same version, so the next pass writes again.
	unresolved bool
	wake       chan struct{}
}

// NewLedger returns a ledger of the shard; granted is called after a grant has grown.
func NewLedger(s store.Transactional, shard, ownerKey string, token uint64, source Source, granted func(), log *logrus.Logger) *Ledger {
	return &Ledger{
		store: s, shard: shard, ownerKey: ownerKey, token: token, source: source, granted: granted, log: log,
		grants: Grants{}, wake: make(chan struct{}, 1),
	}
}

// Allows reports whether the account may use so much under its limit.
func (l *Ledger) Allows(account string, limit, use worker.Resources) bool {
	if limit == (worker.Resources{}) {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.known {
		return false
	}
	own := l.grants[l.shard][account]
	return Within(limit, Effective(limit, own, own.Plus(l.others(account))), use)
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

// RequestUpdate tells the ledger that a task waits for a grant.
func (l *Ledger) RequestUpdate() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Run adapts the grants to the demand until ctx ends.
func (l *Ledger) Run(ctx context.Context) {
	for ctx.Err() == nil {
		changed, err := l.adapt(ctx)
		if err != nil {
			l.log.WithError(err).WithField("shard", l.shard).Info("grants not adapted")
		}
		if changed {
			l.granted()
		}
		monotonic.Sleep(ctx, interval)
		select {
		case <-ctx.Done():
		case <-l.wake:
		// Surplus is given back without being asked for.
		case <-time.After(8 * interval):
		}
	}
}

// adapt writes the shard's grants anew if they should change. The record is
// read first unless it is known that nothing has to change.
func (l *Ledger) adapt(ctx context.Context) (bool, error) {
	l.mu.Lock()
	known, unresolved := l.known, l.unresolved
	l.mu.Unlock()
	if known && !unresolved {
		if _, change, unmet := l.plan(); !change && !unmet {
			return false, nil
		}
	}
	for range conflictAttempts {
		changed, err := l.rewrite(ctx)
		if !errors.As(err, new(*store.ConditionError)) {
			return changed, err
		}
	}
	return l.rewrite(ctx)
}

// rewrite reads the record and writes the shard's grants as they should be. A
// *store.ConditionError means that another shard has written meanwhile, or that
// the shard is no longer owned.
func (l *Ledger) rewrite(ctx context.Context) (bool, error) {
	if err := l.read(ctx); err != nil {
		return false, err
	}
	next, change, _ := l.plan()
	l.mu.Lock()
	known, unresolved := l.known, l.unresolved
	l.mu.Unlock()
	if !change && !unresolved {
		return !known, nil
	}
	return l.write(ctx, next)
}

func (l *Ledger) read(ctx context.Context) error {
	e, err := l.store.Get(ctx, key)
	grants := Grants{}
	if err != nil && !errors.As(err, new(*store.NotFoundError)) {
		return fmt.Errorf("read grants: %w", err)
	}
	if err == nil {
		if err := json.Unmarshal(e.Value, &grants); err != nil {
			return fmt.Errorf("read grants: %w", err)
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if e.Version < l.version || (l.unresolved && e.Version == l.version) {
		return nil
	}
	l.grants, l.version, l.known, l.unresolved = grants, e.Version, true, false
	return nil
}

// plan returns the shard's grants for the present demand, whether they differ,
// and whether demand stays unmet. Then the record has to be read: other shards
// may have given something back since.
func (l *Ledger) plan() (next map[string]worker.Resources, change, unmet bool) {
	limits, demands := l.source.Limits(), l.source.Demands()
	l.mu.Lock()
	defer l.mu.Unlock()
	shards := len(l.grants)
	if _, ok := l.grants[l.shard]; !ok {
		shards++
	}
	next = map[string]worker.Resources{}
	for account, limit := range limits {
		own := l.grants[l.shard][account]
		planned := Plan(limit, own, l.others(account), shards, demands[account])
		if planned != (worker.Resources{}) {
			next[account] = planned
		}
		change = change || planned != own
		d := demands[account]
		unmet = unmet || !Within(limit, planned, d.Running.Plus(d.Waiting))
	}
	return next, change, unmet
}

func (l *Ledger) write(ctx context.Context, next map[string]worker.Resources) (bool, error) {
	l.mu.Lock()
	grants := Grants{}
	for shard, accounts := range l.grants {
		grants[shard] = accounts
	}
	grants[l.shard] = next
	// What is given up must not be used from here on, as the write may succeed without an answer.
	kept := map[string]worker.Resources{}
	for account, r := range l.grants[l.shard] {
		n := next[account]
		kept[account] = worker.Resources{CPU: min(r.CPU, n.CPU), MemMB: min(r.MemMB, n.MemMB), GPU: min(r.GPU, n.GPU)}
	}
	own := Grants{}
	for shard, accounts := range l.grants {
		own[shard] = accounts
	}
	own[l.shard] = kept
	l.grants = own
	version := l.version
	l.mu.Unlock()

	value, err := json.Marshal(grants)
	if err != nil {
		return false, fmt.Errorf("encode grants: %w", err)
	}
	revision, err := l.store.Commit(ctx, store.Transaction{
		Conditions: []store.Condition{{Key: key, Version: version}, {Key: l.ownerKey, Version: l.token}},
		Writes:     []store.Write{{Key: key, Value: value}},
	})
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.unresolved = errors.As(err, new(*store.UnknownOutcomeError))
		l.known = l.unresolved
		l.RequestUpdate()
		return false, fmt.Errorf("write grants: %w", err)
	}
	l.grants, l.version, l.unresolved = grants, revision, false
	return true, nil
}
