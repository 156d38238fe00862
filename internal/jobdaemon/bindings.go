package jobdaemon

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"samphirestile.example/samphirestile/internal/binding"
	"samphirestile.example/samphirestile/internal/fleet"
	"samphirestile.example/samphirestile/internal/jobconfig"
	"samphirestile.example/samphirestile/internal/monotonic"
	"samphirestile.example/samphirestile/internal/shard"
	"samphirestile.example/samphirestile/internal/store"
)

const (
	// bindingInterval is the interval between checks of the bindings.
	bindingInterval = 2 * time.Second
	// bindingTimeout bounds the calls for one binding.
	bindingTimeout = 2 * time.Second
)

// endBindings ends the bindings of queues to services that the configuration does not name any more: services
// stop accepting jobs of such queues, and are forgotten once they hold none. The daemon that owns the first
// shard of a service decides for it.
func (d *Daemon) endBindings(ctx context.Context) {
	for ctx.Err() == nil {
		monotonic.Sleep(ctx, bindingInterval)
		c, _ := d.configurations.Current()
		if c == nil || !d.configurations.ConfirmedRecently() {
			continue
		}
		for _, b := range d.owners.Bindings() {
			next, changes := d.nextBinding(ctx, c, b)
			if !changes {
				continue
			}
			writeCtx, cancel := context.WithTimeout(ctx, bindingTimeout)
			err := d.owners.WriteBinding(writeCtx, b, next)
			cancel()
			// A binding that has changed meanwhile is looked at again in the next interval; other failures
			// are logged by WriteBinding.
			if err != nil && !errors.As(err, new(*store.ConditionError)) {
				break
			}
		}
	}
}

// nextBinding returns the binding after the changes that this daemon decides, and whether there are any.
func (d *Daemon) nextBinding(ctx context.Context, c *jobconfig.Configuration, b binding.Recorded) (binding.Binding, bool) {
	if d.decidesFor(b.Service) {
		if next, changes := b.Rebind(configuredService(c, b.Address), c.Version); changes {
			return next, true
		}
	}
	next := b.Binding
	for _, former := range b.Former {
		if d.decidesFor(former) && !d.mayHoldQueue(ctx, former, b.Address) {
			next = next.WithoutFormer(former)
		}
	}
	return next, len(next.Former) < len(b.Former)
}

// decidesFor reports whether this daemon owns the first shard of a service.
func (d *Daemon) decidesFor(service fleet.ServiceID) bool {
	_, ok := d.local(string(service))
	return ok
}

// configuredService returns the service of the queue with an address, or "" if there is no such queue.
func configuredService(c *jobconfig.Configuration, address string) fleet.ServiceID {
	if q, ok := c.QueueAt(address); ok {
		return q.Service
	}
	return ""
}

// mayHoldQueue reports whether some shard of a service holds jobs of a queue, or has not said that it holds none.
func (d *Daemon) mayHoldQueue(ctx context.Context, service fleet.ServiceID, address string) bool {
	s, ok := d.pool(service)
	if !ok {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, bindingTimeout)
	defer cancel()
	holds, err := s.HoldsQueue(ctx, shard.Queue{Address: address})
	if err != nil {
		d.log.WithError(err).WithFields(logrus.Fields{"service": service, "queue": address}).Info("former service of a queue not asked; will retry")
		return true
	}
	return holds
}
