// Package advice sends the requests of a daemon's shards to the external advisor, which handles the calls of
// one host one at a time.
package advice

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"samphirestile.example/samphirestile/internal/monotonic"
	"samphirestile.example/samphirestile/internal/worker"
)

const (
	// retryDelay follows a call without an answer.
	retryDelay = 250 * time.Millisecond
	// answerSlack is how much longer than expected a call may take: the advisor may still be busy with a call
	// of a former process on this host.
	answerSlack = 5 * time.Second
	// maxTimeoutFactor bounds the growth of the timeout of calls.
	maxTimeoutFactor = 16
)

// latencyBuckets covers 1 ms to about 8 s.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 14)

// Request is a call to the advisor.
type Request struct {
	Offer
	// Shard names the shard in logs.
	Shard   string
	Step    string
	Workers []worker.ID
	// Expected is how long the advisor takes for the call.
	Expected time.Duration
	// Answered is called with the answer, or with the error if there was none, before the next request is chosen.
	Answered func(a worker.Advice, sent, received monotonic.Time, err error)
}

// Source is a shard whose steps need decisions of the advisor.
type Source interface {
	// NextAdviceRequest returns the most urgent request that is still needed.
	NextAdviceRequest() (Request, bool)
	// AdviceBacklog returns the time that the advisor needs for the accepted jobs of the shard. It does not block.
	AdviceBacklog() time.Duration
}

// Queue sends the requests of all shards of one daemon, one at a time.
type Queue struct {
	advisor worker.Advisor
	log     *logrus.Logger
	scope   tally.Scope
	wake    chan struct{}

	mu      sync.Mutex
	sources map[Source]*turn
	silence silence
}

// silence is the time for which the advisor has answered none of the calls sent.
type silence struct {
	// from is when the first of these calls was sent, or 0; until is when the last of them was given up.
	from, until monotonic.Time
	// calling is set while a call is waited for.
	calling bool
}

// maxSilenceAge is how long the last call without an answer counts. Jobs are accepted after it, because no call would show
// the return of the advisor while all are refused.
const maxSilenceAge = 5 * time.Second

// at returns how long the advisor has been silent.
func (s silence) at(now monotonic.Time) time.Duration {
	switch {
	case s.from == 0 || !s.calling && now.Sub(s.until) > maxSilenceAge:
		return 0
	case s.calling:
		return now.Sub(s.from)
	}
	return s.until.Sub(s.from)
}

// turn is when a source had its last turn, by the requests of others that were sent since.
type turn struct{ passedOver int }

// New returns a queue for an advisor; Run sends its requests.
func New(advisor worker.Advisor, log *logrus.Logger, scope tally.Scope) *Queue {
	return &Queue{advisor: advisor, log: log, scope: scope, wake: make(chan struct{}, 1), sources: map[Source]*turn{}}
}

// Join adds a source until the returned function is called.
func (q *Queue) Join(s Source) (leave func()) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.sources[s] = &turn{}
	return func() {
		q.mu.Lock()
		defer q.mu.Unlock()
		delete(q.sources, s)
	}
}

// Wake tells the queue that a source has requests.
func (q *Queue) Wake() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// Backlog returns the time that the advisor needs for the accepted jobs of other sources. An advisor that does not
// answer is expected to be silent for as long again.
func (q *Queue) Backlog(except Source) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	var backlog time.Duration
	for s := range q.sources {
		if s != except {
			backlog += s.AdviceBacklog()
		}
	}
	return backlog + q.silence.at(monotonic.Now())
}

// Run sends requests until ctx ends. The advisor goes on with a call that is given up, so each call is waited
// for, also when its shard has another owner by then.
func (q *Queue) Run(ctx context.Context) {
	timeoutFactor := 1
	for ctx.Err() == nil {
		r, ok := q.next()
		if !ok {
			select {
			case <-ctx.Done():
			case <-q.wake:
			}
			continue
		}
		err := q.send(ctx, r, time.Duration(timeoutFactor)*(2*r.Expected+answerSlack))
		switch {
		case err == nil:
			timeoutFactor = 1
			continue
		case errors.Is(err, context.DeadlineExceeded):
			// A retry of the same duration would be given up like this call.
			timeoutFactor = min(2*timeoutFactor, maxTimeoutFactor)
		}
		monotonic.Sleep(ctx, retryDelay)
	}
}

// next chooses among the most urgent requests of all sources.
func (q *Queue) next() (Request, bool) {
	q.mu.Lock()
	turns := make(map[Source]*turn, len(q.sources))
	for s, t := range q.sources {
		turns[s] = t
	}
	q.mu.Unlock()
	var requests []Request
	var offers []Offer
	var waiting []*turn
	for s, t := range turns {
		r, ok := s.NextAdviceRequest()
		if !ok {
			t.passedOver = 0
			continue
		}
		r.PassedOver = t.passedOver
		requests, offers, waiting = append(requests, r), append(offers, r.Offer), append(waiting, t)
	}
	if len(requests) == 0 {
		return Request{}, false
	}
	chosen := Choose(offers, monotonic.Now())
	for i, t := range waiting {
		t.passedOver++
		if i == chosen {
			t.passedOver = 0
		}
	}
	return requests[chosen], true
}

func (q *Queue) send(ctx context.Context, r Request, timeout time.Duration) error {
	fields := logrus.Fields{
		"shard": r.Shard, "step": r.Step, "workers": len(r.Workers), "expected_ms": r.Expected.Milliseconds(), "timeout_ms": timeout.Milliseconds(),
		"passed_over": r.PassedOver, "room": r.Room, "deferred": r.Deferred,
	}
	call, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	sent := monotonic.Now()
	q.recordCalling()
	advice, err := q.advisor.Advise(call, r.Step, r.Workers)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if err != nil && call.Err() != nil {
		err = errors.Join(err, call.Err())
	}
	received := monotonic.Now()
	fields["took_ms"] = received.Sub(sent).Milliseconds()
	q.scope.Histogram("advice_seconds", latencyBuckets).RecordDuration(received.Sub(sent))
	q.recordCall(err == nil, sent, received)
	if err != nil {
		q.log.WithError(err).WithFields(fields).Warn("advisor gave no answer")
	} else {
		fields["validity_ms"] = advice.Validity.Milliseconds()
		q.log.WithFields(fields).WithField("allowed", len(advice.Approvals)).Info("advisor answered")
	}
	r.Answered(advice, sent, received, err)
	return err
}

func (q *Queue) recordCalling() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.silence.calling = true
}

// recordCall records whether a call was answered.
func (q *Queue) recordCall(answered bool, sent, ended monotonic.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if answered {
		q.silence = silence{}
		return
	}
	if q.silence.from == 0 {
		q.silence.from = sent
	}
	q.silence.until, q.silence.calling = ended, false
}
