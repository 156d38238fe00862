// Package binding records which service runs the new jobs of a queue, and which services may still hold
// jobs that the queue was given before. The configuration in force tells only the former.
package binding

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"samphirestile.example/samphirestile/internal/fleet"
	"samphirestile.example/samphirestile/internal/store"
)

// Binding assigns a queue to a service. A job of the queue is accepted only in a transaction that
// requires the record of the binding to be unchanged, so that no service accepts a job after the queue was
// bound to another one.
type Binding struct {
	// Address identifies the queue to clients: its host and prefix. The name of a queue may change while its
	// clients stay.
	Address string `json:"address"`
	// Service accepts the jobs of the queue; "" means that none does.
	Service fleet.ServiceID `json:"service,omitempty"`
	// Version is the version of the configuration that the binding follows.
	Version int64 `json:"version"`
	// Former lists the other services that may hold jobs of the queue.
	Former []fleet.ServiceID `json:"former,omitempty"`
}

// Recorded is a binding with the revision of its record; revision 0 means that there is no record.
type Recorded struct {
	Binding
	Revision uint64
}

// Rebind returns the binding after a version of the configuration sent the queue to the service, "" if it has
// no such queue. It returns false if the binding does not change: the service stays, or the version
// is not newer.
func (b Binding) Rebind(service fleet.ServiceID, version int64) (Binding, bool) {
	if b.Service == service || version <= b.Version {
		return b, false
	}
	next := Binding{Address: b.Address, Service: service, Version: version}
	for _, s := range append(slices.Clone(b.Former), b.Service) {
		if s != "" && s != service && !slices.Contains(next.Former, s) {
			next.Former = append(next.Former, s)
		}
	}
	return next, true
}

// WithoutFormer returns the binding without a former service, which holds no jobs of the queue any more.
func (b Binding) WithoutFormer(service fleet.ServiceID) Binding {
	b.Former = slices.DeleteFunc(slices.Clone(b.Former), func(s fleet.ServiceID) bool { return s == service })
	return b
}

// Unused reports whether no service accepts or holds jobs of the queue.
func (b Binding) Unused() bool { return b.Service == "" && len(b.Former) == 0 }

// Services lists the services that may hold jobs of the queue.
func (b Binding) Services() []fleet.ServiceID {
	if b.Service == "" {
		return slices.Clone(b.Former)
	}
	return append([]fleet.ServiceID{b.Service}, b.Former...)
}

// keyBytes is the number of bytes of the hash in a key. Keys are limited in length, and addresses are not.
const keyBytes = 16

// Key returns the key of a queue's binding below a prefix.
func Key(prefix, address string) string {
	sum := sha256.Sum256([]byte(address))
	return prefix + hex.EncodeToString(sum[:keyBytes])
}

// RecordError reports a record that is not a binding.
type RecordError struct {
	Key   string
	Cause error
}

func (e *RecordError) Error() string { return fmt.Sprintf("decode binding %.300q: %v", e.Key, e.Cause) }

// Unwrap returns the cause.
func (e *RecordError) Unwrap() error { return e.Cause }

var errKey = errors.New("the record has the key of another queue")

// Decode decodes a record below a prefix.
func Decode(prefix string, e store.Entry) (Recorded, error) {
	var b Binding
	if err := json.Unmarshal(e.Value, &b); err != nil {
		return Recorded{}, &RecordError{e.Key, err}
	}
	if Key(prefix, b.Address) != e.Key {
		return Recorded{}, &RecordError{e.Key, errKey}
	}
	return Recorded{b, e.Version}, nil
}

// Replace returns the transaction that replaces a record by the next binding, or removes it if that is unused.
func Replace(prefix string, current Recorded, next Binding) (store.Transaction, error) {
	key := Key(prefix, next.Address)
	t := store.Transaction{Conditions: []store.Condition{{Key: key, Version: current.Revision}}}
	if next.Unused() {
		t.Removals = []string{key}
		return t, nil
	}
	value, err := json.Marshal(next)
	if err != nil {
		return t, fmt.Errorf("encode binding of %s: %w", next.Address, err)
	}
	t.Writes = []store.Write{{Key: key, Value: value}}
	return t, nil
}
