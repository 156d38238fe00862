package soak

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"samphirestile.example/samphirestile/internal/emulator/cluster"
	"samphirestile.example/samphirestile/internal/emulator/process"
	"samphirestile.example/samphirestile/internal/emulator/relay"
)

// schedule injects random faults that are determined by a seed.
type schedule struct {
	cell    *cell
	random  *rand.Rand
	start   time.Time
	pending sync.WaitGroup

	mu  sync.Mutex
	log []string
}

// record logs an injected fault for the report of a failed run.
func (s *schedule) record(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.log = append(s.log, fmt.Sprintf("%6.2f ", time.Since(s.start).Seconds())+fmt.Sprintf(format, args...))
}

// randomDuration returns a random duration from low (inclusive) to high (exclusive).
func (s *schedule) randomDuration(low, high time.Duration) time.Duration {
	return low + time.Duration(s.random.Int64N(int64(high-low)))
}

// undoAfter undoes a fault after d in the background, while other faults are injected.
func (s *schedule) undoAfter(d time.Duration, undo func()) {
	s.pending.Go(func() {
		time.Sleep(d)
		undo()
	})
}

// run injects faults for the given time. Faults come in series of one kind and overlap.
func (s *schedule) run(length time.Duration) {
	s.start = time.Now()
	for time.Since(s.start) < length {
		fault := s.random.IntN(12)
		for again := true; again; again = s.random.IntN(3) == 0 {
			s.inject(fault)
			time.Sleep(s.randomDuration(20*time.Millisecond, 300*time.Millisecond))
		}
		time.Sleep(s.randomDuration(100*time.Millisecond, 900*time.Millisecond))
	}
	s.pending.Wait()
}

// inject injects a fault of one kind, which chooses its target and duration at random.
func (s *schedule) inject(fault int) {
	i := s.random.IntN(len(s.cell.nodes))
	n, w := s.cell.nodes[i], workerIDs()[s.random.IntN(workerCount)]
	duration := s.randomDuration(200*time.Millisecond, 4*time.Second)
	switch fault {
	case 0:
		s.record("daemon-%d killed, restarted after %v", i, duration)
		n.withProcess((*process.Process).Kill)
		s.undoAfter(duration, func() { s.startDaemon(i) })
	case 1:
		s.record("daemon-%d terminated, restarted after its exit", i)
		n.withProcess((*process.Process).Terminate)
		s.pending.Go(func() {
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
		n.withProcess((*process.Process).Pause)
		s.undoAfter(duration, func() { n.withProcess((*process.Process).Resume) })
	case 3:
		s.record("SIGHUP to daemon-%d: settings changed", i)
		n.withProcess(func(p *process.Process) { p.Signal(syscall.SIGHUP) })
	case 4, 5:
		switches := []relay.Switches{
			{Refuse: true}, {BlackholeUp: true}, {BlackholeDown: true}, {DelayUpMS: 150, DelayDownMS: 150}, {BlackholeUp: true, BlackholeDown: true},
		}[s.random.IntN(5)]
		s.record("connection of daemon-%d to the store for %v: %+v", i, duration, switches)
		s.setRelay(i, switches)
		s.undoAfter(duration, func() { s.setRelay(i, relay.Switches{}) })
	case 6:
		s.record("connections of daemon-%d to the store: %d reset", i, n.relay.ResetConnections(relay.AnySource))
	case 7, 8:
		faults := []cluster.StoreFaults{
			{Down: true}, {LoseAnswers: true}, {DelayWrites: 700 * time.Millisecond}, {LostCalls: 1}, {LostCalls: 3}, {StallWatches: true},
		}[s.random.IntN(6)]
		s.record("store for %v: %+v", duration, faults)
		s.cell.platform.Store.SetFaults(faults)
		s.undoAfter(duration, func() { s.cell.platform.Store.SetFaults(cluster.StoreFaults{}) })
	case 9:
		s.record("event history of the store dropped")
		s.cell.platform.Store.DropHistory()
	case 10:
		s.record("worker %s crashes", w)
		s.cell.platform.Workers.Find(w).Crash()
	case 11:
		faults := []cluster.WorkerFaults{
			{Unresponsive: true}, {Unreachable: true}, {LoseStartReplies: 3}, {DelayedStarts: 3, StartDelay: 2 * time.Second}, {SlowHeartbeats: 700 * time.Millisecond},
		}[s.random.IntN(5)]
		s.record("worker %s for %v: %+v", w, duration, faults)
		s.cell.platform.Workers.Find(w).SetFaults(faults)
		s.undoAfter(duration, func() { s.cell.platform.Workers.Find(w).SetFaults(cluster.WorkerFaults{}) })
	}
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
