package load

import (
	"context"
	"fmt"
	"math/rand"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"samphirestile.example/samphirestile/internal/emulator/history"
)

// Report is the result of a run.
type Report struct {
	Recorder *history.Recorder
	// Callers holds the results by caller name.
	Callers map[string]*Result
	Elapsed time.Duration
}

// Result counts the requests of one caller by class.
type Result struct {
	Sent int `json:"sent"`
	// Answered counts complete responses of endpoints with a status below 400.
	Answered int `json:"answered"`
	// Refused counts outcomes not-run, Unknown outcomes unknown.
	Refused int `json:"refused"`
	Unknown int `json:"unknown"`
	// Failed counts responses of endpoints with a status of 400 or above.
	Failed int `json:"failed"`
	// Broken counts requests without a complete and correct response.
	Broken    int `json:"broken"`
	Cancelled int `json:"cancelled"`
	// Skipped counts arrivals that were not sent because MaxInFlight was reached.
	Skipped int `json:"skipped"`
	// Latency holds the latencies of the requests in Answered, in microseconds.
	Latency *hdrhistogram.Histogram `json:"-"`
}

// Range of the latency histogram in microseconds, and its number of significant digits.
const (
	lowestMicros      = 1
	highestMicros     = 120_000_000
	significantDigits = 3
)

// Total adds the results of all callers.
func (r *Report) Total() Result {
	total := Result{Latency: hdrhistogram.New(lowestMicros, highestMicros, significantDigits)}
	for _, c := range r.Callers {
		total.Sent += c.Sent
		total.Answered += c.Answered
		total.Refused += c.Refused
		total.Unknown += c.Unknown
		total.Failed += c.Failed
		total.Broken += c.Broken
		total.Cancelled += c.Cancelled
		total.Skipped += c.Skipped
		total.Latency.Merge(c.Latency)
	}
	return total
}

// InvalidPlanError reports an invalid plan, and the name of the invalid caller if there is one.
type InvalidPlanError struct{ Caller, Detail string }

func (e *InvalidPlanError) Error() string {
	return fmt.Sprintf("load plan: caller %q: %s", e.Caller, e.Detail)
}

func (p Plan) validate() error {
	names := map[string]bool{}
	for _, c := range p.Callers {
		switch {
		case c.Name == "" || names[c.Name]:
			return &InvalidPlanError{c.Name, "the name is empty or used twice"}
		case (c.Rate == nil) == (c.Concurrency == 0):
			return &InvalidPlanError{c.Name, "exactly one of rate and concurrency is required"}
		case len(c.Targets) == 0 && c.Balancer == nil:
			return &InvalidPlanError{c.Name, "neither targets nor a balancer are set"}
		}
		names[c.Name] = true
	}
	if p.DurationMS <= 0 {
		return &InvalidPlanError{"", "duration_ms must be positive"}
	}
	return nil
}

// runState is the state of one run that its senders share.
type runState struct {
	plan     Plan
	recorder *history.Recorder
	client   *http.Client
	begin    time.Time
	sent     atomic.Int64
}

// Run sends the requests of the plan and waits for all responses.
func Run(ctx context.Context, p Plan) (*Report, error) {
	if err := p.validate(); err != nil {
		return nil, err
	}
	if p.MaxInFlight == 0 {
		p.MaxInFlight = DefaultMaxInFlight
	}
	transport := &http.Transport{
		MaxIdleConns:        0,
		MaxIdleConnsPerHost: p.MaxInFlight,
		DisableCompression:  true,
	}
	defer transport.CloseIdleConnections()
	r := &runState{
		plan:     p,
		recorder: history.NewRecorder(nil),
		client:   &http.Client{Transport: transport, CheckRedirect: noRedirect},
		begin:    time.Now(),
	}
	report := &Report{Recorder: r.recorder, Callers: map[string]*Result{}}
	var wg sync.WaitGroup
	for i, c := range p.Callers {
		s := newSender(r, c, int64(i))
		report.Callers[c.Name] = &s.result
		wg.Go(func() { s.run(ctx) })
	}
	wg.Wait()
	report.Elapsed = time.Since(r.begin)
	return report, nil
}

func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// admit counts one more request and reports whether MaxRequests allows it.
func (r *runState) admit() bool {
	return r.plan.MaxRequests == 0 || r.sent.Add(1) <= int64(r.plan.MaxRequests)
}

func (r *runState) duration() time.Duration {
	return time.Duration(r.plan.DurationMS) * time.Millisecond
}

// sender runs one caller.
type sender struct {
	*runState
	caller Caller
	index  int64

	mu     sync.Mutex
	rnd    *rand.Rand
	number int
	result Result
}

// seedStride makes the random sequences of the callers of one plan different.
const seedStride = 1_000_003

func newSender(r *runState, c Caller, index int64) *sender {
	return &sender{
		runState: r,
		caller:   c,
		index:    index,
		rnd:      rand.New(rand.NewSource(r.plan.Seed + (index+1)*seedStride)),
		result:   Result{Latency: hdrhistogram.New(lowestMicros, highestMicros, significantDigits)},
	}
}

func (s *sender) run(ctx context.Context) {
	if s.caller.Rate != nil {
		s.openLoop(ctx)
		return
	}
	var wg sync.WaitGroup
	for range s.caller.Concurrency {
		wg.Go(func() { s.closedLoop(ctx) })
	}
	wg.Wait()
}

// openLoop generates arrivals of a Poisson process with a varying rate by thinning:
// candidates arrive at the peak rate, and each is kept with the probability current
// rate / peak rate.
func (s *sender) openLoop(ctx context.Context) {
	peak := s.caller.Rate.peak()
	if peak <= 0 {
		return
	}
	// A separate random sequence makes the arrival times independent of other choices.
	rnd := rand.New(rand.NewSource(s.plan.Seed ^ (s.index+1)*seedStride))
	var wg sync.WaitGroup
	defer wg.Wait()
	inFlight := make(chan struct{}, s.plan.MaxInFlight)
	for at := time.Duration(0); ; {
		at += time.Duration(rnd.ExpFloat64() / peak * float64(time.Second))
		keep := rnd.Float64()*peak < s.caller.Rate.At(at)
		if at >= s.duration() || !sleep(ctx, time.Until(s.begin.Add(at))) {
			return
		}
		if !keep {
			continue
		}
		select {
		case inFlight <- struct{}{}:
		default:
			s.updateResult(func(r *Result) { r.Skipped++ })
			continue
		}
		if !s.admit() {
			return
		}
		wg.Go(func() {
			s.send(ctx)
			<-inFlight
		})
	}
}

// defaultRefusalPause keeps a closed loop from sending without a break while requests are
// refused.
const defaultRefusalPause = 20 * time.Millisecond

func (s *sender) closedLoop(ctx context.Context) {
	pause := time.Duration(s.caller.RefusalPauseMS) * time.Millisecond
	if pause == 0 {
		pause = defaultRefusalPause
	}
	for time.Since(s.begin) < s.duration() && ctx.Err() == nil && s.admit() {
		if answered := s.send(ctx); !answered && !sleep(ctx, pause) {
			return
		}
	}
}

func (s *sender) updateResult(f func(*Result)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(&s.result)
}

// sleep waits for d; it returns false if ctx ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
