package shard

import (
	"github.com/sirupsen/logrus"

	"samphirestile.example/samphirestile/internal/job"
	"samphirestile.example/samphirestile/internal/monotonic"
	"samphirestile.example/samphirestile/internal/placement"
)

// maxCopies is how many concurrent runs of one task are allowed if the step allows speculative
// copies. More than two would only help if two workers were slow at once.
const maxCopies = 2

func maxConcurrentRuns(s *job.Step) int {
	if s.Copyable() {
		return maxCopies
	}
	return 1
}

// runsToCopy returns the runs for which a speculative copy is worthwhile. The caller holds mu.
func (o *Owner) runsToCopy(now monotonic.Time) []*run {
	var slow []*run
	for _, e := range o.active {
		if !e.copyable || e.job.FinalState.IsFinal() || !e.stored || now < e.retryAt {
			continue
		}
		for r := range e.runs {
			if r.step.Copyable() && e.job.Task(r.task).Active < maxCopies && !e.job.Task(r.task).Done && o.shouldCopy(r, now) {
				slow = append(slow, r)
			}
		}
	}
	return slow
}

func (o *Owner) shouldCopy(r *run, now monotonic.Time) bool {
	v := placement.RunningTask{
		Expected: o.estimate(r.entry.job.Queue, r.step), LogStdDev: o.logStdDev(r.entry.job.Queue), Unresponsive: !r.session.reachable,
	}
	if r.state == runConfirmed {
		v.Elapsed = now.Sub(r.started)
	}
	return placement.ShouldSpeculate(v)
}

// placeCopies starts speculative copies on workers for which no other task waits in this pass.
func (p *placer) placeCopies(slow []*run) {
	for _, r := range slow {
		if !p.withinAccountLimit(r.entry, r.step, 1) {
			continue
		}
		t := readyTask{r.task, r.step}
		rack := p.prepareCandidates(r.entry, t)
		for i, s := range p.sessions {
			if s == r.session || p.candidates[i].Contended {
				p.candidates[i].Allowed = false
			}
		}
		i := placement.Choose(p.candidates, p.request(r.entry, r.step, rack))
		if i < 0 {
			continue
		}
		fields := logrus.Fields{
			"task": r.task.String(), "run": r.number, "worker": r.session.ID, "reachable": r.session.reachable,
			"placed_ms":   p.now.Sub(r.placedAt).Milliseconds(),
			"expected_ms": p.owner.estimate(r.entry.job.Queue, r.step).Milliseconds(), "copy_worker": p.sessions[i].ID,
		}
		if r.started != 0 {
			fields["elapsed_ms"] = p.now.Sub(r.started).Milliseconds()
		}
		p.owner.Log.WithFields(fields).Info("task copied")
		p.startRun(r.entry, t, i, 0)
	}
}
