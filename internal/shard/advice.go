package shard

import (
	"fmt"
	"time"

	"samphirestile.example/samphirestile/internal/advice"
	"samphirestile.example/samphirestile/internal/job"
	"samphirestile.example/samphirestile/internal/monotonic"
	"samphirestile.example/samphirestile/internal/placement"
	"samphirestile.example/samphirestile/internal/worker"
)

const (
	// approvalMargin is the remaining validity that an approval needs when a start command is
	// issued: the time that the command may take to reach the worker.
	approvalMargin = 300 * time.Millisecond
	// approvalMarginFraction bounds the margin of approvals with a short validity.
	approvalMarginFraction = 4
	// minDeferral is for how long at least requests of other steps go before those of a step that got no answer.
	minDeferral = time.Second
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

// stepAdvice is what the advisor has decided about one step.
type stepAdvice struct {
	// decisions about workers; an ended approval shows that the worker may run the step.
	decisions map[worker.ID]approval
	// refused is the number of workers that may never run the step.
	refused int
	// sent is when the last answered request was sent, took the time until its answer, validity that of its approvals.
	sent           monotonic.Time
	took, validity time.Duration
	// ended is how many answers in a row gave approvals that had ended before a start arrived. endedOnce is set if the
	// last answer is counted.
	ended     int
	endedOnce bool
	// deferredUntil is until when requests of other steps go first, because the last one started nothing.
	deferredUntil monotonic.Time
}

// queueAdvice is what the answers of the advisor have shown about one queue.
type queueAdvice struct {
	rate     advice.ApprovalRate
	validity time.Duration
}

// adviceRequest is a step that waits for decisions about workers.
type adviceRequest struct {
	entry *jobEntry
	key   stepKey
	step  *job.Step
	// tasks is how many tasks lack a worker; for a gang, how many members it has.
	tasks int
	// candidates are in the order in which they are named.
	candidates []adviceCandidate
}

// adviceCandidate is a worker about which a step may need a decision.
type adviceCandidate struct {
	session *session
	// free is how many of the step's tasks fit beside the worker's runs, total how many fit on the idle worker.
	free, total int
}

// stepTime is the minimum time of a step, including one request to the advisor.
func (o *Owner) stepTime(j *job.Job, s *job.Step) time.Duration {
	d := o.estimate(j.Queue, s)
	if o.Policy.Admission.Enabled {
		d = longestOf(s.Count, d, o.logStdDev(j.Queue))
	}
	return d + j.AdviceTime
}

func (e *jobEntry) decision(key stepKey, id worker.ID) (approval, bool) {
	a := e.advice[key]
	if a == nil {
		return approval{}, false
	}
	decision, ok := a.decisions[id]
	return decision, ok
}

// approvalFor returns the approval of a task for a worker, and whether the task may run there now.
func (e *jobEntry) approvalFor(t job.TaskID, s *session, now monotonic.Time) (string, bool) {
	if !e.job.Advised {
		return "", true
	}
	decision, ok := e.decision(stepKey{t.Occurrence, t.Step}, s.ID)
	return decision.value, ok && decision.value != "" && decision.valid(s, now)
}

func (a approval) valid(s *session, now monotonic.Time) bool {
	return a.value == "" || a.incarnationStartMS == s.incarnationStartMS && now < a.until
}

// needsAdvice reports whether there will be no valid decision of the advisor about the worker at a moment.
func (e *jobEntry) needsAdvice(key stepKey, s *session, at monotonic.Time) bool {
	decision, ok := e.decision(key, s.ID)
	return !ok || !decision.valid(s, at)
}

// approvalUsed records that a worker has started a task of a step.
func (e *jobEntry) approvalUsed(t job.TaskID) {
	if a := e.advice[stepKey{t.Occurrence, t.Step}]; a != nil {
		a.ended, a.deferredUntil = 0, 0
	}
}

// approvalRefused ends an approval that a worker has refused. It also ends the others of the same answer if
// their validity has passed since the request: the advisor may count it from then.
func (e *jobEntry) approvalRefused(t job.TaskID, id worker.ID, now monotonic.Time) {
	a := e.advice[stepKey{t.Occurrence, t.Step}]
	if a == nil {
		return
	}
	a.deferredUntil = now.Add(a.took)
	passed := now.Sub(a.sent) >= a.validity
	for other, decision := range a.decisions {
		if decision.value != "" && (other == id || passed) {
			decision.until = 0
			a.decisions[other] = decision
		}
	}
	if passed && !a.endedOnce {
		a.ended++
		a.endedOnce = true
	}
}

// queueAdviceRequest queues a request to the advisor if the response could find workers for tasks of a step
// that lack one. For a gang, tasks is the number of its members.
func (p *placer) queueAdviceRequest(e *jobEntry, t readyTask, rack string, tasks int) bool {
	if !e.job.Advised {
		return false
	}
	req := adviceRequest{entry: e, key: stepKey{t.id.Occurrence, t.id.Step}, step: t.step, tasks: tasks}
	lacking := false
	var known, unknown []adviceCandidate
	for _, i := range placement.Preferred(p.candidates, placement.Request{Step: t.step, Rack: rack}, tasks) {
		c, s := &p.candidates[i], p.sessions[i]
		decision, decided := e.decision(req.key, s.ID)
		needed := e.needsAdvice(req.key, s, p.now)
		lacking = lacking || needed
		if decided && decision.value == "" || !needed && !t.step.Gang {
			continue
		}
		candidate := adviceCandidate{session: s, free: c.Room(t.step), total: c.TotalRoom(t.step)}
		if decided {
			known = append(known, candidate)
		} else {
			unknown = append(unknown, candidate)
		}
	}
	if !lacking {
		return false
	}
	req.candidates = withRoomFirst(append(known, unknown...))
	req.candidates = req.candidates[:min(len(req.candidates), worker.MaxAdvised)]
	p.owner.adviceRequests = append(p.owner.adviceRequests, req)
	return true
}

// withRoomFirst moves the workers without free resources to the end.
func withRoomFirst(candidates []adviceCandidate) []adviceCandidate {
	ordered := make([]adviceCandidate, 0, len(candidates))
	for _, c := range candidates {
		if c.free > 0 {
			ordered = append(ordered, c)
		}
	}
	for _, c := range candidates {
		if c.free == 0 {
			ordered = append(ordered, c)
		}
	}
	return ordered
}

// callTime returns how long the advisor takes for a call about a job. Records of earlier versions hold only
// the time of a whole batch, which then counts for its workers.
func callTime(j *job.Job) advice.CallTime {
	return advice.CallTime{Decision: j.AdviceDecision, PerWorker: (j.AdviceTime - j.AdviceDecision) / advice.BatchSize}
}

// adviceFor returns what is known of a queue's policy. The caller holds mu.
func (o *Owner) adviceFor(queue string) *queueAdvice {
	a := o.queueAdvice[queue]
	if a == nil {
		a = &queueAdvice{}
		o.queueAdvice[queue] = a
	}
	return a
}

// adviceBacklog returns the time that the advisor needs for the steps of accepted jobs that are due, and
// publishes it for the other shards of the daemon. The caller holds mu.
func (o *Owner) adviceBacklog(now monotonic.Time) time.Duration {
	if o.Advice == nil {
		return 0
	}
	var backlog time.Duration
	largest := worker.Resources{}
	for _, s := range o.sessions {
		largest = worker.Resources{CPU: max(largest.CPU, s.Capacity.CPU), MemMB: max(largest.MemMB, s.Capacity.MemMB), GPU: max(largest.GPU, s.Capacity.GPU)}
	}
	for _, e := range o.active {
		if !e.job.Advised {
			continue
		}
		for k := range e.job.Startable(o.dueAt(e, now), o.tasksInProgress()) {
			for i := range e.job.Steps {
				if e.job.DoneInStep(k, i) < e.job.Steps[i].Count && e.lacksApprovals(stepKey{k, i}, now) {
					backlog += o.expectedCall(e, &e.job.Steps[i], largest)
				}
			}
		}
	}
	o.publishedAdviceBacklog.Store(int64(backlog))
	return backlog
}

// lacksApprovals reports whether a step has an idle task and no valid approval.
func (e *jobEntry) lacksApprovals(key stepKey, now monotonic.Time) bool {
	if a := e.advice[key]; a != nil {
		for _, decision := range a.decisions {
			if decision.value != "" && now < decision.until {
				return false
			}
		}
	}
	return e.hasIdleTask(key)
}

// hasIdleTask reports whether a task of a step is neither done nor has a run of this owner.
func (e *jobEntry) hasIdleTask(key stepKey) bool {
	for range e.job.Idle(key.occurrence, key.step) {
		return true
	}
	return false
}

// expectedCall returns the time of a call for a step whose workers have the largest capacity and are idle.
func (o *Owner) expectedCall(e *jobEntry, s *job.Step, capacity worker.Resources) time.Duration {
	c := placement.Candidate{Worker: worker.Worker{Capacity: capacity}}
	perWorker := max(1, c.TotalRoom(s))
	need := o.adviceNeed(e, s, (s.Count+perWorker-1)/perWorker)
	return need.Call.For(need.Names(max(1, min(len(o.sessions), worker.MaxAdvised))))
}

func (o *Owner) adviceNeed(e *jobEntry, s *job.Step, workers int) advice.Need {
	known := o.adviceFor(e.job.Queue)
	return advice.Need{
		Approvable: workers, Rate: known.rate.Share(), Gang: s.Gang, Call: callTime(&e.job.Job), Validity: known.validity,
	}
}

// AdviceBacklog implements advice.Source.
func (o *Owner) AdviceBacklog() time.Duration {
	return time.Duration(o.publishedAdviceBacklog.Load())
}

// wakeAdvice tells the queue of requests that there are some. The caller holds mu.
func (o *Owner) wakeAdvice() {
	if len(o.adviceRequests) == 0 {
		return
	}
	if o.Advice == nil {
		// Only jobs accepted by an earlier owner get here; the settings do not change while a process runs.
		if !o.adviceMissing {
			o.Log.WithField("shard", o.Shard).Error("jobs wait for an advisor, but none is configured")
		}
		o.adviceMissing = true
		return
	}
	o.Advice.Wake()
}

// NextAdviceRequest implements advice.Source: it returns the most urgent request of the last scheduling pass
// that is still needed.
func (o *Owner) NextAdviceRequest() (advice.Request, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := monotonic.Now()
	if o.closed || !o.ownershipCertain(now) {
		return advice.Request{}, false
	}
	var best advice.Request
	found := false
	for i := range o.adviceRequests {
		r, ok := o.buildAdviceRequest(&o.adviceRequests[i], now)
		if !ok || found && !r.Precedes(&best.Offer) {
			continue
		}
		best, found = r, true
		if r.Room && !r.Deferred {
			break
		}
	}
	return best, found
}

// buildAdviceRequest names the workers of a request. It returns false if the step needs no decision any more. The
// caller holds mu.
func (o *Owner) buildAdviceRequest(req *adviceRequest, now monotonic.Time) (advice.Request, bool) {
	e := req.entry
	if e.job.FinalState.IsFinal() || !e.hasIdleTask(req.key) {
		return advice.Request{}, false
	}
	need := o.adviceNeed(e, req.step, 0)
	answered := now
	if req.step.Gang {
		// The approvals of a gang have to be valid at the same time.
		answered = now.Add(need.Call.For(min(req.tasks, len(req.candidates))))
	}
	var lacking []adviceCandidate
	tasks, room := req.tasks, false
	for _, c := range req.candidates {
		if o.sessions[c.session.ID] != c.session || !c.session.usable() {
			continue
		}
		if e.needsAdvice(req.key, c.session, answered) {
			lacking = append(lacking, c)
			room = room || c.free > 0
		} else if decision, _ := e.decision(req.key, c.session.ID); decision.value != "" {
			tasks -= c.free
		}
	}
	if len(lacking) == 0 {
		return advice.Request{}, false
	}
	for _, c := range lacking {
		if tasks <= 0 && need.Approvable > 0 {
			break
		}
		if room {
			tasks -= c.free
		} else {
			tasks -= c.total
		}
		need.Approvable++
		if _, known := e.decision(req.key, c.session.ID); known {
			need.Known++
		}
	}
	a := e.advice[req.key]
	if a != nil {
		need.Refused, need.Ended = a.refused, a.ended
	}
	named := lacking[:need.Names(len(lacking))]
	ids, incarnations := make([]worker.ID, len(named)), make([]int64, len(named))
	for i, c := range named {
		ids[i], incarnations[i] = c.session.ID, c.session.incarnationStartMS
	}
	key := req.key
	return advice.Request{
		Offer: advice.Offer{Job: o.newWaitingJob(e, now), Room: room, Deferred: a != nil && now < a.deferredUntil},
		Shard: o.Shard, Step: fmt.Sprintf("%s.%d.%d", e.job.ID, key.occurrence, key.step), Workers: ids, Expected: need.Call.For(len(ids)),
		Answered: func(answer worker.Advice, sent, received monotonic.Time, err error) {
			o.recordAdvice(e, key, ids, incarnations, answer, sent, received, err)
		},
	}, true
}

// recordAdvice stores an answer.
//
// The answer does not say from when its approvals are valid. They are used until their validity has passed since
// the answer: a start with an ended approval costs one call, and a valid approval that is not used a whole request.
func (o *Owner) recordAdvice(e *jobEntry, key stepKey, ids []worker.ID, incarnations []int64, answer worker.Advice, sent, received monotonic.Time, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	defer o.schedule()
	// The next scheduling pass requests what the step lacks then.
	o.dropAdviceRequests(e, key)
	if e.advice == nil {
		e.advice = map[stepKey]*stepAdvice{}
	}
	a := e.advice[key]
	if a == nil {
		a = &stepAdvice{decisions: map[worker.ID]approval{}}
		e.advice[key] = a
	}
	if err != nil {
		a.deferredUntil = received.Add(max(minDeferral, received.Sub(sent)))
		return
	}
	a.sent, a.took, a.validity, a.endedOnce = sent, received.Sub(sent), answer.Validity, false
	until := received.Add(answer.Validity - min(approvalMargin, answer.Validity/approvalMarginFraction))
	named, approved := 0, 0
	for i, id := range ids {
		value := answer.Approvals[id]
		if _, known := a.decisions[id]; !known {
			named++
			if value != "" {
				approved++
			} else {
				a.refused++
			}
		}
		a.decisions[id] = approval{value: value, until: until, incarnationStartMS: incarnations[i]}
	}
	queue := o.adviceFor(e.job.Queue)
	queue.validity = answer.Validity
	queue.rate.Add(named, approved)
	o.adviceBacklog(received)
}

// dropAdviceRequests removes the requests for a step. The caller holds mu.
func (o *Owner) dropAdviceRequests(e *jobEntry, key stepKey) {
	kept := o.adviceRequests[:0]
	for _, r := range o.adviceRequests {
		if r.entry != e || r.key != key {
			kept = append(kept, r)
		}
	}
	o.adviceRequests = kept
}
