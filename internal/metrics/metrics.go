// Package metrics exposes the metrics of a daemon through tally in the Prometheus
// text format.
package metrics

import (
	"fmt"
	"io"
	"net/http"
	"time"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// reportInterval is the interval at which tally passes changed values to the reporter.
const reportInterval = time.Second

// Registry holds the root scope of a daemon.
type Registry struct {
	scope    tally.Scope
	closer   io.Closer
	reporter prometheus.Reporter
}

// New returns a registry whose metric names start with "samphirestile_".
func New() *Registry {
	// With the default registry two daemons in one process would register the same metrics.
	registry := prom.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         "samphirestile",
		CachedReporter: reporter,
		Separator:      prometheus.DefaultSeparator,
	}, reportInterval)
	return &Registry{scope: scope, closer: closer, reporter: reporter}
}

// Scope returns the root scope.
func (r *Registry) Scope() tally.Scope { return r.scope }

// Handler returns the HTTP handler that serves the metrics.
func (r *Registry) Handler() http.Handler { return r.reporter.HTTPHandler() }

// Close reports the final values.
func (r *Registry) Close() error {
	if err := r.closer.Close(); err != nil {
		return fmt.Errorf("close metrics: %w", err)
	}
	return nil
}
