package shard

import (
	"context"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"samphirestile.example/samphirestile/internal/job"
	"samphirestile.example/samphirestile/internal/monotonic"
)

const (
	// maxStoreStall is how long the current batch of records may wait for the store before new
	// jobs are rejected. A slow store responds within a quarter of a second, so a longer wait
	// indicates an outage. A job admitted during an outage would get no response, and its client
	// might never submit it again.
	maxStoreStall = 450 * time.Millisecond
	// recordTimeout bounds the wait for a job's record; after it the outcome is unknown.
	recordTimeout = 1500 * time.Millisecond
	// outageRetryAfter is the suggested retry delay after a rejection because the store or the
	// workers are unavailable.
	outageRetryAfter = 2 * time.Second
)

// RejectedError reports a job that was not accepted and never runs.
type RejectedError struct {
	Reason     string
	RetryAfter time.Duration
	// Overload distinguishes a full queue from an unavailable service.
	Overload bool
	// Cause is the error behind the reason, or nil. It is known to the owner only.
	Cause error
}

func (e *RejectedError) Error() string { return "job not accepted: " + e.Reason }

// Unwrap returns the cause.
func (e *RejectedError) Unwrap() error { return e.Cause }

// NotOwnerError reports a call to a daemon that does not serve the shard.
type NotOwnerError struct{ Shard string }

func (e *NotOwnerError) Error() string { return fmt.Sprintf("shard %s is not served here", e.Shard) }

// UnknownOutcomeError reports a call that may or may not have taken effect.
type UnknownOutcomeError struct{ Cause error }

func (e *UnknownOutcomeError) Error() string { return fmt.Sprintf("outcome unknown: %v", e.Cause) }

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// UnknownJobError reports a job that does not exist.
type UnknownJobError struct{ ID job.ID }

func (e *UnknownJobError) Error() string { return fmt.Sprintf("no job %s", e.ID) }

// Submit accepts a job. It returns nil once the job is recorded.
func (o *Owner) Submit(ctx context.Context, j job.Job) error {
	o.mu.Lock()
	if !o.open || o.closed {
		o.mu.Unlock()
		return &NotOwnerError{o.Shard}
	}
	e, err := o.find(j.ID)
	if err != nil {
		o.mu.Unlock()
		return err
	}
	if e == nil {
		decision, err := o.admit(&j)
		workers := o.usableWorkers()
		if err != nil {
			o.mu.Unlock()
			o.logAdmission(&j, decision, workers, err)
			return err
		}
		j.AcceptedMS = time.Now().UnixMilli()
		e = newJobEntry(job.NewTrackedJob(j))
		o.setTimes(e)
		e.predicted, e.unpromised, e.firstAttempt = decision.Predicted, decision.Unpromised, o.firstAttempt(j.ID, e.accepted)
		o.jobs[j.ID], o.active[j.ID] = e, e
		now := monotonic.Now()
		o.acceptedBacklog.memoryBytes += e.job.MemoryBytes(o.dueAt(e, now))
		if !j.LongRunning() {
			o.acceptedBacklog.workMS = o.acceptedBacklog.workMS.Plus(o.remainingWork(e, now))
		}
		if j.Advised {
			// The other shards of the daemon decide on jobs that arrive at the same time.
			o.adviceBacklog(now)
		}
		o.urgent = true
		o.mu.Unlock()
		o.logAdmission(&j, decision, workers, nil)
		o.requestCommit()
	} else {
		e.raiseVersion(j.ConfigVersion)
		o.mu.Unlock()
	}
	if err := wait(ctx, e.storedChan, recordTimeout); err != nil {
		return err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return e.refused
}

// wait returns nil if done is closed within the limit.
func wait(ctx context.Context, done <-chan struct{}, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return &UnknownOutcomeError{ctx.Err()}
	}
}

// Cancel cancels a job. It returns nil once the cancellation is recorded.
func (o *Owner) Cancel(ctx context.Context, id job.ID) error {
	o.mu.Lock()
	if !o.open || o.closed {
		o.mu.Unlock()
		return &NotOwnerError{o.Shard}
	}
	e, err := o.findOwned(id)
	if e == nil {
		o.mu.Unlock()
		if err == nil {
			err = &UnknownJobError{id}
		}
		return err
	}
	if !e.job.FinalState.IsFinal() {
		o.finishJob(e, job.Cancelled)
	}
	o.mu.Unlock()
	if err := wait(ctx, e.finalStoredChan, recordTimeout); err != nil {
		return err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if e.heldElsewhere {
		return &UnknownJobError{id}
	}
	return e.refused
}

// finishJob sets a job's final state and stops its remaining runs. The caller holds mu.
func (o *Owner) finishJob(e *jobEntry, final job.State) {
	now := monotonic.Now()
	fields := logrus.Fields{
		"job": e.job.ID, "queue": e.job.Queue, "shard": o.Shard, "token": o.Token, "state": final,
		"took_ms": now.Sub(e.accepted).Milliseconds(), "objective_ms": e.objective.Milliseconds(), "recovered": e.recovered,
		"starts": e.starts, "failures": e.failures, "losses": e.losses, "predicted_ms": e.predicted.Milliseconds(), "unpromised": e.unpromised,
	}
	if e.firstBegin != 0 {
		fields["waited_ms"] = e.firstBegin.Sub(e.accepted).Milliseconds()
	}
	o.Log.WithFields(fields).Info("job ended")
	o.countJob(final, now.Sub(e.accepted))
	if final == job.Completed && e.firstBegin != 0 {
		o.countWait(e.firstBegin.Sub(e.accepted))
	}
	if final == job.Completed && e.predicted > 0 {
		o.countPrediction(e.predicted, now.Sub(e.accepted))
	}
	e.job.FinalState = final
	e.job.EndedMS = time.Now().UnixMilli()
	e.dirty = true
	o.urgent = true
	delete(o.active, e.job.ID)
	delete(o.completing, e.job.ID)
	for r := range e.runs {
		r.session.stop(r, "job ended")
	}
	for _, s := range o.sessions {
		s.stopLateStartsOf(e.job.ID)
	}
	o.requestCommit()
	o.schedule()
}

// State returns the state of a job as shown to clients.
func (o *Owner) State(_ context.Context, id job.ID) (job.State, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.open || o.closed {
		return "", &NotOwnerError{o.Shard}
	}
	e, err := o.findOwned(id)
	if err != nil {
		return "", err
	}
	if e == nil || !e.stored {
		return "", &UnknownJobError{id}
	}
	return e.job.VisibleState(e.finalStored), nil
}

// Queue names a queue. Jobs of earlier versions were recorded without the address, and are matched by name.
type Queue struct {
	Name, Address string
}

func (q Queue) has(j *job.Job) bool {
	if j.QueueAddress == "" {
		return j.Queue == q.Name
	}
	return j.QueueAddress == q.Address
}

// Waiting returns how many jobs of a queue have no task that has begun.
func (o *Owner) Waiting(_ context.Context, queue Queue) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.open || o.closed {
		return 0, &NotOwnerError{o.Shard}
	}
	n := 0
	for _, e := range o.active {
		if queue.has(&e.job.Job) && !e.job.Begun {
			n++
		}
	}
	return n, nil
}

// HoldsQueue reports whether the shard has jobs of a queue, finished or not. Jobs that finished under an earlier
// owner, and those of earlier versions, were recorded without the address; they count as jobs of any queue.
func (o *Owner) HoldsQueue(_ context.Context, queue Queue) (bool, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.open || o.closed || !o.ownershipCertain(monotonic.Now()) {
		return false, &NotOwnerError{o.Shard}
	}
	for _, e := range o.jobs {
		if e.job.QueueAddress == "" || e.job.QueueAddress == queue.Address {
			return true, nil
		}
	}
	return false, nil
}
