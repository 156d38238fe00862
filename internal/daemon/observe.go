package daemon

import (
	"context"
	"runtime"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"samphirestile.example/samphirestile/internal/gateway"
)

// requestRecorder writes a log line and metrics for each finished request.
type requestRecorder struct {
	log   *logrus.Logger
	scope tally.Scope
}

// latencyBuckets covers service times from 1 ms to about 16 s.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 15)

// RequestFinished implements gateway.Observer.
func (r *requestRecorder) RequestFinished(f gateway.FinishedRequest) {
	tags := map[string]string{
		"service": string(f.Service), "team": string(f.Team), "status": strconv.Itoa(f.Status),
		"code": string(f.Code), "outcome": string(f.Outcome),
	}
	r.scope.Tagged(tags).Counter("requests").Inc(1)
	r.scope.Tagged(map[string]string{"service": string(f.Service)}).Histogram("request_seconds", latencyBuckets).RecordDuration(f.Total)

	level := logrus.DebugLevel
	if f.Code != "" {
		level = logrus.InfoLevel
	}
	if !r.log.IsLevelEnabled(level) {
		return
	}
	r.log.WithFields(logrus.Fields{
		"request_id": f.RequestID, "team": f.Team, "service": f.Service, "method": f.Method, "status": f.Status,
		"code": f.Code, "outcome": f.Outcome, "reason": f.Reason, "owner": f.Owner, "attempts": f.Attempts,
		"total_ms": f.Total.Milliseconds(),
	}).Log(level, "request finished")
}

const metricsInterval = time.Second

// reportMetrics updates the gauges every metricsInterval.
func (d *Daemon) reportMetrics(ctx context.Context) {
	ticker := time.NewTicker(metricsInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			d.setGauges()
		}
	}
}

func (d *Daemon) setGauges() {
	scope := d.metrics.Scope()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	scope.Gauge("heap_bytes").Update(float64(memory.HeapInuse))
	scope.Gauge("config_revision").Update(float64(d.config.Revision()))
	scope.Gauge("requests_in_flight").Update(float64(d.gateway.InFlight()))
	for service, s := range d.scheduler.Stats() {
		tagged := scope.Tagged(map[string]string{"service": string(service)})
		tagged.Gauge("owner_slots").Update(float64(s.Slots))
		tagged.Gauge("owner_running").Update(float64(s.Running))
		tagged.Gauge("owner_queued").Update(float64(s.Queued))
	}
}
