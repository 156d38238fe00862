package admission_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"samphirestile.example/samphirestile/internal/admission"
)

// replayPeak replays a demand of four times the capacity of the pool for five seconds.
// It returns how many jobs were offered and accepted, and how many of those accepted
// were completed within their objective (inTime) or within three times of it (late).
func replayPeak(decide func(admission.Load) bool) (offered, accepted, inTime, late int) {
	const (
		jobTime         = 100 * time.Millisecond // of the whole pool, for one job
		criticalPath    = 1500 * time.Millisecond
		objective       = 3 * time.Second
		arrivalInterval = 25 * time.Millisecond
	)
	backlog := time.Duration(0)
	for t := time.Duration(0); t < 5*time.Second; t += arrivalInterval {
		offered++
		if decide(admission.Load{Backlog: backlog, JobTime: jobTime, CriticalPath: criticalPath, Objective: objective}) {
			accepted++
			end := backlog + criticalPath
			switch {
			case end <= objective:
				inTime++
			case end <= 3*objective:
				late++
			}
			backlog += jobTime
		}
		backlog = max(0, backlog-arrivalInterval)
	}
	return offered, accepted, inTime, late
}

var _ = Describe("a queue whose demand exceeds the capacity of its pool", func() {
	It("is served up to the capacity of the pool, and no accepted job completes too late", func() {
		offered, accepted, inTime, late := replayPeak(func(l admission.Load) bool { return admission.Decide(l).Accept })
		Expect(accepted).To(BeNumerically("<", offered))
		Expect(inTime + late).To(Equal(accepted))
	})
	It("would complete jobs too late without rejections", func() {
		_, accepted, inTime, late := replayPeak(func(admission.Load) bool { return true })
		Expect(inTime + late).To(BeNumerically("<", accepted))
	})
	It("returns a retry delay that grows with the queue", func() {
		load := admission.Load{Backlog: 8 * time.Second, CriticalPath: time.Second, Objective: 3 * time.Second}
		first := admission.Decide(load)
		load.Backlog = 9 * time.Second
		second := admission.Decide(load)
		Expect(first.Accept || second.Accept).To(BeFalse())
		Expect(first.RetryAfter).To(BeNumerically(">=", time.Second))
		Expect(second.RetryAfter).To(BeNumerically(">", first.RetryAfter))
		// A pool that lacks workers for a moment must not make clients wait for days.
		load.Backlog = 1000 * time.Hour
		Expect(admission.Decide(load).RetryAfter).To(BeNumerically("<=", 10*time.Second))
	})
	It("rejects accounts above their share first", func() {
		load := admission.Load{Backlog: 6 * time.Second, CriticalPath: time.Second, Objective: 3 * time.Second}
		Expect(admission.Decide(load).Accept).To(BeTrue())
		load.UsageShare = 1.5
		Expect(admission.Decide(load).Accept).To(BeFalse())
	})
	It("rejects jobs that would wait too long for the advisor although the pool is idle", func() {
		// The advisor handles one request after the other; each job needs one request.
		const adviceTime, objective = 200 * time.Millisecond, time.Second
		queue, accepted, inTime := time.Duration(0), 0, 0
		for range 40 {
			if admission.Decide(admission.Load{AdvisorBacklog: queue, CriticalPath: adviceTime, Objective: objective}).Accept {
				accepted++
				queue += adviceTime
				if queue <= 3*objective {
					inTime++
				}
			}
		}
		Expect(accepted).To(BeNumerically("<", 20))
		Expect(inTime).To(Equal(accepted))
	})
	It("accepts any job while the queue is empty", func() {
		Expect(admission.Decide(admission.Load{JobTime: time.Minute, CriticalPath: time.Minute, Objective: time.Second}).Accept).To(BeTrue())
	})
})
