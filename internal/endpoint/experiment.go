package endpoint

import (
	"math"
	"time"
)

const (
	// minSamples of each arm are required for a verdict; after maxSamples the more likely
	// verdict is used.
	minSamples = 16
	maxSamples = 1000
	// minEarlySamples of each arm suffice to keep the larger limit while a period of the smaller
	// one is still running. Irregular latencies do not reach a verdict this early, because
	// their standard error is large.
	minEarlySamples = 6
	// excessFraction is the fraction of proportional growth above which the larger limit counts
	// as excess. With 0.5, a limit of 5 for a real capacity of 6 would be kept, because the next
	// larger limit tested, 7, looks like excess.
	excessFraction = 0.6
	// excessConfidence and noExcessConfidence are the numbers of standard errors by which the
	// growth of the latency must differ from the threshold. Lowering the limit by mistake costs
	// more than keeping it.
	excessConfidence   = 3.0
	noExcessConfidence = 2.0
	// earlyConfidence replaces noExcessConfidence for a verdict within a period. That test
	// runs after each request, and one of many tests passes by chance more often than a single one.
	earlyConfidence = 4.0
	// maxPeriods ends an experiment that gets few samples because the load does not keep the
	// number of running requests at the limits.
	maxPeriods = 64
	// periodFactor is the length of a period in multiples of the larger limit. Requests at the
	// end of a period are partly served in the next one: with 3, or with multiples of the arm's
	// own limit, the difference between the arms is too small for exponential service times.
	periodFactor = 6
	// stallTimeout ends an experiment without samples, because the load has ceased. For
	// endpoints with long requests it is extended to stallFactor mean durations.
	stallTimeout = 2 * time.Second
	stallFactor  = 4
)

type verdict int

const (
	undecided verdict = iota
	// excess means that the larger limit adds no throughput.
	excess
	noExcess
	inconclusive
)

// Arms of an experiment. noArm marks requests that start while the number of running
// requests is changing, or below the limit of the arm.
const (
	noArm = iota
	lowArm
	highArm
)

type sampleID struct {
	experiment uint64
	arm        int
}

// experiment compares the latency of an endpoint at two limits.
type experiment struct {
	lo, hi int
	active int
	// started counts the requests of the current period.
	started int
	periods int
	arms    [highArm + 1]arm
	// lowStarted is when the smaller limit was first used; zero before that.
	lowStarted time.Time
	// lastEndedAt is when the last request ended.
	lastEndedAt time.Time
}

// newExperiment returns an experiment that begins with the larger limit, so that a load peak
// shorter than a period loses no capacity.
func newExperiment(lo, hi int, now time.Time) *experiment {
	return &experiment{lo: lo, hi: hi, active: highArm, lastEndedAt: now}
}

// sinceLowStarted returns the time since the smaller limit was first used.
func (e *experiment) sinceLowStarted(now time.Time) time.Duration {
	if e.lowStarted.IsZero() {
		return 0
	}
	return now.Sub(e.lowStarted)
}

// activeLimit returns the limit of the active arm.
func (e *experiment) activeLimit() int {
	if e.active == lowArm {
		return e.lo
	}
	return e.hi
}

// start counts a request and returns the arm that its latency belongs to.
func (e *experiment) start(now time.Time, running int) int {
	arm, limit := e.active, e.activeLimit()
	e.started++
	warmUp := e.started <= limit
	if e.started >= limit+max(periodFactor*e.hi, minSamples) {
		e.started, e.active = 0, lowArm+highArm-e.active
		e.periods++
		if e.lowStarted.IsZero() {
			e.lowStarted = now
		}
		e.close(lowArm + highArm - e.active)
	}
	if warmUp || running > limit || 4*running < 3*limit {
		return noArm
	}
	e.arms[arm].pending++
	return arm
}

// sample records the latency of a request that belongs to the arm.
func (e *experiment) sample(now time.Time, arm int, logLatency float64) {
	e.lastEndedAt = now
	if arm == noArm {
		return
	}
	e.arms[arm].open.add(logLatency)
	e.drop(arm)
}

// drop ends a request of the arm that provides no latency.
func (e *experiment) drop(arm int) {
	if arm == noArm {
		return
	}
	e.arms[arm].pending--
	e.close(arm)
}

// close adds the open latencies to an arm whose period and requests have ended.
func (e *experiment) close(arm int) {
	if a := &e.arms[arm]; arm != e.active && a.pending == 0 {
		a.merge(a.open)
		a.open = moments{}
	}
}

// verdict tests whether the latency grows in proportion to the limit.
func (e *experiment) verdict() verdict {
	low, high := &e.arms[lowArm], &e.arms[highArm]
	if e.periods > maxPeriods {
		return inconclusive
	}
	if e.active == lowArm && e.earlyNoExcess() {
		return noExcess
	}
	if low.n < minSamples || high.n < minSamples {
		return undecided
	}
	growth := high.mean - low.mean
	threshold := e.threshold()
	standardError := math.Sqrt(low.squaredStandardError() + high.squaredStandardError())
	switch {
	case growth-excessConfidence*standardError > threshold:
		return excess
	case growth+noExcessConfidence*standardError < threshold:
		return noExcess
	case low.n < maxSamples || high.n < maxSamples:
		return undecided
	case growth > threshold:
		return excess
	default:
		return noExcess
	}
}

// threshold returns the growth of the logarithm of the latency above which the larger limit
// counts as excess.
func (e *experiment) threshold() float64 {
	return excessFraction * math.Log(float64(e.hi)/float64(e.lo))
}

// earlyNoExcess reports whether the requests that ended in a period of the smaller limit
// already rule out excess. Requests still running take longer than those that ended, so
// they could only reduce the growth. Ending the period early limits its cost: the slots
// that the smaller limit leaves unused.
func (e *experiment) earlyNoExcess() bool {
	low, high := e.arms[lowArm].moments, &e.arms[highArm]
	low.merge(e.arms[lowArm].open)
	if low.n < minEarlySamples || high.n < minEarlySamples {
		return false
	}
	standardError := math.Sqrt(low.squaredStandardError() + high.squaredStandardError())
	return high.mean-low.mean+earlyConfidence*standardError < e.threshold()
}

// stalled reports whether no request has ended for much longer than the mean duration.
func (e *experiment) stalled(now time.Time, meanDuration time.Duration) bool {
	return now.Sub(e.lastEndedAt) > max(stallTimeout, stallFactor*meanDuration)
}

// arm holds the latencies at one limit.
type arm struct {
	moments
	// open holds the latencies of periods with pending requests. They do not count yet, because
	// the shortest requests end first.
	open    moments
	pending int
}

// moments accumulates mean and variance (Welford's method).
type moments struct {
	n        int
	mean, m2 float64
}

func (m *moments) add(x float64) {
	m.n++
	d := x - m.mean
	m.mean += d / float64(m.n)
	m.m2 += d * (x - m.mean)
}

// merge adds the samples of o.
func (m *moments) merge(o moments) {
	if o.n == 0 {
		return
	}
	n, d := float64(m.n), o.mean-m.mean
	total := n + float64(o.n)
	m.mean += d * float64(o.n) / total
	m.m2 += o.m2 + d*d*n*float64(o.n)/total
	m.n += o.n
}

// squaredStandardError returns the squared standard error of the mean.
func (m *moments) squaredStandardError() float64 {
	return m.m2 / float64(m.n-1) / float64(m.n)
}
