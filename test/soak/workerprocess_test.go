package soak

import (
	"context"
	"os"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"samphirestile.example/samphirestile/internal/emulator/cluster"
	"samphirestile.example/samphirestile/internal/worker"
	"samphirestile.example/samphirestile/platform"
	"samphirestile.example/samphirestile/platform/standin"
)

var _ = Describe("a worker as a separate process", func() {
	const task, spec = "00aa000000000004.0.0.0", `{"minMs":60000}`
	var (
		w    *processWorker
		pool *processPool
		ctx  = context.Background()
	)
	BeforeEach(func() {
		dir, err := os.MkdirTemp("", "samphirestile-worker-")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(os.RemoveAll, dir)
		c := &cell{dir: dir}
		c.platform, err = standin.Start(service, 0, capacity, nil)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(c.platform.Close)
		started, err := startProcessWorkers(1)(c, 1)
		DeferCleanup(started.close)
		Expect(err).NotTo(HaveOccurred())
		pool = started.(*processPool)
		w = pool.workers[0]
	})
	dial := func(id worker.ID) worker.Conn {
		conn := platform.Workers{}.Dial(worker.Worker{ID: id, Address: w.listed.Address})
		DeferCleanup(conn.Close)
		return conn
	}
	start := func(number int, token uint64) worker.StartCommand {
		return worker.StartCommand{Task: task, Number: number, Token: token, Spec: spec, LeaseEndMS: time.Hour.Milliseconds()}
	}
	kinds := func() (all []cluster.EventKind) {
		for _, e := range pool.events() {
			all = append(all, e.Kind)
		}
		return all
	}

	// Guards against a rig that misses runs of a killed worker, takes them for running on, or keeps state beyond a restart.
	It("ends its runs when it is killed and starts again under its ID without them", func() {
		conn := dial(w.listed.ID)
		_, err := conn.Start(ctx, start(2, 5))
		Expect(err).NotTo(HaveOccurred())
		Expect(kinds()).To(Equal([]cluster.EventKind{cluster.Started}))
		_, err = conn.Start(ctx, start(3, 4))
		Expect(err).To(MatchError(ContainSubstring("fence")), "a lower token")
		before, err := conn.Heartbeat(ctx, worker.HeartbeatCommand{Token: 5})
		Expect(err).NotTo(HaveOccurred())
		Expect(before.Running).To(HaveLen(1))

		Expect(w.kill()).To(Succeed())
		Expect(kinds()).To(Equal([]cluster.EventKind{cluster.Started, cluster.Finished}))
		_, err = dial(w.listed.ID).Start(ctx, start(3, 5))
		Expect(err).To(BeAssignableToTypeOf(&worker.UnreachableError{}))

		Expect(w.start()).To(Succeed())
		conn = dial(w.listed.ID)
		after, err := conn.Heartbeat(ctx, worker.HeartbeatCommand{Token: 4})
		Expect(err).NotTo(HaveOccurred())
		Expect(after.Running).To(BeEmpty())
		Expect(after.Finished).To(BeEmpty())
		Expect(after.IncarnationStartMS).To(BeNumerically(">", before.IncarnationStartMS))
		Expect(after.IncarnationStartMS).To(Equal(w.listed.StartMS))
		_, err = conn.Start(ctx, start(1, 4))
		Expect(err).NotTo(HaveOccurred())
		events := pool.events()
		Expect(events).To(HaveLen(3))
		Expect(events[2].Incarnation).To(Equal(1))
		Expect(cluster.Check(events, cluster.Expectation{})).To(BeEmpty())
	})

	// Guards against a rig whose workers carry out what is meant for others, or refuse what the protocol accepts.
	It("accepts a higher run beside one at work, and no command for another worker", func() {
		_, err := dial("other").Start(ctx, start(1, 1))
		Expect(err).To(BeAssignableToTypeOf(&worker.GoneError{}))
		conn := dial(w.listed.ID)
		for number := range 2 {
			_, err = conn.Start(ctx, start(number+1, 1))
			Expect(err).NotTo(HaveOccurred())
		}
		violations := cluster.Check(pool.events(), cluster.Expectation{})
		Expect(violations).To(HaveLen(1))
		Expect(violations[0].Rule).To(Equal(cluster.RuleOneRun))
	})
})
