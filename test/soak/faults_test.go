package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"samphirestile.example/samphirestile/internal/emulator/cluster"
	"samphirestile.example/samphirestile/internal/emulator/process"
	"samphirestile.example/samphirestile/internal/emulator/relay"
	"samphirestile.example/samphirestile/internal/fleet"
	"samphirestile.example/samphirestile/internal/worker"
	"samphirestile.example/samphirestile/platform/standin"
)

const (
	faultKinds = 14
	// maxOrderDelay bounds the time after which a delayed order takes effect.
	maxOrderDelay = 6 * time.Second
	// workerTime is how long faults of workers are injected after all others.
	workerTime = 5 * time.Second
)

// schedule injects random faults that are determined by a seed.
type schedule struct {
	cell *cell
	seed uint64

	start   time.Time
	pending sync.WaitGroup

	mu     sync.Mutex
	log    []string
	faults []*fault
	// active holds the current fault of each worker.
	active map[worker.ID]*fault
}

// fault is an injected fault that may excuse runs of cancelled jobs. Without a worker it disturbs a daemon or the store.
type fault struct {
	// worker is the worker whose calls or responses are lost, as far as its owner needs them for a stop.
	worker   worker.ID
	from, to time.Time // to is zero while the fault lasts
}

// quietEnd returns the end of the first time span of the given length from after on in which no fault is near a
// worker. A fault is near from its injection until it is undone, without a time for recovery:
//   - every fault of a daemon (killed, terminated, paused), of its connection to the store, or of the store;
//   - a fault that keeps stops or statuses of this worker from their receiver: unreachable, unresponsive, delayed
//     stops, lost answers of heartbeats.
//
// Never near are faults of other workers, reset connections, a dropped event history, SIGHUP, a restart of the
// worker, slow heartbeats and stops, starts that are late or not answered, and stops that are not answered.
func quietEnd(faults []fault, w worker.ID, after time.Time, length time.Duration) time.Time {
	for again := true; again; {
		again = false
		for _, f := range faults {
			if (f.worker == "" || f.worker == w) && f.from.Before(after.Add(length)) && f.to.After(after) {
				after, again = f.to, true
			}
		}
	}
	return after.Add(length)
}

// ofWorkers returns the faults of workers.
func ofWorkers(faults []fault) []fault {
	return slices.DeleteFunc(slices.Clone(faults), func(f fault) bool { return f.worker == "" })
}

// begin records a fault of a daemon or the store, which ends with undoAfter.
func (s *schedule) begin() *fault { return s.beginFor("") }

// beginFor records a fault of a worker, which ends with undoAfter.
func (s *schedule) beginFor(w worker.ID) *fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := &fault{worker: w, from: time.Now()}
	s.faults = append(s.faults, f)
	return f
}

// ended returns the recorded faults, all of which have ended.
func (s *schedule) ended() []fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	var faults []fault
	for _, f := range s.faults {
		faults = append(faults, *f)
	}
	return faults
}

// record logs an injected fault for the report of a failed run.
func (s *schedule) record(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.log = append(s.log, fmt.Sprintf("%6.2f ", time.Since(s.start).Seconds())+fmt.Sprintf(format, args...))
}

// nonZero formats the fields of a struct that are set.
func nonZero(v any) string {
	fields := strings.Fields(strings.Trim(fmt.Sprintf("%+v", v), "{}"))
	return strings.Join(slices.DeleteFunc(fields, func(f string) bool {
		return strings.HasSuffix(f, ":false") || strings.HasSuffix(f, ":0") || strings.HasSuffix(f, ":0s")
	}), " ")
}

// randomDuration returns a random duration from low (inclusive) to high (exclusive).
func randomDuration(r *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(r.Int64N(int64(high-low)))
}

// undoAfter undoes a fault after d in the background, while other faults are injected, and then ends its record.
func (s *schedule) undoAfter(d time.Duration, f *fault, undo func()) {
	s.pending.Go(func() {
		time.Sleep(d)
		undo()
		s.end(f)
	})
}

// end ends the records of faults.
func (s *schedule) end(faults ...*fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, f := range faults {
		f.to = time.Now()
	}
}

// run injects faults for the given time: those of workers one after the other, and beside them all others in series
// of one kind. Faults overlap. Those of workers go on for workerTime, because the loss of an owner hides runs that it
// has failed to stop.
func (s *schedule) run(length time.Duration) {
	s.start, s.active = time.Now(), map[worker.ID]*fault{}
	s.pending.Go(func() {
		for r := rand.New(rand.NewPCG(s.seed, 4)); time.Since(s.start) < length+workerTime; time.Sleep(randomDuration(r, 50*time.Millisecond, 700*time.Millisecond)) {
			s.cell.pool.disturb(s, r)
		}
	})
	for r := rand.New(rand.NewPCG(s.seed, 1)); time.Since(s.start) < length; {
		fault := r.IntN(faultKinds)
		for again := true; again; again = r.IntN(3) == 0 {
			s.inject(fault, r)
			time.Sleep(randomDuration(r, 20*time.Millisecond, 300*time.Millisecond))
		}
		time.Sleep(randomDuration(r, 100*time.Millisecond, 900*time.Millisecond))
	}
	s.pending.Wait()
}

// inject injects a fault of one kind, which chooses its target and duration at random.
func (s *schedule) inject(fault int, r *rand.Rand) {
	i := r.IntN(len(s.cell.nodes))
	n := s.cell.nodes[i]
	duration := randomDuration(r, 200*time.Millisecond, 4*time.Second)
	switch fault {
	case 0:
		s.record("daemon-%d killed, restarted after %v", i, duration)
		f := s.begin()
		n.withProcess((*process.Process).Kill)
		s.undoAfter(duration, f, func() { s.startDaemon(i) })
	case 1:
		s.record("daemon-%d terminated, restarted after its exit", i)
		f := s.begin()
		n.withProcess((*process.Process).Terminate)
		s.undoAfter(0, f, func() {
			n.mu.Lock()
			p := n.p
			n.mu.Unlock()
			if _, err := p.Wait(readyTimeout); err != nil {
				s.record("wait for the exit of daemon-%d: %v", i, err)
			}
			s.startDaemon(i)
		})
	case 2:
		s.record("daemon-%d paused for %v", i, duration)
		f := s.begin()
		n.withProcess(func(p *process.Process) {
			if err := p.Pause(); err != nil {
				s.record("daemon-%d not paused: %v", i, err)
			}
		})
		s.undoAfter(duration, f, func() { n.withProcess((*process.Process).Resume) })
	case 3:
		s.record("SIGHUP to daemon-%d: settings changed", i)
		n.withProcess(func(p *process.Process) { p.Signal(syscall.SIGHUP) })
	case 4, 5:
		switches := []relay.Switches{
			{Refuse: true}, {BlackholeUp: true}, {BlackholeDown: true}, {DelayUpMS: 150, DelayDownMS: 150}, {BlackholeUp: true, BlackholeDown: true},
		}[r.IntN(5)]
		s.record("connection of daemon-%d to the store for %v: %s", i, duration, nonZero(switches))
		f := s.begin()
		s.setRelay(i, switches)
		s.undoAfter(duration, f, func() { s.setRelay(i, relay.Switches{}) })
	case 6:
		s.record("connections of daemon-%d to the store: %d reset", i, n.relay.ResetConnections(relay.AnySource))
	case 7, 8:
		faults := []cluster.StoreFaults{
			{Down: true}, {LoseAnswers: true}, {DelayWrites: 700 * time.Millisecond}, {LostCalls: 1}, {LostCalls: 3}, {StallWatches: true},
		}[r.IntN(6)]
		s.record("store for %v: %s", duration, nonZero(faults))
		f := s.begin()
		s.cell.platform.Store.SetFaults(faults)
		s.undoAfter(duration, f, func() { s.cell.platform.Store.SetFaults(cluster.StoreFaults{}) })
	case 9:
		s.record("event history of the store dropped")
		s.cell.platform.Store.DropHistory()
	case 10:
		s.cell.pool.crash(s, r)
	case 11, 12:
		// Jobs that were accepted before stay with their service. Versions follow each other within a second.
		for range 1 + r.IntN(3) {
			target := []fleet.ServiceID{service, otherService}[r.IntN(2)]
			s.record("queue sent to service %s", target)
			if err := s.cell.bindQueue(target); err != nil {
				s.record("configuration not written: %v", err)
			}
			time.Sleep(randomDuration(r, 0, 600*time.Millisecond))
		}
	default:
		s.cell.pool.disturb(s, r)
	}
}

// disturbWorker injects faults of a worker. Delayed starts may be followed by a cut of the worker, so that they take
// effect during or after it.
func (s *schedule) disturbWorker(r *rand.Rand) {
	w, duration := randomWorker(r), randomDuration(r, 200*time.Millisecond, 4*time.Second)
	delay := randomDuration(r, 0, maxOrderDelay)
	late := cluster.WorkerFaults{DelayedStarts: 10, StartDelay: delay, LeaseFromArrival: r.IntN(2) == 0}
	lateBoth := late
	lateBoth.DelayedStops, lateBoth.StopDelay = 2, randomDuration(r, 0, maxOrderDelay)
	faults := []cluster.WorkerFaults{
		{Unresponsive: true}, {Unreachable: true}, {SlowHeartbeats: 700 * time.Millisecond}, {SlowStops: standin.StopGrace * 3 / 4},
		{LoseStartReplies: 10}, {LoseStopReplies: 3}, {LoseStartReplies: 10, LoseStopReplies: 3, LoseHeartbeatReplies: 2},
		{DelayedStops: 3, StopDelay: delay}, late, late, lateBoth,
	}[r.IntN(11)]
	if faults.DelayedStarts == 0 || r.IntN(2) == 0 {
		s.setWorker(w, faults, duration, func() {})
		return
	}
	s.setWorker(w, faults, randomDuration(r, 100*time.Millisecond, 1500*time.Millisecond), func() {
		s.setWorker(w, cluster.WorkerFaults{Unresponsive: true}, duration, func() {})
	})
}

// setWorker replaces the faults of a worker for d, and then calls next unless they were replaced meanwhile.
func (s *schedule) setWorker(w worker.ID, faults cluster.WorkerFaults, d time.Duration, next func()) {
	s.record("worker %s for %v: %s", w, d, nonZero(faults))
	n, f := s.cell.platform.Workers.Find(w), &fault{worker: w, from: time.Now()}
	s.mu.Lock()
	defer s.mu.Unlock()
	if former := s.active[w]; former != nil {
		former.to = f.from
	}
	s.active[w] = f
	if faults.Unresponsive || faults.Unreachable || faults.DelayedStops > 0 || faults.LoseHeartbeatReplies > 0 {
		s.faults = append(s.faults, f)
	}
	n.SetFaults(faults)
	s.pending.Go(func() {
		time.Sleep(d)
		s.mu.Lock()
		current := s.active[w] == f
		if current {
			n.SetFaults(cluster.WorkerFaults{})
			f.to = time.Now()
			delete(s.active, w)
		}
		s.mu.Unlock()
		if current {
			next()
		}
	})
}

func (s *schedule) startDaemon(i int) {
	if err := s.cell.startDaemon(s.cell.nodes[i]); err != nil {
		s.record("daemon-%d not started: %v", i, err)
	}
}

func (s *schedule) setRelay(i int, switches relay.Switches) {
	if err := s.cell.nodes[i].relay.Set(switches); err != nil {
		s.record("switches of the relay of daemon-%d not set: %v", i, err)
	}
}
