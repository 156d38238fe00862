package advice_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"samphirestile.example/samphirestile/internal/advice"
	"samphirestile.example/samphirestile/internal/monotonic"
	"samphirestile.example/samphirestile/internal/worker"
)

// slowAdvisor answers after a time, or not at all if it is negative.
type slowAdvisor struct {
	mu             sync.Mutex
	took           time.Duration
	running, peak  int
	answered, late int
}

func (a *slowAdvisor) Advise(ctx context.Context, _ string, _ []worker.ID) (worker.Advice, error) {
	a.mu.Lock()
	a.running++
	a.peak = max(a.peak, a.running)
	took := a.took
	a.mu.Unlock()
	defer func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.running--
	}()
	if took < 0 {
		return worker.Advice{}, errors.New("advisor is down")
	}
	select {
	case <-time.After(took):
		a.mu.Lock()
		defer a.mu.Unlock()
		a.answered++
		return worker.Advice{Validity: time.Second}, nil
	case <-ctx.Done():
		a.mu.Lock()
		defer a.mu.Unlock()
		a.late++
		return worker.Advice{}, ctx.Err()
	}
}

// steps is a shard with a number of steps, which all wait for the advisor.
type steps struct {
	mu       sync.Mutex
	left     int
	expected time.Duration
	errs     []error
}

func (s *steps) NextAdviceRequest() (advice.Request, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.left == 0 {
		return advice.Request{}, false
	}
	return advice.Request{Step: fmt.Sprint(s.left), Workers: []worker.ID{"w0"}, Expected: s.expected, Answered: func(_ worker.Advice, _, _ monotonic.Time, err error) {
		s.mu.Lock()
		defer s.mu.Unlock()
		if err == nil {
			s.left--
		} else {
			s.errs = append(s.errs, err)
		}
	}}, true
}

func (s *steps) AdviceBacklog() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.left) * s.expected
}

func (s *steps) remaining() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.left
}

func (s *steps) failures() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.errs)
}

var _ = Describe("the queue of calls to the advisor", func() {
	var q *advice.Queue
	var a *slowAdvisor
	BeforeEach(func() {
		log := logrus.New()
		log.SetOutput(io.Discard)
		a = &slowAdvisor{took: 5 * time.Millisecond}
		q = advice.New(a, log, tally.NoopScope)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			q.Run(ctx)
		}()
		DeferCleanup(func() {
			cancel()
			<-done
		})
	})

	// Guards against shards of one daemon that wait for each other's calls.
	It("sends the requests of all shards one at a time, and counts the backlog of the others", func() {
		shards := []*steps{{left: 10, expected: 5 * time.Millisecond}, {left: 10, expected: 5 * time.Millisecond}, {left: 3, expected: 5 * time.Millisecond}}
		for _, s := range shards {
			defer q.Join(s)()
		}
		Expect(q.Backlog(shards[0])).To(Equal(65 * time.Millisecond))
		q.Wake()
		for _, s := range shards {
			Eventually(s.remaining).Should(BeZero())
		}
		a.mu.Lock()
		defer a.mu.Unlock()
		Expect(a.peak).To(Equal(1))
	})
	It("ignores shards that have left", func() {
		s := &steps{left: 1}
		q.Join(s)()
		q.Wake()
		Consistently(s.remaining, "50ms").Should(Equal(1))
		Expect(q.Backlog(nil)).To(BeZero())
	})
	// Guards against jobs that are accepted and wait for an advisor that does not answer.
	It("counts the time without an answer as backlog until the advisor answers", func() {
		a.mu.Lock()
		a.took = -1
		a.mu.Unlock()
		s := &steps{left: 1}
		defer q.Join(s)()
		q.Wake()
		Eventually(s.failures).Should(BeNumerically(">", 2))
		Expect(q.Backlog(s)).To(BeNumerically(">", 200*time.Millisecond))
		a.mu.Lock()
		a.took = time.Millisecond
		a.mu.Unlock()
		Eventually(s.remaining).Should(BeZero())
		Eventually(q.Backlog).WithArguments(s).Should(BeZero())
	})
})

var _ = Describe("a call that takes much longer than expected", func() {
	// Guards against calls that are given up after the same time again and again, while the advisor goes on with each of them.
	It("is waited for longer each time", func() {
		synctest.Test(suite, func(*testing.T) {
			defer GinkgoRecover()
			began := time.Now()
			monotonic.SetTestClock(func() monotonic.Time { return monotonic.Time(time.Hour + time.Since(began)) })
			defer monotonic.SetTestClock(nil)
			log := logrus.New()
			log.SetOutput(io.Discard)
			a, s := &slowAdvisor{took: 20 * time.Second}, &steps{left: 1, expected: time.Second}
			q := advice.New(a, log, tally.NoopScope)
			ctx, cancel := context.WithCancel(context.Background())
			var group sync.WaitGroup
			group.Go(func() { q.Run(ctx) })
			defer group.Wait()
			defer cancel()
			defer q.Join(s)()
			q.Wake()
			time.Sleep(time.Minute)
			Expect(s.remaining()).To(BeZero())
			Expect(s.failures()).To(Equal(2))
		})
	})
})
