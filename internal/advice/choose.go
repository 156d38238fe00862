package advice

import (
	"samphirestile.example/samphirestile/internal/monotonic"
	"samphirestile.example/samphirestile/internal/share"
)

// Offer is the most urgent request of one shard.
type Offer struct {
	// Job is the job for which the request is made.
	Job share.WaitingJob
	// Room is set if a worker named in the request has free resources for a task.
	Room bool
	// Deferred is set while the step waits because its earlier requests started nothing.
	Deferred bool
	// PassedOver is how many requests of other shards were sent since this shard last had its turn.
	PassedOver int
}

// maxPassedOver is how often the requests of other shards may precede those of one shard.
const maxPassedOver = 4

// Choose returns the index of the offer whose request is sent next. There must be at least one.
//
// Load pattern: one daemon owns all shards after the loss of the others, and the advisor handles its calls
// one at a time. The most urgent step of all shards comes first, so that shards do not delay each other's
// urgent steps. A shard whose requests are never the most urgent has a turn after a few others.
func Choose(offers []Offer, now monotonic.Time) int {
	jobs := make([]share.WaitingJob, len(offers))
	for i := range offers {
		jobs[i] = offers[i].Job
	}
	best := -1
	for _, i := range share.Order(jobs, now) {
		if best < 0 || offers[i].Precedes(&offers[best]) {
			best = i
		}
	}
	return best
}

// Precedes reports whether the offer comes before another one, whatever the urgency of their jobs.
func (o *Offer) Precedes(other *Offer) bool {
	if waited, otherWaited := o.PassedOver >= maxPassedOver, other.PassedOver >= maxPassedOver; waited || otherWaited {
		return o.PassedOver > other.PassedOver
	}
	if o.Deferred != other.Deferred {
		return other.Deferred
	}
	return o.Room && !other.Room
}
