package hosts

import (
	"math"
	"time"

	"samphirestile.example/samphirestile/internal/monotonic"
)

// wantedHistory holds the numbers of hosts that a pool recently reported as wanted,
// oldest first.
type wantedHistory []wantedAt

type wantedAt struct {
	at     monotonic.Time
	wanted int
}

// record appends a reported number and drops those that are older than every window.
func (h *wantedHistory) record(now monotonic.Time, wanted int) {
	*h = append(*h, wantedAt{now, wanted})
	for len(*h) > 1 && now.Sub((*h)[1].at) > switchOffDelay {
		*h = (*h)[1:]
	}
}

// latest returns the newest reported number. It must not be called on an empty history.
func (h wantedHistory) latest() wantedAt { return h[len(h)-1] }

// peak returns the highest number of hosts wanted during the last d. If the
// history does not reach back that far, no bound is known and it returns
// math.MaxInt, so that no host is taken away.
func (h wantedHistory) peak(now monotonic.Time, d time.Duration) int {
	if len(h) == 0 || now.Sub(h[0].at) < d {
		return math.MaxInt
	}
	most := 0
	for i, report := range h {
		// A reported number is valid until the next one.
		if i+1 == len(h) || now.Sub(h[i+1].at) < d {
			most = max(most, report.wanted)
		}
	}
	return most
}
