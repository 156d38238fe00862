package advice_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"samphirestile.example/samphirestile/internal/advice"
	"samphirestile.example/samphirestile/internal/monotonic"
	"samphirestile.example/samphirestile/internal/share"
)

var _ = Describe("the choice among the requests of a daemon's shards", func() {
	now := monotonic.Time(time.Hour)
	due := func(d time.Duration) share.WaitingJob { return share.WaitingJob{Deadline: now.Add(d)} }

	It("prefers the step with the least slack, whatever its shard", func() {
		Expect(advice.Choose([]advice.Offer{{Job: due(3 * time.Second)}, {Job: due(time.Second)}, {Job: due(2 * time.Second)}}, now)).To(Equal(1))
	})
	// Guards against calls for workers without free resources while an idle worker waits for an approval.
	It("prefers steps that can start at once", func() {
		Expect(advice.Choose([]advice.Offer{{Job: due(time.Second)}, {Job: due(2 * time.Second), Room: true}}, now)).To(Equal(1))
	})
	// Guards against one step whose approvals end before they are used, which would take all calls.
	It("defers a step whose earlier requests started nothing, also if it alone can start", func() {
		Expect(advice.Choose([]advice.Offer{{Job: due(time.Second), Room: true, Deferred: true}, {Job: due(time.Minute)}}, now)).To(Equal(1))
	})
	// Guards against a shard that never has a turn: each other shard has a more urgent job at any time.
	It("gives each shard a turn, in a replay of four shards of which three always have urgent jobs", func() {
		passedOver, turns := make([]int, 4), make([]int, 4)
		for range 100 {
			var offers []advice.Offer
			for i := range 4 {
				o := advice.Offer{Job: due(time.Second), Room: true, PassedOver: passedOver[i]}
				if i == 3 {
					o = advice.Offer{Job: due(time.Minute), Deferred: true, PassedOver: passedOver[i]}
				}
				offers = append(offers, o)
			}
			chosen := advice.Choose(offers, now)
			for i := range passedOver {
				passedOver[i]++
			}
			passedOver[chosen] = 0
			turns[chosen]++
		}
		for i, n := range turns {
			Expect(n).To(BeNumerically(">=", 15), "shard %d of %v", i, turns)
		}
	})
})

var _ = Describe("the number of workers that a request names", func() {
	times := advice.CallTime{Decision: 200 * time.Millisecond, PerWorker: 70 * time.Millisecond}
	DescribeTable("follows what the tasks need", func(n advice.Need, limit, want int) {
		Expect(n.Names(limit)).To(Equal(want))
	},
		Entry("as many as the tasks need where all are approved", advice.Need{Approvable: 3, Rate: 0.99, Call: times}, 48, 3),
		Entry("those known to be approved without a surplus", advice.Need{Approvable: 3, Known: 3, Rate: 0.1, Call: times}, 48, 3),
		Entry("a surplus by the share that the policy approves", advice.Need{Approvable: 3, Known: 1, Rate: 0.25, Call: times}, 48, 9),
		Entry("twice as many in all once the policy has refused some", advice.Need{Approvable: 1, Refused: 12, Rate: 0.5, Call: times}, 48, 12),
		Entry("a batch at most", advice.Need{Approvable: 40, Rate: 0.5, Call: times}, 48, advice.BatchSize),
		Entry("a batch where naming more costs nothing", advice.Need{Approvable: 1, Rate: 0.5, Call: advice.CallTime{Decision: time.Second}}, 48, advice.BatchSize),
		Entry("no more than there are", advice.Need{Approvable: 8, Rate: 0.5, Call: times}, 5, 5),
		Entry("fewer where the call would take most of the validity", advice.Need{Approvable: 20, Rate: 1, Call: times, Validity: 2 * time.Second}, 48, 11),
		Entry("at least one, also where the decision alone takes longer", advice.Need{Approvable: 20, Rate: 1, Call: times, Validity: 300 * time.Millisecond}, 48, 1),
		Entry("half as many after each answer whose approvals had ended", advice.Need{Approvable: 8, Rate: 1, Ended: 2, Call: times}, 48, 2),
		Entry("all that a gang needs at once", advice.Need{Approvable: 44, Known: 44, Rate: 0.5, Gang: true, Ended: 3, Validity: time.Second, Call: times}, 48, 44),
	)
	It("learns the share that the policy approves, and forgets old answers", func() {
		var r advice.ApprovalRate
		Expect(r.Share()).To(Equal(0.5))
		for range 10 {
			r.Add(30, 0)
		}
		Expect(r.Share()).To(BeNumerically("<", 0.05))
		for range 20 {
			r.Add(10, 10)
		}
		Expect(r.Share()).To(BeNumerically(">", 0.9))
	})
})
