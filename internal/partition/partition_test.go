package partition_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"samphirestile.example/samphirestile/internal/job"
	"samphirestile.example/samphirestile/internal/partition"
)

var _ = Describe("the partitions of a pool", func() {
	names := func(d partition.Depths) []string {
		var out []string
		for _, p := range d.Partitions("p") {
			out = append(out, fmt.Sprintf("%s/%d", p.Shard(), p.Depth))
		}
		return out
	}
	id := func(n int) job.ID { return job.ID(fmt.Sprintf("%016x", n)) }

	It("start as one and are split one at a time", func() {
		Expect(names(nil)).To(Equal([]string{"p/0"}))
		Expect(names(partition.Depths{"p": 1})).To(Equal([]string{"p/1", "p#1/1"}))
		Expect(names(partition.Depths{"p": 2, "p#1": 3})).To(Equal([]string{"p/2", "p#1/3", "p#3/2", "p#5/3", "p#2/2"}))
	})
	DescribeTable("contain each job exactly once", func(d partition.Depths) {
		count := map[string]int{}
		for n := range 2000 {
			target := d.Route("p", id(n))
			count[target.Shard()]++
			holders := 0
			for _, p := range d.Partitions("p") {
				if p.Contains(id(n)) {
					holders++
					Expect(p).To(Equal(target))
				}
			}
			Expect(holders).To(Equal(1))
		}
		Expect(count).To(HaveLen(len(d.Partitions("p"))))
	},
		Entry("whole", partition.Depths{}), Entry("of one depth", partition.Depths{"p": 2, "p#1": 2}),
		Entry("of several depths", partition.Depths{"p": 1, "p#1": 3, "p#3": 4}),
	)
	It("are parsed from their names", func() {
		for _, p := range (partition.Depths{"p": 3, "p#1": 4}).Partitions("p") {
			Expect(partition.Parse(p.Shard()).AtDepth(p.Depth)).To(Equal(p))
		}
		Expect(partition.Parse("a#b").Shard()).To(Equal("a#b"))
	})
	It("list the shards that contained their jobs before", func() {
		Expect(partition.Parse("p#5").Ancestors()).To(Equal([]string{"p#1", "p"}))
		Expect(partition.Parse("p").Ancestors()).To(BeEmpty())
		// A job that moves at a split belonged to an ancestor of its target partition.
		before, after := partition.Depths{"p": 1}, partition.Depths{"p": 1, "p#1": 2}
		for n := range 200 {
			old, target := before.Route("p", id(n)), after.Route("p", id(n))
			if old.Shard() != target.Shard() {
				Expect(target.Ancestors()).To(ContainElement(old.Shard()))
			}
			Expect(after.Descend(before.Partitions("p")[0], id(n))).To(Equal(target))
		}
	})
	DescribeTable("increase in number with the workers, the daemons and their load", func(size partition.ClusterSize, currentDepth int, cpuBound bool, wantedDepth int) {
		Expect(partition.WantedDepth(size, currentDepth, cpuBound)).To(Equal(wantedDepth))
	},
		// The names give the number of partitions, the last argument the depth.
		Entry("one in a small deployment", partition.ClusterSize{Workers: 48, Pools: 4, Daemons: 8}, 0, true, 0),
		Entry("two in a larger deployment", partition.ClusterSize{Workers: 349, Pools: 4, Daemons: 29}, 0, false, 1),
		Entry("no more with more daemons than the workers require", partition.ClusterSize{Workers: 349, Pools: 4, Daemons: 300}, 0, false, 1),
		Entry("one with fewer daemons than pools", partition.ClusterSize{Workers: 349, Pools: 5, Daemons: 4}, 0, true, 0),
		Entry("sixteen at the largest specified size", partition.ClusterSize{Workers: 23_000, Pools: 55, Daemons: 1000}, 0, false, 4),
		Entry("one while the counts are unknown", partition.ClusterSize{}, 0, false, 0),
		Entry("no more while workers are listed twice", partition.ClusterSize{Workers: 450, Pools: 4, Daemons: 44}, 1, false, 1),
		Entry("more when there are clearly more workers", partition.ClusterSize{Workers: 700, Pools: 4, Daemons: 44}, 1, false, 2),
		Entry("more when the owner is limited by its CPU", partition.ClusterSize{Workers: 349, Pools: 4, Daemons: 29}, 1, true, 2),
		Entry("no more if they had too few workers", partition.ClusterSize{Workers: 349, Pools: 4, Daemons: 64}, 2, true, 2),
		Entry("and never fewer", partition.ClusterSize{Workers: 10, Pools: 4, Daemons: 3}, 2, false, 2),
	)
	It("exceed the CPU of their owner when they start too many tasks per second for its cores", func() {
		// 300 tasks per second, on 0.8 and 0.2 of a core.
		Expect(partition.ExceedsCPU(300, 0.8)).To(BeFalse())
		Expect(partition.ExceedsCPU(300, 0.2)).To(BeTrue())
	})
	// A pool of small tasks (7 per worker, 1 s each) beside one of large tasks (3 per worker,
	// 1.3 s each), both with 150 workers at their demand peak.
	It("are predicted to exceed the CPU where many tasks fit on a worker", func() {
		size := partition.ClusterSize{Workers: 300, Pools: 4, Daemons: 44}
		small, large := partition.PredictedPeakStarts(size, 2, 7), partition.PredictedPeakStarts(size, 2, 2.3)
		Expect(partition.ExceedsCPU(small, 0.8)).To(BeTrue())
		Expect(partition.ExceedsCPU(large, 0.8)).To(BeFalse())
		Expect(partition.PredictedPeakStarts(partition.ClusterSize{}, 0, 1)).To(BeZero())
	})
})
