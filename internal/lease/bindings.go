package lease

import (
	"context"
	"errors"
	"slices"

	"github.com/sirupsen/logrus"

	"samphirestile.example/samphirestile/internal/binding"
	"samphirestile.example/samphirestile/internal/fleet"
	"samphirestile.example/samphirestile/internal/store"
)

// bindingPrefix holds the bindings of queues to services. They are followed together with the depths of
// partitions, so that a daemon that observes a binding knows all shards that existed when it was recorded.
const bindingPrefix = prefix + "queue/"

// noVersion is older than any version of a configuration.
const noVersion = -1

// BindingKey returns the key of the binding of the queue with an address.
func (o *Owners) BindingKey(address string) string { return binding.Key(bindingPrefix, address) }

// Binding returns the binding of the queue with an address; its revision is 0 if none is recorded.
func (o *Owners) Binding(address string) binding.Recorded {
	o.mu.Lock()
	defer o.mu.Unlock()
	if b, ok := o.bindings[o.BindingKey(address)]; ok {
		return b
	}
	return binding.Recorded{Binding: binding.Binding{Address: address, Version: noVersion}}
}

// Bindings returns the bindings of all queues.
func (o *Owners) Bindings() []binding.Recorded {
	o.mu.Lock()
	defer o.mu.Unlock()
	all := make([]binding.Recorded, 0, len(o.bindings))
	for _, b := range o.bindings {
		all = append(all, b)
	}
	return all
}

// BoundServices returns the services that accept or may hold jobs of queues, sorted.
func (o *Owners) BoundServices() []fleet.ServiceID {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.boundServices()
}

func (o *Owners) boundServices() []fleet.ServiceID {
	var services []fleet.ServiceID
	for _, b := range o.bindings {
		services = append(services, b.Services()...)
	}
	slices.Sort(services)
	return slices.Compact(services)
}

// WriteBinding replaces a binding, and makes sure that the outcome and the partitions of its former services are
// observed. A *store.ConditionError means that the binding has changed before, possibly by an earlier attempt.
func (o *Owners) WriteBinding(ctx context.Context, current binding.Recorded, next binding.Binding) error {
	t, err := binding.Replace(bindingPrefix, current, next)
	if err != nil {
		return err
	}
	// A duplicate is harmless: only the first one satisfies the condition.
	revision, err := store.Hedge(ctx, store.HedgeDelay, store.HasDefiniteOutcome, func(ctx context.Context) (uint64, error) { return o.store.Commit(ctx, t) })
	fields := logrus.Fields{
		"queue": next.Address, "from": current.Service, "to": next.Service, "former": next.Former, "version": next.Version,
		"from_version": current.Version, "revision": current.Revision,
	}
	if err == nil {
		o.log.WithFields(fields).Info("queue bound")
		if len(next.Former) > 0 {
			return o.ReadBindings(ctx)
		}
		o.mu.Lock()
		defer o.mu.Unlock()
		o.applyBinding(next, revision)
		return nil
	}
	if errors.As(err, new(*store.ConditionError)) {
		if readErr := o.ReadBindings(ctx); readErr != nil {
			return readErr
		}
		return err
	}
	o.log.WithError(err).WithFields(fields).Warn("queue not bound; will retry")
	return err
}

// Confirm returns the binding of the queue with an address as it is recorded now.
func (o *Owners) Confirm(ctx context.Context, address string) (binding.Recorded, error) {
	known := o.Binding(address)
	e, err := store.Hedge(ctx, store.HedgeDelay/2, store.HasDefiniteOutcome, func(ctx context.Context) (store.Entry, error) {
		return o.store.Get(ctx, o.BindingKey(address))
	})
	if err != nil && !errors.As(err, new(*store.NotFoundError)) {
		return known, err
	}
	if e.Version == known.Revision {
		return known, nil
	}
	if err := o.ReadBindings(ctx); err != nil {
		return known, err
	}
	return o.Binding(address), nil
}

// ReadBindings reads the records at once.
func (o *Owners) ReadBindings(ctx context.Context) error { return o.follower.Read(ctx) }

// applyBinding applies a binding that this daemon has written. The caller holds mu.
func (o *Owners) applyBinding(b binding.Binding, revision uint64) {
	key := o.BindingKey(b.Address)
	switch old, ok := o.bindings[key]; {
	case ok && old.Revision > revision:
	case b.Unused():
		delete(o.bindings, key)
	default:
		o.bindings[key] = binding.Recorded{Binding: b, Revision: revision}
	}
}

// putBinding applies the record of a binding. A record that is not a binding hides no earlier one: the jobs that
// it tells of may still be there. The caller holds mu.
func (o *Owners) putBinding(e store.Entry) {
	b, err := binding.Decode(bindingPrefix, e)
	if err != nil {
		o.rejections.Report(e.Key, err)
		return
	}
	if old, ok := o.bindings[e.Key]; ok && old.Revision >= b.Revision {
		return
	}
	o.bindings[e.Key] = b
}
