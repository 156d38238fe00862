package monotonic

import (
	"context"
	"slices"
	"sync"
	"time"
)

const (
	// sampleInterval is the time between two samples of the time of day.
	sampleInterval = time.Second
	// samplesKept is the number of samples that an estimate is made of. A jump that is taken back within half of that many
	// intervals changes no estimate.
	samplesKept = 120
)

// TimeOfDay estimates the Unix time by the monotonic clock. The host's time of day may jump by seconds and back again.
type TimeOfDay struct {
	mu sync.Mutex
	// offsets are differences between the time of day and the monotonic clock in milliseconds, in a ring.
	offsets []int64
	next    int
	median  int64
}

// NewTimeOfDay returns an estimate from the time of day at present.
func NewTimeOfDay() *TimeOfDay {
	t := &TimeOfDay{}
	t.sample(time.Now().UnixMilli(), Now())
	return t
}

// Run samples the time of day until ctx is done.
func (t *TimeOfDay) Run(ctx context.Context) {
	for ctx.Err() == nil {
		Sleep(ctx, sampleInterval)
		t.sample(time.Now().UnixMilli(), Now())
	}
}

// UnixMS returns the estimate for a time of the monotonic clock, in milliseconds.
func (t *TimeOfDay) UnixMS(now Time) int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.median + now.Milliseconds()
}

func (t *TimeOfDay) sample(unixMS int64, now Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	offset := unixMS - now.Milliseconds()
	if len(t.offsets) < samplesKept {
		t.offsets = append(t.offsets, offset)
	} else {
		t.offsets[t.next] = offset
		t.next = (t.next + 1) % samplesKept
	}
	sorted := slices.Sorted(slices.Values(t.offsets))
	t.median = sorted[len(sorted)/2]
}
