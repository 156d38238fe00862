// Package lease keeps a daemon's lease in the store and decides which daemon
// owns which shard.
package lease

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
)

const (
	// TTL is the lease's duration. It bounds how long a lost daemon's shards
	// are without an owner, and leaves room for three renewals.
	TTL = 2 * time.Second
	// renewInterval allows two lost renewals before the lease ends.
	renewInterval = TTL / 3
	// renewTimeout lets a renewal be tried again before the lease ends; a slow
	// store answers in a quarter of a second.
	renewTimeout = 600 * time.Millisecond
	// retryInterval is the pause after a failed call to the store.
	retryInterval = 200 * time.Millisecond

	prefix       = "samphirestile/lease/"
	memberPrefix = prefix + "member/"
	ownerPrefix  = prefix + "own/"
	partPrefix   = prefix + "part/"
)

// OwnerKey is the key whose creation revision is a shard's fencing token.
func OwnerKey(shard string) string { return ownerPrefix + shard }

// PartitionKey is the key of how deep a shard is that is a part of its pool.
func PartitionKey(shard string) string { return partPrefix + shard }

// Member is a daemon that takes part.
type Member struct {
	Name string `json:"name"`
	// Address is for calls between daemons.
	Address string `json:"address"`
	// Incarnation tells two processes of one name apart.
	Incarnation string `json:"incarnation"`
	// CPUCores is the processor of the daemon's machine, in cores.
	CPUCores float64 `json:"power,omitempty"`
}

// load compares daemons: the shards that each core would serve.
func (m Member) load(shards int) float64 {
	if m.CPUCores <= 0 {
		return float64(shards)
	}
	return float64(shards) / m.CPUCores
}

// Renewer holds the daemon's lease.
type Renewer struct {
	store store.Transactional
	self  Member
	log   *logrus.Logger

	mu        sync.Mutex
	id        store.LeaseID
	confirmed monotonic.Time
	changed   chan struct{}
}

// NewRenewer returns a keeper without a lease.
func NewRenewer(s store.Transactional, self Member, log *logrus.Logger) *Renewer {
	return &Renewer{store: s, self: self, log: log, changed: make(chan struct{}, 1)}
}

// Lease returns the present lease, or 0, and the time at which its last
// confirmed renewal was sent.
func (k *Renewer) Lease() (store.LeaseID, monotonic.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.id, k.confirmed
}

// ValidUntil is the time at which the store may end the lease.
func (k *Renewer) ValidUntil() monotonic.Time {
	_, confirmed := k.Lease()
	return confirmed.Add(TTL)
}

// answered reports whether the last renewal was confirmed in time. A store that is
// silent would keep a shard that is handed over without an owner until it answers.
func (k *Renewer) answered(now monotonic.Time) bool {
	id, confirmed := k.Lease()
	return id != 0 && now.Sub(confirmed) < renewInterval+renewTimeout
}

// Run keeps the lease until ctx ends.
func (k *Renewer) Run(ctx context.Context) {
	first := true
	for ctx.Err() == nil {
		id, _ := k.Lease()
		if id == 0 {
			if first && !k.endPredecessor(ctx) {
				monotonic.Sleep(ctx, retryInterval)
				continue
			}
			first = false
			if err := k.acquire(ctx); err != nil {
				k.log.WithError(err).Warn("no lease from the store")
				monotonic.Sleep(ctx, retryInterval)
			}
			continue
		}
		monotonic.Sleep(ctx, renewInterval)
		for ctx.Err() == nil && !k.renew(ctx, id) {
			monotonic.Sleep(ctx, retryInterval)
		}
	}
}

// endPredecessor ends the lease of an earlier process of this name. Its address
// is this process's, so it cannot be alive. It reports whether the store answered.
func (k *Renewer) endPredecessor(ctx context.Context) bool {
	e, err := k.store.Get(ctx, memberPrefix+k.self.Name)
	if errors.As(err, new(*store.NotFoundError)) {
		return true
	}
	if err != nil {
		k.log.WithError(err).Warn("cannot read the member record of an earlier process")
		return false
	}
	if e.Lease == 0 {
		return true
	}
	err = k.store.Revoke(ctx, e.Lease)
	if err != nil && !errors.As(err, new(*store.NotFoundError)) {
		k.log.WithError(err).Warn("cannot end the lease of an earlier process")
		return false
	}
	k.log.WithFields(logrus.Fields{"lease": e.Lease, "revision": e.Version}).Info("ended the lease of an earlier process")
	return true
}

func (k *Renewer) acquire(ctx context.Context) error {
	sent := monotonic.Now()
	id, err := k.store.Grant(ctx, TTL)
	if err != nil {
		return fmt.Errorf("grant lease: %w", err)
	}
	value, err := json.Marshal(k.self)
	if err != nil {
		return fmt.Errorf("encode member: %w", err)
	}
	_, err = k.store.Commit(ctx, store.Transaction{Writes: []store.Write{{Key: memberPrefix + k.self.Name, Value: value, Lease: id}}})
	if err != nil {
		return fmt.Errorf("write member: %w", err)
	}
	k.set(id, sent)
	k.log.WithField("lease", id).Info("lease acquired")
	return nil
}

// renew reports whether the lease is confirmed or known to be lost.
func (k *Renewer) renew(ctx context.Context, id store.LeaseID) bool {
	sent := monotonic.Now()
	calling, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	err := k.store.KeepAlive(calling, id)
	switch {
	case err == nil:
		k.set(id, sent)
		return true
	case errors.As(err, new(*store.NotFoundError)):
		_, confirmed := k.Lease()
		k.log.WithFields(logrus.Fields{"lease": id, "confirmed_ms_ago": sent.Sub(confirmed).Milliseconds()}).Warn("lease lost")
		k.set(0, 0)
		return true
	}
	_, confirmed := k.Lease()
	k.log.WithError(err).WithField("confirmed_ms_ago", sent.Sub(confirmed).Milliseconds()).Warn("lease not renewed")
	return false
}

func (k *Renewer) set(id store.LeaseID, confirmed monotonic.Time) {
	k.mu.Lock()
	changed := k.id != id
	k.id, k.confirmed = id, confirmed
	k.mu.Unlock()
	if changed {
		select {
		case k.changed <- struct{}{}:
		default:
		}
	}
}

// Revoke ends the lease, so that other daemons take over at once.
func (k *Renewer) Revoke(ctx context.Context) error {
	id, _ := k.Lease()
	k.set(0, 0)
	if id == 0 {
		return nil
	}
	if err := k.store.Revoke(ctx, id); err != nil {
		return fmt.Errorf("end lease: %w", err)
	}
	return nil
}
