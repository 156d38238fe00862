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
	// AdviceBatchSize is how many workers one request to the advisor names. The advisor's response
	// time grows with their number, and the objective of a job allows for one request of this size.
	AdviceBatchSize = 30
	// approvalMargin is the remaining validity that an approval needs when a start command is
	// issued: the time that the command may take to reach the worker.
	approvalMargin = 300 * time.Millisecond
	// adviceRetryDelay follows a request to the advisor without a response.
	adviceRetryDelay = 250 * time.Millisecond
)

// stepKey identifies a step of one occurrence of a job.
type stepKey struct{ occurrence, step int }

// approval is the advisor's decision about one worker and one step.
type approval struct {
	// value is empty for a worker that may never run the step.
	value string
	until monotonic.Time
	// incarnationStartMS is the start time of the worker incarnation that the approval is for.
	incarnationStartMS int64
}

// adviceRequest is a request to the advisor for decisions about workers and one step.
type adviceRequest struct {
	entry   *jobEntry
	key     stepKey
	workers []*session
}

// stepTime is the minimum time of a step, including one request to the advisor.
func (o *Owner) stepTime(j *job.Job, s *job.Step) time.Duration {
	return o.estimate(j.Queue, s) + j.AdviceTime
}

// approvalFor returns the approval of a task for a worker, and whether the task may run there now.
func (e *jobEntry) approvalFor(t job.TaskID, s *session, now monotonic.Time) (string, bool) {
	if !e.job.Advised {
		return "", true
	}
	decision, ok := e.approvals[stepKey{t.Occurrence, t.Step}][s.ID]
	return decision.value, ok && decision.value != "" && decision.valid(s, now)
}

func (a approval) valid(s *session, now monotonic.Time) bool {
	return a.value == "" || (a.incarnationStartMS == s.incarnationStartMS && a.until.Sub(now) > approvalMargin)
}

// dropApproval removes an approval that a worker has refused.
func (e *jobEntry) dropApproval(t job.TaskID, id worker.ID) {
	delete(e.approvals[stepKey{t.Occurrence, t.Step}], id)
}

// needsAdvice reports whether there is no valid decision of the advisor about the worker.
func (e *jobEntry) needsAdvice(key stepKey, s *session, now monotonic.Time) bool {
	decision, ok := e.approvals[key][s.ID]
	return !ok || !decision.valid(s, now)
}

// queueAdviceRequest queues a request to the advisor if the response could find a worker for the
// task.
//
// Load pattern: jobs of many steps wait for one advisor that handles requests one at a time and
// takes longer the more workers they name. Workers with free resources come first.
func (p *placer) queueAdviceRequest(e *jobEntry, t readyTask) bool {
	if !e.job.Advised {
		return false
	}
	key := stepKey{t.id.Occurrence, t.id.Step}
	var unknown []int
	for i := range p.candidates {
		c := &p.candidates[i]
		if !c.Closed && placement.CanRun(&c.Worker, t.step) && e.needsAdvice(key, p.sessions[i], p.now) {
			unknown = append(unknown, i)
		}
	}
	if len(unknown) == 0 {
		return false
	}
	used := func(i int) float64 { return p.candidates[i].Used.DominantShare(p.candidates[i].Capacity) }
	slices.SortFunc(unknown, func(a, b int) int { return cmp.Compare(used(a), used(b)) })
	req := adviceRequest{entry: e, key: key}
	for _, i := range unknown[:min(len(unknown), AdviceBatchSize)] {
		req.workers = append(req.workers, p.sessions[i])
	}
	p.owner.adviceRequests = append(p.owner.adviceRequests, req)
	return true
}

// adviceBacklog is the time that the advisor needs for the steps of accepted jobs.
func (o *Owner) adviceBacklog() time.Duration {
	var backlog time.Duration
	for _, e := range o.active {
		if !e.job.Advised {
			continue
		}
		for k := range e.job.Occurrences() {
			occurrence := e.job.Occurrence(k)
			for i := range e.job.Steps {
				if occurrence.Steps[i].Done < e.job.Steps[i].Count && e.approvals[stepKey{k, i}] == nil {
					backlog += e.job.AdviceTime
				}
			}
		}
	}
	return backlog
}

// wakeAdviceLoop wakes adviceLoop if there are requests. The caller holds mu.
func (o *Owner) wakeAdviceLoop() {
	if len(o.adviceRequests) == 0 {
		return
	}
	select {
	case o.adviceWake <- struct{}{}:
	default:
	}
}

// adviceLoop sends requests to the advisor one at a time, most urgent first.
func (o *Owner) adviceLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-o.adviceWake:
		}
		if o.Advisor == nil {
			// Only jobs accepted by an earlier owner get here; the settings do not change while a
			// process runs.
			o.Log.WithField("shard", o.Shard).Error("jobs wait for an advisor, but none is configured")
			return
		}
		if !o.sendNextAdviceRequest(ctx) {
			monotonic.Sleep(ctx, adviceRetryDelay)
		}
		o.schedule()
	}
}

// sendNextAdviceRequest sends the first request that is still needed. It returns false if there was
// no response.
func (o *Owner) sendNextAdviceRequest(ctx context.Context) bool {
	req, ids, incarnations := o.nextAdviceRequest()
	if len(ids) == 0 {
		return true
	}
	step := fmt.Sprintf("%s.%d.%d", req.entry.job.ID, req.key.occurrence, req.key.step)
	sent := monotonic.Now()
	advice, err := o.Advisor.Advise(ctx, step, ids)
	if ctx.Err() != nil {
		return false
	}
	took := monotonic.Now().Sub(sent)
	fields := logrus.Fields{"step": step, "workers": len(ids), "took_ms": took.Milliseconds()}
	o.Scope.Histogram("advice_seconds", latencyBuckets).RecordDuration(took)
	if err != nil {
		o.Log.WithError(err).WithFields(fields).Warn("advisor gave no answer")
		return false
	}
	o.Log.WithFields(fields).WithField("allowed", len(advice.Approvals)).Info("advisor answered")
	o.mu.Lock()
	defer o.mu.Unlock()
	req.entry.recordAdvice(req.key, ids, incarnations, advice, sent)
	return true
}

// nextAdviceRequest returns the first request of the last scheduling pass that still lacks
// decisions.
func (o *Owner) nextAdviceRequest() (adviceRequest, []worker.ID, []int64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := monotonic.Now()
	for _, req := range o.adviceRequests {
		if req.entry.job.FinalState.IsFinal() {
			continue
		}
		var ids []worker.ID
		var incarnations []int64
		for _, s := range req.workers {
			if req.entry.needsAdvice(req.key, s, now) {
				ids, incarnations = append(ids, s.ID), append(incarnations, s.incarnationStartMS)
			}
		}
		if len(ids) > 0 {
			return req, ids, incarnations
		}
	}
	return adviceRequest{}, nil, nil
}

// recordAdvice stores a response. The validity of approvals counts from when the request was sent,
// because the response does not say when they were granted.
func (e *jobEntry) recordAdvice(key stepKey, ids []worker.ID, incarnations []int64, advice worker.Advice, sent monotonic.Time) {
	if e.approvals == nil {
		e.approvals = map[stepKey]map[worker.ID]approval{}
	}
	decisions := e.approvals[key]
	if decisions == nil {
		decisions = map[worker.ID]approval{}
		e.approvals[key] = decisions
	}
	for i, id := range ids {
		decisions[id] = approval{value: advice.Approvals[id], until: sent.Add(advice.Validity), incarnationStartMS: incarnations[i]}
	}
}
