package quota

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"samphirestile.example/samphirestile/internal/follow"
	"samphirestile.example/samphirestile/internal/monotonic"
	"samphirestile.example/samphirestile/internal/store"
	"samphirestile.example/samphirestile/internal/worker"
)

const (
	requestPrefix = "samphirestile/quota-request/"
	// relistInterval bounds how long a stalled watch can hide a request. It is long because requests are rare and each
	// daemon reads them.
	relistInterval = 10 * time.Second
	// reservationTime is how long a request reserves resources that other shards release, and reservationPeriod is
	// the time from the start of one reservation to that of the next. In between other shards start tasks again: the
	// resources that a request lacks may be in use for as long as a long-running task lasts.
	reservationTime   = 10 * time.Second
	reservationPeriod = 40 * time.Second
	// needInterval is the minimum time between two records that differ only in what is needed, which changes with each
	// task that starts or ends.
	needInterval = time.Second
	// maxRequestedAccounts bounds the accounts in one record.
	maxRequestedAccounts = 10_000
)

var errTooManyAccounts = fmt.Errorf("more than %d accounts", maxRequestedAccounts)

// RequestError reports an invalid record of requests.
type RequestError struct {
	Key   string
	Cause error
}

func (e *RequestError) Error() string { return fmt.Sprintf("quota request %.300q: %v", e.Key, e.Cause) }

// Unwrap returns the cause.
func (e *RequestError) Unwrap() error { return e.Cause }

// Shortage describes a task or gang that has been waiting for the account's limit only.
type Shortage struct {
	// Job identifies the job of the task or gang.
	Job string
	// Need is what the shard would use with the task or gang. It is at most the limit.
	Need worker.Resources
	// Waiting is how long it has been waiting.
	Waiting time.Duration
}

// request asks the other shards for the resources of an account that they do not need.
type request struct {
	Job  string           `json:"job"`
	Need worker.Resources `json:"need"`
	// Since is the revision of the grants at the time of the request. The oldest request is served first.
	Since uint64 `json:"since"`
	// Reserved is set while the other shards start no tasks with the resources that the request lacks.
	Reserved bool `json:"reserved,omitempty"`
}

// precedes reports whether r, of a shard, is served before o, of another one.
func (r request) precedes(shard string, o request, other string) bool {
	switch {
	case r.Reserved != o.Reserved:
		return r.Reserved
	case r.Since != o.Since:
		return r.Since < o.Since
	default:
		return shard < other
	}
}

// Reserves reports whether a request reserves resources after a time of waiting.
func Reserves(waiting time.Duration) bool { return waiting%reservationPeriod < reservationTime }

// recordedRequests are the requests of one shard, by account.
type recordedRequests struct {
	accounts map[string]request
	version  uint64
}

// Requests are the requests of all shards as last observed in the store.
type Requests struct {
	follower   *follow.Follower
	rejections *follow.Rejections

	mu          sync.Mutex
	shards      map[string]recordedRequests
	subscribers map[chan struct{}]bool
}

// NewRequests returns the requests in the store. They are followed only while needed returns true.
func NewRequests(s store.Transactional, needed func() bool, log *logrus.Logger) *Requests {
	r := &Requests{rejections: follow.NewRejections(log), shards: map[string]recordedRequests{}, subscribers: map[chan struct{}]bool{}}
	r.follower = follow.New(follow.Config{
		Store: s, Prefix: requestPrefix, Target: r, RelistInterval: relistInterval, Needed: needed, Log: log,
	})
	return r
}

// Run follows the requests until ctx is done.
func (r *Requests) Run(ctx context.Context) { r.follower.Run(ctx) }

// Wake makes requests that were not needed be read at once if they are now.
func (r *Requests) Wake() { r.follower.Wake() }

// Replace implements follow.Target.
func (r *Requests) Replace(records []store.Entry, revision uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	listed := map[string]bool{}
	for _, e := range records {
		r.put(e)
		listed[strings.TrimPrefix(e.Key, requestPrefix)] = true
	}
	for shard, recorded := range r.shards {
		if !listed[shard] && recorded.version <= revision {
			delete(r.shards, shard)
		}
	}
	r.notify()
}

// Apply implements follow.Target.
func (r *Requests) Apply(changes []store.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range changes {
		if !c.Deleted {
			r.put(c.Entry)
		} else if shard := strings.TrimPrefix(c.Key, requestPrefix); r.shards[shard].version <= c.Version {
			delete(r.shards, shard)
		}
	}
	r.notify()
}

// put applies a record. One that cannot be read requests nothing. The caller holds mu.
func (r *Requests) put(e store.Entry) {
	shard := strings.TrimPrefix(e.Key, requestPrefix)
	if e.Version < r.shards[shard].version {
		return
	}
	accounts, err := decodeRequests(e)
	if err != nil {
		r.rejections.Report(e.Key, err)
		delete(r.shards, shard)
		return
	}
	r.shards[shard] = recordedRequests{accounts, e.Version}
}

func decodeRequests(e store.Entry) (map[string]request, error) {
	accounts := map[string]request{}
	if err := json.Unmarshal(e.Value, &accounts); err != nil {
		return nil, &RequestError{e.Key, err}
	}
	if len(accounts) > maxRequestedAccounts {
		return nil, &RequestError{e.Key, errTooManyAccounts}
	}
	for account, q := range accounts {
		q.Need = q.Need.Limited()
		accounts[account] = q
	}
	return accounts, nil
}

// first returns the request for an account that is served before all others, and its shard, or "". Requests of shards
// without an owner do not count.
func (r *Requests) first(account string, hasOwner func(shard string) bool) (shard string, q request) {
	if r == nil {
		return "", q
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, recorded := range r.shards {
		o, ok := recorded.accounts[account]
		if ok && (shard == "" || o.precedes(name, q, shard)) && (hasOwner == nil || hasOwner(name)) {
			shard, q = name, o
		}
	}
	return shard, q
}

func (r *Requests) subscribe() chan struct{} {
	c := make(chan struct{}, 1)
	if r == nil {
		return c
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.subscribers[c] = true
	return c
}

func (r *Requests) unsubscribe(c chan struct{}) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.subscribers, c)
}

func (r *Requests) notify() {
	for c := range r.subscribers {
		select {
		case c <- struct{}{}:
		default:
		}
	}
}

// ownRequests are the requests of a ledger's shard and their record.
type ownRequests struct {
	accounts map[string]request
	// version is the version of the record, 0 if there is none. recorded are the requests in it.
	version  uint64
	recorded map[string]request
	// recordedAt is when they were recorded.
	recordedAt monotonic.Time
	// read is set once the record of an earlier owner, or of a write with an unknown outcome, is known.
	read bool
}

// updateRequests derives the shard's requests from its shortages and records them if they have changed.
func (l *Ledger) updateRequests(ctx context.Context) error {
	reporter, ok := l.source.(ShortageReporter)
	if !ok || l.peers.Requests == nil {
		return nil
	}
	shortages := reporter.Shortages()
	own := &l.requests
	accounts := map[string]request{}
	for account, s := range shortages {
		q, ok := own.accounts[account]
		if !ok || q.Job != s.Job {
			l.mu.Lock()
			q = request{Job: s.Job, Since: l.version}
			l.mu.Unlock()
		}
		q.Need, q.Reserved = s.Need, Reserves(s.Waiting)
		accounts[account] = q
	}
	own.accounts = accounts
	if !own.read {
		e, err := l.store.Get(ctx, requestPrefix+l.shard)
		if err != nil && !errors.As(err, new(*store.NotFoundError)) {
			return fmt.Errorf("read quota requests of shard %s: %w", l.shard, err)
		}
		own.version, own.read, own.recorded = e.Version, true, nil
	}
	if !own.due(monotonic.Now()) {
		return nil
	}
	return l.recordRequests(ctx)
}

// due reports whether the requests have to be recorded.
func (r *ownRequests) due(now monotonic.Time) bool {
	if r.version == 0 || len(r.accounts) == 0 {
		return r.version != 0 || len(r.accounts) != 0
	}
	needsChanged := false
	for account, q := range r.accounts {
		recorded, ok := r.recorded[account]
		if !ok || recorded.Job != q.Job || recorded.Reserved != q.Reserved {
			return true
		}
		needsChanged = needsChanged || recorded.Need != q.Need
	}
	return len(r.accounts) != len(r.recorded) || needsChanged && now.Sub(r.recordedAt) >= needInterval
}

// recordRequests writes the record of the shard's requests, or removes it if there are none.
func (l *Ledger) recordRequests(ctx context.Context) error {
	own := &l.requests
	key := requestPrefix + l.shard
	t := store.Transaction{Conditions: []store.Condition{{Key: l.ownerKey, Version: l.token}, {Key: key, Version: own.version}}}
	if len(own.accounts) == 0 {
		t.Removals = []string{key}
	} else {
		value, err := json.Marshal(own.accounts)
		if err != nil {
			return fmt.Errorf("encode quota requests of shard %s: %w", l.shard, err)
		}
		t.Writes = []store.Write{{Key: key, Value: value, Lease: l.peers.Lease}}
	}
	own.read = false
	revision, err := l.store.Commit(ctx, t)
	if err != nil {
		return fmt.Errorf("record quota requests of shard %s at version %d: %w", l.shard, own.version, err)
	}
	l.log.WithFields(logrus.Fields{"shard": l.shard, "token": l.token, "revision": revision, "requests": own.accounts}).Info("quota requested")
	own.version, own.recorded, own.recordedAt, own.read = revision, own.accounts, monotonic.Now(), true
	if len(own.accounts) == 0 {
		own.version = 0
	}
	return nil
}
