package admission_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"samphirestile.example/samphirestile/internal/admission"
	"samphirestile.example/samphirestile/internal/monotonic"
	"samphirestile.example/samphirestile/internal/share"
)

var _ = Describe("the admission of a job by its deadline", func() {
	now := monotonic.Time(time.Hour)
	accepted := func(work, deadline time.Duration) share.AcceptedJob {
		return share.AcceptedJob{Work: work, Remaining: work, Deadline: now.Add(deadline)}
	}
	newcomer := func(work, objective time.Duration) admission.Newcomer {
		return admission.Newcomer{
			AcceptedJob: share.AcceptedJob{Work: work, Remaining: work, Deadline: now.Add(objective)}, FirstAttempt: now, Objective: objective,
		}
	}
	It("accepts a job with an early deadline in front of a long queue", func() {
		queue := []share.AcceptedJob{accepted(8*time.Second, 20*time.Second)}
		d := admission.DecideByDeadline(queue, newcomer(time.Second, 2*time.Second), now)
		Expect(d.Accept).To(BeTrue())
		Expect(d.Unpromised).To(BeFalse())
		Expect(d.Predicted).To(BeNumerically("<=", 2*time.Second))
	})
	// Guards against an accepted job that is late because another one was accepted after it.
	It("promises nothing to a job that would make an accepted one late", func() {
		queue := []share.AcceptedJob{accepted(2*time.Second, 2500*time.Millisecond)}
		d := admission.DecideByDeadline(queue, newcomer(time.Second, 2*time.Second), now)
		Expect(d.Accept && d.Unpromised).To(BeTrue())
		queue[0].OverShare = true
		Expect(admission.DecideByDeadline(queue, newcomer(time.Second, 2*time.Second), now).Unpromised).To(BeFalse())
	})
	It("refuses a job at once that would be worthless, with the time at which the queue has room", func() {
		queue := []share.AcceptedJob{accepted(12*time.Second, 13*time.Second)}
		d := admission.DecideByDeadline(queue, newcomer(2*time.Second, 2*time.Second), now)
		Expect(d.Accept).To(BeFalse())
		Expect(d.RetryAfter).To(BeNumerically(">=", time.Second))
	})
	It("counts the objective from the client's first attempt", func() {
		queue := []share.AcceptedJob{accepted(4*time.Second, 5*time.Second)}
		n := newcomer(time.Second, 2*time.Second)
		Expect(admission.DecideByDeadline(queue, n, now).Accept).To(BeTrue())
		n.FirstAttempt, n.Deadline = now.Add(-3*time.Second), now.Add(-time.Second)
		Expect(admission.DecideByDeadline(queue, n, now).Accept).To(BeFalse())
	})
	It("accepts any job while the queue is empty", func() {
		Expect(admission.DecideByDeadline(nil, newcomer(time.Minute, time.Second), now).Accept).To(BeTrue())
	})
	It("refuses a job that would wait too long for the advisor", func() {
		n := newcomer(time.Second, 2*time.Second)
		n.AdvisorBacklog = 11 * time.Second
		Expect(admission.DecideByDeadline(nil, n, now).Accept).To(BeFalse())
	})
	// Guards against predictions that are kept only until the queue is full: all promised jobs of a peak are in time.
	It("keeps what it promises during a peak of three times the capacity", func() {
		var queue []share.AcceptedJob
		t, promised := now, 0
		for range 150 {
			n := newcomer(100*time.Millisecond, 1500*time.Millisecond)
			n.Deadline, n.FirstAttempt = t.Add(n.Objective), t
			d := admission.DecideByDeadline(queue, n, t)
			if d.Accept {
				n.Unpromised = d.Unpromised
				queue = append(queue, n.AcceptedJob)
			}
			if d.Accept && !d.Unpromised {
				promised++
			}
			left := 33 * time.Millisecond
			end := t.Add(left)
			for i := 0; i < len(queue) && left > 0; {
				if queue[i].Unpromised {
					i++
					continue
				}
				done := min(left, queue[i].Work)
				left -= done
				queue[i].Work -= done
				queue[i].Remaining, queue[i].Started = queue[i].Work, true
				if queue[i].Work > 0 {
					break
				}
				Expect(end.Add(-left)).To(BeNumerically("<=", queue[i].Deadline))
				queue = append(queue[:i], queue[i+1:]...)
			}
			t = end
		}
		Expect(promised).To(BeNumerically(">", 45))
	})
})
