// Package monotonic reads a monotonic clock that never jumps and counts the time in which the host was suspended.
package monotonic

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// Time is the time since the host's start.
type Time time.Duration

// Now returns CLOCK_BOOTTIME. Go's monotonic clock stands still during a
// suspension, so a lease that ended meanwhile would look valid by it.
func Now() Time {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// CLOCK_BOOTTIME exists since Linux 2.6.39; no supported host lacks it.
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

// Sleep waits for d or until ctx ends.
func Sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
