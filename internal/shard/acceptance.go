package shard

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"github.com/sirupsen/logrus"

	"samphirestile.example/samphirestile/internal/binding"
	"samphirestile.example/samphirestile/internal/job"
	"samphirestile.example/samphirestile/internal/jobstore"
	"samphirestile.example/samphirestile/internal/partition"
	"samphirestile.example/samphirestile/internal/store"
)

// maxBindAttempts bounds how often one commit writes a binding, and records that require it, while the binding
// changes at the same time.
const maxBindAttempts = 3

// Bindings are the bindings of queues to services.
type Bindings interface {
	// Binding returns the binding of the queue with an address; its revision is 0 if none is recorded.
	Binding(address string) binding.Recorded
	// BindingKey returns the key of its record.
	BindingKey(address string) string
	// WriteBinding replaces a binding, so that Binding and Depths return what holds after it. A
	// *store.ConditionError means that the binding has changed before.
	WriteBinding(ctx context.Context, current binding.Recorded, next binding.Binding) error
	// ReadBindings reads all bindings.
	ReadBindings(ctx context.Context) error
	// Depths returns the depths of partitions, which are at least as recent as the bindings.
	Depths() partition.Depths
}

// QueueMovedError reports a job that was not accepted because its queue is bound to another service, which
// a newer version of the configuration than the caller's tells.
type QueueMovedError struct {
	Address string
	Version int64
}

func (e *QueueMovedError) Error() string {
	return fmt.Sprintf("queue %s is bound to another service since configuration %d", e.Address, e.Version)
}

// needsBinding reports whether the job may be recorded for the first time only while its queue is bound to the
// shard's service. The caller holds mu.
func (o *Owner) needsBinding(e *jobEntry) bool {
	return o.Bindings != nil && !e.stored && !e.recorded && e.job.QueueAddress != ""
}

// bindQueues binds the queues of new jobs to the service of the shard, and decides which of these jobs may be
// recorded. The caller holds commitMu.
func (o *Owner) bindQueues(ctx context.Context) error {
	pending := map[string][]*jobEntry{}
	o.mu.Lock()
	for _, e := range o.jobs {
		if o.needsBinding(e) && e.bindingRevision == 0 {
			pending[e.job.QueueAddress] = append(pending[e.job.QueueAddress], e)
		}
	}
	o.mu.Unlock()
	var failures []error
	for address, entries := range pending {
		if err := o.bindQueue(ctx, address, entries); err != nil {
			failures = append(failures, err)
		}
	}
	return errors.Join(failures...)
}

// bindQueue decides which of a queue's new jobs may be recorded.
func (o *Owner) bindQueue(ctx context.Context, address string, entries []*jobEntry) error {
	version := int64(0)
	o.mu.Lock()
	for _, e := range entries {
		version = max(version, e.job.ConfigVersion)
	}
	o.mu.Unlock()
	b := o.Bindings.Binding(address)
	for range maxBindAttempts {
		next, changes := b.Rebind(o.Service, version)
		if !changes {
			break
		}
		if err := o.Bindings.WriteBinding(ctx, b, next); err != nil && !errors.As(err, new(*store.ConditionError)) {
			return fmt.Errorf("bind queue %s to %s: %w", address, o.Service, err)
		}
		b = o.Bindings.Binding(address)
	}
	if b.Service != o.Service {
		o.refuseMoved(entries, b)
		return nil
	}
	held, err := o.findInFormerServices(ctx, b, entries)
	if err != nil {
		return err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, e := range entries {
		if held[e.job.ID] {
			o.Log.WithFields(logrus.Fields{
				"job": e.job.ID, "queue": e.job.Queue, "shard": o.Shard, "token": o.Token, "former": b.Former, "binding_version": b.Version,
			}).Info("job is held by a former service of its queue")
			o.dropUnrecorded(e, nil)
			continue
		}
		e.bindingRevision = b.Revision
	}
	return nil
}

// refuseMoved refuses jobs whose queue is bound to another service.
func (o *Owner) refuseMoved(entries []*jobEntry, b binding.Recorded) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, e := range entries {
		o.Log.WithFields(logrus.Fields{
			"job": e.job.ID, "queue": e.job.Queue, "shard": o.Shard, "token": o.Token, "config_version": e.job.ConfigVersion,
			"bound_to": b.Service, "binding_version": b.Version,
		}).Info("job refused; its queue is bound to another service")
		o.dropUnrecorded(e, &QueueMovedError{b.Address, b.Version})
	}
}

// dropUnrecorded forgets a job of which nothing was recorded. Its callers get the error; nil means that another
// shard holds the job. The caller holds mu.
func (o *Owner) dropUnrecorded(e *jobEntry, err error) {
	e.heldElsewhere, e.refused = err == nil, err
	delete(o.jobs, e.job.ID)
	delete(o.active, e.job.ID)
	close(e.storedChan)
	close(e.finalStoredChan)
}

// formerKeys returns the keys of a job's records in the shards of the former services of its queue.
func formerKeys(b binding.Recorded, depths partition.Depths, id job.ID) []string {
	var keys []string
	for _, service := range b.Former {
		p := depths.Route(service, id)
		for _, name := range append([]string{p.Shard()}, p.Ancestors()...) {
			keys = append(keys, jobstore.JobPrefix(name)+string(id), jobstore.ProgressPrefix(name)+string(id))
		}
	}
	return keys
}

// findInFormerServices returns which of the jobs a former service of their queue holds. The former services cannot
// accept them any more, because the binding was recorded before this call.
func (o *Owner) findInFormerServices(ctx context.Context, b binding.Recorded, entries []*jobEntry) (map[job.ID]bool, error) {
	held, byKey := map[job.ID]bool{}, map[string]job.ID{}
	if len(b.Former) == 0 {
		return held, nil
	}
	var keys []string
	depths := o.Bindings.Depths()
	for _, e := range entries {
		for _, key := range formerKeys(b, depths, e.job.ID) {
			byKey[key] = e.job.ID
			keys = append(keys, key)
		}
	}
	for chunk := range slices.Chunk(keys, store.MaxTransactionEntries) {
		existing, err := store.Existing(ctx, o.Store, chunk)
		if err != nil {
			return nil, fmt.Errorf("look for %d jobs of queue %s in %v: %w", len(entries), b.Address, b.Former, err)
		}
		for _, e := range existing {
			held[byKey[e.Key]] = true
		}
	}
	return held, nil
}

// bindingConditions returns the conditions under which the changes may write the first records of their jobs. The caller
// holds mu.
func (o *Owner) bindingConditions(changes []change) []store.Condition {
	var conditions []store.Condition
	for _, c := range changes {
		if c.first == nil {
			continue
		}
		condition := store.Condition{Key: o.Bindings.BindingKey(c.first.job.QueueAddress), Version: c.first.bindingRevision}
		if !slices.Contains(conditions, condition) {
			conditions = append(conditions, condition)
		}
	}
	return conditions
}

// rebind makes the owner look again for the bindings of jobs that were not recorded because one has changed. Jobs
// whose binding cannot be read are refused, because their condition would fail each batch of the shard.
func (o *Owner) rebind(ctx context.Context, changes []change, failed *jobstore.PreconditionError) error {
	if err := o.Bindings.ReadBindings(ctx); err != nil {
		return fmt.Errorf("read bindings of queues: %w", err)
	}
	for _, c := range changes {
		if c.first == nil {
			continue
		}
		address := c.first.job.QueueAddress
		read := o.Bindings.Binding(address).Revision >= failed.Version(o.Bindings.BindingKey(address))
		o.mu.Lock()
		c.first.bindingRevision = 0
		if !read {
			o.Log.WithFields(logrus.Fields{"job": c.first.job.ID, "queue": address, "shard": o.Shard, "token": o.Token}).Error("job refused; the binding of its queue cannot be read")
			o.dropUnrecorded(c.first, &RejectedError{Reason: "the binding of the queue cannot be read", RetryAfter: outageRetryAfter})
		}
		o.mu.Unlock()
	}
	return nil
}

// raiseVersion records that a job whose record is not written yet was submitted under a newer configuration. The
// caller holds mu.
func (e *jobEntry) raiseVersion(version int64) {
	if !e.stored {
		e.job.ConfigVersion = max(e.job.ConfigVersion, version)
	}
}
