package shard_test

import (
	"context"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"samphirestile.example/samphirestile/internal/job"
	"samphirestile.example/samphirestile/internal/worker"
)

var _ = Describe("a listed worker at whose address another one answers", func() {
	// startWithGone starts an owner for which another worker answers at each of the addresses of w0 while
	// replaced is set. calls counts these answers.
	startWithGone := func(f *fixture) (o *owner, replaced *atomic.Bool, calls *atomic.Int32) {
		replaced, calls = &atomic.Bool{}, &atomic.Int32{}
		replaced.Store(true)
		d := &hookedDialer{answer: func(_ context.Context, dialed worker.Worker, status worker.Status, err error) (worker.Status, error) {
			if dialed.ID != "w0" || !replaced.Load() {
				return status, err
			}
			calls.Add(1)
			return worker.Status{}, &worker.GoneError{ID: dialed.ID}
		}}
		f.wrapDialer = func(wrapped worker.Dialer) worker.Dialer { d.Dialer = wrapped; return d }
		return f.startOwner(), replaced, calls
	}

	// Guards against a call and a connection every tenth of a second to each crashed worker.
	simulatedIt("is contacted every two seconds at most", func(f *fixture) {
		_, _, calls := startWithGone(f)
		time.Sleep(10 * time.Second)
		Expect(calls.Load()).To(And(BeNumerically(">=", 2), BeNumerically("<=", 6)))
	})

	// Guards against a worker that gets no runs any more because another one answered in its place once.
	simulatedIt("is used again when it answers itself", func(f *fixture) {
		f.hide("w1")
		o, replaced, calls := startWithGone(f)
		time.Sleep(500 * time.Millisecond)
		Expect(calls.Load()).To(BeEquivalentTo(1))
		replaced.Store(false)
		time.Sleep(2 * time.Second)
		j := testJob(1, job.Step{})
		o.submit(j)
		Eventually(o.state, callTimeout).WithArguments(j.ID).Should(Equal(string(job.Completed)))
	})

	// Guards against a restarted worker that waits although its entry has changed.
	simulatedIt("is contacted at once when its entry changes", func(f *fixture) {
		_, _, calls := startWithGone(f)
		time.Sleep(500 * time.Millisecond)
		f.workers.SetAddress("w0", newAddress)
		time.Sleep(200 * time.Millisecond)
		Expect(calls.Load()).To(BeEquivalentTo(2))
	})
})
