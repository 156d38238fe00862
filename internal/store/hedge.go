package store

import (
	"context"
	"errors"
	"time"
)

const (
	// HedgeDelay is the delay before a call without a response is repeated on another
	// connection. A healthy store responds in a few milliseconds, a slow one in a quarter
	// of a second.
	HedgeDelay = 300 * time.Millisecond
	// renewalHedgeDelay is the delay for lease renewals, which cost a tenth of other calls.
	// A renewal starts after a third of the lease; six hedged calls fit into the rest of a
	// lease of two seconds.
	renewalHedgeDelay = 150 * time.Millisecond
	// maxHedgedCalls bounds the concurrent calls for one result, and thereby the additional
	// load on the store during an outage.
	maxHedgedCalls = 3
)

// Hedged repeats read-only and idempotent calls whose response is late.
//
// Fault: the store loses every second response. A connection on which a response was lost
// stays blocked, and a lease expires before two consecutive renewals have timed out.
type Hedged struct {
	Transactional
}

var _ Transactional = Hedged{}

// Get implements Transactional.
func (h Hedged) Get(ctx context.Context, key string) (Entry, error) {
	return Hedge(ctx, HedgeDelay, isDefinite, func(ctx context.Context) (Entry, error) { return h.Transactional.Get(ctx, key) })
}

type listResult struct {
	entries  []Entry
	revision uint64
}

// List implements Transactional.
func (h Hedged) List(ctx context.Context, prefix string) ([]Entry, uint64, error) {
	result, err := Hedge(ctx, HedgeDelay, isDefinite, func(ctx context.Context) (listResult, error) {
		entries, revision, err := h.Transactional.List(ctx, prefix)
		return listResult{entries, revision}, err
	})
	return result.entries, result.revision, err
}

// KeepAlive implements Transactional.
func (h Hedged) KeepAlive(ctx context.Context, id LeaseID) error {
	_, err := Hedge(ctx, renewalHedgeDelay, isDefinite, func(ctx context.Context) (struct{}, error) {
		return struct{}{}, h.Transactional.KeepAlive(ctx, id)
	})
	return err
}

// isDefinite reports whether err is a result that the store itself returned. A missing
// record or lease is such a result.
func isDefinite(err error) bool { return err == nil || errors.As(err, new(*NotFoundError)) }

// HasDefiniteOutcome reports whether err is an outcome of a transaction that the store
// itself returned.
func HasDefiniteOutcome(err error) bool {
	return isDefinite(err) || errors.As(err, new(*ConditionError))
}

// outcome is the result of one of several hedged calls.
type outcome[T any] struct {
	value T
	err   error
}

// Hedge returns the first definite result of up to maxHedgedCalls calls, or an error as
// soon as all calls sent so far have failed. It sends a further call after each delay
// without a definite result. The function definite distinguishes results of the store from
// failed calls. The other calls are cancelled and may still be executed.
func Hedge[T any](ctx context.Context, delay time.Duration, definite func(error) bool, call func(context.Context) (T, error)) (T, error) {
	callCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	outcomes := make(chan outcome[T], maxHedgedCalls)
	send := func() {
		value, err := call(callCtx)
		outcomes <- outcome[T]{value, err}
	}
	go send()
	sent, finished := 1, 0
	timer := time.NewTimer(delay)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			if sent < maxHedgedCalls {
				sent++
				go send()
				timer.Reset(delay)
			}
		case o := <-outcomes:
			finished++
			if definite(o.err) || finished == sent {
				return o.value, o.err
			}
		}
	}
}
