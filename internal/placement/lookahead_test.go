package placement_test

import (
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"samphirestile.example/samphirestile/internal/job"
	"samphirestile.example/samphirestile/internal/placement"
	"samphirestile.example/samphirestile/internal/worker"
)

// replay replays passes every 10 ms over full workers and a stream of small tasks that fills each gap.
type replay struct {
	workers  []placement.Candidate
	endings  [][]placement.Ending
	overruns [][]time.Duration
	// overrun is by how much tasks take longer than expected.
	overrun time.Duration
}

const replayTick = 10 * time.Millisecond

func newReplay(workers int) *replay {
	r := &replay{workers: make([]placement.Candidate, workers), endings: make([][]placement.Ending, workers), overruns: make([][]time.Duration, workers)}
	for i := range r.workers {
		r.workers[i] = placement.Candidate{Allowed: true, Worker: worker.Worker{
			ID: worker.ID(fmt.Sprint(i)), Capacity: worker.Resources{CPU: 8000}, Labels: []string{"a", fmt.Sprint("r", i/2)},
		}}
	}
	return r
}

func (r *replay) of(i int) []placement.Ending { return r.endings[i] }

func (r *replay) run(i int, q placement.Request) {
	r.workers[i].Used = r.workers[i].Used.Plus(q.Step.Need)
	r.workers[i].Occupy(q)
	at, _ := slices.BinarySearchFunc(r.endings[i], q.Expected, func(e placement.Ending, in time.Duration) int { return int(e.In - in) })
	r.endings[i] = slices.Insert(r.endings[i], at, placement.Ending{In: q.Expected, Use: q.Step.Need, Step: q.Step})
	r.overruns[i] = slices.Insert(r.overruns[i], at, r.overrun)
}

// advance lets time pass. Tasks that overrun count as ending after one more tick.
func (r *replay) advance() {
	for i := range r.workers {
		var left []placement.Ending
		var overruns []time.Duration
		for k, e := range r.endings[i] {
			e.In -= replayTick
			overrun := r.overruns[i][k]
			if e.In <= 0 && overrun > 0 {
				e.In, overrun = replayTick, overrun-replayTick
			}
			if e.In <= 0 {
				r.workers[i].Used = r.workers[i].Used.Minus(e.Use)
				continue
			}
			left, overruns = append(left, e), append(overruns, overrun)
		}
		r.endings[i], r.overruns[i] = left, overruns
		r.workers[i].Reservation = placement.Reservation{}
	}
}

// wait returns after how long all members of a large step start, or a second, and the time of its first reservation.
func (r *replay) wait(large placement.Request, gang int, lookAhead bool) (started, reserved time.Duration) {
	small := func(n int) placement.Request {
		return placement.Request{Step: &job.Step{Need: worker.Resources{CPU: 1000}}, Expected: time.Duration(50+n*37%60) * time.Millisecond}
	}
	n := 0
	stream := func() {
		for i := 0; i >= 0; n++ {
			if i = placement.Choose(r.workers, small(n)); i >= 0 {
				r.run(i, small(n))
			}
		}
	}
	stream()
	for now := time.Duration(0); now < time.Second; now += replayTick {
		saved := slices.Clone(r.workers)
		members := 0
		for ; members < gang; members++ {
			i := placement.Choose(r.workers, large)
			if i < 0 {
				break
			}
			r.workers[i].Used = r.workers[i].Used.Plus(large.Step.Need)
			r.workers[i].StepTasks++
		}
		if members == gang {
			return now, reserved
		}
		r.workers = saved
		if lookAhead {
			need := placement.Need{Request: large, Tasks: gang}
			workers, reservations := []int{-1}, []placement.Reservation{{}}
			if gang > 1 {
				workers, reservations = placement.EarliestGang(r.workers, r.of, need, len(r.workers)/2)
			} else {
				workers[0], reservations[0] = placement.Earliest(r.workers, r.of, need)
			}
			for k, i := range workers {
				Expect(i).To(BeNumerically(">=", 0))
				r.workers[i].Reservation = reservations[k]
				if reserved == 0 {
					reserved = now + reservations[k].In
				}
			}
		}
		stream()
		r.advance()
	}
	return time.Second, reserved
}

var _ = Describe("placement that looks ahead", func() {
	large := placement.Request{Step: &job.Step{Need: worker.Resources{CPU: 6000}}, Expected: 100 * time.Millisecond}

	// Guards against a large task that waits for as long as small tasks fill each gap, and against backfill that
	// delays it.
	It("starts a task that needs most of a worker in time beside a stream of small tasks", func() {
		without, _ := newReplay(4).wait(large, 1, false)
		Expect(without).To(Equal(time.Second))
		started, reserved := newReplay(4).wait(large, 1, true)
		Expect(started).To(And(BeNumerically(">", 0), BeNumerically("<=", reserved+replayTick)))
	})
	// Guards against a gang whose members never find room at the same time.
	It("starts a gang in time", func() {
		spread := placement.Request{Step: &job.Step{Need: worker.Resources{CPU: 5000}, Gang: true, MaxPerWorker: 1}, Expected: large.Expected}
		without, _ := newReplay(6).wait(spread, 3, false)
		Expect(without).To(Equal(time.Second))
		started, reserved := newReplay(6).wait(spread, 3, true)
		Expect(started).To(And(BeNumerically(">", 0), BeNumerically("<=", reserved+replayTick)))
	})
	// Guards against a reservation that is lost, or renewed forever, when tasks take longer than expected.
	It("is late, but starts the task, if running tasks take longer than expected", func() {
		r := newReplay(4)
		r.overrun = 70 * time.Millisecond
		started, reserved := r.wait(large, 1, true)
		Expect(started).To(And(BeNumerically(">", reserved), BeNumerically("<=", reserved+2*r.overrun)))
	})
	It("places other tasks on a reserved worker only if they end in time or leave room", func() {
		r := newReplay(1)
		r.run(0, placement.Request{Step: &job.Step{Need: worker.Resources{CPU: 3000}}, Expected: 100 * time.Millisecond})
		i, reservation := placement.Earliest(r.workers, r.of, placement.Need{Request: large})
		Expect(i).To(Equal(0))
		Expect(reservation).To(Equal(placement.Reservation{Held: true, In: 100 * time.Millisecond, Spare: worker.Resources{CPU: 2000}}))
		r.workers[0].Reservation = reservation
		place := func(cpu int64, expected time.Duration, longRunning bool) int {
			return placement.Choose(r.workers, placement.Request{Step: &job.Step{Need: worker.Resources{CPU: cpu}, LongRunning: longRunning}, Expected: expected})
		}
		Expect(place(4000, 100*time.Millisecond, false)).To(Equal(0))
		Expect(place(4000, 101*time.Millisecond, false)).To(Equal(-1))
		Expect(place(4000, 0, false)).To(Equal(-1))
		Expect(place(2001, time.Millisecond, true)).To(Equal(-1))
		Expect(place(2000, time.Second, false)).To(Equal(0))
		r.run(0, placement.Request{Step: &job.Step{Need: worker.Resources{CPU: 1500}}, Expected: time.Second})
		Expect(place(1000, time.Second, false)).To(Equal(-1))
	})
	// Guards against reservations of workers that the task may not use, or that long-running tasks leave too little of.
	It("reserves only workers that may run the task", func() {
		r := newReplay(4)
		for i := range r.workers {
			for range 4 {
				r.run(i, placement.Request{Step: &job.Step{Need: worker.Resources{CPU: 2000}}, Expected: time.Duration(4-i) * 100 * time.Millisecond})
			}
		}
		need := placement.Need{Request: large}
		earliest := func() int {
			i, _ := placement.Earliest(r.workers, r.of, need)
			return i
		}
		Expect(earliest()).To(Equal(3))
		r.workers[3].Closed = true
		Expect(earliest()).To(Equal(2))
		r.workers[2].Allowed = false
		Expect(earliest()).To(Equal(1))
		r.endings[1] = r.endings[1][:2]
		Expect(earliest()).To(Equal(0))
		need.Step = &job.Step{Need: large.Step.Need, RequiredLabel: "b"}
		Expect(earliest()).To(Equal(-1))
	})
	It("counts the tasks of the step that end against its limit per worker", func() {
		r := newReplay(1)
		s := &job.Step{Need: worker.Resources{CPU: 4000}, MaxPerWorker: 1}
		r.run(0, placement.Request{Step: s, Expected: 300 * time.Millisecond})
		r.run(0, placement.Request{Step: &job.Step{Need: worker.Resources{CPU: 2000}}, Expected: 100 * time.Millisecond})
		r.workers[0].StepTasks = 1
		_, reservation := placement.Earliest(r.workers, r.of, placement.Need{Request: placement.Request{Step: s}, Always: true})
		Expect(reservation.In).To(Equal(300 * time.Millisecond))
	})
	It("prefers the rack of the data, but not for longer than the task would lose elsewhere", func() {
		r := newReplay(4)
		for i := range r.workers {
			for range 4 {
				r.run(i, placement.Request{Step: &job.Step{Need: worker.Resources{CPU: 2000}}, Expected: time.Duration(1+i) * 100 * time.Millisecond})
			}
		}
		near := placement.Need{Request: placement.Request{Step: &job.Step{Need: large.Step.Need, DataRack: "r1"}, Expected: 300 * time.Millisecond}}
		i, _ := placement.Earliest(r.workers, r.of, near)
		Expect(i).To(Equal(2))
		near.Expected = 150 * time.Millisecond
		i, _ = placement.Earliest(r.workers, r.of, near)
		Expect(i).To(Equal(0))
		gang := placement.Need{Request: placement.Request{Step: &job.Step{Need: worker.Resources{CPU: 6000}, Gang: true, SameRack: true}, Expected: time.Second}, Tasks: 2}
		r.workers[1].Closed = true
		workers, reservations := placement.EarliestGang(r.workers, r.of, gang, 2)
		Expect(workers).To(Equal([]int{2, 3}))
		Expect(reservations[0].In).To(Equal(400 * time.Millisecond))
		Expect(placement.EarliestGang(r.workers, r.of, gang, 1)).To(BeEmpty())
	})
	It("reserves nothing for a task that one ending task makes room for", func() {
		r := newReplay(1)
		r.run(0, placement.Request{Step: &job.Step{Need: worker.Resources{CPU: 8000}}, Expected: time.Second})
		i, _ := placement.Earliest(r.workers, r.of, placement.Need{Request: large})
		Expect(i).To(Equal(-1))
		i, _ = placement.Earliest(r.workers, r.of, placement.Need{Request: large, Always: true})
		Expect(i).To(Equal(0))
	})
	It("expects a task that is past its end to take the mean residual time", func() {
		task := placement.RunningTask{Elapsed: 400 * time.Millisecond, Expected: time.Second, LogStdDev: 0.5}
		Expect(placement.Remaining(task)).To(Equal(600 * time.Millisecond))
		task.Elapsed = time.Second
		Expect(placement.Remaining(task)).To(BeNumerically("~", 567*time.Millisecond, 2*time.Millisecond))
		task.Elapsed = 3 * time.Second
		Expect(placement.Remaining(task)).To(BeNumerically(">", 500*time.Millisecond))
		task.Elapsed = time.Hour
		Expect(placement.Remaining(task)).To(Equal(time.Hour))
		task.LogStdDev = 0
		Expect(placement.Remaining(task)).To(BeNumerically(">", 0))
	})
})
