package claim

import "time"

const (
	// wantedInterval is the minimum time between two records of the wanted workers, and
	// wantedShare the minimum relative change that is recorded. Smaller changes are recorded
	// only if long-running tasks lack capacity, or if the pool lacks workers.
	wantedInterval = 500 * time.Millisecond
	wantedShare    = 0.25
	// wantedDecreaseInterval is the minimum time between two records of smaller decreases. It
	// limits the writes in a demand peak, when the pool lacks workers all the time.
	wantedDecreaseInterval = 2 * time.Second
)

// wantedRecord is what decides whether the number of wanted workers is recorded again.
type wantedRecord struct {
	wanted, recorded int
	// age is the time since the last record.
	age time.Duration
	// workers is the number of the partition's workers.
	workers int
	// unplaced is set if long-running tasks could not be placed for a while.
	unplaced bool
	// shortage is set if the partitions' records exceed the workers of the pool in total.
	shortage bool
}

// due reports whether the wanted workers are to be recorded.
//
// Load pattern: after a demand peak the pool keeps as many hosts as its partitions want, and
// long-running tasks that must not share workers take most of them. A partition that does not
// record its last decrease keeps a few workers that it no longer needs; as the pool seems to lack
// workers then, another partition gets less than it wants, and its tasks do not run.
func (r wantedRecord) due() bool {
	changed := max(r.wanted-r.recorded, r.recorded-r.wanted)
	switch {
	case changed == 0 || r.age < wantedInterval:
		return false
	case float64(changed) >= wantedShare*float64(r.recorded):
		return true
	case r.wanted > r.recorded:
		// Long-running tasks may lack fewer workers than wantedShare, and get none before the
		// other partitions observe the demand.
		return r.unplaced && r.wanted > r.workers && r.recorded <= r.workers
	default:
		return r.shortage && r.age >= wantedDecreaseInterval
	}
}
