package shard_test

import (
	"context"
	"errors"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"samphirestile.example/samphirestile/internal/emulator/cluster"
	"samphirestile.example/samphirestile/internal/job"
	"samphirestile.example/samphirestile/internal/worker"
)

// withholdingNetwork keeps starts from their worker until they are released, and records the tokens of heartbeats.
type withholdingNetwork struct {
	worker.Dialer

	mu sync.Mutex
	// toWithhold is the number of starts that are withheld from now on.
	toWithhold int
	withheld   []func() error
	tokens     []uint64
	// afterHeartbeat is called once, after the next heartbeat was answered.
	afterHeartbeat func()
	// slowHeartbeats is the number of heartbeats that arrive slowHeartbeat late from now on.
	slowHeartbeats int
	// refused is the number of heartbeats that were refused.
	refused int
}

// slowHeartbeat outlasts a call without an answer.
const slowHeartbeat = callDuration + 500*time.Millisecond

func (n *withholdingNetwork) Dial(w worker.Worker) worker.Conn {
	return &withholdingConn{n.Dialer.Dial(w), n}
}

type withholdingConn struct {
	worker.Conn
	network *withholdingNetwork
}

func (c *withholdingConn) Start(ctx context.Context, command worker.StartCommand) (int64, error) {
	n := c.network
	n.mu.Lock()
	withhold := n.toWithhold > 0
	if withhold {
		n.toWithhold--
		n.withheld = append(n.withheld, func() error {
			_, err := c.Conn.Start(context.Background(), command)
			return err
		})
	}
	n.mu.Unlock()
	if !withhold {
		return c.Conn.Start(ctx, command)
	}
	time.Sleep(callDuration)
	return 0, &worker.NoAnswerError{Cause: errDelayed}
}

func (c *withholdingConn) Heartbeat(ctx context.Context, command worker.HeartbeatCommand) (worker.Status, error) {
	n := c.network
	n.mu.Lock()
	n.tokens = append(n.tokens, command.Token)
	slow := n.slowHeartbeats > 0
	if slow {
		n.slowHeartbeats--
	}
	n.mu.Unlock()
	if slow {
		time.Sleep(slowHeartbeat)
	}
	status, err := c.Conn.Heartbeat(ctx, command)
	n.mu.Lock()
	if errors.As(err, new(*worker.RefusedError)) {
		n.refused++
	}
	after := n.afterHeartbeat
	n.afterHeartbeat = nil
	n.mu.Unlock()
	if after != nil {
		after()
	}
	return status, err
}

func (n *withholdingNetwork) set(change func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	change()
}

func (n *withholdingNetwork) lastToken() uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.tokens[len(n.tokens)-1]
}

func (n *withholdingNetwork) refusedHeartbeats() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.refused
}

// release lets the withheld starts arrive and returns what their worker answered.
func (n *withholdingNetwork) release() (errs []error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, start := range n.withheld {
		errs = append(errs, start())
	}
	n.withheld = nil
	return errs
}

var _ = Describe("a start without an answer", func() {
	setUp := func(f *fixture) *withholdingNetwork {
		n := &withholdingNetwork{Dialer: f.workers}
		f.wrapDialer = func(worker.Dialer) worker.Dialer { return n }
		f.workers.Remove("w1")
		return n
	}
	refusedBy := func(errs []error, reason worker.Refusal) {
		GinkgoHelper()
		Expect(errs).NotTo(BeEmpty())
		for _, err := range errs {
			var refused *worker.RefusedError
			Expect(errors.As(err, &refused)).To(BeTrue(), "%v", err)
			Expect(refused.Reason).To(Equal(reason))
		}
	}

	// Guards against TWICE: a start for the former life of a worker that takes effect after a restart, although its task
	// is done and the completion acknowledged. The owner's next heartbeat waits at the new incarnation, so the restart
	// is not known yet.
	simulatedIt("has no effect in an incarnation that has received a later call", func(f *fixture) {
		n := setUp(f)
		o := f.startOwner()
		n.set(func() { n.toWithhold = 1 })
		j := testJob(1, job.Step{})
		o.submit(j)
		Eventually(o.state, callTimeout, "10ms").WithArguments(j.ID).Should(Equal("completed"))
		time.Sleep(time.Second)
		// A run keeps heartbeats waiting for a second.
		second := testJob(2, job.Step{})
		f.setBehaviour(string(second.ID)+".0.0.0", cluster.Behaviour{Duration: time.Minute})
		o.submit(second)
		time.Sleep(time.Second)
		restarted := make(chan struct{})
		n.set(func() {
			n.afterHeartbeat = func() {
				f.worker("w0").Crash()
				close(restarted)
			}
		})
		<-restarted
		time.Sleep(500 * time.Millisecond)
		refusedBy(n.release(), worker.RefusedFence)
		Expect(cluster.Check(f.workers.History.Events(), cluster.Expectation{})).To(BeEmpty())
	})

	// Guards against a second start without an answer whose token is not exceeded, because nothing is written meanwhile.
	simulatedIt("is followed by calls with a higher token each time", func(f *fixture) {
		n := setUp(f)
		o := f.startOwner()
		first := n.lastToken()
		n.set(func() { n.toWithhold = 2 })
		o.submit(testJob(1, job.Step{LongRunning: true}))
		time.Sleep(callDuration + 500*time.Millisecond)
		second := n.lastToken()
		Expect(second).To(BeNumerically(">", first))
		time.Sleep(callDuration + 500*time.Millisecond)
		Expect(n.lastToken()).To(BeNumerically(">", second))
		refusedBy(n.release()[:1], worker.RefusedFence)
	})

	// Guards against an owner with a raised token that keeps its successor from the worker.
	simulatedIt("does not keep a successor from the worker", func(f *fixture) {
		n := setUp(f)
		o := f.startOwner()
		n.set(func() { n.toWithhold = 1 })
		j := testJob(1, job.Step{})
		o.submit(j)
		Eventually(o.state, callTimeout, "10ms").WithArguments(j.ID).Should(Equal("completed"))
		raised := n.lastToken()
		o.stop()
		successor := f.startOwner()
		next := testJob(2, job.Step{})
		successor.submit(next)
		Eventually(successor.state, callTimeout, "10ms").WithArguments(next.ID).Should(Equal("completed"))
		Expect(n.lastToken()).To(BeNumerically(">", raised))
	})

	// Guards against a heartbeat with the former token that is taken for one of a deposed owner.
	simulatedIt("leaves the worker in use when a heartbeat is overtaken by the higher token", func(f *fixture) {
		n := setUp(f)
		o := f.startOwner()
		long := testJob(1, job.Step{})
		f.setBehaviour(string(long.ID)+".0.0.0", cluster.Behaviour{Duration: time.Minute})
		o.submit(long)
		time.Sleep(time.Second)
		answered := make(chan struct{})
		n.set(func() { n.afterHeartbeat = func() { close(answered) } })
		<-answered
		n.set(func() { n.toWithhold, n.slowHeartbeats = 1, 1 })
		o.submit(testJob(2, job.Step{}))
		Eventually(n.refusedHeartbeats, 2*callTimeout, "1ms").Should(Equal(1))
		third := testJob(3, job.Step{})
		o.submit(third)
		Eventually(o.state, "500ms", "10ms").WithArguments(third.ID).Should(Equal("completed"))
	})
})
