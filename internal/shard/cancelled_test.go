package shard_test

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"samphirestile.example/samphirestile/internal/emulator/cluster"
	"samphirestile.example/samphirestile/internal/job"
	"samphirestile.example/samphirestile/internal/jobapi"
	"samphirestile.example/samphirestile/internal/partition"
	"samphirestile.example/samphirestile/internal/shard"
	"samphirestile.example/samphirestile/internal/worker"
)

const (
	// cancelTimeout is how long after the acknowledged cancel of a job its tasks may start, and contactTime how
	// long a run that starts late may go on before it must be stopped.
	cancelTimeout = 4 * time.Second
	contactTime   = 4 * time.Second
	// checkTolerance covers calls in flight.
	checkTolerance = 50 * time.Millisecond
	// latestExecution is the longest delay of a command that is executed late.
	latestExecution = 12 * time.Second
	// callDuration is how long a caller waits for a response that does not come.
	callDuration = 900 * time.Millisecond
	// actionTime is the time format of the history of a violation.
	actionTime = "04:05.000"
)

// workerRun identifies a run in one incarnation of a worker.
type workerRun struct {
	worker worker.ID
	task   string
	number int
}

// lateDialer lets a share of the commands get no response. A quarter of these takes effect at once, a quarter
// is lost, and the others are executed late, also by a later incarnation of the worker.
type lateDialer struct {
	worker.Dialer
	seed             uint64
	fraction         float64
	leaseFromArrival bool
	// unansweredStops and unansweredHeartbeats bound the commands in a row without a response. More of them take
	// longer than a run may go on, whatever the owner does.
	unansweredStops, unansweredHeartbeats int

	mu       sync.Mutex
	ended    bool
	calls    map[string]int
	inARow   map[string]int
	late     map[workerRun][]time.Time
	attempts map[workerRun][]string
}

func (d *lateDialer) Dial(w worker.Worker) worker.Conn { return &lateConn{d.Dialer.Dial(w), w.ID, d} }

// outcome is how a command ends.
type outcome struct {
	answered, executed bool
	lateness           time.Duration
}

// next determines the outcome of a command. It depends on the seed and on the earlier commands of the same name only,
// not on the order of concurrent calls.
func (d *lateDialer) next(name string, fraction float64, maxInARow int) outcome {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.calls[name]++
	h := fnv.New64a()
	_, _ = fmt.Fprintf(h, "%s %d", name, d.calls[name]) // a hash returns no error
	rng := rand.New(rand.NewPCG(d.seed, h.Sum64()))
	if d.ended || rng.Float64() >= fraction || d.inARow[name] >= maxInARow {
		d.inARow[name] = 0
		return outcome{answered: true, executed: true}
	}
	d.inARow[name]++
	switch rng.IntN(4) {
	case 0:
		return outcome{executed: true}
	case 1:
		return outcome{}
	}
	// Most start commands are refused after the lease in them has ended.
	longest := []time.Duration{shard.MaxWorkerLease, latestExecution}[rng.IntN(2)]
	return outcome{executed: true, lateness: 200*time.Millisecond + time.Duration(rng.Int64N(int64(longest)))}
}

// record adds a line to the history of a run.
func (d *lateDialer) record(r workerRun, format string, arguments ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.attempts[r] = append(d.attempts[r], time.Now().Format(actionTime+" ")+fmt.Sprintf(format, arguments...))
}

type lateConn struct {
	worker.Conn
	id     worker.ID
	dialer *lateDialer
}

// lease shortens a lease to the longest one that workers accept.
func (c *lateConn) lease(end int64) int64 {
	clock, err := c.Conn.Pace(context.Background(), 0, "", 0, 0)
	if end == 0 || err != nil {
		return end
	}
	return min(end, clock+maxLease.Milliseconds())
}

// withoutResponse executes a command according to its outcome. The caller gets no response.
func (c *lateConn) withoutResponse(ctx context.Context, f outcome, wait time.Duration, execute func()) error {
	switch {
	case f.executed && f.lateness == 0:
		execute()
	case f.executed:
		time.AfterFunc(f.lateness, execute)
	}
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
	return &worker.NoAnswerError{Cause: errDelayed}
}

func (c *lateConn) Heartbeat(ctx context.Context, command worker.HeartbeatCommand) (worker.Status, error) {
	f := c.dialer.next(fmt.Sprint("heartbeat ", c.id), c.dialer.fraction/3, c.dialer.unansweredHeartbeats)
	wait := command.Wait
	if f.answered {
		command.LeaseEndMS = c.lease(command.LeaseEndMS)
		return c.Conn.Heartbeat(ctx, command)
	}
	command.Wait = 0
	return worker.Status{}, c.withoutResponse(ctx, f, wait+callDuration, func() {
		command.LeaseEndMS = c.lease(command.LeaseEndMS)
		_, _ = c.Conn.Heartbeat(context.Background(), command) // the caller gets no response
	})
}

func (c *lateConn) Start(ctx context.Context, command worker.StartCommand) (int64, error) {
	r := workerRun{c.id, command.Task, command.Number}
	f := c.dialer.next(fmt.Sprint("start ", r), c.dialer.fraction, 2)
	c.dialer.record(r, "start token %d lease %d %+v", command.Token, command.LeaseEndMS, f)
	if f.answered {
		command.LeaseEndMS = c.lease(command.LeaseEndMS)
		return c.Conn.Start(ctx, command)
	}
	return 0, c.withoutResponse(ctx, f, callDuration, func() {
		if f.lateness > 0 {
			c.dialer.mu.Lock()
			c.dialer.late[r] = append(c.dialer.late[r], time.Now())
			c.dialer.mu.Unlock()
			if c.dialer.leaseFromArrival {
				command.LeaseEndMS += f.lateness.Milliseconds()
			}
		}
		command.LeaseEndMS = c.lease(command.LeaseEndMS)
		_, err := c.Conn.Start(context.Background(), command)
		c.dialer.record(r, "start of token %d executed: %v", command.Token, err)
	})
}

func (c *lateConn) Stop(ctx context.Context, token uint64, task string, number int) (int64, error) {
	r := workerRun{c.id, task, number}
	f := c.dialer.next(fmt.Sprint("stop ", r), c.dialer.fraction, c.dialer.unansweredStops)
	c.dialer.record(r, "stop token %d %+v", token, f)
	if f.answered {
		return c.Conn.Stop(ctx, token, task, number)
	}
	return 0, c.withoutResponse(ctx, f, callDuration, func() {
		_, err := c.Conn.Stop(context.Background(), token, task, number)
		c.dialer.record(r, "stop of token %d executed: %v", token, err)
	})
}

// span is a time in which something was disturbed.
type span struct{ from, to time.Time }

// cancelSchedule submits and cancels jobs beside late commands, disturbed workers and changes of the owner.
type cancelSchedule struct {
	*fixture
	rng    *rand.Rand
	dialer *lateDialer
	group  sync.WaitGroup

	names       []string
	nextWorker  int
	partitioned bool
	// sparse schedules leave workers without runs for much of the time.
	sparse bool

	clients      sync.Mutex
	owners       map[string]*owner
	formers      []*owner
	depths       partition.Depths
	acknowledged map[job.ID]time.Time
	denied       map[job.ID]time.Time
	// disturbed are the disruptions by worker; those of "" are the times without an owner.
	disturbed map[worker.ID][]span
	actions   []string
}

func (s *cancelSchedule) random(low, high time.Duration) time.Duration {
	return low + time.Duration(s.rng.Int64N(int64(high-low)))
}

func (s *cancelSchedule) log(format string, arguments ...any) {
	s.clients.Lock()
	defer s.clients.Unlock()
	s.actions = append(s.actions, time.Now().Format(actionTime+" ")+fmt.Sprintf(format, arguments...))
}

func (s *cancelSchedule) disturb(id worker.ID, from, to time.Time) {
	s.clients.Lock()
	defer s.clients.Unlock()
	s.disturbed[id] = append(s.disturbed[id], span{from, to})
}

func (s *cancelSchedule) setOwner(name string, o *owner) {
	s.clients.Lock()
	defer s.clients.Unlock()
	if o == nil {
		delete(s.owners, name)
	} else {
		s.owners[name] = o
	}
}

func (s *cancelSchedule) pool() *jobapi.Pool {
	s.clients.Lock()
	defer s.clients.Unlock()
	depths := partition.Depths{}
	for name, depth := range s.depths {
		depths[name] = depth
	}
	return &jobapi.Pool{Name: service, Depths: depths, Find: func(name string) (jobapi.Shard, bool) {
		s.clients.Lock()
		defer s.clients.Unlock()
		o, ok := s.owners[name]
		return o, ok
	}}
}

// cancel repeats the cancel of a job until it is acknowledged.
func (s *cancelSchedule) cancel(id job.ID, toFormer bool) {
	for range 200 {
		s.clients.Lock()
		var former *owner
		if toFormer && len(s.formers) > 0 {
			former = s.formers[len(s.formers)-1]
		}
		s.clients.Unlock()
		toFormer = false
		var err error
		if former != nil {
			err = former.Cancel(context.Background(), id)
		} else {
			err = s.pool().Cancel(context.Background(), id)
		}
		s.clients.Lock()
		if err == nil {
			if _, ok := s.acknowledged[id]; !ok {
				s.acknowledged[id] = time.Now()
			}
		} else if errors.As(err, new(*shard.UnknownJobError)) {
			s.denied[id] = time.Now()
		}
		s.clients.Unlock()
		if err == nil || errors.As(err, new(*shard.UnknownJobError)) {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// submit hands a job in and cancels most jobs at a random time.
func (s *cancelSchedule) submit(n int) {
	step := job.Step{Count: 1 + s.rng.IntN(3), Estimate: time.Second}
	j := testJob(n, step)
	switch s.rng.IntN(4) {
	case 0, 1:
		j.Steps[0].LongRunning = true
		j.Steps[0].MaxUnavailable = s.rng.IntN(2)
	case 2:
		j.MaxRuns, j.Interval = 3, s.random(200*time.Millisecond, 2*time.Second)
		j.FirstDueMS = time.Now().Add(s.random(0, time.Second)).UnixMilli()
	case 3:
		j.Steps[0].Speculative = s.rng.IntN(2) == 0
	}
	delay, twice, toFormer, kept := s.random(0, time.Second), s.rng.IntN(4) == 0, s.rng.IntN(4) == 0, !s.sparse && s.rng.IntN(10) == 0
	if !s.sparse && s.rng.IntN(2) == 0 {
		delay = s.random(0, 8*time.Second)
	}
	again := s.random(0, 3*time.Second)
	s.group.Go(func() {
		err := s.pool().Submit(context.Background(), j)
		if errors.As(err, new(*shard.RejectedError)) {
			return
		}
		if kept {
			return
		}
		time.Sleep(delay)
		if twice {
			s.group.Go(func() {
				time.Sleep(again)
				s.cancel(j.ID, toFormer)
			})
		}
		s.cancel(j.ID, toFormer)
	})
}

// ids lists the workers in a fixed order.
func (s *cancelSchedule) ids() []worker.ID {
	var ids []worker.ID
	for id := range s.workers.List() {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (s *cancelSchedule) addOneWorker() {
	id := fmt.Sprintf("w%d", s.nextWorker)
	s.nextWorker++
	if len(s.names) > 1 {
		s.excludeWorker(s.names[s.rng.IntN(len(s.names))], worker.ID(id))
	}
	s.addWorker(id).SetFaults(s.slow())
}

func (s *cancelSchedule) slow() cluster.WorkerFaults {
	return cluster.WorkerFaults{SlowStops: s.random(0, stopGrace-checkTolerance)}
}

// disturbWorker disturbs a random worker.
func (s *cancelSchedule) disturbWorker() {
	ids := s.ids()
	id := ids[s.rng.IntN(len(ids))]
	w := s.worker(string(id))
	now := time.Now()
	restart := func() {
		w.Crash()
		s.disturb(id, time.Now(), time.Now())
	}
	switch kind := s.rng.IntN(7); kind {
	case 0, 1:
		s.log("%s restarts", id)
		restart()
	case 2:
		length := s.random(200*time.Millisecond, 6*time.Second)
		s.log("%s is silent for %v", id, length)
		after := s.slow()
		w.SetFaults(cluster.WorkerFaults{Unresponsive: true})
		time.AfterFunc(length, func() { w.SetFaults(after) })
		s.disturb(id, now, now.Add(length))
	case 3:
		length, restarts := s.random(50*time.Millisecond, 5*time.Second), s.rng.IntN(3) == 0
		s.log("%s is not listed for %v, restarts %v", id, length, restarts)
		s.hide(id)
		time.AfterFunc(length, func() {
			if restarts {
				restart()
			}
			s.list(id)
		})
	case 4:
		restarts := s.rng.IntN(2) == 0
		s.log("%s has another address, restarts %v", id, restarts)
		s.workers.SetAddress(id, fmt.Sprintf("%s:%d", id, 2+s.rng.IntN(1000)))
		if restarts {
			restart()
		}
	case 5:
		if w.Draining || len(ids) > 6 {
			return
		}
		length := s.random(3*time.Second, 9*time.Second)
		s.log("%s drains for %v", id, length)
		s.workers.Drain(id)
		s.addOneWorker()
		time.AfterFunc(length, func() { s.workers.Remove(id) })
	case 6:
		name := s.names[s.rng.IntN(len(s.names))]
		s.clients.Lock()
		o := s.owners[name]
		s.clients.Unlock()
		empty, err := o.Empty(context.Background(), id)
		s.log("%s is emptied by %s: %v, %v", id, name, empty, err)
		if empty && len(s.names) > 1 && !s.excluded(name, id) {
			for _, to := range s.names {
				if to != name {
					s.log("%s is moved to %s", id, to)
					s.transferWorker(name, to, id)
				}
			}
		}
	}
}

// changeOwner replaces the owner of a random partition.
func (s *cancelSchedule) changeOwner() {
	name := s.names[s.rng.IntN(len(s.names))]
	former := s.owners[name]
	began := time.Now()
	switch s.rng.IntN(3) {
	case 0:
		s.log("planned change of %s", name)
		former.Close()
		former.stop()
		s.setOwner(name, s.startPartitionOwner(name))
	case 1:
		gap := s.random(0, 3*time.Second)
		s.log("owner of %s ends without notice, successor after %v", name, gap)
		former.stop()
		s.setOwner(name, nil)
		time.Sleep(gap)
		s.setOwner(name, s.startPartitionOwner(name))
		s.disturb("", began, time.Now())
	case 2:
		left := s.random(100*time.Millisecond, shard.MaxWorkerLease)
		s.log("owner of %s is not certain for %v", name, left)
		former.grantLeasesFor(left)
		time.AfterFunc(left, former.cancel)
		s.clients.Lock()
		s.formers = append(s.formers, former)
		s.clients.Unlock()
		s.setOwner(name, s.startPartitionOwner(name))
	}
}

func (s *cancelSchedule) split() {
	first := s.owners["quoter"]
	first.Split()
	Eventually(func() bool { p, recorded := first.Partition(); return recorded && p.Depth == 1 }, callTimeout).Should(BeTrue())
	for _, id := range s.ids() {
		s.excludeWorker("quoter#1", id)
	}
	o := s.startPartitionOwner("quoter#1")
	s.setOwner("quoter#1", o)
	s.clients.Lock()
	s.depths["quoter"] = 1
	s.clients.Unlock()
	s.names = append(s.names, "quoter#1")
	s.log("quoter is split")
}

// deadline returns when a run must be gone that should be stopped from a time on: at the end of the first time
// that is long enough and without a silence or restart of the worker and without a missing owner. Late commands,
// planned changes of the owner and draining workers excuse nothing.
func (s *cancelSchedule) deadline(id worker.ID, from time.Time) time.Time {
	for {
		end := from.Add(cancelTimeout + stopGrace + checkTolerance)
		next := from
		for _, disturbed := range [][]span{s.disturbed[""], s.disturbed[id]} {
			for _, d := range disturbed {
				if d.to.After(next) && d.from.Before(end) {
					next = d.to
				}
			}
		}
		if next.Equal(from) {
			return end
		}
		from = next
	}
}

// violations returns the runs of cancelled jobs that started too late or went on for too long.
func (s *cancelSchedule) violations() []string {
	events := s.workers.History.Events()
	type key struct {
		workerRun
		incarnation int
	}
	var problems []string
	describe := func(problem string, e cluster.Event, until time.Time) {
		r := workerRun{e.Worker, e.Task, e.Number}
		commands := s.dialer.attempts[r]
		since := e.At.Format(actionTime)
		if len(commands) > 0 {
			since = min(since, commands[0])
		}
		var actions []string
		for _, a := range s.actions {
			if a >= since && a <= until.Format(actionTime) && (strings.Contains(a, " "+string(e.Worker)+" ") || strings.Contains(a, "quoter")) {
				actions = append(actions, a)
			}
		}
		problems = append(problems, fmt.Sprintf("%s: %s run %d on %s, cancel acknowledged at %s\n%scommands:\n%s\nactions:\n%s\n", problem, e.Task, e.Number, e.Worker,
			s.acknowledged[job.ID(e.Task[:16])].Format(actionTime), cluster.FormatTask(events, e.Task), strings.Join(commands, "\n"), strings.Join(actions, "\n")))
	}
	ends := map[key]time.Time{}
	for _, e := range events {
		switch e.Kind {
		case cluster.Finished, cluster.Completed, cluster.Failed:
			ends[key{workerRun{e.Worker, e.Task, e.Number}, e.Incarnation}] = e.At
		}
	}
	for _, e := range events {
		ack, ok := s.acknowledged[job.ID(e.Task[:16])]
		if !ok || e.Kind != cluster.Started {
			continue
		}
		r := workerRun{e.Worker, e.Task, e.Number}
		late := slices.ContainsFunc(s.dialer.late[r], e.At.Equal)
		if !late && e.At.Sub(ack) > cancelTimeout {
			describe(fmt.Sprintf("started %v after the cancel", e.At.Sub(ack)), e, e.At)
		}
		from := ack
		if e.At.After(ack) {
			from = e.At
		}
		end, ok := ends[key{r, e.Incarnation}]
		if !ok {
			end = time.Now()
		}
		if deadline := s.deadline(e.Worker, from); end.After(deadline) {
			describe(fmt.Sprintf("run went on for %v after its deadline, ended %v after start and %v after the cancel", end.Sub(deadline), end.Sub(e.At), end.Sub(ack)), e, end)
		}
	}
	for id, at := range s.denied {
		if _, ok := s.acknowledged[id]; !ok && s.workers.History.Starts(string(id)+".0.0.0") > 0 {
			problems = append(problems, fmt.Sprintf("cancel of %s was denied at %s", id, at.Format(actionTime)))
		}
	}
	return problems
}

// cancelScheduleStats counts what a schedule contained.
type cancelScheduleStats struct{ cancelled, starts, lateStarts, lateAfterCancel int }

// runCancelSchedule returns all violations.
func runCancelSchedule(f *fixture, seed uint64, unanswered int) ([]string, cancelScheduleStats) {
	s := &cancelSchedule{
		fixture: f, rng: rand.New(rand.NewPCG(seed, 1)), names: []string{"quoter"}, partitioned: seed%4 >= 2, sparse: seed%2 == 0,
		owners: map[string]*owner{}, depths: partition.Depths{}, acknowledged: map[job.ID]time.Time{}, denied: map[job.ID]time.Time{}, disturbed: map[worker.ID][]span{},
	}
	s.dialer = &lateDialer{
		Dialer: f.workers, seed: seed, fraction: 0.2 + 0.4*s.rng.Float64(), leaseFromArrival: seed%3 == 1, unansweredStops: unanswered, unansweredHeartbeats: unanswered,
		calls: map[string]int{}, inARow: map[string]int{}, late: map[workerRun][]time.Time{}, attempts: map[workerRun][]string{},
	}
	f.wrapDialer = func(worker.Dialer) worker.Dialer { return s.dialer }
	f.workers.ListsStarts = true
	f.workers.Behaviour = func(task string, number int) cluster.Behaviour {
		r := rand.New(rand.NewPCG(seed, jobNumber(task)<<8|uint64(number)))
		if r.IntN(2) == 0 {
			return cluster.Behaviour{Duration: time.Duration(20+r.IntN(3000)) * time.Millisecond}
		}
		return cluster.Behaviour{Duration: time.Hour}
	}
	for s.nextWorker = 2; s.nextWorker < 4; {
		s.addOneWorker()
	}
	for _, id := range []string{"w0", "w1"} {
		s.worker(id).SetFaults(s.slow())
	}
	s.setOwner("quoter", f.startOwner())
	const steps = 100
	longestPause := time.Second
	if s.sparse {
		longestPause = 3 * time.Second
	}
	for n := range steps {
		if s.partitioned && n == steps/4 {
			s.split()
		}
		s.submit(n + 1)
		switch s.rng.IntN(5) {
		case 0, 1:
			s.disturbWorker()
		case 2:
			if s.rng.IntN(2) == 0 {
				s.changeOwner()
			}
		}
		time.Sleep(s.random(20*time.Millisecond, longestPause))
	}
	s.group.Wait()
	time.Sleep(latestExecution + callDuration)
	s.dialer.mu.Lock()
	s.dialer.ended = true
	s.dialer.mu.Unlock()
	time.Sleep(2*maxLease + contactTime)
	for _, o := range f.owners {
		o.stop()
	}
	s.clients.Lock()
	defer s.clients.Unlock()
	s.dialer.mu.Lock()
	defer s.dialer.mu.Unlock()
	var stats cancelScheduleStats
	stats.cancelled = len(s.acknowledged)
	for _, e := range f.workers.History.Events() {
		if e.Kind != cluster.Started {
			continue
		}
		stats.starts++
		if slices.ContainsFunc(s.dialer.late[workerRun{e.Worker, e.Task, e.Number}], e.At.Equal) {
			stats.lateStarts++
			if ack, ok := s.acknowledged[job.ID(e.Task[:16])]; ok && e.At.After(ack) {
				stats.lateAfterCancel++
			}
		}
	}
	return s.violations(), stats
}

// Guards against sequences of late commands, restarts of workers and changes of the owner after which a run of a
// cancelled job goes on.
var _ = Describe("runs of cancelled jobs", func() {
	for seed := range uint64(8) {
		simulatedIt(fmt.Sprintf("end within the bounds, seed %d", seed), func(f *fixture) {
			found, stats := runCancelSchedule(f, seed, 1)
			GinkgoWriter.Printf("%+v\n", stats)
			Expect(stats.cancelled).To(BeNumerically(">", 50))
			Expect(found).To(BeEmpty())
		})
	}
})
