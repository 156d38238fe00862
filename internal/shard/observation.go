package shard

import "samphirestile.example/samphirestile/internal/monotonic"

// observation is when a worker said something about a run, and which of its incarnations said it. Answers
// overtake each other, and a worker may restart under its ID, so what it said is changed only by what the same
// or a later incarnation says later: by a status that was requested after the observation, or by the answer to a
// command.
type observation struct {
	at monotonic.Time
	// incarnation is the value of session.incarnation at that time.
	incarnation int
}

// observe returns an observation of the incarnation that is known now. The caller holds mu.
func (s *session) observe(at monotonic.Time) observation { return observation{at, s.incarnation} }

// made reports whether there is an observation.
func (b observation) made() bool { return b.at != 0 }

// precedes reports whether a call sent at a time shows what became of what was observed. At equal times the order is not
// known.
func (b observation) precedes(sent monotonic.Time) bool { return b.made() && b.at < sent }

// holds reports whether an observation was made and the worker neither restarted since, as far as is known, nor changed
// its address, with which it may have.
func (s *session) holds(b observation) bool { return b.made() && b.incarnation == s.incarnation }
