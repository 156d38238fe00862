package load

import (
	"context"
	"math/rand"
	"net/http"
	"sync"
	"time"
)

// Balancer emulates the platform's load balancer: it selects only targets whose
// readiness check succeeds.
type Balancer struct {
	interval time.Duration
	client   http.Client

	mu    sync.Mutex
	urls  []string
	ready map[string]bool
	stop  context.CancelFunc
	done  chan struct{}
}

// readyTimeout limits one readiness check, so that a hanging target counts as not ready.
const readyTimeout = 300 * time.Millisecond

// NewBalancer returns a balancer that checks the targets at each interval until Close.
func NewBalancer(interval time.Duration, urls ...string) *Balancer {
	ctx, cancel := context.WithCancel(context.Background())
	b := &Balancer{
		interval: interval,
		client:   http.Client{Timeout: readyTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
		urls:     urls,
		ready:    map[string]bool{},
		stop:     cancel,
		done:     make(chan struct{}),
	}
	b.check(ctx)
	go b.run(ctx)
	return b
}

// SetTargets replaces the targets.
func (b *Balancer) SetTargets(urls ...string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.urls = urls
}

// Close stops the checks and waits until the last one has ended.
func (b *Balancer) Close() {
	b.stop()
	<-b.done
}

func (b *Balancer) run(ctx context.Context) {
	defer close(b.done)
	tick := time.NewTicker(b.interval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			b.check(ctx)
		}
	}
}

// check checks the readiness of all targets at the same time.
func (b *Balancer) check(ctx context.Context) {
	b.mu.Lock()
	urls := append([]string(nil), b.urls...)
	b.mu.Unlock()
	var wg sync.WaitGroup
	for _, u := range urls {
		wg.Go(func() {
			ready := b.isReady(ctx, u)
			b.mu.Lock()
			b.ready[u] = ready
			b.mu.Unlock()
		})
	}
	wg.Wait()
}

func (b *Balancer) isReady(ctx context.Context, url string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url+"/-/ready", nil)
	if err != nil {
		return false
	}
	resp, err := b.client.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// pick returns a random ready target, or any target if none is ready, or "" if there are
// no targets.
func (b *Balancer) pick(rnd *rand.Rand) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var candidates []string
	for _, u := range b.urls {
		if b.ready[u] {
			candidates = append(candidates, u)
		}
	}
	if len(candidates) == 0 {
		candidates = b.urls
	}
	if len(candidates) == 0 {
		return ""
	}
	return candidates[rnd.Intn(len(candidates))]
}

// pick returns a target of the Balancer if there is one, else a random one of Targets by
// weight, or "" if there are none.
func (c Caller) pick(rnd *rand.Rand) string {
	if c.Balancer != nil {
		return c.Balancer.pick(rnd)
	}
	totalWeight := 0.0
	for _, t := range c.Targets {
		totalWeight += t.Weight
	}
	x := rnd.Float64() * totalWeight
	for _, t := range c.Targets {
		if x -= t.Weight; x < 0 {
			return t.URL
		}
	}
	if len(c.Targets) == 0 {
		return ""
	}
	return c.Targets[len(c.Targets)-1].URL
}

// EvenTargets returns targets of equal weight.
func EvenTargets(urls ...string) []Target {
	var targets []Target
	for _, u := range urls {
		targets = append(targets, Target{URL: u, Weight: 1})
	}
	return targets
}
