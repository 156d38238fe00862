package shard_test

import (
	"context"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"samphirestile.example/samphirestile/internal/emulator/cluster"
	"samphirestile.example/samphirestile/internal/job"
	"samphirestile.example/samphirestile/internal/worker"
)

// routedDialer passes heartbeats and starts through functions, which may delay, replace or lose them.
type routedDialer struct {
	worker.Dialer
	heartbeat func(ctx context.Context, conn worker.Conn, command worker.HeartbeatCommand) (worker.Status, error)
	start     func(ctx context.Context, conn worker.Conn, command worker.StartCommand) (int64, error)
}

type routedConn struct {
	worker.Conn
	dialer *routedDialer
	id     worker.ID
}

// route lets owners that are started from then on reach the workers through a routedDialer.
func (f *fixture) route(d *routedDialer) {
	f.wrapDialer = func(wrapped worker.Dialer) worker.Dialer { d.Dialer = wrapped; return d }
}

func (d *routedDialer) Dial(w worker.Worker) worker.Conn {
	return &routedConn{d.Dialer.Dial(w), d, w.ID}
}

func (c *routedConn) Heartbeat(ctx context.Context, command worker.HeartbeatCommand) (worker.Status, error) {
	if c.dialer.heartbeat == nil || c.id != "w0" {
		return c.Conn.Heartbeat(ctx, command)
	}
	return c.dialer.heartbeat(ctx, c.Conn, command)
}

func (c *routedConn) Start(ctx context.Context, command worker.StartCommand) (int64, error) {
	if c.dialer.start == nil || c.id != "w0" {
		return c.Conn.Start(ctx, command)
	}
	return c.dialer.start(ctx, c.Conn, command)
}

// expectNoViolation checks the history of all workers.
func (f *fixture) expectNoViolation() {
	GinkgoHelper()
	Expect(cluster.Check(f.workers.History.Events(), cluster.Expectation{})).To(BeEmpty())
}

// wholeWorker is a step that takes all resources of a worker.
func wholeWorker() job.Step { return job.Step{Need: worker.Resources{CPU: 8000, MemMB: 100}} }

var _ = Describe("an acknowledgement", func() {
	// Guards against a task that starts again because its end was acknowledged by a number of the former incarnation.
	simulatedIt("is not sent while a start may have begun a run in a new incarnation", func(f *fixture) {
		f.workers.Remove("w1")
		first, second := testJob(1, wholeWorker()), testJob(2, wholeWorker())
		f.setBehaviour(string(second.ID)+".0.0.0", cluster.Behaviour{Duration: 10 * time.Millisecond})
		var crashed atomic.Bool
		f.route(&routedDialer{
			heartbeat: func(ctx context.Context, conn worker.Conn, command worker.HeartbeatCommand) (worker.Status, error) {
				status, err := conn.Heartbeat(ctx, command)
				if len(status.Finished) > 0 && crashed.CompareAndSwap(false, true) {
					f.worker("w0").Crash()
				}
				return status, err
			},
			start: func(ctx context.Context, conn worker.Conn, command worker.StartCommand) (int64, error) {
				clock, err := conn.Start(ctx, command)
				if crashed.Load() {
					time.Sleep(400 * time.Millisecond)
				}
				return clock, err
			},
		})
		o := f.startOwner()
		o.submit(first)
		o.submit(second)
		Eventually(o.state, 10*time.Second).WithArguments(second.ID).Should(Equal("completed"))
		Expect(crashed.Load()).To(BeTrue())
		f.expectNoViolation()
	})

	// Guards against ends that are never acknowledged on a worker that always has an unanswered start (Acks).
	simulatedIt("is sent in time to a worker to which starts are always on their way", func(f *fixture) {
		f.workers.Remove("w1")
		var starts atomic.Int32
		f.route(&routedDialer{start: func(ctx context.Context, conn worker.Conn, command worker.StartCommand) (int64, error) {
			clock, err := conn.Start(ctx, command)
			time.Sleep(time.Duration(300+70*(starts.Add(1)%5)) * time.Millisecond)
			return clock, err
		}})
		o := f.startOwner()
		o.submit(testJob(1, job.Step{Count: 60, Need: worker.Resources{CPU: 1000, MemMB: 10}}))
		time.Sleep(8 * time.Second)
		acknowledged, ended := map[string]time.Time{}, 0
		for _, e := range f.workers.History.Events() {
			if e.Kind == cluster.Acknowledged {
				acknowledged[e.Task] = e.At
			}
		}
		for _, e := range f.workers.History.Events() {
			if e.Kind != cluster.Completed || time.Since(e.At) < 2*time.Second {
				continue
			}
			ended++
			Expect(acknowledged).To(HaveKey(e.Task))
			Expect(acknowledged[e.Task].Sub(e.At)).To(BeNumerically("<", 2*time.Second))
		}
		Expect(ended).To(BeNumerically(">", 15))
	})

	// Guards against ends of a new incarnation that are never acknowledged, because their numbers were sent to it before.
	simulatedIt("is sent to a new incarnation that answered one with a number of the former one", func(f *fixture) {
		f.workers.Remove("w1")
		var crashed atomic.Bool
		f.route(&routedDialer{heartbeat: func(ctx context.Context, conn worker.Conn, command worker.HeartbeatCommand) (worker.Status, error) {
			if command.Acknowledged > 0 && crashed.CompareAndSwap(false, true) {
				f.worker("w0").Crash()
				time.Sleep(10 * time.Millisecond)
			}
			return conn.Heartbeat(ctx, command)
		}})
		o := f.startOwner()
		first, second := testJob(1, job.Step{Count: 6}), testJob(2, job.Step{Count: 3})
		o.submit(first)
		Eventually(o.state, callTimeout).WithArguments(first.ID).Should(Equal("completed"))
		Eventually(crashed.Load, callTimeout).Should(BeTrue())
		o.submit(second)
		Eventually(o.state, callTimeout).WithArguments(second.ID).Should(Equal("completed"))
		time.Sleep(2 * time.Second)
		acknowledged := 0
		for _, e := range f.workers.History.Events() {
			if e.Kind == cluster.Acknowledged && e.Task[:16] == string(second.ID) {
				acknowledged++
			}
		}
		Expect(acknowledged).To(Equal(3))
		f.expectNoViolation()
	})
})

var _ = Describe("the believed end of a lease", func() {
	const clock = 30 * time.Second

	// startBeforeSilence starts a run on w0 by commands that a new incarnation accepts under the former clock, and silences
	// the worker when a heartbeat was answered the given number of times since.
	startBeforeSilence := func(f *fixture, answers int32) {
		f.workers.ListsStarts = true
		f.hide("w1")
		j := testJob(2, job.Step{})
		var restarted atomic.Bool
		var answered atomic.Int32
		f.route(&routedDialer{
			heartbeat: func(ctx context.Context, conn worker.Conn, command worker.HeartbeatCommand) (worker.Status, error) {
				if restarted.Load() && answered.Add(1) > answers {
					return worker.Status{}, &worker.NoAnswerError{Cause: errDelayed}
				}
				return conn.Heartbeat(ctx, command)
			},
			start: func(ctx context.Context, conn worker.Conn, command worker.StartCommand) (int64, error) {
				if command.Task[:16] != string(j.ID) {
					return conn.Start(ctx, command)
				}
				if restarted.CompareAndSwap(false, true) {
					f.worker("w0").Crash()
					f.worker("w0").SetFaults(cluster.WorkerFaults{DelayedStops: 1 << 20, StopDelay: time.Hour})
					f.list("w1")
				}
				_, _ = conn.Start(ctx, command)
				return 0, &worker.NoAnswerError{Cause: errDelayed}
			},
		})
		o := f.startOwner()
		first := testJob(1, job.Step{})
		o.submit(first)
		Eventually(o.state, callTimeout).WithArguments(first.ID).Should(Equal("completed"))
		time.Sleep(clock)
		f.setBehaviour(string(j.ID)+".0.0.0", cluster.Behaviour{Duration: 8 * time.Second})
		o.submit(j)
		Eventually(o.state, 30*time.Second).WithArguments(j.ID).Should(Equal("completed"))
		Expect(restarted.Load()).To(BeTrue())
		f.expectNoViolation()
	}

	// Guards against a second run beside one that a new incarnation accepted under the former clock before it fell silent.
	simulatedIt("allows for a lease that a listed new incarnation took over from the former clock", func(f *fixture) {
		startBeforeSilence(f, 0)
	})

	// Guards against the same after a status of the new incarnation.
	simulatedIt("allows for such a lease also after the new incarnation has answered", func(f *fixture) {
		startBeforeSilence(f, 1)
	})

	// Guards against a second run beside one whose lease on a new incarnation was extended by a start that it refused.
	simulatedIt("allows for a lease that came with a refused start", func(f *fixture) {
		f.hide("w1")
		kept, refused := testJob(2, job.Step{}), testJob(3, job.Step{})
		var restarted, silent atomic.Bool
		f.route(&routedDialer{
			heartbeat: func(ctx context.Context, conn worker.Conn, command worker.HeartbeatCommand) (worker.Status, error) {
				if silent.Load() {
					return worker.Status{}, &worker.NoAnswerError{Cause: errDelayed}
				}
				status, err := conn.Heartbeat(ctx, command)
				return status, err
			},
			start: func(ctx context.Context, conn worker.Conn, command worker.StartCommand) (int64, error) {
				if command.Task[:16] != string(refused.ID) {
					return conn.Start(ctx, command)
				}
				if restarted.CompareAndSwap(false, true) {
					f.worker("w0").Crash()
					time.Sleep(10 * time.Millisecond)
					// The new incarnation has ended this run number already.
					_, _ = conn.Stop(ctx, command.Token, command.Task, command.Number)
					clock, err := conn.Start(ctx, command)
					return clock, err
				}
				return 0, &worker.RefusedError{Reason: worker.RefusedUnhealthy}
			},
		})
		o := f.startOwner()
		first := testJob(1, job.Step{})
		o.submit(first)
		Eventually(o.state, callTimeout).WithArguments(first.ID).Should(Equal("completed"))
		time.Sleep(clock)
		o.submit(refused)
		Eventually(restarted.Load, callTimeout).Should(BeTrue())
		f.setBehaviour(string(kept.ID)+".0.0.0", cluster.Behaviour{Duration: 8 * time.Second})
		Expect(o.Cancel(context.Background(), refused.ID)).To(Succeed())
		time.Sleep(time.Second)
		o.submit(kept)
		Eventually(f.worker("w0").Running, callTimeout).Should(Equal(1))
		silent.Store(true)
		f.worker("w0").SetFaults(cluster.WorkerFaults{DelayedStops: 1 << 20, StopDelay: time.Hour})
		f.list("w1")
		Eventually(o.state, 30*time.Second).WithArguments(kept.ID).Should(Equal("completed"))
		f.expectNoViolation()
	})

	// Guards against the same if only the answer to a command showed the new incarnation before it fell silent.
	simulatedIt("allows for such a lease also after the answer to a stop has shown the new incarnation", func(f *fixture) {
		f.hide("w1")
		unanswered, kept := testJob(2, job.Step{}), testJob(3, job.Step{})
		var restarted atomic.Bool
		f.route(&routedDialer{
			heartbeat: func(ctx context.Context, conn worker.Conn, command worker.HeartbeatCommand) (worker.Status, error) {
				if restarted.Load() {
					time.Sleep(2 * time.Second)
					return worker.Status{}, &worker.NoAnswerError{Cause: errDelayed}
				}
				command.Wait = 0
				return conn.Heartbeat(ctx, command)
			},
			start: func(ctx context.Context, conn worker.Conn, command worker.StartCommand) (int64, error) {
				if command.Task[:16] != string(unanswered.ID) {
					return conn.Start(ctx, command)
				}
				if !restarted.Load() {
					time.Sleep(30 * time.Millisecond)
					f.worker("w0").Crash()
					restarted.Store(true)
					time.Sleep(10 * time.Millisecond)
				}
				_, _ = conn.Start(ctx, command)
				return 0, &worker.NoAnswerError{Cause: errDelayed}
			},
		})
		o := f.startOwner()
		first := testJob(1, job.Step{})
		o.submit(first)
		Eventually(o.state, callTimeout).WithArguments(first.ID).Should(Equal("completed"))
		time.Sleep(clock)
		f.setBehaviour(string(unanswered.ID)+".0.0.0", cluster.Behaviour{Duration: time.Hour})
		f.setBehaviour(string(kept.ID)+".0.0.0", cluster.Behaviour{Duration: 8 * time.Second})
		o.submit(unanswered)
		time.Sleep(100 * time.Millisecond)
		Expect(o.Cancel(context.Background(), unanswered.ID)).To(Succeed())
		time.Sleep(500 * time.Millisecond)
		o.submit(kept)
		Eventually(f.worker("w0").Running, callTimeout).Should(Equal(1))
		f.worker("w0").SetFaults(cluster.WorkerFaults{DelayedStops: 1 << 20, StopDelay: time.Hour})
		f.list("w1")
		Eventually(o.state, 30*time.Second).WithArguments(kept.ID).Should(Equal("completed"))
		f.expectNoViolation()
	})

	// Guards against a second run beside one to which a former owner gave the longest lease when its worker had restarted.
	simulatedIt("allows for such a lease also in a successor", func(f *fixture) {
		f.hide("w1")
		j := testJob(2, job.Step{})
		var restarted, silent atomic.Bool
		f.route(&routedDialer{
			heartbeat: func(ctx context.Context, conn worker.Conn, command worker.HeartbeatCommand) (worker.Status, error) {
				if silent.Load() {
					return worker.Status{}, &worker.NoAnswerError{Cause: errDelayed}
				}
				return conn.Heartbeat(ctx, command)
			},
			start: func(ctx context.Context, conn worker.Conn, command worker.StartCommand) (int64, error) {
				if command.Task[:16] == string(j.ID) && restarted.CompareAndSwap(false, true) {
					f.worker("w0").Crash()
					time.Sleep(10 * time.Millisecond)
				}
				return conn.Start(ctx, command)
			},
		})
		o := f.startOwner()
		first := testJob(1, job.Step{})
		o.submit(first)
		Eventually(o.state, callTimeout).WithArguments(first.ID).Should(Equal("completed"))
		time.Sleep(clock)
		f.setBehaviour(string(j.ID)+".0.0.0", cluster.Behaviour{Duration: 8 * time.Second})
		o.submit(j)
		Eventually(f.worker("w0").Running, callTimeout).Should(Equal(1))
		o.stop()
		o = f.startOwner()
		time.Sleep(200 * time.Millisecond)
		silent.Store(true)
		f.worker("w0").SetFaults(cluster.WorkerFaults{DelayedStops: 1 << 20, StopDelay: time.Hour})
		f.list("w1")
		Eventually(o.state, 30*time.Second).WithArguments(j.ID).Should(Equal("completed"))
		f.expectNoViolation()
	})
})

var _ = Describe("the clock of a worker", func() {
	// Guards against leases on the clock of a former incarnation, whose answer arrives after the restart was noticed.
	simulatedIt("is not taken from a late answer of the former incarnation", func(f *fixture) {
		f.workers.Remove("w1")
		slow, last := testJob(2, job.Step{}), testJob(3, job.Step{})
		var restarted atomic.Bool
		var atWorker, beyond atomic.Int64
		f.route(&routedDialer{
			heartbeat: func(ctx context.Context, conn worker.Conn, command worker.HeartbeatCommand) (worker.Status, error) {
				command.Wait = 0
				status, err := conn.Heartbeat(ctx, command)
				if command.LeaseEndMS > 0 && restarted.Load() {
					atWorker.Store(status.ClockMS)
					if command.LeaseEndMS > status.ClockMS+10_000 && time.Duration(status.ClockMS)*time.Millisecond > 500*time.Millisecond {
						beyond.Add(1)
					}
				}
				return status, err
			},
			start: func(ctx context.Context, conn worker.Conn, command worker.StartCommand) (int64, error) {
				clock, err := conn.Start(ctx, command)
				if command.Task[:16] == string(slow.ID) && restarted.CompareAndSwap(false, true) {
					f.worker("w0").Crash()
					time.Sleep(600 * time.Millisecond)
				}
				return clock, err
			},
		})
		o := f.startOwner()
		first := testJob(1, job.Step{})
		o.submit(first)
		Eventually(o.state, callTimeout).WithArguments(first.ID).Should(Equal("completed"))
		time.Sleep(30 * time.Second)
		f.setBehaviour(string(last.ID)+".0.0.0", cluster.Behaviour{Duration: 5 * time.Second})
		o.submit(slow)
		o.submit(last)
		Eventually(o.state, 15*time.Second).WithArguments(last.ID).Should(Equal("completed"))
		Expect(atWorker.Load()).To(BeNumerically(">", 0))
		Expect(beyond.Load()).To(BeZero())
		f.expectNoViolation()
	})

	// Guards against completions acknowledged by numbers of the former incarnation after an answer has shown the restart.
	simulatedIt("shows a restart also in the answer to a call from before the last answer", func(f *fixture) {
		f.workers.Remove("w1")
		first, second := testJob(1, job.Step{}), testJob(2, job.Step{})
		f.setBehaviour(string(first.ID)+".0.0.0", cluster.Behaviour{Duration: 100 * time.Millisecond})
		f.setBehaviour(string(second.ID)+".0.0.0", cluster.Behaviour{Duration: 10 * time.Millisecond})
		var crashed atomic.Bool
		f.route(&routedDialer{
			heartbeat: func(ctx context.Context, conn worker.Conn, command worker.HeartbeatCommand) (worker.Status, error) {
				if command.Acknowledged > 0 {
					time.Sleep(20 * time.Millisecond)
				}
				status, err := conn.Heartbeat(ctx, command)
				if len(status.Finished) > 0 && crashed.CompareAndSwap(false, true) {
					f.worker("w0").Crash()
				}
				return status, err
			},
			start: func(ctx context.Context, conn worker.Conn, command worker.StartCommand) (int64, error) {
				if command.Task[:16] == string(second.ID) {
					time.Sleep(150 * time.Millisecond)
				}
				return conn.Start(ctx, command)
			},
		})
		o := f.startOwner()
		time.Sleep(time.Second)
		o.submit(first)
		o.submit(second)
		Eventually(o.state, 10*time.Second).WithArguments(second.ID).Should(Equal("completed"))
		Expect(crashed.Load()).To(BeTrue())
		f.expectNoViolation()
	})
})

var _ = Describe("an answer that another worker is at the address", func() {
	// Guards against a second run of a task beside one that the worker confirmed after the request for that answer.
	simulatedIt("does not end a run that the worker showed after the request", func(f *fixture) {
		f.hide("w1")
		j := testJob(2, job.Step{})
		var replaced atomic.Bool
		f.route(&routedDialer{
			heartbeat: func(ctx context.Context, conn worker.Conn, command worker.HeartbeatCommand) (worker.Status, error) {
				if replaced.CompareAndSwap(true, false) {
					time.Sleep(200 * time.Millisecond)
					f.list("w1")
					return worker.Status{}, &worker.GoneError{ID: "w0"}
				}
				return conn.Heartbeat(ctx, command)
			},
			start: func(ctx context.Context, conn worker.Conn, command worker.StartCommand) (int64, error) {
				time.Sleep(50 * time.Millisecond)
				return conn.Start(ctx, command)
			},
		})
		o := f.startOwner()
		first := testJob(1, job.Step{})
		o.submit(first)
		Eventually(o.state, callTimeout).WithArguments(first.ID).Should(Equal("completed"))
		time.Sleep(2 * time.Second)
		replaced.Store(true)
		f.setBehaviour(string(j.ID)+".0.0.0", cluster.Behaviour{Duration: 2 * time.Second})
		o.submit(j)
		Eventually(o.state, 10*time.Second).WithArguments(j.ID).Should(Equal("completed"))
		Expect(replaced.Load()).To(BeFalse())
		f.expectNoViolation()
	})
})

var _ = Describe("starts that a worker refuses as stale", func() {
	// Guards against a start command, with a new run number, for every round trip while a worker refuses the task.
	simulatedIt("are repeated after growing delays", func(f *fixture) {
		f.workers.Remove("w1")
		var refused atomic.Int32
		f.route(&routedDialer{start: func(context.Context, worker.Conn, worker.StartCommand) (int64, error) {
			time.Sleep(5 * time.Millisecond)
			refused.Add(1)
			return 0, &worker.RefusedError{Reason: worker.RefusedStaleRun}
		}})
		o := f.startOwner()
		o.submit(testJob(1, job.Step{}))
		time.Sleep(time.Second)
		Expect(refused.Load()).To(BeNumerically("<=", 8))
		time.Sleep(4 * time.Second)
		Expect(refused.Load()).To(BeNumerically(">=", 6))
	})
})
