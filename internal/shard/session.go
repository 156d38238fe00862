package shard

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"samphirestile.example/samphirestile/internal/monotonic"
	"samphirestile.example/samphirestile/internal/worker"
)

const (
	// orderSenders is how many orders one worker gets at the same time.
	orderSenders = 2
	// orderQueue is how many orders wait for one worker; beyond it, tasks go elsewhere.
	orderQueue = 512
	// startAttempts is how often one start is sent before it is given up and stopped.
	startAttempts = 2
	// roomPause keeps tasks off a worker that has refused one for want of room.
	roomPause = 400 * time.Millisecond
	// missingContact is how recent an answer must be that shows a worker alive
	// which has left the list.
	missingContact = 1200 * time.Millisecond
)

// session is the owner's connection to one worker. Its fields are guarded by
// the owner's mu.
type session struct {
	worker.Worker
	owner *Owner
	conn  worker.Conn
	// token fences earlier owners at the worker. It rises when the worker is claimed anew.
	token uint64
	runs  map[runKey]*run
	used  worker.Resources

	clockKnown bool
	clockMS    int64
	clockAt    monotonic.Time
	bornMS     int64
	// fenced is set once the worker has seen this owner's token.
	fenced bool
	// deposed is set when the worker has seen a higher token.
	deposed bool
	// leaseEnd is the latest time at which the worker may still run something.
	leaseEnd monotonic.Time
	// seen and durable are the last end that was processed and the last one that
	// is recorded; acknowledged was sent to the worker and answered.
	seen, durable, acknowledged int64
	// life counts the lives of the worker that these numbers belong to.
	life      int
	reachable bool
	// contact is when the worker last answered a hold.
	contact     monotonic.Time
	listed      bool
	closedUntil monotonic.Time
	cordonUntil monotonic.Time
	penalty     float64
	penaltyAt   monotonic.Time
	pace        int
	// ghosts are runs whose start may still be carried out late.
	ghosts map[runKey]monotonic.Time

	orders chan func(context.Context)
	wake   chan struct{}
	cancel context.CancelFunc
}

// syncSessions opens and closes sessions so that they match the list of workers.
func (o *Owner) syncSessions(ctx context.Context) {
	listed := o.Workers()
	o.mu.Lock()
	defer o.mu.Unlock()
	for id, w := range o.uncontacted {
		if name, _ := o.claimOn(id); name != "" && name != o.Shard {
			// Only empty workers are given to another part.
			delete(o.uncontacted, id)
			continue
		}
		// A worker on which an earlier owner may have runs is asked even when it is not listed.
		if _, ok := listed[id]; !ok && o.sessions[id] == nil {
			o.openSession(ctx, worker.Worker{ID: id, Address: w.Address, Service: o.Service}, false)
		}
	}
	for id, w := range listed {
		s := o.sessions[id]
		if s == nil {
			o.openSession(ctx, w, true)
			continue
		}
		if w.Draining && !s.Draining {
			o.Log.WithFields(logrus.Fields{"worker": id, "shard": o.Shard, "runs": len(s.runs)}).Info("worker drains")
		}
		if w.Missing && !s.Missing {
			s.poke()
		}
		s.Worker, s.listed = w, true
		s.raiseToken()
	}
	for id, s := range o.sessions {
		if _, ok := listed[id]; !ok {
			s.listed = false
			if _, unseen := o.uncontacted[id]; len(s.runs) == 0 && !unseen {
				o.closeSession(s)
			}
		}
		if s.Draining {
			s.evacuate()
		}
	}
}

func (o *Owner) openSession(ctx context.Context, w worker.Worker, listed bool) {
	ctx, cancel := context.WithCancel(ctx)
	s := &session{
		Worker: w, owner: o, conn: o.Dialer.Dial(w), runs: map[runKey]*run{}, listed: listed, reachable: true,
		ghosts: map[runKey]monotonic.Time{}, pace: fullPace, orders: make(chan func(context.Context), orderQueue),
		wake: make(chan struct{}, 1), cancel: cancel,
	}
	s.raiseToken()
	o.sessions[w.ID] = s
	o.recordWorker(w.ID)
	o.group.Go(func() { s.heartbeatLoop(ctx) })
	for range orderSenders {
		o.group.Go(func() { s.sendOrders(ctx) })
	}
}

// raiseToken makes the token higher than those of all former owners of the worker.
// A claim that was made under a successor of this owner would let its orders pass, so
// claims count only while the ownership is certain.
func (s *session) raiseToken() {
	s.token = max(s.token, s.owner.Token)
	if !s.owner.ownershipCertain(monotonic.Now()) {
		return
	}
	if name, revision := s.owner.claimOn(s.ID); name == s.owner.Shard {
		s.token = max(s.token, revision)
	}
}

func (o *Owner) claimOn(id worker.ID) (shard string, revision uint64) {
	if o.Claim == nil {
		return "", 0
	}
	return o.Claim(id)
}

// recordWorker asks for the record that a worker needs before it takes runs.
func (o *Owner) recordWorker(id worker.ID) {
	if _, ok := o.recordedWorkers[id]; !ok {
		o.urgent = true
		o.requestCommit()
	}
}

// closeSession forgets a worker. The caller holds mu and has ended its runs.
func (o *Owner) closeSession(s *session) {
	s.cancel()
	s.conn.Close()
	delete(o.uncontacted, s.ID)
	if o.sessions[s.ID] == s {
		delete(o.sessions, s.ID)
	}
	o.schedule()
}

func (s *session) sendOrders(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case order := <-s.orders:
			order(ctx)
		}
	}
}

// order queues a call to the worker. The caller holds mu.
func (s *session) order(f func(context.Context)) bool {
	select {
	case s.orders <- f:
		return true
	default:
		return false
	}
}

func (s *session) poke() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// usable reports whether the worker may take new runs.
func (s *session) usable() bool {
	now := monotonic.Now()
	_, recorded := s.owner.recordedWorkers[s.ID]
	if s.Missing && now.Sub(s.contact) > missingContact {
		return false
	}
	return s.listed && !s.Draining && s.reachable && s.fenced && !s.deposed && recorded && now >= s.closedUntil && now >= s.cordonUntil
}
