package hosts

import (
	"math"
	"time"

	"samphirestile.example/samphirestile/internal/monotonic"
)

// wantedHistory is how many hosts a pool wanted of late, the oldest answer first.
type wantedHistory []wantedAt

type wantedAt struct {
	at     monotonic.Time
	wanted int
}

// note adds an answer and drops those that no window reaches back to.
func (h *wantedHistory) note(now monotonic.Time, wanted int) {
	*h = append(*h, wantedAt{now, wanted})
	for len(*h) > 1 && now.Sub((*h)[1].at) > restAfter {
		*h = (*h)[1:]
	}
}

// last returns the newest answer; there must be one.
func (h wantedHistory) last() wantedAt { return h[len(h)-1] }

// most returns the most that was wanted during the time d until now. A holder
// that has not asked for so long yet knows no bound.
func (h wantedHistory) most(now monotonic.Time, d time.Duration) int {
	if len(h) == 0 || now.Sub(h[0].at) < d {
		return math.MaxInt
	}
	most := 0
	for i, a := range h {
		// An answer holds until the next one.
		if i+1 == len(h) || now.Sub(h[i+1].at) < d {
			most = max(most, a.wanted)
		}
	}
	return most
}
