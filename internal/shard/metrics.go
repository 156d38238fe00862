package shard

import (
	"time"

	"github.com/uber-go/tally/v4"

	"samphirestile.example/samphirestile/internal/job"
	"samphirestile.example/samphirestile/internal/monotonic"
	"samphirestile.example/samphirestile/internal/worker"
)

// latencyBuckets covers 1 ms to about 8 s.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 14)

func (o *Owner) countDecision(err error) {
	outcome := "accepted"
	if err != nil {
		outcome = "rejected"
	}
	o.Scope.Tagged(map[string]string{"shard": o.Shard, "outcome": outcome}).Counter("jobs_decided").Inc(1)
}

func (o *Owner) countFinishedRun(cause worker.FinishCause) {
	o.Scope.Tagged(map[string]string{"shard": o.Shard, "cause": string(cause)}).Counter("runs_ended").Inc(1)
}

func (o *Owner) countLostRun(reason string) {
	o.Scope.Tagged(map[string]string{"shard": o.Shard, "reason": reason}).Counter("runs_lost").Inc(1)
}

// predictionBuckets are ratios of the real time to completion and the predicted one.
var predictionBuckets = tally.MustMakeExponentialValueBuckets(0.25, 1.25, 18)

// countPrediction records the error of the prediction on which a job was accepted.
func (o *Owner) countPrediction(predicted, took time.Duration) {
	o.Scope.Tagged(map[string]string{"shard": o.Shard}).Histogram("prediction_error", predictionBuckets).RecordValue(float64(took) / float64(predicted))
}

func (o *Owner) countJob(final job.State, took time.Duration) {
	tagged := o.Scope.Tagged(map[string]string{"shard": o.Shard, "state": string(final)})
	tagged.Counter("jobs_ended").Inc(1)
	if final == job.Completed {
		tagged.Histogram("job_seconds", latencyBuckets).RecordDuration(took)
	}
}

// countWait records the time from the acceptance of a completed job until its first task began.
func (o *Owner) countWait(waited time.Duration) {
	o.Scope.Tagged(map[string]string{"shard": o.Shard, "state": string(job.Completed)}).Histogram("job_wait_seconds", latencyBuckets).RecordDuration(waited)
}

func (o *Owner) recordCommit(took time.Duration) {
	o.Scope.Tagged(map[string]string{"shard": o.Shard}).Histogram("record_seconds", latencyBuckets).RecordDuration(took)
}

func (o *Owner) recordReservation(err time.Duration) {
	direction := "late"
	if err < 0 {
		direction, err = "early", -err
	}
	o.Scope.Tagged(map[string]string{"shard": o.Shard, "direction": direction}).Histogram("reservation_error_seconds", latencyBuckets).RecordDuration(err)
}

func (o *Owner) setGauges() {
	tagged := o.Scope.Tagged(map[string]string{"shard": o.Shard})
	tagged.Gauge("jobs_active").Update(float64(len(o.active)))
	tagged.Gauge("workers_usable").Update(float64(o.usableWorkers()))
	tagged.Gauge("runs_stop_overdue").Update(float64(o.overdueStops(monotonic.Now())))
}

// overdueStops counts the runs whose stop should have taken effect.
func (o *Owner) overdueStops(now monotonic.Time) int {
	n := 0
	for _, s := range o.sessions {
		for _, r := range s.runs {
			if r.stopOverdue(now) {
				n++
			}
		}
	}
	return n
}
