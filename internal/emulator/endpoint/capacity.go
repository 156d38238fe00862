package endpoint

import (
	"container/heap"
	"context"
	"sync"
	"time"
)

// processor implements processor sharing: all work items progress at the same rate,
// which is 1 for up to capacity items and capacity/items above that.
//
// All items share one virtual clock that advances at that rate, so an item is done when
// the virtual clock reaches the item's arrival time plus its size.
type processor struct {
	mu       sync.Mutex
	capacity int
	// virtualTime is the reading of the virtual clock at updatedAt.
	virtualTime time.Duration
	updatedAt   time.Time
	items       workHeap
	timer       *time.Timer // fires when the next item is done
}

type workItem struct {
	finishAt time.Duration // on the virtual clock
	done     chan struct{}
	index    int // in the heap; -1 when removed
}

func newProcessor(capacity int) *processor {
	return &processor{capacity: capacity, updatedAt: time.Now()}
}

// setCapacity changes the capacity; 0 means unlimited.
func (p *processor) setCapacity(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.advance()
	p.capacity = n
	p.resetTimer()
}

// work returns when work of the given size is done or ctx has ended.
func (p *processor) work(ctx context.Context, size time.Duration) error {
	p.mu.Lock()
	p.advance()
	item := &workItem{finishAt: p.virtualTime + size, done: make(chan struct{})}
	heap.Push(&p.items, item)
	p.resetTimer()
	p.mu.Unlock()
	select {
	case <-item.done:
		return nil
	case <-ctx.Done():
		p.remove(item)
		return ctx.Err()
	}
}

func (p *processor) remove(item *workItem) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.advance()
	if item.index >= 0 {
		heap.Remove(&p.items, item.index)
	}
	p.resetTimer()
}

func (p *processor) rate() float64 {
	if n := len(p.items); p.capacity > 0 && n > p.capacity {
		return float64(p.capacity) / float64(n)
	}
	return 1
}

// advance updates the virtual clock to the current time and completes finished items.
func (p *processor) advance() {
	now := time.Now()
	p.virtualTime += time.Duration(float64(now.Sub(p.updatedAt)) * p.rate())
	p.updatedAt = now
	for len(p.items) > 0 && p.items[0].finishAt <= p.virtualTime {
		close(heap.Pop(&p.items).(*workItem).done)
	}
}

// resetTimer sets the timer to the completion of the next item.
func (p *processor) resetTimer() {
	if p.timer != nil {
		p.timer.Stop()
	}
	if len(p.items) == 0 {
		return
	}
	wait := time.Duration(float64(p.items[0].finishAt-p.virtualTime) / p.rate())
	p.timer = time.AfterFunc(wait, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.advance()
		p.resetTimer()
	})
}

type workHeap []*workItem

func (h workHeap) Len() int           { return len(h) }
func (h workHeap) Less(i, j int) bool { return h[i].finishAt < h[j].finishAt }
func (h workHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *workHeap) Push(x any) {
	item := x.(*workItem)
	item.index = len(*h)
	*h = append(*h, item)
}

func (h *workHeap) Pop() any {
	old := *h
	item := old[len(old)-1]
	item.index = -1
	*h = old[:len(old)-1]
	return item
}
