package endpoint

import (
	"math"
	"time"
)

const (
	// slowStartDivisor divides the target to give the limit at which slow start begins.
	slowStartDivisor = 4
	// slowStartInterval is the time after which slow start doubles the limit if no request has
	// ended. Without it, an endpoint with very long requests would stay at its initial limit
	// for minutes.
	slowStartInterval = 500 * time.Millisecond
	// minExperimentInterval and maxExperimentInterval bound the time between two experiments.
	// The interval doubles while experiments change nothing.
	minExperimentInterval = 2 * time.Second
	maxExperimentInterval = 30 * time.Second
	// experimentIntervalRatio is the minimum ratio of the time between experiments to the time
	// spent in an experiment with a smaller limit, even if it was abandoned. It bounds the
	// capacity lost to experiments to about 1 %, or 3 % during short load peaks: with 15, a
	// service with peaks of 5 s in each 20 s would run one in every peak.
	experimentIntervalRatio = 60
	// successesBeforeExperiment is the number of successes, in multiples of the limit, required
	// before an experiment, so that it does not start on a few requests.
	successesBeforeExperiment = 2
	// maxSignatures is the number of recorded signatures at which all are dropped, to bound memory.
	maxSignatures = 256
)

// concurrency estimates how many requests an endpoint serves concurrently. The declared slots
// are the upper bound. Slow start raises the limit to a target. After that, experiments
// compare the latency at two limits in alternating periods: if it grows in proportion to
// the limit, the larger limit adds no throughput and the smaller one is used. Comparing two
// limits over the same time, instead of the latency with its past minimum, is insensitive to
// noise, to bimodal service times and to a changing mix of requests.
type concurrency struct {
	declared int
	limit    int
	// target is the limit at which slow start ends; 0 outside slow start.
	target     int
	lastStep   time.Time
	experiment *experiment
	// experiments counts the experiments; it identifies late samples of an earlier one.
	experiments uint64
	// lower and raise schedule the tests of a smaller and a larger limit.
	lower, raise schedule
	// experimented is set after the first experiment.
	experimented bool
	// served counts the successes since the last slow start began.
	served    int
	refusals  refusals
	baselines baselines
}

func newConcurrency(declared int, now time.Time) concurrency {
	c := concurrency{declared: declared, limit: declared, refusals: newRefusals(declared), baselines: newBaselines()}
	c.slowStart(now)
	return c
}

// slowStart reduces the limit and lets it grow back to its present value.
func (c *concurrency) slowStart(now time.Time) {
	c.target = max(c.limit, c.target)
	c.limit = max(min(1, c.declared), c.target/slowStartDivisor)
	c.experiment = nil
	c.lastStep, c.served = now, 0
	c.endSlowStart(now)
}

func (c *concurrency) endSlowStart(now time.Time) {
	if c.limit >= c.target {
		c.limit, c.target = c.target, 0
		c.lower.makeDue(now)
		c.raise.postpone(now, 0)
	}
}

func (c *concurrency) current() int {
	if c.experiment != nil {
		return c.experiment.activeLimit()
	}
	return c.limit
}

func (c *concurrency) start(now time.Time, running int) sampleID {
	if c.experiment == nil && c.experimentDue(now) && running >= c.limit {
		c.startExperiment(now)
	}
	if c.experiment == nil {
		return sampleID{}
	}
	return sampleID{experiment: c.experiments, arm: c.experiment.start(now, running)}
}

func (c *concurrency) experimentDue(now time.Time) bool {
	return c.target == 0 && c.served >= successesBeforeExperiment*c.limit &&
		(c.lower.due(now) || c.limit < c.declared && c.raise.due(now))
}

// finish records an outcome and reports whether failures lowered the limit.
func (c *concurrency) finish(now time.Time, a Attempt, o Outcome) (lowered bool) {
	if m := c.refusals.finish(a.running, o); m > 0 && m < c.current() {
		c.lowerToAccepted(now, m)
		return true
	}
	if o.Failed {
		c.cancel(a)
		return false
	}
	c.served++
	if c.target > 0 && 2*a.running >= c.limit {
		c.limit++
		c.lastStep = now
		c.endSlowStart(now)
		return false
	}
	latency := o.Latency
	if latency <= 0 {
		latency = o.Elapsed
	}
	logLatency := math.Log(math.Max(latency.Seconds(), 1e-6))
	if c.experiment == nil {
		c.baselines.add(o.Signature, logLatency)
	} else if a.sample.experiment == c.experiments {
		c.sample(now, a.sample.arm, logLatency-c.baselines.value(o.Signature))
	}
	return false
}

// cancel ends an attempt that provides no latency sample.
func (c *concurrency) cancel(a Attempt) {
	if c.experiment != nil && a.sample.experiment == c.experiments {
		c.experiment.drop(a.sample.arm)
	}
}

func (c *concurrency) sample(now time.Time, arm int, logLatency float64) {
	c.experiment.sample(now, arm, logLatency)
	if v := c.experiment.verdict(); v != undecided {
		c.applyVerdict(now, v)
	}
}

// startExperiment starts the experiment that is due.
func (c *concurrency) startExperiment(now time.Time) {
	lo, hi := c.limit, c.limit
	switch {
	case !c.lower.due(now):
		hi = min(c.declared, max(c.limit+2, c.limit*3/2))
	case !c.experimented:
		// The first experiment tests half of the limit, because the usual error is to declare
		// twice the real capacity.
		lo = max(1, c.limit/2)
	default:
		lo = max(1, min(c.limit-1, c.limit*2/3))
	}
	if lo == hi {
		c.lower.postpone(now, 0)
		return
	}
	c.experiments++
	c.experiment = newExperiment(lo, hi, now)
}

// applyVerdict ends the experiment and applies its verdict.
func (c *concurrency) applyVerdict(now time.Time, v verdict) {
	e, before := c.experiment, c.limit
	c.experiment, c.experimented = nil, true
	switch v {
	case excess:
		c.limit = e.lo
	case noExcess:
		c.limit = e.hi
	}
	switch {
	case c.limit < before:
		c.lower.makeDue(now)
		c.raise.restart(now)
	case c.limit > before:
		c.raise.makeDue(now)
		c.lower.restart(now)
	case e.hi == before:
		c.lower.postpone(now, experimentIntervalRatio*e.sinceLowStarted(now))
	default:
		// Testing a larger limit costs no capacity.
		c.raise.postpone(now, 0)
	}
}

// schedule determines when the next experiment of one kind is due. The interval doubles
// while experiments change nothing.
type schedule struct {
	next     time.Time
	interval time.Duration
}

func (s *schedule) due(now time.Time) bool { return !now.Before(s.next) }

func (s *schedule) makeDue(now time.Time) { s.next, s.interval = now, 0 }

func (s *schedule) restart(now time.Time) {
	s.interval = 0
	s.postpone(now, 0)
}

func (s *schedule) postpone(now time.Time, atLeast time.Duration) {
	s.interval = min(max(2*s.interval, minExperimentInterval), maxExperimentInterval)
	s.next = now.Add(max(s.interval, atLeast))
}

// lowerToAccepted lowers the limit to the concurrency that the endpoint does not refuse.
func (c *concurrency) lowerToAccepted(now time.Time, limit int) {
	wasRaise := c.experiment != nil && c.experiment.hi > c.limit
	c.limit, c.target, c.experiment, c.experimented = min(limit, c.limit), 0, nil, true
	if wasRaise {
		c.raise.postpone(now, 0)
	} else {
		c.raise.restart(now)
	}
	c.refusals = newRefusals(c.declared)
}

func (c *concurrency) tick(now time.Time, meanDuration time.Duration) {
	if c.target > 0 && now.Sub(c.lastStep) >= slowStartInterval {
		c.limit = min(2*c.limit, c.target)
		c.lastStep = now
		c.endSlowStart(now)
	}
	if c.experiment != nil && c.experiment.stalled(now, meanDuration) {
		c.lower.postpone(now, experimentIntervalRatio*c.experiment.sinceLowStarted(now))
		c.raise.postpone(now, 0)
		c.experiment = nil
	}
}

// refusals finds the number of running requests above which an endpoint fails requests
// that it otherwise serves.
type refusals struct {
	// ok and failed count outcomes by the number of requests running at the start.
	ok, failed []float64
	// lastFailed records for each signature whether its last attempt failed. A signature that
	// only fails provides no information about concurrency.
	lastFailed map[string]bool
}

const (
	// outcomeDecay is the factor applied to the weight of earlier outcomes with each new one.
	outcomeDecay = 0.98
	// minRefusals and minServed are the minimum weights of outcomes above and below the limit.
	minRefusals = 2.5
	minServed   = 2.5
	// minRefusedFraction and maxFailedFraction bound the failing fractions above and below the limit.
	minRefusedFraction = 0.6
	maxFailedFraction  = 0.15
)

func newRefusals(declared int) refusals {
	return refusals{
		ok: make([]float64, declared+1), failed: make([]float64, declared+1), lastFailed: map[string]bool{},
	}
}

// finish records an outcome. It returns the largest number of running requests that is not
// refused, or 0 if failures do not depend on that number.
func (r *refusals) finish(running int, o Outcome) int {
	n := min(running, len(r.ok)-1)
	for i := range r.ok {
		r.ok[i] *= outcomeDecay
		r.failed[i] *= outcomeDecay
	}
	failedBefore := r.lastFailed[o.Signature]
	r.recordLastOutcome(o)
	if !o.Failed {
		r.ok[n]++
		return 0
	}
	if failedBefore {
		return 0
	}
	r.failed[n]++
	return r.acceptedConcurrency()
}

func (r *refusals) recordLastOutcome(o Outcome) {
	if len(r.lastFailed) >= maxSignatures {
		clear(r.lastFailed)
	}
	if o.Failed {
		r.lastFailed[o.Signature] = true
	} else {
		delete(r.lastFailed, o.Signature)
	}
}

func (r *refusals) acceptedConcurrency() int {
	var okBelow, failedBelow, okAbove, failedAbove float64
	for i := range r.ok {
		okBelow += r.ok[i]
		failedBelow += r.failed[i]
	}
	for m := len(r.ok) - 2; m > 0; m-- {
		okAbove += r.ok[m+1]
		failedAbove += r.failed[m+1]
		okBelow -= r.ok[m+1]
		failedBelow -= r.failed[m+1]
		if failedAbove >= minRefusals && okBelow >= minServed &&
			failedAbove >= minRefusedFraction*(okAbove+failedAbove) && failedBelow <= maxFailedFraction*(okBelow+failedBelow) {
			return m
		}
	}
	return 0
}
