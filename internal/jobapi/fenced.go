package jobapi

import (
	"context"
	"errors"

	"samphirestile.example/samphirestile/internal/job"
	"samphirestile.example/samphirestile/internal/shard"
)

// Fenced is a shard of this daemon whose statements about jobs that it does not have count
// only while this daemon is certain to own the shard.
//
// Fault: a daemon that is cut from the store does not know the jobs that its successor has accepted or
// recorded, and may have decided on a split that was not recorded. An owner does not show a job
// whose record the store has not confirmed yet.
type Fenced struct {
	Shard
	Name string
	// Certain reports whether this daemon is certain to own the shard.
	Certain func() bool

	// open holds the jobs that the shard is recording or may record.
	open OpenOutcomes
}

// check replaces an error that only the owner can return. It must be called after the shard
// was asked: if the ownership is certain then, it was certain before.
func (f *Fenced) check(err error) error {
	if err == nil || f.Certain() {
		return err
	}
	var rejected *shard.RejectedError
	if errors.As(err, new(*shard.UnknownJobError)) || errors.As(err, &rejected) || errors.As(err, new(*shard.MovedError)) {
		return &shard.NotOwnerError{Shard: f.Name}
	}
	return err
}

// Submit implements Shard.
func (f *Fenced) Submit(ctx context.Context, j job.Job) error {
	f.open.Set(j.ID, true)
	err := f.Shard.Submit(ctx, j)
	if err == nil || errors.As(err, new(*shard.RejectedError)) || errors.As(err, new(*shard.MovedError)) || errors.As(err, new(*shard.QueueMovedError)) {
		f.open.Set(j.ID, false)
	}
	return f.check(err)
}

// Cancel implements Shard.
func (f *Fenced) Cancel(ctx context.Context, id job.ID) error {
	return f.check(f.Shard.Cancel(ctx, id))
}

// State implements Shard. The shard does not show a job before it is recorded; the job may exist
// all the same.
func (f *Fenced) State(ctx context.Context, id job.ID) (job.State, error) {
	open := f.open.Has(id)
	state, err := f.Shard.State(ctx, id)
	if open && errors.As(err, new(*shard.UnknownJobError)) {
		return "", &shard.UnknownOutcomeError{Cause: err}
	}
	return state, f.check(err)
}

// Report implements Shard.
func (f *Fenced) Report(ctx context.Context, req shard.ReportRequest) (shard.Report, error) {
	report, err := f.Shard.Report(ctx, req)
	return report, f.check(err)
}
