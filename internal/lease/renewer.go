// Package lease renews a daemon's lease in the store and decides which daemon owns which
// shard.
package lease

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"samphirestile.example/samphirestile/internal/monotonic"
	"samphirestile.example/samphirestile/internal/store"
)

const (
	// TTL is the lease duration. It bounds how long the shards of a lost daemon have no
	// owner, and allows three renewals.
	TTL = 2 * time.Second
	// renewInterval tolerates two lost renewals before the lease expires.
	renewInterval = TTL / 3
	// renewTimeout leaves time for a retry before the lease expires; a slow store responds
	// within 250 ms.
	renewTimeout = 600 * time.Millisecond
	// retryInterval is the delay after a failed call to the store.
	retryInterval = 200 * time.Millisecond

	prefix          = "samphirestile/lease/"
	memberPrefix    = prefix + "member/"
	ownerPrefix     = prefix + "own/"
	partitionPrefix = prefix + "part/"
)

// OwnerKey returns the ownership key of a shard. Its creation revision is the fencing token.
func OwnerKey(shard string) string { return ownerPrefix + shard }

// PartitionKey returns the key of the depth of a shard that is a partition of its pool.
func PartitionKey(shard string) string { return partitionPrefix + shard }

// Member is a daemon that competes for shards.
type Member struct {
	Name string `json:"name"`
	// Address is the address for calls between daemons.
	Address string `json:"address"`
	// Incarnation distinguishes successive processes of the same name.
	Incarnation string `json:"incarnation"`
	// CPUCores is the number of cores that the daemon may use, which may be a fraction; 0
	// means unknown.
	CPUCores float64 `json:"power,omitempty"`
}

// RecordError reports a record that describes no daemon.
type RecordError struct{ Cause error }

func (e *RecordError) Error() string { return fmt.Sprintf("decode member: %v", e.Cause) }

// Unwrap returns the cause.
func (e *RecordError) Unwrap() error { return e.Cause }

// maxCPUCores exceeds the cores of any machine.
const maxCPUCores = 1 << 20

var errNoDaemon = errors.New("name, address, incarnation or cores are missing or out of range")

// decodeMember decodes a member or ownership record.
func decodeMember(b []byte) (Member, error) {
	var m Member
	if err := json.Unmarshal(b, &m); err != nil {
		return Member{}, &RecordError{err}
	}
	if m.Name == "" || m.Incarnation == "" || m.CPUCores < 0 || m.CPUCores > maxCPUCores {
		return Member{}, &RecordError{errNoDaemon}
	}
	if _, port, err := net.SplitHostPort(m.Address); err != nil || port == "" {
		return Member{}, &RecordError{errNoDaemon}
	}
	return m, nil
}

// load returns the shards per CPU core, or the number of shards if the cores are unknown.
func (m Member) load(shards int) float64 {
	if m.CPUCores <= 0 {
		return float64(shards)
	}
	return float64(shards) / m.CPUCores
}

// Renewer acquires and renews the daemon's lease.
type Renewer struct {
	store store.Transactional
	self  Member
	log   *logrus.Logger

	mu        sync.Mutex
	id        store.LeaseID
	confirmed monotonic.Time
	// revoked is set by a planned stop; no lease is held after it.
	revoked bool
	changed chan struct{}
}

// RevokedError reports a lease that was granted after a planned stop had revoked the daemon's lease.
// It is not used and expires by itself.
type RevokedError struct{ Lease store.LeaseID }

func (e *RevokedError) Error() string {
	return fmt.Sprintf("lease %d was granted after the planned stop", e.Lease)
}

// NewRenewer returns a renewer that holds no lease yet.
func NewRenewer(s store.Transactional, self Member, log *logrus.Logger) *Renewer {
	return &Renewer{store: s, self: self, log: log, changed: make(chan struct{}, 1)}
}

// Lease returns the current lease, or 0, and the time at which its last confirmed renewal
// was sent.
func (r *Renewer) Lease() (store.LeaseID, monotonic.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.id, r.confirmed
}

// ValidUntil returns the earliest time at which the store may expire a lease, or 0 if it is not
// the daemon's current one. What was acquired under a lease is lost with it, even if the
// daemon has acquired another lease since.
func (r *Renewer) ValidUntil(id store.LeaseID) monotonic.Time {
	current, confirmed := r.Lease()
	if id == 0 || id != current {
		return 0
	}
	return confirmed.Add(TTL)
}

// confirmedRecently reports whether the last renewal was confirmed in time. A shard handed
// over while the store does not respond would have no owner until the store responds.
func (r *Renewer) confirmedRecently(now monotonic.Time) bool {
	id, confirmed := r.Lease()
	return id != 0 && now.Sub(confirmed) < renewInterval+renewTimeout
}

// Run renews the lease until ctx is done or the lease is revoked, and acquires a new one after a loss.
func (r *Renewer) Run(ctx context.Context) {
	first := true
	for ctx.Err() == nil && !r.isRevoked() {
		id, _ := r.Lease()
		if id == 0 {
			if first && !r.revokePredecessor(ctx) {
				monotonic.Sleep(ctx, retryInterval)
				continue
			}
			first = false
			if err := r.acquire(ctx); err != nil {
				r.log.WithError(err).Warn("lease not acquired")
				monotonic.Sleep(ctx, retryInterval)
			}
			continue
		}
		monotonic.Sleep(ctx, renewInterval)
		for ctx.Err() == nil && !r.isRevoked() && !r.renew(ctx, id) {
			monotonic.Sleep(ctx, retryInterval)
		}
	}
}

// revokePredecessor revokes the lease of a previous process of the same name, which must
// have exited because this process uses its address. It reports whether the store answered.
func (r *Renewer) revokePredecessor(ctx context.Context) bool {
	e, err := r.store.Get(ctx, memberPrefix+r.self.Name)
	if errors.As(err, new(*store.NotFoundError)) {
		return true
	}
	if err != nil {
		r.log.WithError(err).Warn("cannot read the member record of the previous process")
		return false
	}
	if e.Lease == 0 {
		return true
	}
	err = r.store.Revoke(ctx, e.Lease)
	if err != nil && !errors.As(err, new(*store.NotFoundError)) {
		r.log.WithError(err).Warn("cannot revoke the lease of the previous process")
		return false
	}
	r.log.WithFields(logrus.Fields{"lease": e.Lease, "revision": e.Version}).Info("revoked the lease of the previous process")
	return true
}

func (r *Renewer) acquire(ctx context.Context) error {
	// The lease runs from its grant, so the record is read before.
	key := memberPrefix + r.self.Name
	current, err := r.store.Get(ctx, key)
	if err != nil && !errors.As(err, new(*store.NotFoundError)) {
		return fmt.Errorf("read member record %s: %w", r.self.Name, err)
	}
	sent := monotonic.Now()
	id, err := r.store.Grant(ctx, TTL)
	if err != nil {
		return fmt.Errorf("grant lease: %w", err)
	}
	value, err := json.Marshal(r.self)
	if err != nil {
		return fmt.Errorf("encode member record %s: %w", r.self.Name, err)
	}
	// An earlier write without an answer must not bind the record to a former lease later.
	_, err = r.store.Commit(ctx, store.Transaction{
		Conditions: []store.Condition{{Key: key, Version: current.Version}}, Writes: []store.Write{{Key: key, Value: value, Lease: id}},
	})
	if err != nil {
		return fmt.Errorf("write member record %s: %w", r.self.Name, err)
	}
	if !r.replace(0, id, sent) {
		return &RevokedError{id}
	}
	r.log.WithField("lease", id).Info("lease acquired")
	return nil
}

// renew reports whether the outcome is definite: the lease is either confirmed or lost.
func (r *Renewer) renew(ctx context.Context, id store.LeaseID) bool {
	sent := monotonic.Now()
	callCtx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	err := r.store.KeepAlive(callCtx, id)
	switch {
	case err == nil:
		r.replace(id, id, sent)
		return true
	case errors.As(err, new(*store.NotFoundError)):
		_, confirmed := r.Lease()
		r.log.WithFields(logrus.Fields{"lease": id, "confirmed_ms_ago": sent.Sub(confirmed).Milliseconds()}).Warn("lease lost")
		r.replace(id, 0, 0)
		return true
	}
	_, confirmed := r.Lease()
	r.log.WithError(err).WithField("confirmed_ms_ago", sent.Sub(confirmed).Milliseconds()).Warn("lease not renewed")
	return false
}

// replace replaces the lease former, unless a planned stop has revoked it, and reports whether it did.
// A response to a renewal may arrive after the stop.
func (r *Renewer) replace(former, id store.LeaseID, confirmed monotonic.Time) bool {
	r.mu.Lock()
	if r.revoked || r.id != former {
		r.mu.Unlock()
		return false
	}
	r.id, r.confirmed = id, confirmed
	r.mu.Unlock()
	if id != former {
		r.notify()
	}
	return true
}

func (r *Renewer) notify() {
	select {
	case r.changed <- struct{}{}:
	default:
	}
}

func (r *Renewer) isRevoked() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.revoked
}

// Revoke revokes the lease for good, so that other daemons take over at once.
func (r *Renewer) Revoke(ctx context.Context) error {
	r.mu.Lock()
	id := r.id
	r.id, r.confirmed, r.revoked = 0, 0, true
	r.mu.Unlock()
	r.notify()
	if id == 0 {
		return nil
	}
	if err := r.store.Revoke(ctx, id); err != nil {
		return fmt.Errorf("revoke lease %d: %w", id, err)
	}
	return nil
}
