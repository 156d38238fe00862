package entry_test

import (
	"context"
	"errors"
	"io"
	"slices"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"samphirestile.example/samphirestile/internal/binding"
	"samphirestile.example/samphirestile/internal/emulator/cluster"
	"samphirestile.example/samphirestile/internal/entry"
	"samphirestile.example/samphirestile/internal/fleet"
	"samphirestile.example/samphirestile/internal/job"
	"samphirestile.example/samphirestile/internal/jobapi"
	"samphirestile.example/samphirestile/internal/jobconfig"
	"samphirestile.example/samphirestile/internal/jobstore"
	"samphirestile.example/samphirestile/internal/partition"
	"samphirestile.example/samphirestile/internal/shard"
	"samphirestile.example/samphirestile/internal/store"
)

// fakeBindings is a view of the binding of one queue, and the binding as it is recorded.
type fakeBindings struct {
	view, recorded binding.Recorded
	err            error
}

func (b *fakeBindings) Binding(string) binding.Recorded { return b.view }
func (b *fakeBindings) Confirm(context.Context, string) (binding.Recorded, error) {
	if b.err == nil {
		b.view = b.recorded
	}
	return b.recorded, b.err
}

var _ = Describe("a router for a queue that was sent to another service", func() {
	const id = job.ID("0123456789abcdef")
	var (
		current, former *fakeShard
		bindings        *fakeBindings
		s               *cluster.Store
		r               *entry.Router
		unreachable     []fleet.ServiceID
		ctx             = context.Background()
		q               = &jobconfig.Queue{Name: "q", Host: "jobs.example", Prefix: "/q/", Service: "new"}
	)
	BeforeEach(func() {
		current, former = &fakeShard{err: &shard.UnknownJobError{}}, &fakeShard{state: job.Running}
		moved := binding.Recorded{Binding: binding.Binding{Address: q.Address(), Service: "new", Version: 2, Former: []fleet.ServiceID{"old"}}, Revision: 5}
		bindings, s, unreachable = &fakeBindings{view: moved, recorded: moved}, cluster.NewStore(), nil
		log := logrus.New()
		log.SetOutput(io.Discard)
		r = &entry.Router{
			Bindings: bindings, Log: log,
			Find: func(service fleet.ServiceID) (jobapi.Shard, bool) {
				f := map[fleet.ServiceID]*fakeShard{"new": current, "old": former}[service]
				return f, f != nil && !slices.Contains(unreachable, service)
			},
			Lookup: &entry.Lookup{Store: s, Depths: func() partition.Depths { return partition.Depths{} }, Responds: func() bool { return true }},
		}
	})
	submit := func() error { return r.Submit(ctx, job.Job{ID: id, Service: q.Service, QueueAddress: q.Address()}) }

	// Guards against an answer that an accepted job does not exist.
	It("finds a job at its former service", func() {
		Expect(r.State(ctx, q, id)).To(Equal(job.Running))
		Expect(r.Cancel(ctx, q, id)).To(Succeed())
		unreachable = []fleet.ServiceID{"new"}
		Expect(r.State(ctx, q, id)).To(Equal(job.Running), "while the new service has no owner")
	})
	It("finds a job at the service that the queue is still bound to", func() {
		bindings.view = binding.Recorded{Binding: binding.Binding{Address: q.Address(), Service: "old", Version: 1}, Revision: 4}
		Expect(r.State(ctx, q, id)).To(Equal(job.Running))
	})
	It("denies a job that no service has", func() {
		former.fail(&shard.UnknownJobError{})
		_, err := r.State(ctx, q, id)
		Expect(err).To(BeAssignableToTypeOf(&shard.UnknownJobError{}))
		Expect(r.Cancel(ctx, q, id)).To(BeAssignableToTypeOf(&shard.UnknownJobError{}))
		unreachable = []fleet.ServiceID{"old"}
		_, err = r.State(ctx, q, id)
		Expect(err).NotTo(BeAssignableToTypeOf(&shard.UnknownJobError{}), "its owner was not asked")
	})
	// Guards against a cancel that is answered as if there were no job, while the tasks of the job run on.
	It("denies a job to a cancel only by the binding that is recorded", func() {
		bindings.view = binding.Recorded{Binding: binding.Binding{Address: q.Address(), Service: "new", Version: 1}, Revision: 4}
		Expect(r.Cancel(ctx, q, id)).To(Succeed())
		bindings.err = errors.New("the store does not answer")
		former.fail(&shard.UnknownJobError{})
		Expect(r.Cancel(ctx, q, id)).To(BeAssignableToTypeOf(&shard.UnknownOutcomeError{}))
	})
	It("counts the waiting jobs of all services", func() {
		current.fail(nil)
		Expect(r.Waiting(ctx, q)).To(Equal(24))
		former.fail(&shard.NotOwnerError{})
		_, err := r.Waiting(ctx, q)
		Expect(err).To(HaveOccurred())
	})
	// Guards against a refusal of a job that the former service has accepted.
	It("does not refuse a job that the former service has recorded", func() {
		full := &shard.RejectedError{Reason: "queue is full", Overload: true}
		current.fail(full)
		Expect(submit()).To(Succeed(), "its owner has the job")
		former.fail(&shard.UnknownJobError{})
		Expect(submit()).To(Equal(full))
		unreachable = []fleet.ServiceID{"old"}
		Expect(submit()).To(Equal(full), "the store has no record of the job")
		_, err := s.Commit(ctx, store.Transaction{Writes: []store.Write{{Key: jobstore.ProgressPrefix("old") + string(id), Value: []byte("{}")}}})
		Expect(err).NotTo(HaveOccurred())
		Expect(submit()).To(Succeed())
		unreachable = []fleet.ServiceID{"new", "old"}
		Expect(submit()).To(Succeed(), "while neither has an owner")
	})
})
