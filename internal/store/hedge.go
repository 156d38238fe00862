package store

import (
	"context"
	"errors"
	"time"
)

const (
	// HedgeDelay is how long a call waits for its answer before a second one is sent
	// on another connection. A healthy store answers in a few milliseconds, a slow one
	// in a quarter of a second.
	HedgeDelay = 300 * time.Millisecond
	// renewalHedgeAfter is the same for renewals, which cost a tenth of other calls. Six of
	// them fit into what is left of a lease of two seconds after its first third.
	renewalHedgeAfter = 150 * time.Millisecond
	// hedgeCalls is how many calls for one answer may be under way. It bounds what an
	// outage adds to the load of the store.
	hedgeCalls = 3
)

// Hedged repeats calls that change nothing, or nothing more when they are carried
// out twice, while their answer is missing.
//
// Load pattern: a store that loses every second answer. A connection on which an
// answer was lost stays silent, and a lease ends before its second renewal in a row
// has timed out.
type Hedged struct {
	Transactional
}

var _ Transactional = Hedged{}

// Get implements Transactional.
func (h Hedged) Get(ctx context.Context, key string) (Entry, error) {
	return Hedge(ctx, HedgeDelay, isAnswer, func(ctx context.Context) (Entry, error) { return h.Transactional.Get(ctx, key) })
}

// page is what List returns.
type page struct {
	entries  []Entry
	revision uint64
}

// List implements Transactional.
func (h Hedged) List(ctx context.Context, prefix string) ([]Entry, uint64, error) {
	p, err := Hedge(ctx, HedgeDelay, isAnswer, func(ctx context.Context) (page, error) {
		entries, revision, err := h.Transactional.List(ctx, prefix)
		return page{entries, revision}, err
	})
	return p.entries, p.revision, err
}

// KeepAlive implements Transactional.
func (h Hedged) KeepAlive(ctx context.Context, id LeaseID) error {
	_, err := Hedge(ctx, renewalHedgeAfter, isAnswer, func(ctx context.Context) (struct{}, error) {
		return struct{}{}, h.Transactional.KeepAlive(ctx, id)
	})
	return err
}

// isAnswer reports whether the store itself said so. That a record or lease does not
// exist is an answer.
func isAnswer(err error) bool { return err == nil || errors.As(err, new(*NotFoundError)) }

// HasDefiniteOutcome reports whether the store itself said what became of a transaction.
func HasDefiniteOutcome(err error) bool { return isAnswer(err) || errors.As(err, new(*ConditionError)) }

// outcome is the end of one of several calls.
type outcome[T any] struct {
	value T
	err   error
}

// Hedge returns the first answer of up to hedgeCalls calls, or the error of the last
// one; the next one is sent when no answer has come after the given time. answered
// tells answers from calls that failed. The other calls are cancelled and may still
// be carried out.
func Hedge[T any](ctx context.Context, after time.Duration, answered func(error) bool, call func(context.Context) (T, error)) (T, error) {
	calling, cancel := context.WithCancel(ctx)
	defer cancel()
	outcomes := make(chan outcome[T], hedgeCalls)
	send := func() {
		value, err := call(calling)
		outcomes <- outcome[T]{value, err}
	}
	go send()
	sent, ended := 1, 0
	timer := time.NewTimer(after)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			if sent < hedgeCalls {
				sent++
				go send()
				timer.Reset(after)
			}
		case o := <-outcomes:
			ended++
			if answered(o.err) || ended == sent {
				return o.value, o.err
			}
		}
	}
}
