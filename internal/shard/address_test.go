package shard_test

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"samphirestile.example/samphirestile/internal/emulator/cluster"
	"samphirestile.example/samphirestile/internal/job"
	"samphirestile.example/samphirestile/internal/jobstore"
	"samphirestile.example/samphirestile/internal/shard"
	"samphirestile.example/samphirestile/internal/store"
	"samphirestile.example/samphirestile/internal/worker"
)

const newAddress = "w0:2"

// hookedDialer passes the calls at an address to functions of a spec; nil stands for none.
type hookedDialer struct {
	worker.Dialer
	dialed func(worker.Worker)
	// answer replaces the answer to a heartbeat.
	answer func(ctx context.Context, dialed worker.Worker, status worker.Status, err error) (worker.Status, error)
	start  func(dialed worker.Worker, command worker.StartCommand)
	// refuse returns the error of a start command that does not reach the worker, or nil.
	refuse func(dialed worker.Worker) error
	// pace is called before a pace command is passed on.
	pace func(percent int)
}

func (d *hookedDialer) Dial(w worker.Worker) worker.Conn {
	if d.dialed != nil {
		d.dialed(w)
	}
	return &hookedConn{d.Dialer.Dial(w), w, d}
}

type hookedConn struct {
	worker.Conn
	dialed worker.Worker
	dialer *hookedDialer
}

func (c *hookedConn) Heartbeat(ctx context.Context, command worker.HeartbeatCommand) (worker.Status, error) {
	status, err := c.Conn.Heartbeat(ctx, command)
	if c.dialer.answer == nil {
		return status, err
	}
	return c.dialer.answer(ctx, c.dialed, status, err)
}

func (c *hookedConn) Pace(ctx context.Context, token uint64, task string, number, percent int) (int64, error) {
	if c.dialer.pace != nil {
		c.dialer.pace(percent)
	}
	return c.Conn.Pace(ctx, token, task, number, percent)
}

func (c *hookedConn) Start(ctx context.Context, command worker.StartCommand) (int64, error) {
	if c.dialer.start != nil {
		c.dialer.start(c.dialed, command)
	}
	if c.dialer.refuse != nil {
		if err := c.dialer.refuse(c.dialed); err != nil {
			return 0, err
		}
	}
	return c.Conn.Start(ctx, command)
}

// unavailableStore refuses writes while it is down.
type unavailableStore struct {
	store.Transactional
	down atomic.Bool
}

func (s *unavailableStore) Commit(ctx context.Context, t store.Transaction) (uint64, error) {
	if s.down.Load() {
		return 0, &store.UnavailableError{Cause: errDelayed}
	}
	return s.Transactional.Commit(ctx, t)
}

var _ = Describe("a worker whose address changes", func() {
	var (
		f *fixture
		d *hookedDialer
	)
	BeforeEach(func() {
		f, d = newFixture(1), &hookedDialer{}
		f.wrapDialer = func(wrapped worker.Dialer) worker.Dialer { d.Dialer = wrapped; return d }
	})
	// startLongTask starts a task on w0.
	startLongTask := func(o *owner) (task string) {
		j := testJob(1, job.Step{})
		task = string(j.ID) + ".0.0.0"
		f.setBehaviour(task, cluster.Behaviour{Duration: time.Hour})
		o.submit(j)
		Eventually(f.worker("w0").Running, callTimeout).Should(Equal(1))
		return task
	}
	// recordedAddress returns the address at which a successor would look for the worker.
	recordedAddress := func(id worker.ID) string {
		e, err := f.store.Get(context.Background(), jobstore.WorkersKey("quoter"))
		if err != nil {
			return err.Error()
		}
		var recorded map[worker.ID]struct{ Address string }
		if err := json.Unmarshal(e.Value, &recorded); err != nil {
			return err.Error()
		}
		return recorded[id].Address
	}
	restartAt := func(address string) {
		w := f.worker("w0").Worker
		w.Address = address
		f.workers.Remove("w0")
		f.workers.Add(w)
	}

	// Guards against an hour's work that is lost because the connection stays at the former address.
	It("keeps its runs if it has not restarted", func() {
		d.answer = func(_ context.Context, dialed worker.Worker, status worker.Status, err error) (worker.Status, error) {
			if f.listed()["w0"].Address != dialed.Address {
				return worker.Status{}, &worker.UnreachableError{Cause: errDelayed}
			}
			return status, err
		}
		task := startLongTask(f.startOwner())
		f.workers.SetAddress("w0", newAddress)
		Consistently(f.worker("w0").Running, shard.MaxWorkerLease+time.Second).Should(Equal(1))
		Expect(f.workers.History.Starts(task)).To(Equal(1))
	})

	// Guards against a second run of a task while the list names an address of another worker.
	It("keeps its runs when another worker answers at the listed address", func() {
		var refused atomic.Int32
		d.answer = func(_ context.Context, dialed worker.Worker, status worker.Status, err error) (worker.Status, error) {
			if dialed.Address == newAddress {
				refused.Add(1)
				return worker.Status{}, &worker.GoneError{ID: dialed.ID}
			}
			return status, err
		}
		task := startLongTask(f.startOwner())
		former := f.worker("w0").Address
		f.addWorker("w1")
		f.workers.SetAddress("w0", newAddress)
		Eventually(refused.Load, callTimeout).Should(BeNumerically(">=", 1))
		Expect(recordedAddress("w0")).To(Equal(former))
		f.workers.SetAddress("w0", former)
		Consistently(f.worker("w0").Running, shard.MaxWorkerLease+time.Second).Should(Equal(1))
		Expect(f.workers.History.Starts(task)).To(Equal(1))
	})

	// Guards against a lease by the clock of the former incarnation, which outlasts what the owner assumes.
	It("gets a lease by its own clock when the former incarnation's status arrives late", func() {
		const formerLife = 3 * time.Second
		var (
			redialed = make(chan struct{})
			release  = make(chan struct{})
			once     sync.Once
			born     atomic.Pointer[time.Time]
			tooLong  atomic.Int64
		)
		d.dialed = func(w worker.Worker) {
			if w.Address == newAddress {
				once.Do(func() { close(redialed) })
			}
		}
		d.answer = func(ctx context.Context, dialed worker.Worker, status worker.Status, err error) (worker.Status, error) {
			if dialed.Address != newAddress && len(status.Running) > 0 && status.ClockMS > formerLife.Milliseconds() {
				select {
				case <-release:
				case <-ctx.Done():
				}
			}
			return status, err
		}
		d.start = func(dialed worker.Worker, command worker.StartCommand) {
			if dialed.Address == newAddress {
				lease := time.Duration(command.LeaseEndMS)*time.Millisecond - time.Since(*born.Load())
				tooLong.Store(max(tooLong.Load(), int64(lease-shard.MaxWorkerLease)))
			}
		}
		o := f.startOwner()
		startLongTask(o)
		// A status of this time is held until the new address is dialed and a task waits for the worker.
		time.Sleep(formerLife + 2*time.Second)
		now := time.Now()
		born.Store(&now)
		restartAt(newAddress)
		Eventually(redialed, callTimeout).Should(BeClosed())
		waiting := testJob(2, job.Step{})
		o.submit(waiting)
		close(release)
		Eventually(o.state, callTimeout).WithArguments(waiting.ID).Should(Equal(string(job.Completed)))
		// The emulated clock starts at 1 ms.
		Expect(time.Duration(tooLong.Load())).To(BeNumerically("<=", time.Millisecond))
	})

	// Guards against a successor that looks for the worker at its former address, where another may answer.
	It("is recorded at its new address before it gets runs there", func() {
		var starts, unrecorded atomic.Int32
		d.start = func(dialed worker.Worker, _ worker.StartCommand) {
			starts.Add(1)
			if recordedAddress(dialed.ID) != dialed.Address {
				unrecorded.Add(1)
			}
		}
		o := f.startOwner()
		startLongTask(o)
		restartAt(newAddress)
		Eventually(starts.Load, callTimeout).Should(BeEquivalentTo(2))
		o.stop()
		restartAt("w0:3")
		f.startOwner()
		Eventually(starts.Load, callTimeout).Should(BeEquivalentTo(3))
		Expect(unrecorded.Load()).To(BeZero())
	})

	// Guards against a start command that waited in the queue while the address changed.
	simulatedIt("is recorded at its new address before it gets runs that were placed earlier", func(simulated *fixture) {
		f = simulated
		f.wrapDialer = func(wrapped worker.Dialer) worker.Dialer { d.Dialer = wrapped; return d }
		f.hide("w1")
		var starts, unrecorded atomic.Int32
		d.start = func(dialed worker.Worker, _ worker.StartCommand) {
			if dialed.Address != newAddress {
				return
			}
			starts.Add(1)
			if recordedAddress(dialed.ID) != newAddress {
				unrecorded.Add(1)
			}
		}
		records := &unavailableStore{Transactional: f.store}
		f.wrapStore = func(store.Transactional) store.Transactional { return records }
		o, w := f.startOwner(), f.worker("w0")
		// Two start commands without a response keep the third one in the queue until the worker has answered at its new address.
		w.SetFaults(cluster.WorkerFaults{DelayedStarts: 2, StartDelay: time.Hour, StartTimeout: 1500 * time.Millisecond})
		j := testJob(1, job.Step{Count: 3})
		o.submit(j)
		Eventually(w.StartsReceived).Should(Equal(2))
		records.down.Store(true)
		f.workers.SetAddress("w0", newAddress)
		time.Sleep(2500 * time.Millisecond)
		records.down.Store(false)
		Eventually(o.state, leaseExpiryTimeout).WithArguments(j.ID).Should(Equal(string(job.Completed)))
		Expect(starts.Load()).To(BeNumerically(">=", 3))
		Expect(unrecorded.Load()).To(BeZero())
	})
})
