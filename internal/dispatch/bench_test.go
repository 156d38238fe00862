package dispatch_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"samphirestile.example/samphirestile/internal/dispatch"
	"samphirestile.example/samphirestile/internal/fleet"
)

func benchScheduler(b *testing.B, slots int) *dispatch.Scheduler {
	s := dispatch.New(dispatch.Config{Limiter: newLimiter(nil)})
	s.SetEndpoints(fleet.Service{ID: service}, endpoints(8, slots/8))
	b.Cleanup(s.Close)
	return s
}

func benchRequest(team int) dispatch.Request {
	return dispatch.Request{
		Service: service, Team: fleet.TeamID(fmt.Sprint("team", team)), Signature: "GET /", Deadline: time.Now().Add(10_000 * time.Hour),
	}
}

// BenchmarkGrant measures a request that finds a free slot.
func BenchmarkGrant(b *testing.B) {
	s := benchScheduler(b, 64)
	r := benchRequest(0)
	b.ReportAllocs()
	for b.Loop() {
		g, _ := s.Acquire(context.Background(), r)
		g.Done(dispatch.Result{FirstByte: time.Millisecond})
	}
}

// BenchmarkQueuedGrant measures a request that waits in a queue of 1,000, including the
// switch to its goroutine.
func BenchmarkQueuedGrant(b *testing.B) {
	for _, teams := range []int{6, 140} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			s := benchScheduler(b, 64)
			var wait sync.WaitGroup
			left := make(chan struct{}, b.N)
			for range b.N {
				left <- struct{}{}
			}
			close(left)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range 1064 {
				wait.Go(func() {
					r := benchRequest(i % teams)
					for range left {
						if g, err := s.Acquire(context.Background(), r); err == nil {
							g.Done(dispatch.Result{FirstByte: time.Millisecond})
						}
					}
				})
			}
			wait.Wait()
		})
	}
}

// BenchmarkCancel10000 measures the cancellation of 10,000 queued requests at once, until
// the last caller has been notified.
func BenchmarkCancel10000(b *testing.B) {
	s := dispatch.New(dispatch.Config{Limiter: newLimiter(nil)})
	b.Cleanup(s.Close)
	s.SetEndpoints(fleet.Service{ID: service}, endpoints(1, 1))
	blocker, _ := s.Acquire(context.Background(), benchRequest(0))
	defer blocker.Cancel()
	for b.Loop() {
		b.StopTimer()
		ctx, cancel := context.WithCancel(context.Background())
		var wait sync.WaitGroup
		for i := range 10_000 {
			wait.Go(func() { _, _ = s.Acquire(ctx, benchRequest(i%6)) })
		}
		for load, _ := s.Load(service); load.Queued < 10_000; load, _ = s.Load(service) {
			time.Sleep(time.Millisecond)
		}
		b.StartTimer()
		cancel()
		wait.Wait()
	}
}
