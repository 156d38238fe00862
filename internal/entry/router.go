package entry

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"samphirestile.example/samphirestile/internal/binding"
	"samphirestile.example/samphirestile/internal/fleet"
	"samphirestile.example/samphirestile/internal/job"
	"samphirestile.example/samphirestile/internal/jobapi"
	"samphirestile.example/samphirestile/internal/jobconfig"
	"samphirestile.example/samphirestile/internal/monotonic"
	"samphirestile.example/samphirestile/internal/shard"
)

const (
	// handoverTimeout covers a planned handover of a shard. Recovery from the loss of an
	// owner takes longer; calls are refused meanwhile.
	handoverTimeout    = 350 * time.Millisecond
	handoverRetryDelay = 50 * time.Millisecond
	// noOwnerRetryAfter is about the time in which a lost owner is replaced.
	noOwnerRetryAfter = time.Second
)

// Finder returns the shard interface to a pool, which may be on another daemon.
type Finder func(pool fleet.ServiceID) (jobapi.Shard, bool)

// Bindings are the bindings of queues to services.
type Bindings interface {
	// Binding returns the binding of the queue with an address; its revision is 0 if none is recorded.
	Binding(address string) binding.Recorded
	// Confirm returns the binding as it is recorded now.
	Confirm(ctx context.Context, address string) (binding.Recorded, error)
}

// Router calls the owners of the shards that accept or hold the jobs of a queue, and retries while a shard is
// handed over.
type Router struct {
	Find Finder
	// Bindings tells which services may hold jobs of a queue besides the one that the configuration names; nil
	// means that there are none.
	Bindings Bindings
	// Lookup finds jobs whose shard has no reachable owner; nil means that none is looked up.
	Lookup *Lookup
	// Log receives failed lookups; it may be nil if Lookup is.
	Log *logrus.Logger

	open jobapi.OpenOutcomes
}

var (
	errNoOwner = &shard.RejectedError{Reason: "no daemon serves the queue at the moment", RetryAfter: noOwnerRetryAfter}
	errLate    = &shard.RejectedError{Reason: "the time of the call ended before an owner was called", RetryAfter: noOwnerRetryAfter}
)

// do calls f until the shard's owner responds. Only calls that did not reach an owner are
// retried.
func (r *Router) do(ctx context.Context, pool fleet.ServiceID, f func(jobapi.Shard) error) error {
	if ctx.Err() != nil {
		return errLate
	}
	deadline := time.Now().Add(handoverTimeout)
	for {
		err := error(errNoOwner)
		if s, ok := r.Find(pool); ok {
			err = f(s)
			if !errors.As(err, new(*shard.NotOwnerError)) && !errors.As(err, new(*jobapi.NotSentError)) {
				return err
			}
			err = errNoOwner
		}
		if time.Now().After(deadline) || ctx.Err() != nil {
			return err
		}
		monotonic.Sleep(ctx, handoverRetryDelay)
	}
}

// Submit submits a job to the service of its queue.
func (r *Router) Submit(ctx context.Context, j job.Job) error {
	err := r.do(ctx, j.Service, func(s jobapi.Shard) error { return s.Submit(ctx, j) })
	others := r.otherServices(j.QueueAddress, j.Service)
	switch {
	case errors.Is(err, errNoOwner), errors.Is(err, errLate):
		return r.confirmRefusal(ctx, append([]fleet.ServiceID{j.Service}, others...), j.ID, err)
	case errors.As(err, new(*shard.UnknownOutcomeError)):
		r.open.Set(j.ID, true)
	case errors.As(err, new(*shard.RejectedError)) && len(others) > 0:
		return r.refuseUnlessHeld(ctx, others, j.ID, err)
	case err == nil, errors.As(err, new(*shard.RejectedError)):
		// An owner has all recorded jobs of its shard, and writes of earlier owners fail.
		r.open.Set(j.ID, false)
	}
	return err
}

// otherServices lists the services other than the given one that may hold jobs of a queue.
func (r *Router) otherServices(address string, service fleet.ServiceID) []fleet.ServiceID {
	if r.Bindings == nil {
		return nil
	}
	return otherThan(service, r.Bindings.Binding(address))
}

func otherThan(service fleet.ServiceID, b binding.Recorded) []fleet.ServiceID {
	return slices.DeleteFunc(b.Services(), func(s fleet.ServiceID) bool { return s == service })
}

// refuse returns the result of a submission that this daemon refuses without asking an owner:
// the outcome stays unknown if an earlier call for the job has an open outcome.
func (r *Router) refuse(id job.ID, refusal error) error {
	if r.open.Has(id) {
		return &shard.UnknownOutcomeError{Cause: refusal}
	}
	return refusal
}

// refuseUnlessHeld returns the result of a submission that its owner refuses, after asking the other services that
// may hold the job.
func (r *Router) refuseUnlessHeld(ctx context.Context, services []fleet.ServiceID, id job.ID, refusal error) error {
	var silent []fleet.ServiceID
	for _, service := range services {
		err := r.do(ctx, service, func(s jobapi.Shard) error {
			_, err := s.State(ctx, id)
			return err
		})
		if err == nil {
			r.open.Set(id, false)
			return nil
		}
		if !errors.As(err, new(*shard.UnknownJobError)) {
			silent = append(silent, service)
		}
	}
	if len(silent) > 0 {
		return r.confirmRefusal(ctx, silent, id, refusal)
	}
	r.open.Set(id, false)
	return refusal
}

// confirmRefusal returns the result of a submission that is refused although the owners in some pools were not
// asked. A client repeats a job whose response was lost, so a refusal must not deny a job that is recorded
// there, or that an owner may be recording.
func (r *Router) confirmRefusal(ctx context.Context, pools []fleet.ServiceID, id job.ID, refusal error) error {
	found, err := PresenceUnknown, error(nil)
	if r.Lookup != nil {
		if found, err = r.Lookup.FindIn(ctx, pools, id); err != nil && !errors.Is(err, errStoreSilent) && ctx.Err() == nil {
			r.Log.WithError(err).WithField("job", id).Info("refused job not looked up")
		}
	}
	switch {
	case found == Recorded:
		r.open.Set(id, false)
		return nil
	case found == NotRecorded:
		r.open.Set(id, false)
		return refusal
	}
	return r.refuse(id, refusal)
}

// maxBindingChanges bounds how often a call follows a queue whose binding changes meanwhile.
const maxBindingChanges = 3

// withJob calls f with the services that may hold jobs of the queue until one has the job.
func (r *Router) withJob(ctx context.Context, services []fleet.ServiceID, id job.ID, f func(jobapi.Shard) error) error {
	var failure error
	for _, service := range services {
		err := r.do(ctx, service, f)
		switch {
		case err == nil:
			return nil
		case !errors.As(err, new(*shard.UnknownJobError)) && !errors.As(err, new(*shard.QueueMovedError)) && failure == nil:
			failure = err
		}
	}
	if failure != nil {
		return failure
	}
	return &shard.UnknownJobError{ID: id}
}

// services lists the service of a queue and the others that may hold jobs of it.
func (r *Router) services(q *jobconfig.Queue) []fleet.ServiceID {
	return append([]fleet.ServiceID{q.Service}, r.otherServices(q.Address(), q.Service)...)
}

// Cancel cancels a job. It denies the job only if the binding of the queue has not changed before all services
// were asked: clients do not repeat a cancel that is answered so.
func (r *Router) Cancel(ctx context.Context, q *jobconfig.Queue, id job.ID) error {
	cancel := func(s jobapi.Shard) error { return s.Cancel(ctx, id) }
	if r.Bindings == nil {
		return r.do(ctx, q.Service, cancel)
	}
	b := r.Bindings.Binding(q.Address())
	for range maxBindingChanges {
		err := r.withJob(ctx, append([]fleet.ServiceID{q.Service}, otherThan(q.Service, b)...), id, cancel)
		if !errors.As(err, new(*shard.UnknownJobError)) {
			return err
		}
		confirmed, err := r.Bindings.Confirm(ctx, q.Address())
		if err != nil {
			return &shard.UnknownOutcomeError{Cause: err}
		}
		if confirmed.Revision == b.Revision {
			return &shard.UnknownJobError{ID: id}
		}
		b = confirmed
	}
	return &shard.UnknownOutcomeError{Cause: errBindingChanges}
}

var errBindingChanges = errors.New("the queue is bound to one service after another")

// State returns the state of a job.
func (r *Router) State(ctx context.Context, q *jobconfig.Queue, id job.ID) (state job.State, err error) {
	err = r.withJob(ctx, r.services(q), id, func(s jobapi.Shard) error {
		state, err = s.State(ctx, id)
		return err
	})
	return state, err
}

// Waiting returns the number of jobs of a queue that have started no task.
func (r *Router) Waiting(ctx context.Context, q *jobconfig.Queue) (int, error) {
	sum := 0
	for _, service := range r.services(q) {
		err := r.do(ctx, service, func(s jobapi.Shard) error {
			n, err := s.Waiting(ctx, shard.Queue{Name: q.Name, Address: q.Address()})
			if err == nil {
				sum += n
			}
			return err
		})
		if err != nil {
			return 0, err
		}
	}
	return sum, nil
}
