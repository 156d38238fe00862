package shard_test

import (
	"context"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"samphirestile.example/samphirestile/internal/emulator/cluster"
	"samphirestile.example/samphirestile/internal/job"
	"samphirestile.example/samphirestile/internal/worker"
)

// Guards against a heartbeat that acknowledges a completion of a restarted worker which its owner never received.
var _ = Describe("a worker that restarts", func() {
	It("keeps its completions until the owner has received them, also when acknowledgements were not answered", func() {
		const startTimeout = 900 * time.Millisecond
		f := newFixture(1)
		faults := &commandFaults{startTimeout: startTimeout, paces: map[string]int{}}
		f.wrapDialer = func(d worker.Dialer) worker.Dialer {
			faults.Dialer = d
			return faults
		}
		o, w := f.startOwner(), f.worker("w0")
		first, second := testJob(1, job.Step{}), testJob(2, job.Step{})
		task := string(second.ID) + ".0.0.0"
		f.setBehaviour(string(first.ID)+".0.0.0", cluster.Behaviour{Duration: 400 * time.Millisecond})
		f.setBehaviour(task, cluster.Behaviour{Duration: 20 * time.Millisecond})
		o.submit(first)
		Eventually(w.Running, callTimeout).Should(Equal(1))
		faults.set(func(d *commandFaults) { d.heldStarts = 1 })
		o.submit(second)
		Eventually(faults.count, callTimeout).Should(Equal(1))
		// The heartbeat in flight still reports the completion of the first job.
		time.Sleep(100 * time.Millisecond)
		w.SetFaults(cluster.WorkerFaults{LoseHeartbeatReplies: 1 << 20, LoseStartReplies: 1 << 20, LoseStopReplies: 1 << 20})
		Eventually(o.state, callTimeout).WithArguments(first.ID).Should(Equal("completed"))
		w.Crash()
		_ = faults.release() // the restarted worker carries out the start, which has no answer
		completions := func() int { return f.workers.History.Completions(task) }
		Eventually(completions, callTimeout).Should(Equal(1))
		time.Sleep(startTimeout + 500*time.Millisecond) // several heartbeats after the owner has given up the start
		w.SetFaults(cluster.WorkerFaults{})
		Eventually(o.state, 2*callTimeout).WithArguments(second.ID).Should(Equal("completed"))
		Expect(f.workers.History.Starts(task)).To(Equal(1))
	})
})

var _ = Describe("the start command of a cancelled run that reaches a restarted worker", func() {
	// newOwner returns an owner of one worker that holds the start command of a run. Other tasks with the given durations run there before.
	newOwner := func(f *fixture, others ...time.Duration) (*owner, *commandFaults) {
		faults := &commandFaults{startTimeout: 900 * time.Millisecond, paces: map[string]int{}}
		f.wrapDialer = func(d worker.Dialer) worker.Dialer {
			faults.Dialer = d
			return faults
		}
		f.workers.Remove("w1")
		o := f.startOwner()
		for i, duration := range others {
			other := testJob(2+i, job.Step{})
			f.setBehaviour(string(other.ID)+".0.0.0", cluster.Behaviour{Duration: duration})
			o.submit(other)
		}
		Eventually(f.worker("w0").Running, callTimeout).Should(Equal(len(others)))
		faults.set(func(d *commandFaults) { d.heldStarts = 1 })
		j := testJob(1, job.Step{LongRunning: true})
		f.setBehaviour(string(j.ID)+".0.0.0", cluster.Behaviour{Duration: time.Hour})
		o.submit(j)
		Eventually(faults.count, callTimeout).Should(Equal(1))
		return o, faults
	}
	// cancel cancels the job and waits until the worker has answered the stop.
	cancel := func(o *owner) {
		Expect(o.Cancel(context.Background(), testJob(1).ID)).To(Succeed())
		time.Sleep(2 * time.Second)
	}

	// Guards against a run that nobody stops because the owner has forgotten its start with the session.
	simulatedIt("is stopped when the worker was not listed for a while", func(f *fixture) {
		o, faults := newOwner(f)
		cancel(o)
		w := f.worker("w0")
		f.hide(w.ID)
		time.Sleep(time.Second)
		w.Crash()
		f.list(w.ID)
		time.Sleep(time.Second)
		_ = faults.release() // the restarted worker refuses it
		Eventually(w.Running, stopGrace+callTimeout).Should(BeZero())
	})

	// Guards against a run that nobody stops because its stop was answered before its start was known to have no answer.
	simulatedIt("is stopped when the stop was answered while the start was in flight", func(f *fixture) {
		// The status at the end of the second task is the first one that was requested after the stop.
		o, faults := newOwner(f, 600*time.Millisecond, 800*time.Millisecond)
		cancel(o)
		w := f.worker("w0")
		w.Crash()
		time.Sleep(5 * time.Second)
		_ = faults.release() // the restarted worker refuses it
		Eventually(w.Running, stopGrace+callTimeout).Should(BeZero())
	})

	// Guards against a run that nobody stops because its second start command was answered and its end was listed.
	simulatedIt("is stopped when the run had ended", func(f *fixture) {
		o, faults := newOwner(f)
		w := f.worker("w0")
		Eventually(w.Running, callTimeout).Should(Equal(1))
		cancel(o)
		w.Crash()
		time.Sleep(5 * time.Second)
		_ = faults.release() // the restarted worker refuses it
		Eventually(w.Running, stopGrace+callTimeout).Should(BeZero())
	})

	// Guards against a run that the successor of its owner does not see, as it has no runs on the worker.
	for _, delay := range []time.Duration{0, 5 * time.Second} {
		simulatedIt(fmt.Sprintf("is refused or stopped when a former owner sent it, %v after the restart", delay), func(f *fixture) {
			f.workers.ListsStarts = true
			o, faults := newOwner(f)
			cancel(o)
			o.Close()
			o.stop()
			f.startOwner()
			time.Sleep(time.Second)
			w := f.worker("w0")
			w.Crash()
			time.Sleep(delay)
			_ = faults.release() // a worker that has received the successor's token refuses it
			Eventually(w.Running, stopGrace+callTimeout).Should(BeZero())
		})
	}
})
