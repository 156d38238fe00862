package entry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"samphirestile.example/samphirestile/internal/advice"
	"samphirestile.example/samphirestile/internal/intake"
	"samphirestile.example/samphirestile/internal/job"
	"samphirestile.example/samphirestile/internal/jobconfig"
	"samphirestile.example/samphirestile/internal/shard"
)

const (
	// freshFraction is the fraction of the revocation deadline after which an unconfirmed
	// configuration is stale. A daemon with a stale configuration accepts no keys.
	freshFraction = 0.75
	// defaultTimeout applies to calls without a deadline.
	defaultTimeout = 3 * time.Second
	// responseMargin is the part of the client's timeout reserved for sending the response.
	responseMargin = 100 * time.Millisecond
	// staleRetryAfter is the Retry-After of refusals due to a missing or stale configuration.
	staleRetryAfter = time.Second
	// defaultBodyBytes is the body limit if the configuration sets none.
	defaultBodyBytes = 1 << 18
)

// Protocol decodes client calls and encodes responses in the platform's format.
type Protocol struct {
	Key          func(*http.Request) string
	Timeout      func(r *http.Request, fallback time.Duration) time.Duration
	DecodeJob    func([]byte) (job.Job, error)
	WriteState   func(http.ResponseWriter, job.State) error
	WriteWaiting func(http.ResponseWriter, int) error
}

// Gateway serves client calls.
type Gateway struct {
	Configurations *ConfigurationFollower
	Router         *Router
	Protocol       Protocol
	// RevocationDeadline is the time within which a revoked key must stop working.
	RevocationDeadline time.Duration
	Log                *logrus.Logger
	Scope              tally.Scope
}

var latencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 13)

// call is one client call: its queue, job and account, the configuration that it was checked
// against, and its outcome.
type call struct {
	queue   *jobconfig.Queue
	id      job.ID
	account string
	version int64
	age     time.Duration
	status  int
	reason  string
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	began := time.Now()
	c := &call{}
	if err := g.serve(w, r, c); err != nil {
		g.writeError(w, c, err)
	}
	g.recordCall(r, c, time.Since(began))
}

// StatusError is a failure that is reported to the client by its HTTP status.
type StatusError struct {
	Status     int
	Reason     string
	RetryAfter time.Duration
}

func (e *StatusError) Error() string { return fmt.Sprintf("status %d: %s", e.Status, e.Reason) }

func invalidIDError(id job.ID) error {
	return &StatusError{Status: http.StatusBadRequest, Reason: fmt.Sprintf("%q is not the id of a job", id)}
}

func (g *Gateway) serve(w http.ResponseWriter, r *http.Request, c *call) error {
	if err := g.authorize(r, c); err != nil {
		return g.refuse(r, c, err)
	}
	timeout := g.Protocol.Timeout(r, defaultTimeout)
	ctx, cancel := context.WithTimeout(r.Context(), max(timeout-responseMargin, responseMargin))
	defer cancel()
	if r.Method != http.MethodPost {
		// A submission is authorized again once its body has arrived.
		ctx, cancel = g.untilRevocation(ctx, c)
		defer cancel()
	}
	switch {
	case r.Method == http.MethodGet && c.id == "":
		n, err := g.Router.Waiting(ctx, c.queue)
		if err != nil {
			return err
		}
		c.status = http.StatusOK
		return g.Protocol.WriteWaiting(w, n)
	case !job.ValidID(string(c.id)):
		return invalidIDError(c.id)
	case r.Method == http.MethodGet:
		state, err := g.Router.State(ctx, c.queue, c.id)
		if err != nil {
			return err
		}
		c.status = http.StatusOK
		return g.Protocol.WriteState(w, state)
	case r.Method == http.MethodPost:
		return g.submit(ctx, w, r, c)
	case r.Method == http.MethodDelete:
		if err := g.Router.Cancel(ctx, c.queue, c.id); err != nil {
			return err
		}
		c.status = http.StatusOK
		w.WriteHeader(c.status)
		return nil
	}
	return &StatusError{Status: http.StatusMethodNotAllowed, Reason: r.Method}
}

// authorize determines the queue and the job, and checks the key.
func (g *Gateway) authorize(r *http.Request, c *call) error {
	configuration, age := g.Configurations.Current()
	if configuration == nil {
		return &StatusError{http.StatusServiceUnavailable, "no configuration yet", staleRetryAfter}
	}
	c.version, c.age = configuration.Version, age
	fresh := age < time.Duration(freshFraction*float64(g.RevocationDeadline))
	stale := &StatusError{http.StatusServiceUnavailable, "the configuration is not confirmed", staleRetryAfter}
	queue, rest, ok := configuration.Match(r.Host, r.URL.Path)
	if !ok {
		if !fresh {
			return stale
		}
		return &StatusError{Status: http.StatusNotFound, Reason: "no such queue"}
	}
	c.queue, c.id = queue, job.ID(rest)
	if queue.Open {
		return nil
	}
	if !fresh {
		return stale
	}
	if c.account, ok = configuration.AccountByKey(g.Protocol.Key(r)); !ok {
		return &StatusError{Status: http.StatusUnauthorized, Reason: "unknown key"}
	}
	return nil
}

// untilRevocation returns a context that ends before a revocation that the configuration of the
// call lacks must have taken effect. No owner may be called after that.
func (g *Gateway) untilRevocation(ctx context.Context, c *call) (context.Context, context.CancelFunc) {
	if c.queue.Open {
		return ctx, func() {}
	}
	return context.WithTimeout(ctx, g.RevocationDeadline-c.age)
}

// refuse returns the error of a call that is not authorized. A 503 says that a job never runs,
// which is not known while an earlier call for it has an open outcome.
func (g *Gateway) refuse(r *http.Request, c *call, err error) error {
	var status *StatusError
	if r.Method == http.MethodPost && errors.As(err, &status) && status.Status == http.StatusServiceUnavailable {
		return g.Router.refuse(c.id, err)
	}
	return err
}

func (g *Gateway) submit(ctx context.Context, w http.ResponseWriter, r *http.Request, c *call) error {
	limit := int64(defaultBodyBytes)
	if configuration, _ := g.Configurations.Current(); configuration.Limits.BodyBytes > 0 {
		limit = configuration.Limits.BodyBytes
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if err != nil {
		return g.bodyError(c, err)
	}
	for range maxBindingChanges {
		var moved *shard.QueueMovedError
		if err = g.submitBody(ctx, r, c, body); !errors.As(err, &moved) {
			break
		}
		// A newer configuration than this daemon's sends the queue elsewhere, or nowhere.
		if !g.Configurations.Await(ctx, moved.Version) {
			err = g.Router.refuse(c.id, &StatusError{http.StatusServiceUnavailable, "the configuration is not up to date", staleRetryAfter})
			break
		}
	}
	if errors.As(err, new(*shard.QueueMovedError)) {
		err = g.Router.refuse(c.id, err)
	}
	if err != nil {
		return err
	}
	c.status = http.StatusOK
	w.WriteHeader(c.status)
	return nil
}

// bodyError returns the error of a submission whose body did not arrive. Nothing of it was submitted.
func (g *Gateway) bodyError(c *call, err error) error {
	var refused *intake.RefusedError
	status := http.StatusBadRequest
	switch {
	case errors.As(err, new(*http.MaxBytesError)):
		status = http.StatusRequestEntityTooLarge
	case errors.As(err, &refused):
		status = refused.Status()
	}
	out := &StatusError{Status: status, Reason: "body: " + err.Error()}
	if status == http.StatusServiceUnavailable {
		out.RetryAfter = intake.RetryAfter
		return g.Router.refuse(c.id, out)
	}
	return out
}

// submitBody submits the job in the body of a call under the configuration in force.
func (g *Gateway) submitBody(ctx context.Context, r *http.Request, c *call, body []byte) error {
	// The key may have been revoked while the body arrived.
	if err := g.authorize(r, c); err != nil {
		return g.refuse(r, c, err)
	}
	if !job.ValidID(string(c.id)) {
		return invalidIDError(c.id)
	}
	ctx, cancel := g.untilRevocation(ctx, c)
	defer cancel()
	j, err := g.Protocol.DecodeJob(body)
	if err != nil {
		return err
	}
	j.ID, j.Queue, j.Service, j.Account = c.id, c.queue.Name, c.queue.Service, c.account
	j.QueueAddress, j.ConfigVersion = c.queue.Address(), c.version
	j.Priority, j.MaxAttempts, j.Stretch = c.queue.Priority, c.queue.MaxAttempts, c.queue.Stretch
	j.Objective = c.queue.Objective
	if a := c.queue.Advice; a != nil {
		j.Advised, j.AdviceTime, j.AdviceDecision = true, a.CallDuration(advice.BatchSize), a.Decision
	}
	if err := j.Validate(); err != nil {
		return err
	}
	return g.Router.Submit(ctx, j)
}

// writeError sends the response to a failed call.
func (g *Gateway) writeError(w http.ResponseWriter, c *call, err error) {
	var rejected *shard.RejectedError
	var status *StatusError
	var retryAfter time.Duration
	c.reason = err.Error()
	switch {
	case errors.As(err, new(*shard.UnknownOutcomeError)):
		// The job may have been accepted, whatever the cause.
		c.status = http.StatusGatewayTimeout
	case errors.As(err, &status):
		c.status, retryAfter = status.Status, status.RetryAfter
	case errors.As(err, &rejected):
		c.status, retryAfter = http.StatusServiceUnavailable, rejected.RetryAfter
		if rejected.Overload {
			c.status = http.StatusTooManyRequests
		}
	case errors.As(err, new(*job.InvalidError)):
		c.status = http.StatusBadRequest
	case errors.As(err, new(*shard.QueueMovedError)):
		c.status, retryAfter = http.StatusServiceUnavailable, staleRetryAfter
	case errors.As(err, new(*shard.UnknownJobError)):
		c.status = http.StatusGone
	default:
		// The job may have been accepted, so the status must not signal a refusal.
		c.status = http.StatusGatewayTimeout
	}
	if retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int((retryAfter+time.Second-1)/time.Second)))
	}
	w.WriteHeader(c.status)
}

// methodLabel returns the method of a call for metrics, which keep each label for ever.
func methodLabel(method string) string {
	switch method {
	case http.MethodGet, http.MethodPost, http.MethodDelete:
		return method
	}
	return "other"
}

// maxLoggedBytes bounds the parts of a log line that a client chooses.
const maxLoggedBytes = 300

func shorten(s string) string { return s[:min(len(s), maxLoggedBytes)] }

func (g *Gateway) recordCall(r *http.Request, c *call, took time.Duration) {
	method := methodLabel(r.Method)
	tags := map[string]string{"method": method, "status": strconv.Itoa(c.status)}
	g.Scope.Tagged(tags).Counter("job_calls").Inc(1)
	g.Scope.Tagged(map[string]string{"method": method}).Histogram("job_call_seconds", latencyBuckets).RecordDuration(took)
	level := logrus.InfoLevel
	if r.Method == http.MethodGet && c.status == http.StatusOK {
		level = logrus.DebugLevel
	}
	if !g.Log.IsLevelEnabled(level) {
		return
	}
	fields := logrus.Fields{
		"job": shorten(string(c.id)), "method": method, "status": c.status, "account": c.account, "config_version": c.version,
		"config_age_ms": c.age.Milliseconds(), "took_ms": took.Milliseconds(),
	}
	if c.queue != nil {
		fields["queue"], fields["service"] = c.queue.Name, c.queue.Service
	}
	if c.reason != "" {
		fields["reason"] = shorten(c.reason)
	}
	g.Log.WithFields(fields).Log(level, "call answered")
}
