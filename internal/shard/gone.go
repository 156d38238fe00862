package shard

import (
	"time"

	"github.com/sirupsen/logrus"

	"samphirestile.example/samphirestile/internal/monotonic"
	"samphirestile.example/samphirestile/internal/worker"
)

// goneRetryDelay is the delay before a worker is contacted again at an address at which another worker
// has answered. The entry of a crashed worker stays listed for some seconds, and for as long as the
// store does not answer.
const goneRetryDelay = 2 * time.Second

// goneWorker is a listed worker at whose address another worker has answered.
type goneWorker struct {
	// entry is the entry of that time. A worker whose entry changes is alive.
	entry   worker.Worker
	retryAt monotonic.Time
}

// isGone reports whether the worker is not to be contacted, because another worker has recently answered at
// the address in the same entry. The caller holds mu.
func (o *Owner) isGone(w worker.Worker) bool {
	g, ok := o.goneWorkers[w.ID]
	return ok && g.describes(w) && monotonic.Now() < g.retryAt
}

// describes reports whether the entry is the one for which another worker answered.
func (g goneWorker) describes(w worker.Worker) bool {
	// Missing is set by this daemon, not by the worker.
	w.Missing = g.entry.Missing
	return g.entry.Equal(w)
}

// recordGone records that another worker answered at the address of the session. The caller holds mu.
func (o *Owner) recordGone(s *session, now monotonic.Time) {
	if g, ok := o.goneWorkers[s.ID]; !ok || !g.describes(s.Worker) {
		o.Log.WithFields(logrus.Fields{
			"worker": s.ID, "shard": o.Shard, "address": s.Address, "runs": len(s.runs),
		}).Warn("another worker answers at the address")
	}
	o.goneWorkers[s.ID] = goneWorker{s.Worker, now.Add(goneRetryDelay)}
}

// recordReturn records that the worker itself answered. The caller holds mu.
func (o *Owner) recordReturn(s *session) {
	if _, ok := o.goneWorkers[s.ID]; !ok {
		return
	}
	o.Log.WithFields(logrus.Fields{"worker": s.ID, "shard": o.Shard, "address": s.Address}).Info("worker answers at its address")
	delete(o.goneWorkers, s.ID)
}
