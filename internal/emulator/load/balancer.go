package load

import (
	"context"
	"math/rand"
	"net/http"
	"sync"
	"time"
)

// Balancer stands for the platform's load balancer: it sends requests only to
// targets whose readiness check succeeds.
type Balancer struct {
	interval time.Duration
	client   http.Client

	mu    sync.Mutex
	urls  []string
	ready map[string]bool
	stop  context.CancelFunc
	done  chan struct{}
}

// readyTimeout bounds one readiness check, so that a frozen target counts as not ready.
const readyTimeout = 300 * time.Millisecond

// NewBalancer checks the targets each interval until Close.
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

// Close ends the checks.
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

func (b *Balancer) check(ctx context.Context) {
	b.mu.Lock()
	urls := append([]string(nil), b.urls...)
	b.mu.Unlock()
	var wg sync.WaitGroup
	for _, u := range urls {
		wg.Go(func() {
			ok := b.isReady(ctx, u)
			b.mu.Lock()
			b.ready[u] = ok
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

// pick returns a ready target; when none is ready, any target, and "" when there is none.
func (b *Balancer) pick(rnd *rand.Rand) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var ready []string
	for _, u := range b.urls {
		if b.ready[u] {
			ready = append(ready, u)
		}
	}
	if len(ready) == 0 {
		ready = b.urls
	}
	if len(ready) == 0 {
		return ""
	}
	return ready[rnd.Intn(len(ready))]
}

func (c Caller) pick(rnd *rand.Rand) string {
	if c.Balancer != nil {
		return c.Balancer.pick(rnd)
	}
	sum := 0.0
	for _, t := range c.Targets {
		sum += t.Weight
	}
	x := rnd.Float64() * sum
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
