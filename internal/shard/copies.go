package shard

import (
	"github.com/sirupsen/logrus"

	"samphirestile.example/samphirestile/internal/job"
	"samphirestile.example/samphirestile/internal/monotonic"
	"samphirestile.example/samphirestile/internal/placement"
)

// maxCopies is how many runs of one task may go on where the step allows copies.
// More than two would only pay if two workers were slow at once.
const maxCopies = 2

func copiesOf(s *job.Step) int {
	if s.Copyable() {
		return maxCopies
	}
	return 1
}

// runsToCopy returns the running tasks for which a second copy pays. The caller holds mu.
func (o *Owner) runsToCopy(now monotonic.Time) []*run {
	var late []*run
	for _, e := range o.active {
		if !e.copyable || e.live.Final.Final() || !e.stored || now < e.retryAt {
			continue
		}
		for r := range e.runs {
			if r.step.Copyable() && e.live.Task(r.task).Active < maxCopies && !e.live.Task(r.task).Done && o.isLate(r, now) {
				late = append(late, r)
			}
		}
	}
	return late
}

func (o *Owner) isLate(r *run, now monotonic.Time) bool {
	v := placement.Running{
		Expected: o.estimate(r.entry.live.Queue, r.step), Spread: o.spread(r.entry.live.Queue), Silent: !r.session.reachable,
	}
	if r.state == runConfirmed {
		v.Elapsed = now.Sub(r.started)
	}
	return placement.WorthCopy(v)
}

// placeCopies starts second copies. It is called when nothing else waits for room.
func (p *placer) placeCopies(late []*run) {
	for _, r := range late {
		if !p.allowed(r.entry, r.step, 1) {
			continue
		}
		t := readyTask{r.task, r.step}
		rack := p.countStep(r.entry, t)
		for i, s := range p.sessions {
			if s == r.session {
				p.candidates[i].Allowed = false
			}
		}
		i := placement.Choose(p.candidates, placement.Request{Step: r.step, Rack: rack})
		if i < 0 {
			continue
		}
		p.owner.Log.WithFields(logrus.Fields{
			"task": r.task.String(), "run": r.number, "worker": r.session.ID, "reachable": r.session.reachable,
			"elapsed_ms":  p.now.Sub(r.started).Milliseconds(),
			"expected_ms": p.owner.estimate(r.entry.live.Queue, r.step).Milliseconds(), "copy_worker": p.sessions[i].ID,
		}).Info("task copied")
		p.begin(r.entry, t, i, 0)
	}
}
