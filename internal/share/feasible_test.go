package share_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"samphirestile.example/samphirestile/internal/monotonic"
	"samphirestile.example/samphirestile/internal/share"
)

// replayOverload replays five seconds in which jobs bring twice the work that the pool does, and returns how many are in
// time. The pool works on one job after the other, in the given order, and may change to another job every 20 ms.
func replayOverload(yielding bool) (inTime int) {
	type queued struct {
		share.AcceptedJob
		accepted monotonic.Time
	}
	const step = 20 * time.Millisecond
	random := rand.New(rand.NewPCG(1, 2))
	now := monotonic.Time(time.Hour)
	var queue []queued
	for t := time.Duration(0); t < 30*time.Second; t += step {
		if t < 5*time.Second && t%(2*step) == 0 {
			work := time.Duration(random.ExpFloat64() * float64(4*step))
			queue = append(queue, queued{share.AcceptedJob{Work: work, Remaining: work, Deadline: now.Add(time.Second + 2*work)}, now})
		}
		jobs, waiting := make([]share.AcceptedJob, len(queue)), make([]share.WaitingJob, len(queue))
		for i := range queue {
			jobs[i] = queue[i].AcceptedJob
			waiting[i] = share.WaitingJob{Deadline: queue[i].Deadline, Remaining: queue[i].Remaining, Accepted: queue[i].accepted}
		}
		if yielding {
			for i, yields := range share.Yielding(jobs, now) {
				waiting[i].Yields = yields
			}
		}
		left := step
		for _, i := range share.Order(waiting, now) {
			done := min(left, queue[i].Work)
			queue[i].Work -= done
			queue[i].Remaining, queue[i].Started = queue[i].Work, true
			if left -= done; left == 0 {
				break
			}
		}
		now = now.Add(step)
		rest := queue[:0]
		for _, q := range queue {
			if q.Work > 0 {
				rest = append(rest, q)
			} else if now <= q.Deadline {
				inTime++
			}
		}
		queue = rest
	}
	Expect(queue).To(BeEmpty(), "a job that yields is completed once the peak is over")
	return inTime
}

var _ = Describe("jobs of a queue whose demand exceeds its pool", func() {
	now := monotonic.Time(time.Hour)
	accepted := func(work, deadline time.Duration) share.AcceptedJob {
		return share.AcceptedJob{Work: work, Remaining: work, Deadline: now.Add(deadline)}
	}
	// Guards against a peak in which every job is a little too late, because all are served in the order of their slack.
	It("are in time more often if some of them yield", func() {
		Expect(replayOverload(true)).To(BeNumerically(">", replayOverload(false)*3/2))
	})
	It("do not yield while all of them can be in time", func() {
		jobs := []share.AcceptedJob{accepted(time.Second, 2*time.Second), accepted(time.Second, 3*time.Second)}
		Expect(share.Yielding(jobs, now)).To(Equal([]bool{false, false}))
	})
	It("yield if they cannot be in time, and to several others if they are large", func() {
		jobs := []share.AcceptedJob{
			accepted(time.Second, time.Second/2), accepted(3*time.Second, 4*time.Second), accepted(time.Second, 4*time.Second), accepted(time.Second, 4*time.Second),
		}
		Expect(share.Yielding(jobs, now)).To(Equal([]bool{true, true, false, false}))
	})
	// Guards against an account at several times its usual traffic that makes the jobs of the others late.
	It("yield first if their account exceeds its share, and then if nothing of them has started", func() {
		jobs := []share.AcceptedJob{accepted(time.Second, 2*time.Second), accepted(time.Second, 2*time.Second), accepted(time.Second, 2*time.Second)}
		jobs[1].OverShare = true
		Expect(share.Yielding(jobs, now)).To(Equal([]bool{false, true, false}))
		jobs[1].OverShare = false
		jobs[0].Started, jobs[1].Started = true, true
		Expect(share.Yielding(jobs, now)).To(Equal([]bool{false, false, true}))
		jobs[0].Unpromised = true
		Expect(share.Yielding(jobs, now)).To(Equal([]bool{true, false, false}))
	})
	It("do not yield to jobs of a lower priority", func() {
		jobs := []share.AcceptedJob{accepted(3*time.Second, 4*time.Second), accepted(time.Second, 2*time.Second)}
		jobs[1].Priority = 1
		Expect(share.Yielding(jobs, now)).To(Equal([]bool{false, true}))
	})
	It("are above their share by weight, of which unused parts go to the others", func() {
		over := func(loads ...float64) map[string]bool {
			accounts := map[string]share.AccountLoad{}
			for i, name := range []string{"large", "light", "idle"} {
				accounts[name] = share.AccountLoad{Weight: []float64{8, 1, 8}[i], Load: loads[i]}
			}
			return share.OverShare(accounts, 1.5)
		}
		Expect(over(8, 1, 0)).To(BeEmpty())
		Expect(over(8, 8, 0)).To(Equal(map[string]bool{"light": true}))
		Expect(over(20, 0, 0)).To(BeEmpty())
		Expect(over(0, 0, 0)).To(BeEmpty())
	})
})
