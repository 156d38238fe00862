package shard_test

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"samphirestile.example/samphirestile/internal/binding"
	"samphirestile.example/samphirestile/internal/emulator/cluster"
	"samphirestile.example/samphirestile/internal/job"
	"samphirestile.example/samphirestile/internal/jobapi"
	"samphirestile.example/samphirestile/internal/lease"
	"samphirestile.example/samphirestile/internal/partition"
	"samphirestile.example/samphirestile/internal/shard"
	"samphirestile.example/samphirestile/internal/store"
	"samphirestile.example/samphirestile/internal/worker"
)

var _ = Describe("a shard that is split", func() {
	var (
		f      *fixture
		owners map[string]*owner
		depths partition.Depths
	)
	ctx := context.Background()
	startOwner := func(name string) *owner {
		o := f.startPartitionOwner(name)
		owners[name] = o
		return o
	}
	pool := func() *jobapi.Pool {
		return &jobapi.Pool{Name: service, Depths: depths, Find: func(name string) (jobapi.Shard, bool) {
			o, ok := owners[name]
			if !ok {
				return nil, false
			}
			return o, true
		}}
	}
	// idOf returns the n-th job ID that belongs to a partition.
	idOf := func(p partition.Partition, n int) job.ID {
		for i := 1; ; i++ {
			id := job.ID(fmt.Sprintf("%016x", i))
			if p.Contains(id) {
				if n == 0 {
					return id
				}
				n--
			}
		}
	}
	jobWithID := func(id job.ID, s job.Step) job.Job {
		j := testJob(1, s)
		j.ID = id
		return j
	}
	split := func(name string) partition.Partition {
		o := owners[name]
		before, _ := o.Partition()
		o.Split()
		Eventually(func() bool { p, recorded := o.Partition(); return recorded && p.Depth == before.Depth+1 }, callTimeout).Should(BeTrue())
		depths[name] = before.Depth + 1
		return before.AtDepth(before.Depth + 1)
	}
	child := partition.Parse("quoter#1")

	BeforeEach(func() {
		f, owners, depths = newFixture(2), map[string]*owner{}, partition.Depths{}
		startOwner("quoter")
	})

	It("keeps the jobs that it has, and accepts no new ones of the other half", func() {
		old := jobWithID(idOf(child, 0), job.Step{LongRunning: true})
		f.setBehaviour(string(old.ID)+".0.0.0", cluster.Behaviour{Duration: time.Hour})
		Expect(pool().Submit(ctx, old)).To(Succeed())
		split("quoter")
		newJob := jobWithID(idOf(child, 1), job.Step{})
		var moved *shard.MovedError
		Expect(errors.As(owners["quoter"].Submit(ctx, newJob), &moved)).To(BeTrue())
		Expect(moved.Shard).To(Equal("quoter#1"))

		startOwner("quoter#1")
		Expect(pool().Submit(ctx, newJob)).To(Succeed())
		Eventually(owners["quoter#1"].state, callTimeout).WithArguments(newJob.ID).Should(Equal("completed"))
		// The client repeats a job that was accepted before the split.
		Expect(pool().Submit(ctx, old)).To(Succeed())
		Expect(owners["quoter#1"].state(old.ID)).To(ContainSubstring("belongs to shard quoter"))
		Expect(pool().State(ctx, old.ID)).To(Equal(job.Running))
		Expect(pool().Cancel(ctx, old.ID)).To(Succeed())
		Expect(pool().State(ctx, old.ID)).To(Equal(job.Cancelled))
		Expect(f.workers.History.Starts(string(old.ID) + ".0.0.0")).To(Equal(1))
	})
	// Guards against a cancelled job that runs when its submission arrives again at a new partition or a new owner.
	It("starts no cancelled job again", func() {
		old := jobWithID(idOf(child, 0), job.Step{LongRunning: true})
		f.setBehaviour(string(old.ID)+".0.0.0", cluster.Behaviour{Duration: time.Hour})
		starts := func() int { return f.workers.History.Starts(string(old.ID) + ".0.0.0") }
		Expect(pool().Submit(ctx, old)).To(Succeed())
		Eventually(starts, callTimeout).Should(Equal(1))
		Expect(pool().Cancel(ctx, old.ID)).To(Succeed())
		split("quoter")
		startOwner("quoter#1")
		for _, replaced := range []string{"", "quoter", "quoter#1"} {
			if replaced != "" {
				owners[replaced].stop()
				startOwner(replaced)
			}
			Expect(pool().Submit(ctx, old)).To(Succeed())
			Expect(pool().Cancel(ctx, old.ID)).To(Succeed())
			Expect(pool().State(ctx, old.ID)).To(Equal(job.Cancelled))
		}
		Consistently(starts, time.Second).Should(Equal(1))
	})
	It("is reached by callers that have not observed the split", func() {
		split("quoter")
		startOwner("quoter#1")
		depths = partition.Depths{}
		j := jobWithID(idOf(child, 0), job.Step{})
		Expect(pool().Submit(ctx, j)).To(Succeed())
		Expect(owners["quoter#1"].state(j.ID)).NotTo(ContainSubstring("no job"))
		_, err := pool().State(ctx, idOf(child, 7))
		Expect(errors.As(err, new(*shard.UnknownJobError))).To(BeTrue())
	})
	It("is split again, and its jobs are found after two splits and a change of owner", func() {
		grandchild := partition.Parse("quoter#3")
		old := jobWithID(idOf(grandchild, 0), job.Step{LongRunning: true})
		f.setBehaviour(string(old.ID)+".0.0.0", cluster.Behaviour{Duration: time.Hour})
		Expect(pool().Submit(ctx, old)).To(Succeed())
		split("quoter")
		startOwner("quoter#1")
		split("quoter#1")
		startOwner("quoter#3")
		Expect(pool().State(ctx, old.ID)).To(BeElementOf(job.Pending, job.Running))
		first := owners["quoter"]
		first.cancel()
		startOwner("quoter")
		p, recorded := owners["quoter"].Partition()
		Expect(p.Depth).To(Equal(1))
		Expect(recorded).To(BeTrue())
		Expect(pool().State(ctx, old.ID)).To(BeElementOf(job.Pending, job.Running))
	})
	It("is not reported as split until the store has recorded the new depth", func() {
		f.store.SetFaults(cluster.StoreFaults{Down: true})
		owners["quoter"].Split()
		_, recorded := owners["quoter"].Partition()
		Expect(recorded).To(BeFalse())
		owners["quoter"].cancel()
		f.store.SetFaults(cluster.StoreFaults{})
		startOwner("quoter")
		p, recorded := owners["quoter"].Partition()
		Expect(recorded).To(BeTrue())
		Expect(p.Depth).To(BeNumerically("<=", 1))
	})
	It("commands a transferred worker with a higher fencing token than its former owner", func() {
		split("quoter")
		f.excludeWorker("quoter#1", "w0")
		f.excludeWorker("quoter#1", "w1")
		other := startOwner("quoter#1")
		j := jobWithID(idOf(child, 0), job.Step{})
		Expect(other.Submit(ctx, j)).To(MatchError(ContainSubstring("no worker")))
		// The first partition gets a new owner, so its token is the highest that the workers received.
		owners["quoter"].cancel()
		startOwner("quoter")
		Eventually(func() (bool, error) { return owners["quoter"].Empty(ctx, "w1") }, callTimeout).Should(BeTrue())
		f.transferWorker("quoter", "quoter#1", "w1")
		Eventually(func() error { return other.Submit(ctx, j) }, callTimeout).Should(Succeed())
		Eventually(other.state, callTimeout).WithArguments(j.ID).Should(Equal("completed"))
	})
	// Guards against a cancel that is denied by the new partition, while the job of the former one runs on.
	It("is recorded after the jobs that wait for the binding of their queue", func() {
		b := &unavailableBindings{Owners: f.newBindings()}
		f.bindings = b
		owners["quoter"].cancel()
		parent := startOwner("quoter")
		b.down.Store(true)
		old := jobWithID(idOf(child, 0), job.Step{LongRunning: true})
		old.QueueAddress = queueAddress
		accepted := make(chan error, 1)
		go func() { accepted <- parent.Submit(ctx, old) }()
		recorded := func() bool { _, recorded := parent.Partition(); return recorded }
		Eventually(b.refused.Load, callTimeout).Should(BeNumerically(">=", 1))
		parent.Split()
		depths["quoter"] = 1
		time.Sleep(400 * time.Millisecond)
		if recorded() {
			startOwner("quoter#1")
		}
		b.down.Store(false)
		Expect(<-accepted).To(Succeed())
		Eventually(recorded, callTimeout).Should(BeTrue())
		if owners["quoter#1"] == nil {
			startOwner("quoter#1")
		}
		Expect(pool().Cancel(ctx, old.ID)).To(Succeed())
		Expect(parent.state(old.ID)).To(Equal(string(job.Cancelled)))
	})
	It("aggregates the responses of its partitions", func() {
		split("quoter")
		startOwner("quoter#1")
		d, err := pool().Demand(ctx, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(d.Wanted).To(BeNumerically(">=", 2))
		r, err := pool().Report(ctx, shard.ReportRequest{})
		Expect(err).NotTo(HaveOccurred())
		Expect(r.HostsWanted).To(Equal(d.Wanted))
		Expect(pool().Waiting(ctx, shard.Queue{Name: "q"})).To(BeZero())
		delete(owners, "quoter#1")
		_, err = pool().Demand(ctx, nil)
		Expect(errors.As(err, new(*shard.NotOwnerError))).To(BeTrue())
	})
	It("empties a worker through the partition that has it", func() {
		split("quoter")
		startOwner("quoter#1")
		f.excludeWorker("quoter#1", "w0")
		f.excludeWorker("quoter", "w1")
		Eventually(func() (bool, error) { return pool().Empty(ctx, "w0") }, callTimeout).Should(BeTrue())
		Eventually(func() (bool, error) { return pool().Empty(ctx, "w1") }, callTimeout).Should(BeTrue())
		Expect(pool().Empty(ctx, "unknown")).To(BeFalse())
		Expect(pool().Reopen(ctx, "w0")).To(Succeed())
	})
})

// unavailableBindings refuses writes of bindings while it is down.
type unavailableBindings struct {
	*lease.Owners
	down    atomic.Bool
	refused atomic.Int32
}

func (b *unavailableBindings) WriteBinding(ctx context.Context, current binding.Recorded, next binding.Binding) error {
	if b.down.Load() {
		b.refused.Add(1)
		return &store.UnavailableError{Cause: errDelayed}
	}
	return b.Owners.WriteBinding(ctx, current, next)
}

// transferWorker moves an empty worker from one shard to another.
func (f *fixture) transferWorker(from, to string, id worker.ID) {
	revision := f.rewriteKey("claim/" + string(id))
	f.mu.Lock()
	defer f.mu.Unlock()
	f.claims[id] = revision
	f.excludedWorkers[from] = append(f.excludedWorkers[from], id)
	var kept []worker.ID
	for _, excluded := range f.excludedWorkers[to] {
		if excluded != id {
			kept = append(kept, excluded)
		}
	}
	f.excludedWorkers[to] = kept
}

// excludeWorker removes a worker from a shard.
func (f *fixture) excludeWorker(name string, id worker.ID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.excludedWorkers[name] = append(f.excludedWorkers[name], id)
}
