package shard_test

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"samphirestile.example/samphirestile/internal/emulator/cluster"
	"samphirestile.example/samphirestile/internal/fleet"
	"samphirestile.example/samphirestile/internal/job"
	"samphirestile.example/samphirestile/internal/quota"
	"samphirestile.example/samphirestile/internal/store"
	"samphirestile.example/samphirestile/internal/worker"
)

// quotaPool is a set of services that share the limits of accounts. Each has an owner and one large worker.
type quotaPool struct {
	*fixture
	limit  worker.Resources
	owners []*owner
	// without lists the shards that count as having no owner.
	without map[string]bool
	jobs    int
	stop    context.CancelFunc
	group   sync.WaitGroup
}

const quotaServices = 4

// quotaCapacity is the capacity of each worker of a quotaPool.
var quotaCapacity = worker.Resources{CPU: 32_000, MemMB: 64_000, GPU: 16}

func newQuotaPool(f *fixture, limit worker.Resources) *quotaPool {
	p := &quotaPool{fixture: f, limit: limit, without: map[string]bool{}}
	f.workers.Remove("w0")
	f.workers.Remove("w1")
	f.setLimit("acme", limit)
	log := logrus.New()
	log.SetOutput(io.Discard)
	requests := quota.NewRequests(f.store, func() bool { return true }, log)
	ctx, stop := context.WithCancel(context.Background())
	p.stop = stop
	p.group.Go(func() { requests.Run(ctx) })
	f.quota = quota.Peers{
		Requests: requests, OwnerKey: func(name string) string { return ownerKey + "/" + name },
		HasOwner: func(name string) bool {
			f.mu.Lock()
			defer f.mu.Unlock()
			return !p.without[name]
		},
	}
	for i := range quotaServices {
		p.addWorker(i)
		p.owners = append(p.owners, p.startService(i))
	}
	// The idle shards take their parts of the limit.
	time.Sleep(5 * time.Second)
	return p
}

func (p *quotaPool) close() {
	for _, o := range p.fixture.owners {
		o.stop()
	}
	p.stop()
	p.group.Wait()
}

func quotaService(i int) fleet.ServiceID { return fleet.ServiceID(fmt.Sprintf("service%d", i)) }

func (p *quotaPool) addWorker(i int) {
	id := fmt.Sprintf("host%d", i)
	p.workers.Add(worker.Worker{
		ID: worker.ID(id), Service: quotaService(i), Address: id + ":1", Capacity: quotaCapacity, Labels: []string{"a", "r1"},
	})
}

func (p *quotaPool) startService(i int) *owner {
	p.fixture.service = quotaService(i)
	return p.startServiceOwner(quotaService(i))
}

// submit hands in a job of the account to a service and returns its ID.
func (p *quotaPool) submit(service int, duration time.Duration, step job.Step) job.ID {
	p.jobs++
	step.Estimate = duration
	j := testJob(p.jobs, step)
	j.Account, j.Service = "acme", quotaService(service)
	for i := range max(1, step.Count) {
		p.setBehaviour(fmt.Sprintf("%s.0.0.%d", j.ID, i), cluster.Behaviour{Duration: duration})
	}
	Expect(p.owners[service].Submit(context.Background(), j)).To(Succeed())
	return j.ID
}

// starts returns the number of started tasks of a job.
func (p *quotaPool) starts(id job.ID) int {
	n := 0
	for _, e := range p.workers.History.Events() {
		if e.Kind == cluster.Started && strings.HasPrefix(e.Task, string(id)+".") {
			n++
		}
	}
	return n
}

// expectWithinLimit checks, with the need of one task of each job, that what ran never exceeded the limit.
func (p *quotaPool) expectWithinLimit(needs map[job.ID]worker.Resources) {
	var running worker.Resources
	for _, e := range p.workers.History.Events() {
		id, _, _ := strings.Cut(e.Task, ".")
		switch e.Kind {
		case cluster.Started:
			running = running.Plus(needs[job.ID(id)])
		case cluster.Finished, cluster.Completed, cluster.Failed:
			running = running.Minus(needs[job.ID(id)])
		}
		Expect(quota.Within(p.limit, p.limit, running)).To(BeTrue(), "%v at %v, limit %v", running, e.At, p.limit)
	}
}

// startTimeout is the longest time for which a task that fits may wait.
const startTimeout = 3 * time.Second

var _ = Describe("a task that needs most of its account's limit", func() {
	cpu := func(n int64) worker.Resources { return worker.Resources{CPU: 1000 * n, MemMB: 100} }
	// limitIt runs a spec on services whose account may use the limit.
	limitIt := func(text string, limit worker.Resources, body func(p *quotaPool)) {
		simulatedIt(text, func(f *fixture) {
			p := newQuotaPool(f, limit)
			defer p.close()
			body(p)
		})
	}

	// Guards against a task that never starts because idle services keep parts of the limit.
	for _, c := range []struct {
		kind        string
		limit, need worker.Resources
	}{
		{"cores", worker.Resources{CPU: 12_000}, cpu(11)},
		{"memory", worker.Resources{MemMB: 12_000}, worker.Resources{CPU: 100, MemMB: 11_000}},
		{"accelerators", worker.Resources{GPU: 8}, worker.Resources{CPU: 100, MemMB: 100, GPU: 8}},
		{"all of the cores", worker.Resources{CPU: 12_000, MemMB: 48_000}, cpu(12)},
	} {
		limitIt("starts while nothing else runs: "+c.kind, c.limit, func(p *quotaPool) {
			id := p.submit(0, time.Second, job.Step{Need: c.need})
			time.Sleep(startTimeout)
			Expect(p.starts(id)).To(Equal(1))
		})
	}
	limitIt("starts after the limit was lowered", worker.Resources{CPU: 24_000}, func(p *quotaPool) {
		p.setLimit("acme", worker.Resources{CPU: 12_000})
		id := p.submit(0, time.Second, job.Step{Need: cpu(11)})
		time.Sleep(startTimeout)
		Expect(p.starts(id)).To(Equal(1))
	})
	limitIt("starts as a gang", worker.Resources{CPU: 12_000}, func(p *quotaPool) {
		id := p.submit(0, time.Second, job.Step{Need: cpu(1), Count: 11, Gang: true})
		time.Sleep(startTimeout)
		Expect(p.starts(id)).To(Equal(11))
	})
	// Guards against services that keep a part of the free resources beside their running tasks.
	limitIt("starts while other services run small tasks", worker.Resources{CPU: 14_000}, func(p *quotaPool) {
		needs := map[job.ID]worker.Resources{}
		for i := 1; i < quotaServices; i++ {
			needs[p.submit(i, time.Minute, job.Step{Need: cpu(1)})] = cpu(1)
		}
		time.Sleep(startTimeout)
		id := p.submit(0, time.Second, job.Step{Need: cpu(11)})
		needs[id] = cpu(11)
		time.Sleep(startTimeout)
		Expect(p.starts(id)).To(Equal(1))
		p.expectWithinLimit(needs)
	})
	// Guards against services that hold parts of the limit and wait for each other's.
	limitIt("starts after one of another service that was handed in at the same moment", worker.Resources{CPU: 12_000}, func(p *quotaPool) {
		needs := map[job.ID]worker.Resources{}
		var ids []job.ID
		for i := range quotaServices {
			id := p.submit(i, time.Second, job.Step{Need: cpu(11)})
			ids = append(ids, id)
			needs[id] = cpu(11)
		}
		time.Sleep(quotaServices * startTimeout)
		for _, id := range ids {
			Expect(p.starts(id)).To(Equal(1))
		}
		p.expectWithinLimit(needs)
	})
	// Guards against a task that finds no room as long as small ones follow each other, at its own service or at another.
	for _, busy := range []int{0, 1} {
		limitIt(fmt.Sprintf("starts while small tasks follow each other at service %d", busy), worker.Resources{CPU: 12_000}, func(p *quotaPool) {
			needs := map[job.ID]worker.Resources{}
			id := job.ID("")
			for n := range 400 {
				needs[p.submit(busy, 700*time.Millisecond, job.Step{Need: cpu(1)})] = cpu(1)
				if n == 40 {
					id = p.submit(0, time.Second, job.Step{Need: cpu(11)})
					needs[id] = cpu(11)
				}
				time.Sleep(100 * time.Millisecond)
			}
			Expect(p.starts(id)).To(Equal(1))
			p.expectWithinLimit(needs)
		})
	}
	// Guards against small tasks that wait for ever for one that has no room beside long-running tasks.
	limitIt("does not keep small tasks from starting for more than a while", worker.Resources{CPU: 12_000}, func(p *quotaPool) {
		p.submit(1, time.Hour, job.Step{Need: cpu(3), LongRunning: true})
		time.Sleep(startTimeout)
		id := p.submit(0, time.Second, job.Step{Need: cpu(11)})
		time.Sleep(startTimeout)
		for i := range quotaServices {
			small := p.submit(i, time.Second, job.Step{Need: cpu(1)})
			Eventually(func() int { return p.starts(small) }, 15*time.Second, 100*time.Millisecond).Should(Equal(1))
		}
		Expect(p.starts(id)).To(BeZero())
	})
	// Guards against resources that are lost with a service that is not used any more.
	limitIt("starts although a service without an owner kept a part of the limit", worker.Resources{CPU: 12_000}, func(p *quotaPool) {
		p.owners[3].stop()
		_, err := p.store.Commit(context.Background(), store.Transaction{Removals: []string{ownerKey + "/service3"}})
		Expect(err).NotTo(HaveOccurred())
		p.mu.Lock()
		p.without["service3"] = true
		p.mu.Unlock()
		id := p.submit(0, time.Second, job.Step{Need: cpu(12)})
		time.Sleep(25 * time.Second)
		Expect(p.starts(id)).To(BeZero())
		time.Sleep(15 * time.Second)
		Expect(p.starts(id)).To(Equal(1))
	})
	// Guards against the request of a task that does not wait any more.
	limitIt("yields to others once its job is cancelled", worker.Resources{CPU: 12_000}, func(p *quotaPool) {
		p.submit(1, 5*time.Second, job.Step{Need: cpu(3)})
		time.Sleep(time.Second)
		id := p.submit(0, time.Second, job.Step{Need: cpu(11)})
		time.Sleep(startTimeout)
		Expect(p.owners[0].Cancel(context.Background(), id)).To(Succeed())
		small := p.submit(2, time.Second, job.Step{Need: cpu(8)})
		time.Sleep(startTimeout)
		Expect(p.starts(small)).To(Equal(1))
		Expect(p.starts(id)).To(BeZero())
	})
	// Guards against two services that exceed the limit together after a change of the owner of one of them.
	limitIt("starts only after the runs of a former owner", worker.Resources{CPU: 12_000}, func(p *quotaPool) {
		needs := map[job.ID]worker.Resources{}
		needs[p.submit(1, 8*time.Second, job.Step{Need: cpu(6)})] = cpu(6)
		time.Sleep(time.Second)
		p.worker("host1").SetFaults(cluster.WorkerFaults{Unresponsive: true})
		p.owners[1].stop()
		p.owners[1] = p.startService(1)
		id := p.submit(0, time.Second, job.Step{Need: cpu(11)})
		needs[id] = cpu(11)
		time.Sleep(5 * time.Second)
		p.worker("host1").SetFaults(cluster.WorkerFaults{})
		time.Sleep(20 * time.Second)
		Expect(p.starts(id)).To(Equal(1))
		p.expectWithinLimit(needs)
	})
})

var _ = Describe("an account at its limit", func() {
	// Guards against shares that stay away from the services that have work while all of them request more.
	simulatedIt("is used by all services in turn", func(f *fixture) {
		limit := worker.Resources{CPU: 4000}
		p := newQuotaPool(f, limit)
		defer p.close()
		needs, services := map[job.ID]worker.Resources{}, map[job.ID]int{}
		need := worker.Resources{CPU: 1000, MemMB: 100}
		for n := range 200 {
			id := p.submit(n%quotaServices, 400*time.Millisecond, job.Step{Need: need})
			needs[id], services[id] = need, n%quotaServices
		}
		time.Sleep(8 * time.Second)
		started := map[int]int{}
		for id, i := range services {
			started[i] += p.starts(id)
		}
		total := 0
		for i := range quotaServices {
			Expect(started[i]).To(BeNumerically(">", 0))
			total += started[i]
		}
		// Without waits 80 tasks of 0.4 s fit into 8 s.
		Expect(total).To(BeNumerically(">=", 56))
		p.expectWithinLimit(needs)
	})
})
