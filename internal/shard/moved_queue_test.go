package shard_test

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"samphirestile.example/samphirestile/internal/binding"
	"samphirestile.example/samphirestile/internal/emulator/cluster"
	"samphirestile.example/samphirestile/internal/fleet"
	"samphirestile.example/samphirestile/internal/job"
	"samphirestile.example/samphirestile/internal/lease"
	"samphirestile.example/samphirestile/internal/partition"
	"samphirestile.example/samphirestile/internal/shard"
	"samphirestile.example/samphirestile/internal/store"
)

const (
	otherService = fleet.ServiceID("designer")
	queueAddress = "jobs.example/q/"
)

// newBindings returns the view that a daemon has of the bindings. It is updated only by calls of the owner, so
// it is as old as one on a stalled watch.
func (f *fixture) newBindings() *lease.Owners {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return lease.NewOwners(f.store, nil, lease.Member{}, nil, func(partition.Depths, []fleet.ServiceID) []string { return nil }, log)
}

// startServiceOwner acquires the shard of a service; its daemon has its own view of the bindings.
func (f *fixture) startServiceOwner(s fleet.ServiceID) *owner {
	f.service, f.bindings = s, f.newBindings()
	defer func() { f.service, f.bindings = service, nil }()
	return f.startPartitionOwner(string(s))
}

var _ = Describe("a queue that is sent to another service", func() {
	submission := func(n int, version int64, s fleet.ServiceID, steps ...job.Step) job.Job {
		j := testJob(n, steps...)
		j.Service, j.QueueAddress, j.ConfigVersion = s, queueAddress, version
		return j
	}
	withWorkers := func(f *fixture) {
		for _, id := range []string{"x0", "x1"} {
			w := f.addWorker(id)
			w.Service = otherService
		}
	}
	movedTo := func(err error) int64 {
		var moved *shard.QueueMovedError
		if errors.As(err, &moved) {
			return moved.Version
		}
		return 0
	}
	recorded := func(f *fixture) binding.Binding {
		b := f.newBindings()
		Expect(b.ReadBindings(context.Background())).To(Succeed())
		return b.Binding(queueAddress).Binding
	}
	starts := func(f *fixture, j job.Job) int { return f.workers.History.Starts(string(j.ID) + ".0.0.0") }

	// Guards against a submission that arrives again after the queue was sent to another service, and runs there too.
	simulatedIt("runs a repeated submission once", func(f *fixture) {
		withWorkers(f)
		former, next := f.startServiceOwner(service), f.startServiceOwner(otherService)
		j := submission(1, 7, service, job.Step{})
		f.setBehaviour(string(j.ID)+".0.0.0", cluster.Behaviour{Duration: time.Second})
		former.submit(j)
		Expect(recorded(f)).To(Equal(binding.Binding{Address: queueAddress, Service: service, Version: 7}))
		j.Service, j.ConfigVersion = otherService, 8
		Expect(next.Submit(context.Background(), j)).To(Succeed())
		Expect(next.state(j.ID)).To(ContainSubstring("no job"))
		Expect(next.Cancel(context.Background(), j.ID)).To(BeAssignableToTypeOf(&shard.UnknownJobError{}))
		Eventually(former.state, callTimeout).WithArguments(j.ID).Should(Equal("completed"))
		Expect(starts(f, j)).To(Equal(1))
		Expect(recorded(f)).To(Equal(binding.Binding{Address: queueAddress, Service: otherService, Version: 8, Former: []fleet.ServiceID{service}}))
		// A new job of the queue runs on the workers of its service.
		k := submission(2, 8, otherService, job.Step{})
		next.submit(k)
		Eventually(next.state, callTimeout).WithArguments(k.ID).Should(Equal("completed"))
		for _, e := range f.workers.History.Events() {
			if e.Kind == cluster.Started && e.Task == string(k.ID)+".0.0.0" {
				Expect(string(e.Worker)).To(HavePrefix("x"))
			}
		}
	})

	// Guards against a cancelled job that runs at the new service when its submission arrives again.
	simulatedIt("starts no cancelled job again", func(f *fixture) {
		withWorkers(f)
		former, next := f.startServiceOwner(service), f.startServiceOwner(otherService)
		j := submission(1, 7, service, job.Step{LongRunning: true})
		f.setBehaviour(string(j.ID)+".0.0.0", cluster.Behaviour{Duration: time.Hour})
		former.submit(j)
		Eventually(starts, callTimeout).WithArguments(f, j).Should(Equal(1))
		Expect(former.Cancel(context.Background(), j.ID)).To(Succeed())
		j.Service, j.ConfigVersion = otherService, 8
		for range 2 {
			Expect(next.Submit(context.Background(), j)).To(Succeed())
			time.Sleep(callTimeout)
			Expect(next.state(j.ID)).To(ContainSubstring("no job"))
			next.stop()
			next = f.startServiceOwner(otherService)
		}
		Expect(starts(f, j)).To(Equal(1))
	})

	// Guards against a daemon with an older configuration that accepts a job which the new service has accepted.
	simulatedIt("accepts no job at the former service any more", func(f *fixture) {
		withWorkers(f)
		former, next := f.startServiceOwner(service), f.startServiceOwner(otherService)
		former.submit(submission(9, 7, service, job.Step{}))
		j := submission(1, 8, otherService, job.Step{})
		next.submit(j)
		j.Service, j.ConfigVersion = service, 7
		Expect(movedTo(former.Submit(context.Background(), j))).To(Equal(int64(8)))
		Eventually(next.state, callTimeout).WithArguments(j.ID).Should(Equal("completed"))
		Expect(starts(f, j)).To(Equal(1))
		Expect(former.state(j.ID)).To(ContainSubstring("no job"))
		// The queue is sent back: the former service accepts new jobs, and knows that the other has the first.
		j.ConfigVersion = 9
		Expect(former.Submit(context.Background(), j)).To(Succeed())
		former.submit(submission(2, 9, service, job.Step{}))
		Eventually(former.state, callTimeout).WithArguments(submission(2, 9, service).ID).Should(Equal("completed"))
		Expect(starts(f, j)).To(Equal(1))
	})

	// Guards against one submission that arrives at daemons with the old and with the new configuration at once.
	simulatedIt("accepts a submission once when it arrives at both services", func(f *fixture) {
		withWorkers(f)
		former, next := f.startServiceOwner(service), f.startServiceOwner(otherService)
		former.submit(submission(99, 7, service, job.Step{}))
		for n := range 20 {
			version := int64(7 + n)
			a, b := former, next
			j := submission(n+1, version, service, job.Step{})
			k := j
			k.Service, k.ConfigVersion = otherService, version+1
			if n%2 == 1 {
				a, b, j.Service, k.Service = next, former, otherService, service
			}
			var first, second error
			var group sync.WaitGroup
			group.Go(func() {
				time.Sleep(time.Duration(n) * time.Millisecond)
				first = a.Submit(context.Background(), j)
			})
			group.Go(func() {
				time.Sleep(time.Duration(10) * time.Millisecond)
				second = b.Submit(context.Background(), k)
			})
			group.Wait()
			Expect(second).To(Succeed())
			Expect(first).To(Or(Succeed(), BeAssignableToTypeOf(&shard.QueueMovedError{})))
			Eventually(starts, callTimeout).WithArguments(f, j).Should(Equal(1))
		}
		time.Sleep(callTimeout)
		Expect(cluster.Check(f.workers.History.Events(), cluster.Expectation{})).To(BeEmpty())
		for n := range 20 {
			Expect(starts(f, submission(n+1, 0, ""))).To(Equal(1))
		}
	})

	// Guards against a cancel that a former service records for a job which the new service accepts at the same time.
	simulatedIt("cancels at the service that has the job", func(f *fixture) {
		withWorkers(f)
		former, next := f.startServiceOwner(service), f.startServiceOwner(otherService)
		former.submit(submission(99, 7, service, job.Step{}))
		j := submission(1, 7, service, job.Step{LongRunning: true})
		k := j
		k.Service, k.ConfigVersion = otherService, 8
		next.submit(k)
		refused := make(chan error, 1)
		go func() { refused <- former.Submit(context.Background(), j) }()
		time.Sleep(time.Millisecond)
		Expect(former.Cancel(context.Background(), j.ID)).To(Or(BeAssignableToTypeOf(&shard.QueueMovedError{}), BeAssignableToTypeOf(&shard.UnknownJobError{})))
		Expect(movedTo(<-refused)).To(Equal(int64(8)))
		Expect(next.state(j.ID)).NotTo(Equal("cancelled"))
	})

	// Guards against one binding that cannot be read and keeps all records of a shard from being written.
	simulatedIt("harms only its own jobs when its binding cannot be read", func(f *fixture) {
		o := f.startServiceOwner(service)
		o.submit(submission(1, 7, service, job.Step{}))
		key := f.newBindings().BindingKey(queueAddress)
		_, err := f.store.Commit(context.Background(), store.Transaction{Writes: []store.Write{{Key: key, Value: []byte("[")}}})
		Expect(err).NotTo(HaveOccurred())
		other := submission(2, 7, service, job.Step{})
		other.QueueAddress = "jobs.example/other/"
		refused := make(chan error, 1)
		go func() { refused <- o.Submit(context.Background(), submission(3, 7, service, job.Step{})) }()
		o.submit(other)
		Expect(<-refused).To(BeAssignableToTypeOf(&shard.RejectedError{}))
		Eventually(o.state, callTimeout).WithArguments(other.ID).Should(Equal("completed"))
		Eventually(o.state, callTimeout).WithArguments(submission(1, 7, service).ID).Should(Equal("completed"))
	})

	It("is held by its former service as long as that keeps the state of a job", func() {
		f := newFixture(1)
		o := f.startServiceOwner(service)
		holds := func() bool {
			held, err := o.HoldsQueue(context.Background(), shard.Queue{Address: queueAddress})
			Expect(err).NotTo(HaveOccurred())
			return held
		}
		j := submission(1, 7, service, job.Step{})
		o.submit(j)
		Eventually(o.state, callTimeout).WithArguments(j.ID).Should(Equal("completed"))
		Expect(holds()).To(BeTrue())
		held, err := o.HoldsQueue(context.Background(), shard.Queue{Address: "jobs.example/other/"})
		Expect(err).NotTo(HaveOccurred())
		Expect(held).To(BeFalse())
		o.Close()
		o.stop()
		o = f.startServiceOwner(service)
		Eventually(o.state, callTimeout).WithArguments(j.ID).Should(Equal("completed"))
		Expect(holds()).To(BeTrue(), "a successor reads the state of the job without its queue")
	})
})
