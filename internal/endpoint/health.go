package endpoint

import "time"

const (
	// healthWindow is the number of recent attempts that determine health.
	healthWindow = 20
	// minAttempts and minFailingSignatures prevent a few failures, or one request that always
	// fails, from ejecting an endpoint.
	minAttempts          = 6
	minFailingSignatures = 3
	// firstEjection is the duration of the first ejection. It doubles with each failed probing
	// up to maxEjection.
	firstEjection = time.Second
	maxEjection   = 30 * time.Second
	// probeSuccesses ends probing; maxProbeFailures in a row ejects the endpoint again. One
	// failure is not sufficient, because the probe may be a request that always fails.
	probeSuccesses   = 3
	maxProbeFailures = 2
)

// State is the health state of an endpoint.
type State int

// States of an endpoint.
const (
	InUse State = iota
	Ejected
	Probing
)

// String implements fmt.Stringer.
func (s State) String() string {
	return [...]string{"in-use", "ejected", "probing"}[s]
}

type attempt struct {
	signature string
	failed    bool
}

// health decides when an endpoint is ejected, probed and readmitted.
type health struct {
	state State
	// period counts the changes of state.
	period         int
	recent         []attempt
	ejectedUntil   time.Time
	ejectionPeriod time.Duration
	// successes counts successful probes; failures counts consecutive failed ones.
	successes, failures int
}

// finish records an outcome and reports whether probing succeeded.
func (h *health) finish(now time.Time, o Outcome) (recovered bool) {
	switch h.state {
	case Ejected:
		return false
	case Probing:
		return h.finishProbe(now, o.Failed)
	}
	if len(h.recent) == healthWindow {
		h.recent = append(h.recent[:0], h.recent[1:]...)
	}
	h.recent = append(h.recent, attempt{signature: o.Signature, failed: o.Failed})
	return false
}

func (h *health) finishProbe(now time.Time, failed bool) (recovered bool) {
	if failed {
		h.failures++
		if h.failures >= maxProbeFailures {
			h.eject(now)
		}
		return false
	}
	h.failures = 0
	h.successes++
	if h.successes < probeSuccesses {
		return false
	}
	h.readmit()
	h.ejectionPeriod = 0
	return true
}

// failing reports whether most recent attempts failed, over several signatures that make up
// most of the recent signatures.
func (h *health) failing() bool {
	if h.state != InUse || len(h.recent) < minAttempts {
		return false
	}
	failed := 0
	for _, a := range h.recent {
		if a.failed {
			failed++
		}
	}
	if failed*2 <= len(h.recent) {
		return false
	}
	last, failing := map[string]bool{}, 0
	for _, a := range h.recent {
		last[a.signature] = a.failed
	}
	for _, f := range last {
		if f {
			failing++
		}
	}
	return failing >= minFailingSignatures && failing*2 > len(last)
}

func (h *health) eject(now time.Time) {
	h.ejectionPeriod = min(max(2*h.ejectionPeriod, firstEjection), maxEjection)
	h.ejectedUntil = now.Add(h.ejectionPeriod)
	h.enter(Ejected)
}

func (h *health) readmit() {
	h.enter(InUse)
}

func (h *health) enter(s State) {
	h.state = s
	h.period++
	h.reset()
}

func (h *health) reset() {
	h.recent = h.recent[:0]
	h.successes, h.failures = 0, 0
}

func (h *health) tick(now time.Time) {
	if h.state == Ejected && !now.Before(h.ejectedUntil) {
		h.enter(Probing)
	}
}
