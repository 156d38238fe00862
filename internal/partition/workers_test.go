package partition_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"samphirestile.example/samphirestile/internal/partition"
	"samphirestile.example/samphirestile/internal/worker"
)

var _ = Describe("the workers of partitions", func() {
	workers := func(n, racks int) []worker.Worker {
		var out []worker.Worker
		for i := range n {
			out = append(out, worker.Worker{ID: worker.ID(fmt.Sprintf("w%02d", i)), Labels: []string{"kind", fmt.Sprintf("r%d", i%racks)}})
		}
		return out
	}
	holding := func(n, wanted int) *partition.WorkerCounts {
		h := partition.WorkersByShard{}
		for i := range n {
			h.Add("x", worker.Worker{Labels: []string{"kind", fmt.Sprintf("r%d", i%4)}})
		}
		if n == 0 {
			return &partition.WorkerCounts{Wanted: wanted}
		}
		h["x"].Wanted = wanted
		return h["x"]
	}

	// oneSurplusEach returns a large partition b that lacks three workers, and fifteen small
	// ones that have one surplus worker each. first is the name of one of them; it decides
	// whether a is the first by name.
	oneSurplusEach := func(first string) partition.WorkersByShard {
		held := partition.WorkersByShard{"b": holding(20, 23), first: holding(4, 3)}
		for i := range 14 {
			held[fmt.Sprintf("c%02d", i)] = holding(4, 3)
		}
		if first != "a" {
			held["a"] = held["c00"]
			delete(held, "c00")
		}
		return held
	}

	It("are divided evenly, with every rack in each partition", func() {
		held := partition.WorkersByShard{"a": {}, "b": {}, "c": {}, "d": {}}
		all := workers(60, 3)
		assigned := partition.Assign(all, held)
		Expect(assigned).To(HaveLen(60))
		for _, h := range held {
			Expect(h.Workers).To(Equal(15))
			Expect(h.Racks).To(HaveLen(3))
		}
		Expect(partition.Assign(workers(60, 3), partition.WorkersByShard{"d": {}, "c": {}, "b": {}, "a": {}})).To(Equal(assigned))
	})
	It("go to the partition that lacks the most", func() {
		held := partition.WorkersByShard{"a": holding(10, 2), "b": holding(10, 16)}
		for _, shard := range partition.Assign(workers(6, 2), held) {
			Expect(shard).To(Equal("b"))
		}
	})
	DescribeTable("are transferred to another partition", func(held partition.WorkersByShard, to string, n int) {
		gotTo, gotN := partition.Surplus(held, "a")
		Expect([]any{gotTo, gotN}).To(Equal([]any{to, n}))
	},
		Entry("that has none after a split", partition.WorkersByShard{"a": holding(60, 0), "b": holding(0, 0)}, "b", 30),
		Entry("but not for a small difference", partition.WorkersByShard{"a": holding(12, 0), "b": holding(10, 0)}, "", 0),
		Entry("that lacks some for tasks that must not share workers", partition.WorkersByShard{"a": holding(16, 4), "b": holding(16, 24)}, "b", 10),
		Entry("with the longer queue, while all lack some", partition.WorkersByShard{"a": holding(60, 60), "b": holding(30, 120)}, "b", 30),
		Entry("but not while all lack the same number", partition.WorkersByShard{"a": holding(16, 30), "b": holding(16, 30)}, "", 0),
		Entry("but not by a partition that lacks workers itself", partition.WorkersByShard{"a": holding(10, 20), "b": holding(20, 5)}, "", 0),
		Entry("that lacks some, while each of the others has one surplus worker", oneSurplusEach("a"), "b", 1),
		Entry("but by one of them at a time", oneSurplusEach("Z"), "b", 0),
		Entry("but not if there is only one", partition.WorkersByShard{"a": holding(10, 20)}, "", 0),
	)
	It("are of every kind in each partition, or are transferred to one that lacks a kind", func() {
		held := partition.WorkersByShard{"a": {}, "b": {}}
		all := workers(16, 2)
		all[3].Labels, all[9].Labels, all[15].Labels = []string{"rare", "r0"}, []string{"rare", "r0"}, []string{"rare", "r0"}
		partition.Assign(all, held)
		Expect(held["a"].Kinds["rare"] + held["b"].Kinds["rare"]).To(Equal(3))
		Expect(held["a"].Kinds["rare"]).To(BeElementOf(1, 2))

		rare := worker.Worker{Labels: []string{"rare", "r0"}}
		skewed := partition.WorkersByShard{"a": holding(8, 0), "b": holding(8, 0)}
		skewed.Add("a", rare)
		to, _ := partition.MissingKind(skewed, "a")
		Expect(to).To(BeEmpty())
		skewed.Add("a", rare)
		to, kind := partition.MissingKind(skewed, "a")
		Expect([]string{to, kind}).To(Equal([]string{"b", "rare"}))
		to, _ = partition.MissingKind(skewed, "b")
		Expect(to).To(BeEmpty())
	})
	It("are chosen so that the other partition gets some in every rack", func() {
		chosen := partition.Choose(workers(12, 3), 6, partition.WorkerCounts{Racks: map[string]int{"r0": 2}})
		racks := map[string]int{}
		for _, w := range workers(12, 3) {
			for _, id := range chosen {
				if id == w.ID {
					racks[w.Rack()]++
				}
			}
		}
		Expect(racks).To(Equal(map[string]int{"r0": 1, "r1": 3, "r2": 2}))
	})
})
