package endpoint

import (
	"container/heap"
	"context"
	"sync"
	"time"
)

// processor implements processor sharing: all jobs progress at the same rate, which
// is 1 for up to capacity jobs and capacity/jobs above that.
//
// All jobs share one virtual clock that advances at that rate, so a job is done when
// the virtual clock reaches the job's arrival time plus its size.
type processor struct {
	mu       sync.Mutex
	capacity int
	virtual  time.Duration
	updated  time.Time
	jobs     jobHeap
	timer    *time.Timer
}

type job struct {
	finish time.Duration
	done   chan struct{}
	index  int
}

func newProcessor(capacity int) *processor {
	return &processor{capacity: capacity, updated: time.Now()}
}

// setCapacity changes the capacity; 0 means unlimited.
func (p *processor) setCapacity(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.advance()
	p.capacity = n
	p.resetTimer()
}

// work returns when an amount size of work is done or ctx has ended.
func (p *processor) work(ctx context.Context, size time.Duration) error {
	p.mu.Lock()
	p.advance()
	j := &job{finish: p.virtual + size, done: make(chan struct{})}
	heap.Push(&p.jobs, j)
	p.resetTimer()
	p.mu.Unlock()
	select {
	case <-j.done:
		return nil
	case <-ctx.Done():
		p.remove(j)
		return ctx.Err()
	}
}

func (p *processor) remove(j *job) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.advance()
	if j.index >= 0 {
		heap.Remove(&p.jobs, j.index)
	}
	p.resetTimer()
}

func (p *processor) rate() float64 {
	if n := len(p.jobs); p.capacity > 0 && n > p.capacity {
		return float64(p.capacity) / float64(n)
	}
	return 1
}

// advance updates the virtual clock to the current time and completes finished jobs.
func (p *processor) advance() {
	now := time.Now()
	p.virtual += time.Duration(float64(now.Sub(p.updated)) * p.rate())
	p.updated = now
	for len(p.jobs) > 0 && p.jobs[0].finish <= p.virtual {
		close(heap.Pop(&p.jobs).(*job).done)
	}
}

// resetTimer sets the timer to the completion of the next job.
func (p *processor) resetTimer() {
	if p.timer != nil {
		p.timer.Stop()
	}
	if len(p.jobs) == 0 {
		return
	}
	wait := time.Duration(float64(p.jobs[0].finish-p.virtual) / p.rate())
	p.timer = time.AfterFunc(wait, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.advance()
		p.resetTimer()
	})
}

type jobHeap []*job

func (h jobHeap) Len() int           { return len(h) }
func (h jobHeap) Less(i, j int) bool { return h[i].finish < h[j].finish }
func (h jobHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *jobHeap) Push(x any) {
	j := x.(*job)
	j.index = len(*h)
	*h = append(*h, j)
}

func (h *jobHeap) Pop() any {
	old := *h
	j := old[len(old)-1]
	j.index = -1
	*h = old[:len(old)-1]
	return j
}
