// Package monotonic provides a monotonic clock that includes the time during which the host was suspended.
package monotonic

import (
	"context"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Time is the time since the host booted.
type Time time.Duration

// testClock replaces CLOCK_BOOTTIME if it is set.
var testClock atomic.Pointer[func() Time]

// SetTestClock replaces the clock in tests on simulated time; nil restores it.
func SetTestClock(clock func() Time) {
	if clock == nil {
		testClock.Store(nil)
		return
	}
	testClock.Store(&clock)
}

// Now returns CLOCK_BOOTTIME. Go's monotonic clock stops while the host is suspended,
// so a lease that expired meanwhile would still look valid.
func Now() Time {
	if clock := testClock.Load(); clock != nil {
		return (*clock)()
	}
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// CLOCK_BOOTTIME exists since Linux 2.6.39, so every supported host has it.
		panic("monotonic: CLOCK_BOOTTIME: " + err.Error())
	}
	return Time(t.Nano())
}

// Add returns the time d later.
func (t Time) Add(d time.Duration) Time { return t + Time(d) }

// Sub returns the duration from u to t.
func (t Time) Sub(u Time) time.Duration { return time.Duration(t - u) }

// Milliseconds returns t in whole milliseconds.
func (t Time) Milliseconds() int64 { return time.Duration(t).Milliseconds() }

// Sleep waits for d or until ctx is done.
func Sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
