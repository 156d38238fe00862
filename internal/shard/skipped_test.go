package shard

import (
	"testing"

	. "github.com/onsi/gomega"

	"samphirestile.example/samphirestile/internal/job"
	"samphirestile.example/samphirestile/internal/worker"
)

// Guards against jobs beyond the bound of one pass that no pass ever looks at.
func TestPassesLookAtAllJobsInTurn(t *testing.T) {
	g := NewWithT(t)
	const jobs = 300
	o := benchOwner(worker.Resources{CPU: 16000, MemMB: 64000}, 60, jobs, func(int) job.Step {
		return job.Step{Need: worker.Resources{CPU: 17000, MemMB: 1000}, LongRunning: true, MaxPerWorker: 1}
	})
	o.schedulingPass()
	skipped := map[job.ID]bool{}
	for id, e := range o.active {
		if e.skips > 0 {
			skipped[id] = true
		}
	}
	g.Expect(len(skipped)).To(And(BeNumerically(">", 0), BeNumerically("<", jobs)), "the pass has to be bounded")
	for range jobs * len(o.sessions) / maxFruitlessScans {
		o.schedulingPass()
		for id, e := range o.active {
			if e.skips == 0 {
				delete(skipped, id)
			}
		}
	}
	g.Expect(skipped).To(BeEmpty())
}
