package shard

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"samphirestile.example/samphirestile/internal/job"
	"samphirestile.example/samphirestile/internal/monotonic"
	"samphirestile.example/samphirestile/internal/policy"
	"samphirestile.example/samphirestile/internal/worker"
)

// Guards against large tasks, also long-running ones, that keep more than half of the workers from other tasks.
func TestReservationsAreAtMostHalfOfTheWorkers(t *testing.T) {
	o := benchOwner(worker.Resources{}, 10, 40, func(i int) job.Step {
		return job.Step{Need: worker.Resources{CPU: 20000}, LongRunning: i%2 == 0}
	})
	o.Policy.LookAhead = policy.LookAhead{Enabled: true, MaxReservations: 64, MaxWaitMS: 1500}
	attachRuns(o, 6)
	p := &placer{owner: o, now: monotonic.Now(), index: map[*session]int{}}
	for _, s := range o.sessions {
		p.add(s)
	}
	p.lookAhead = p.newLookAhead()
	for _, e := range o.active {
		p.placeJob(e)
	}
	reserved := 0
	for i := range p.candidates {
		if p.candidates[i].Reserved || p.candidates[i].Reservation.Held {
			reserved++
		}
	}
	NewWithT(t).Expect(reserved).To(Equal(5))
}

// Guards against a job that no worker can run, which keeps its turn and so lets the others starve.
func TestTurnEndsWithoutReservation(t *testing.T) {
	g := NewWithT(t)
	o := benchOwner(worker.Resources{}, 10, 2, func(i int) job.Step {
		return job.Step{Need: worker.Resources{CPU: int64(20000 + i*20000)}}
	})
	o.Policy.LookAhead = policy.LookAhead{Enabled: true, MaxReservations: 8, MaxWaitMS: 1500}
	attachRuns(o, 6)
	since := monotonic.Now().Add(-time.Minute)
	for _, e := range o.active {
		e.blockedSince = since
		if e.job.Steps[0].Need.CPU > 32000 {
			e.blockedSince--
		}
	}
	o.schedulingPass()
	o.schedulingPass()
	for _, e := range o.active {
		if e.job.Steps[0].Need.CPU > 32000 {
			g.Expect(e.blockedSince).To(BeNumerically(">", since))
			g.Expect(e.reserved).To(BeEmpty())
		} else {
			g.Expect(e.blockedSince).To(Equal(since))
			g.Expect(e.reserved).NotTo(BeEmpty())
		}
	}
}
