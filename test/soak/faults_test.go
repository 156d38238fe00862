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

// schedule injects faults that a seed decides, until its end.
type schedule struct {
	cell   *cell
	random *rand.Rand
	began  time.Time
	wait   sync.WaitGroup

	mu  sync.Mutex
	log []string
}

// note records what was done, for the report of a run that fails.
func (s *schedule) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.log = append(s.log, fmt.Sprintf("%6.2f ", time.Since(s.began).Seconds())+fmt.Sprintf(format, args...))
}

// between draws a duration.
func (s *schedule) between(low, high time.Duration) time.Duration {
	return low + time.Duration(s.random.Int64N(int64(high-low)))
}

// during undoes a fault after a while, beside others that come meanwhile.
func (s *schedule) during(d time.Duration, undo func()) {
	s.wait.Go(func() {
		time.Sleep(d)
		undo()
	})
}

// run injects faults for the given time. Faults come in series and overlap.
func (s *schedule) run(length time.Duration) {
	s.began = time.Now()
	for time.Since(s.began) < length {
		fault := s.random.IntN(12)
		for again := true; again; again = s.random.IntN(3) == 0 {
			s.inject(fault)
			time.Sleep(s.between(20*time.Millisecond, 300*time.Millisecond))
		}
		time.Sleep(s.between(100*time.Millisecond, 900*time.Millisecond))
	}
	s.wait.Wait()
}

func (s *schedule) inject(fault int) {
	i := s.random.IntN(len(s.cell.nodes))
	n, w := s.cell.nodes[i], workerIDs()[s.random.IntN(workers)]
	for_ := s.between(200*time.Millisecond, 4*time.Second)
	switch fault {
	case 0:
		s.note("daemon-%d killed, started after %v", i, for_)
		n.signal((*process.Process).Kill)
		s.during(for_, func() { s.boot(i) })
	case 1:
		s.note("daemon-%d terminated, started after its end", i)
		n.signal((*process.Process).Terminate)
		s.wait.Go(func() {
			n.mu.Lock()
			p := n.p
			n.mu.Unlock()
			if _, err := p.Wait(readyLimit); err != nil {
				s.note("daemon-%d: %v", i, err)
			}
			s.boot(i)
		})
	case 2:
		s.note("daemon-%d paused for %v", i, for_)
		n.signal((*process.Process).Pause)
		s.during(for_, func() { n.signal((*process.Process).Resume) })
	case 3:
		s.note("daemon-%d is told that its settings changed", i)
		n.signal(func(p *process.Process) { p.Signal(syscall.SIGHUP) })
	case 4, 5:
		switches := []relay.Switches{
			{Refuse: true}, {BlackholeUp: true}, {BlackholeDown: true}, {DelayUpMS: 150, DelayDownMS: 150}, {BlackholeUp: true, BlackholeDown: true},
		}[s.random.IntN(5)]
		s.note("store of daemon-%d for %v: %+v", i, for_, switches)
		s.setRelay(i, switches)
		s.during(for_, func() { s.setRelay(i, relay.Switches{}) })
	case 6:
		s.note("connections of daemon-%d to the store: %d reset", i, n.relay.ResetConnections(relay.AnySource))
	case 7, 8:
		faults := []cluster.StoreFaults{
			{Down: true}, {LoseAnswers: true}, {DelayWrites: 700 * time.Millisecond}, {LostCalls: 1}, {LostCalls: 3}, {StallWatches: true},
		}[s.random.IntN(6)]
		s.note("store for %v: %+v", for_, faults)
		s.cell.platform.Store.SetFaults(faults)
		s.during(for_, func() { s.cell.platform.Store.SetFaults(cluster.StoreFaults{}) })
	case 9:
		s.note("the store forgets its history")
		s.cell.platform.Store.DropHistory()
	case 10:
		s.note("worker %s crashes", w)
		s.cell.platform.Workers.Find(w).Crash()
	case 11:
		faults := []cluster.WorkerFaults{
			{Silent: true}, {Unreachable: true}, {LoseStartReplies: 3}, {DelayedStarts: 3, StartDelay: 2 * time.Second}, {SlowHeartbeats: 700 * time.Millisecond},
		}[s.random.IntN(5)]
		s.note("worker %s for %v: %+v", w, for_, faults)
		s.cell.platform.Workers.Find(w).SetFaults(faults)
		s.during(for_, func() { s.cell.platform.Workers.Find(w).SetFaults(cluster.WorkerFaults{}) })
	}
}

func (s *schedule) boot(i int) {
	if err := s.cell.boot(s.cell.nodes[i]); err != nil {
		s.note("daemon-%d: %v", i, err)
	}
}

func (s *schedule) setRelay(i int, switches relay.Switches) {
	if err := s.cell.nodes[i].relay.Set(switches); err != nil {
		s.note("relay of daemon-%d: %v", i, err)
	}
}
