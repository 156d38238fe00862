package soak

import (
	"context"
	"net/http"
	"os"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"samphirestile.example/samphirestile/internal/emulator/cluster"
	"samphirestile.example/samphirestile/internal/emulator/process"
	"samphirestile.example/samphirestile/internal/job"
	"samphirestile.example/samphirestile/internal/worker"
	"samphirestile.example/samphirestile/platform/standin"
)

var _ = Describe("jobs of a queue that was sent to another service", func() {
	const (
		id, cancelled, later = job.ID("00aa000000000001"), job.ID("00aa000080000002"), job.ID("00aa000000000003")
		// applyTime is how long a daemon may take to apply a configuration (configApplyMs).
		applyTime = 2 * time.Second
	)
	var (
		c      *cell
		client standin.Client
		ctx    = context.Background()
	)
	BeforeEach(func() {
		dir, err := os.MkdirTemp("", "samphirestile-moved-")
		Expect(err).NotTo(HaveOccurred())
		c, err = startCell(dir, program, 1, startEmulatedWorkers)
		DeferCleanup(func() { c.close(); Expect(os.RemoveAll(dir)).To(Succeed()) })
		Expect(err).NotTo(HaveOccurred())
		client = standin.Client{Queue: queue, Timeout: clientTimeout, HTTP: &http.Client{Transport: &http.Transport{}}}
		DeferCleanup(client.HTTP.CloseIdleConnections)
	})
	submit := func(daemon int, id job.ID, steps ...job.Step) {
		GinkgoHelper()
		for i := range steps {
			steps[i].Count, steps[i].Need, steps[i].Estimate = 4, worker.Resources{CPU: 500, MemMB: 500}, 250*time.Millisecond
		}
		Eventually(func() (int, error) { return client.Submit(ctx, c.nodes[daemon].ip, id, "spec", steps) }, readyTimeout).Should(Equal(http.StatusOK))
	}
	states := func(id job.ID) (all []job.State) {
		for _, n := range c.nodes {
			_, state, _ := client.State(ctx, n.ip, id)
			all = append(all, state)
		}
		return all
	}
	each := func(state job.State) []job.State { return []job.State{state, state, state} }
	chain := func() []job.Step {
		steps := make([]job.Step, 12)
		for i := 1; i < len(steps); i++ {
			steps[i].After = []int{i - 1}
		}
		return steps
	}

	// Guards against accepted jobs that are denied, run again or are no longer continued, because they are looked
	// for through the configuration in force, also after a restart of all daemons.
	It("are known, run once and are continued, whatever is restarted", func() {
		submit(0, id, chain()...)
		submit(1, cancelled, job.Step{LongRunning: true})
		Expect(c.bindQueue(otherService)).To(Succeed())
		time.Sleep(applyTime)
		Expect(states(id)).To(Equal(each(job.Running)))
		submit(2, id, chain()...)
		submit(2, later, job.Step{})
		for _, n := range c.nodes {
			n.withProcess((*process.Process).Kill)
		}
		for _, n := range c.nodes {
			Expect(c.startDaemon(n)).To(Succeed())
		}
		Expect(c.awaitReady()).To(Succeed())
		Eventually(states, completionTimeout).WithArguments(id).Should(Equal(each(job.Completed)))
		Eventually(states, completionTimeout).WithArguments(later).Should(Equal(each(job.Completed)))
		Expect(states(cancelled)).To(Equal(each(job.Running)))
		Eventually(func() (int, error) { return client.Cancel(ctx, c.nodes[0].ip, cancelled) }, clientTimeout).Should(Equal(http.StatusOK))
		Expect(states(cancelled)).To(Equal(each(job.Cancelled)))
		events := c.pool.events()
		Expect(cluster.Check(events, cluster.Expectation{MaxAttempts: queue.MaxAttempts})).To(BeEmpty())
		pool := map[string]bool{}
		for _, w := range workerIDs()[:workerCount/2] {
			pool[string(w)] = true
		}
		for _, e := range events {
			if e.Kind == cluster.Started {
				Expect(pool[string(e.Worker)]).To(Equal(job.ID(e.Task[:16]) != later), "%s on %s", e.Task, e.Worker)
			}
		}
	})
})
