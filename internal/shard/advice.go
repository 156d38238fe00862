package shard

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"samphirestile.example/samphirestile/internal/job"
	"samphirestile.example/samphirestile/internal/monotonic"
	"samphirestile.example/samphirestile/internal/placement"
	"samphirestile.example/samphirestile/internal/worker"
)

const (
	// AdviceBatchSize is how many workers one question names. The advisor takes time
	// for each, and the objective of a job allows for one question on so many.
	AdviceBatchSize = 30
	// ticketMargin is how long a ticket must still hold when a start is ordered:
	// the time that the order may take to a worker.
	ticketMargin = 300 * time.Millisecond
	// adviceRetryPause follows a question without an answer.
	adviceRetryPause = 250 * time.Millisecond
)

// stepKey names a step of one occurrence of a job.
type stepKey struct{ occurrence, step int }

// permit is what the advisor said of one worker for one step.
type permit struct {
	// ticket is empty for a worker that may never run the step.
	ticket string
	until  monotonic.Time
	// bornMS is the life of the worker that the ticket is for.
	bornMS int64
}

// question asks which of the workers may run a step.
type question struct {
	entry   *jobEntry
	key     stepKey
	workers []*session
}

// stepTime is the time that a step takes at best, with one question to the advisor.
func (o *Owner) stepTime(j *job.Job, s *job.Step) time.Duration {
	return o.estimate(j.Queue, s) + j.AdviceTime
}

// ticket returns the ticket for a task on a worker and whether it may run there now.
func (e *jobEntry) ticket(t job.TaskID, s *session, now monotonic.Time) (string, bool) {
	if !e.live.Advised {
		return "", true
	}
	p, ok := e.approvals[stepKey{t.Occurrence, t.Step}][s.ID]
	return p.ticket, ok && p.ticket != "" && p.valid(s, now)
}

func (p permit) valid(s *session, now monotonic.Time) bool {
	return p.ticket == "" || (p.bornMS == s.bornMS && p.until.Sub(now) > ticketMargin)
}

// dropPermit forgets a ticket that a worker has refused.
func (e *jobEntry) dropPermit(t job.TaskID, id worker.ID) {
	delete(e.approvals[stepKey{t.Occurrence, t.Step}], id)
}

// unknown reports whether the advisor has to be asked about the worker.
func (e *jobEntry) unknown(key stepKey, s *session, now monotonic.Time) bool {
	p, ok := e.approvals[key][s.ID]
	return !ok || !p.valid(s, now)
}

// ask notes a question to the advisor if its answer could find the task a worker.
//
// Load pattern: jobs of many steps wait for one advisor that answers in turn and
// takes longer the more workers are named. Workers with room come first.
func (p *placer) ask(e *jobEntry, t readyTask) bool {
	if !e.live.Advised {
		return false
	}
	key := stepKey{t.id.Occurrence, t.id.Step}
	var unknown []int
	for i := range p.candidates {
		c := &p.candidates[i]
		if !c.Closed && placement.Suits(&c.Worker, t.step) && e.unknown(key, p.sessions[i], p.now) {
			unknown = append(unknown, i)
		}
	}
	if len(unknown) == 0 {
		return false
	}
	used := func(i int) float64 { return p.candidates[i].Used.DominantShare(p.candidates[i].Capacity) }
	slices.SortFunc(unknown, func(a, b int) int { return cmp.Compare(used(a), used(b)) })
	q := question{entry: e, key: key}
	for _, i := range unknown[:min(len(unknown), AdviceBatchSize)] {
		q.workers = append(q.workers, p.sessions[i])
	}
	p.owner.adviceRequests = append(p.owner.adviceRequests, q)
	return true
}

// adviceBacklog is how long the advisor takes for the steps of accepted jobs.
func (o *Owner) adviceBacklog() time.Duration {
	var backlog time.Duration
	for _, e := range o.active {
		if !e.live.Advised {
			continue
		}
		for k := range e.live.Occurrences() {
			occurrence := e.live.Occurrence(k)
			for i := range e.live.Steps {
				if occurrence.Steps[i].Done < e.live.Steps[i].Count && e.approvals[stepKey{k, i}] == nil {
					backlog += e.live.AdviceTime
				}
			}
		}
	}
	return backlog
}

// askAdvisor wakes the loop that asks. The caller holds mu.
func (o *Owner) askAdvisor() {
	if len(o.adviceRequests) == 0 {
		return
	}
	select {
	case o.adviceWake <- struct{}{}:
	default:
	}
}

// adviceLoop asks the advisor one question after the other, the most urgent first.
func (o *Owner) adviceLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-o.adviceWake:
		}
		if o.Advisor == nil {
			// Only jobs of an earlier owner can get here; the settings hold for the life of a process.
			o.Log.WithField("shard", o.Shard).Error("jobs wait for an advisor that is not known")
			return
		}
		if !o.askNext(ctx) {
			monotonic.Sleep(ctx, adviceRetryPause)
		}
		o.schedule()
	}
}

// askNext asks the first question that is still open. It returns false when there was no answer.
func (o *Owner) askNext(ctx context.Context) bool {
	q, ids, lives := o.nextQuestion()
	if len(ids) == 0 {
		return true
	}
	step := fmt.Sprintf("%s.%d.%d", q.entry.live.ID, q.key.occurrence, q.key.step)
	asked := monotonic.Now()
	advice, err := o.Advisor.Advise(ctx, step, ids)
	if ctx.Err() != nil {
		return false
	}
	took := monotonic.Now().Sub(asked)
	fields := logrus.Fields{"step": step, "workers": len(ids), "took_ms": took.Milliseconds()}
	o.Scope.Histogram("advice_seconds", latencyBuckets).RecordDuration(took)
	if err != nil {
		o.Log.WithError(err).WithFields(fields).Warn("advisor gave no answer")
		return false
	}
	o.Log.WithFields(fields).WithField("allowed", len(advice.Approvals)).Info("advisor answered")
	o.mu.Lock()
	defer o.mu.Unlock()
	q.entry.note(q.key, ids, lives, advice, asked)
	return true
}

// nextQuestion returns the first question of the last pass that has no answer yet.
func (o *Owner) nextQuestion() (question, []worker.ID, []int64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := monotonic.Now()
	for _, q := range o.adviceRequests {
		if q.entry.live.Final.Final() {
			continue
		}
		var ids []worker.ID
		var lives []int64
		for _, s := range q.workers {
			if q.entry.unknown(q.key, s, now) {
				ids, lives = append(ids, s.ID), append(lives, s.bornMS)
			}
		}
		if len(ids) > 0 {
			return q, ids, lives
		}
	}
	return question{}, nil, nil
}

// note keeps an answer. The tickets count from when the question was sent, as
// the answer does not say when they were given.
func (e *jobEntry) note(key stepKey, ids []worker.ID, lives []int64, advice worker.Advice, asked monotonic.Time) {
	if e.approvals == nil {
		e.approvals = map[stepKey]map[worker.ID]permit{}
	}
	of := e.approvals[key]
	if of == nil {
		of = map[worker.ID]permit{}
		e.approvals[key] = of
	}
	for i, id := range ids {
		of[id] = permit{ticket: advice.Approvals[id], until: asked.Add(advice.Validity), bornMS: lives[i]}
	}
}
