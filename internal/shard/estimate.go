package shard

import (
	"math"
	"time"

	"samphirestile.example/samphirestile/internal/job"
)

// durationModel measures how far the estimates of one queue deviate from the durations of its runs.
//
// Load pattern: in some queues the estimates are wrong by large factors while the tasks take similar
// times; in others the estimates are accurate while the tasks differ.
type durationModel struct {
	n int
	// Means and variances of the logarithms of the duration and of the ratio of duration to
	// estimate.
	meanDuration, varDuration float64
	meanRatio, varRatio       float64
	// corrected maps given estimates to corrected ones, computed when n was corrections.
	corrected   map[time.Duration]time.Duration
	corrections int
}

const (
	// smoothingFactor is the weight of a new run in the moving means and variances.
	smoothingFactor = 0.05
	// minSamples is how many runs are needed before estimates are corrected.
	minSamples = 8
	// initialVariance is the same for both logarithms, which gives each half of the weight at
	// first.
	initialVariance = 0.25
	// minDuration avoids the logarithm of 0.
	minDuration = 10 * time.Millisecond
	// correctionInterval is the number of runs after which the corrected estimates are recomputed.
	correctionInterval = 16
	// defaultEstimate is used for a step without an estimate.
	defaultEstimate = time.Second
)

func (o *Owner) recordDuration(queue string, s *job.Step, took time.Duration) {
	d := o.durationModels[queue]
	if d == nil {
		d = &durationModel{varDuration: initialVariance, varRatio: initialVariance}
		o.durationModels[queue] = d
	}
	duration := math.Log(float64(max(took, minDuration)))
	ratio := duration - math.Log(float64(stepEstimate(s)))
	rate := max(smoothingFactor, 1/float64(d.n+1))
	d.n++
	updateMoments(&d.meanDuration, &d.varDuration, duration, rate)
	updateMoments(&d.meanRatio, &d.varRatio, ratio, rate)
}

func updateMoments(mean, variance *float64, sample, rate float64) {
	delta := sample - *mean
	*mean += rate * delta
	*variance += min(rate, smoothingFactor) * (delta*delta - *variance)
}

func stepEstimate(s *job.Step) time.Duration {
	if s.Estimate <= 0 {
		return defaultEstimate
	}
	return s.Estimate
}

// estimate returns the expected duration of a task of the step.
func (o *Owner) estimate(queue string, s *job.Step) time.Duration {
	d := o.durationModels[queue]
	if d == nil || d.n < minSamples {
		return stepEstimate(s)
	}
	if d.corrected == nil || d.n-d.corrections >= correctionInterval {
		d.corrected, d.corrections = map[time.Duration]time.Duration{}, d.n
	}
	e, ok := d.corrected[stepEstimate(s)]
	if !ok {
		e = d.correct(stepEstimate(s))
		d.corrected[stepEstimate(s)] = e
	}
	return e
}

func (d *durationModel) correct(estimate time.Duration) time.Duration {
	corrected := math.Log(float64(estimate)) + d.meanRatio
	weight := d.varDuration / (d.varDuration + d.varRatio)
	return time.Duration(math.Exp(weight*corrected + (1-weight)*d.meanDuration))
}

// logStdDev returns the standard deviation of the logarithm of task durations that remains after the
// correction of estimates.
func (o *Owner) logStdDev(queue string) float64 {
	d := o.durationModels[queue]
	if d == nil || d.n < minSamples {
		return math.Sqrt(initialVariance)
	}
	return math.Sqrt(min(d.varDuration, d.varRatio))
}

// longestOf returns the expected duration of the longest of n tasks whose durations have a logarithmic normal distribution with
// a median and a standard deviation of the logarithm. It is what a step takes whose tasks all run at once.
func longestOf(n int, median time.Duration, logStdDev float64) time.Duration {
	if n <= 1 {
		return median
	}
	// Blom's approximation of the expected largest of n values of the normal distribution.
	p := (float64(n) - 0.375) / (float64(n) + 0.25)
	z := math.Sqrt2 * math.Erfinv(2*p-1)
	return time.Duration(float64(median) * math.Exp(z*logStdDev))
}

func halfLifeDecay(halfLives float64) float64 { return math.Exp2(-halfLives) }
