package admission_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"samphirestile.example/samphirestile/internal/admission"
)

// turn replays a queue that asks for four times what its pool holds for five
// seconds, and returns how many of the jobs that were accepted ended within
// their objective and within three times of it.
func turn(decide func(admission.Load) bool) (offered, accepted, inTime, late int) {
	const (
		work      = 100 * time.Millisecond // of the whole pool, for one job
		chain     = 1500 * time.Millisecond
		objective = 3 * time.Second
		every     = 25 * time.Millisecond
	)
	backlog := time.Duration(0)
	for t := time.Duration(0); t < 5*time.Second; t += every {
		offered++
		if decide(admission.Load{Backlog: backlog, JobTime: work, CriticalPath: chain, Objective: objective}) {
			accepted++
			end := backlog + chain
			switch {
			case end <= objective:
				inTime++
			case end <= 3*objective:
				late++
			}
			backlog += work
		}
		backlog = max(0, backlog-every)
	}
	return offered, accepted, inTime, late
}

var _ = Describe("a queue that asks for more than its pool holds", func() {
	It("is served as far as the pool allows, and nobody waits in vain", func() {
		offered, accepted, inTime, late := turn(func(l admission.Load) bool { return admission.Decide(l).Accept })
		Expect(accepted).To(BeNumerically("<", offered))
		Expect(inTime + late).To(Equal(accepted))
	})
	It("would let jobs wait in vain without refusals", func() {
		_, accepted, inTime, late := turn(func(admission.Load) bool { return true })
		Expect(inTime + late).To(BeNumerically("<", accepted))
	})
	It("tells when to come back, which grows with the queue", func() {
		load := admission.Load{Backlog: 8 * time.Second, CriticalPath: time.Second, Objective: 3 * time.Second}
		first := admission.Decide(load)
		load.Backlog = 9 * time.Second
		second := admission.Decide(load)
		Expect(first.Accept || second.Accept).To(BeFalse())
		Expect(first.RetryAfter).To(BeNumerically(">=", time.Second))
		Expect(second.RetryAfter).To(BeNumerically(">", first.RetryAfter))
		// A pool without workers for a moment must not send clients away for days.
		load.Backlog = 1000 * time.Hour
		Expect(admission.Decide(load).RetryAfter).To(BeNumerically("<=", 10*time.Second))
	})
	It("refuses accounts above their share first", func() {
		load := admission.Load{Backlog: 6 * time.Second, CriticalPath: time.Second, Objective: 3 * time.Second}
		Expect(admission.Decide(load).Accept).To(BeTrue())
		load.UsageShare = 1.5
		Expect(admission.Decide(load).Accept).To(BeFalse())
	})
	It("refuses what would wait too long for the advisor, though the pool is empty", func() {
		// One advisor answers in turn; each job asks it once.
		const each, objective = 200 * time.Millisecond, time.Second
		queue, accepted, inTime := time.Duration(0), 0, 0
		for range 40 {
			if admission.Decide(admission.Load{AdvisorBacklog: queue, CriticalPath: each, Objective: objective}).Accept {
				accepted++
				queue += each
				if queue <= 3*objective {
					inTime++
				}
			}
		}
		Expect(accepted).To(BeNumerically("<", 20))
		Expect(inTime).To(Equal(accepted))
	})
	It("accepts any job while nothing waits", func() {
		Expect(admission.Decide(admission.Load{JobTime: time.Minute, CriticalPath: time.Minute, Objective: time.Second}).Accept).To(BeTrue())
	})
})
