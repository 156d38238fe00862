package history

import (
	"encoding/json"
	"io"
	"sync"
)

// DefaultMaxEvents limits the events that a Recorder keeps in memory.
const DefaultMaxEvents = 2_000_000

// Recorder collects events in time order.
type Recorder struct {
	mu      sync.Mutex
	events  []Event
	dropped int
	out     io.Writer
}

// NewRecorder returns a recorder that also writes each event to out at once, as a
// JSON line, so that the events of a killed process are kept; out may be nil.
func NewRecorder(out io.Writer) *Recorder { return &Recorder{out: out} }

// Add sets the time of e, records it and returns it.
func (r *Recorder) Add(e Event) Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	e = Stamp(e)
	if len(r.events) >= DefaultMaxEvents {
		r.dropped++
		return e
	}
	r.events = append(r.events, e)
	if r.out != nil {
		line, err := json.Marshal(e)
		if err == nil {
			// A write error must not stop the emulator; the event is kept in memory.
			_, _ = r.out.Write(append(line, '\n'))
		}
	}
	return e
}

// Events returns a copy of the events from index after onwards.
func (r *Recorder) Events(after int) []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	if after >= len(r.events) {
		return nil
	}
	return append([]Event(nil), r.events[after:]...)
}

// Dropped returns the number of events beyond DefaultMaxEvents, which are not kept.
func (r *Recorder) Dropped() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.dropped
}
