package placement

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"samphirestile.example/samphirestile/internal/job"
	"samphirestile.example/samphirestile/internal/worker"
)

// Reservation keeps a worker for tasks that do not fit yet.
type Reservation struct {
	// Held is set if the worker is reserved.
	Held bool
	// In is the time until the reserved tasks can start.
	In time.Duration
	// Spare is what other tasks may use of the worker from then on.
	Spare worker.Resources
}

// Ending is a running task that is expected to end. Long-running tasks are none.
type Ending struct {
	In         time.Duration
	Use        worker.Resources
	Step       *job.Step
	Occurrence int
}

// Endings returns the running tasks of a worker that are expected to end, in the order of In.
type Endings func(worker int) []Ending

// Need is a step that found no worker.
type Need struct {
	Request
	Occurrence int
	// Tasks is the number of members of a gang.
	Tasks int
	// Always is set if the step gets a reservation also where one ending task frees enough for it, because other jobs
	// come before it in the usual order.
	Always bool
}

// remoteFactor is by how much a task takes longer outside of the rack of its data or of its step's other tasks. The
// factor of a service is not known here.
const remoteFactor = 2

// minResidual is the least further time of a task that is past its expected end: that of a call which reports the end.
const minResidual = 20 * time.Millisecond

// Remaining returns the expected further time of a running task. One that is past its expected duration is expected
// to take the mean residual time of a log-normal distribution whose median is that duration.
func Remaining(r RunningTask) time.Duration {
	if r.Elapsed < r.Expected {
		return r.Expected - r.Elapsed
	}
	if r.LogStdDev <= 0 || r.Expected <= 0 {
		return minResidual
	}
	z := math.Log(float64(r.Elapsed)/float64(r.Expected)) / r.LogStdDev
	longer := normalTail(z)
	if longer < 1e-9 {
		// Far outside of the distribution, the age of the task is the only indication.
		return max(minResidual, r.Elapsed)
	}
	mean := float64(r.Expected) * math.Exp(r.LogStdDev*r.LogStdDev/2) * normalTail(z-r.LogStdDev) / longer
	return max(minResidual, time.Duration(mean)-r.Elapsed)
}

// normalTail is the probability that a standard normal variable exceeds z.
func normalTail(z float64) float64 { return math.Erfc(z/math.Sqrt2) / 2 }

// backfills reports whether a task may be placed on the worker beside its reservation: it ends before the reserved
// tasks start, or leaves room for them.
func (c *Candidate) backfills(r Request, required worker.Resources) bool {
	return !c.Reservation.Held || !r.outlasts(c.Reservation.In) || required.Fits(c.Reservation.Spare)
}

// outlasts reports whether a task that starts now is not expected to have ended after a time.
func (r Request) outlasts(in time.Duration) bool {
	return r.Step.LongRunning || r.Expected <= 0 || r.Expected > in
}

// Occupy accounts for a task that was placed beside the worker's reservation.
func (c *Candidate) Occupy(r Request) {
	if c.Reservation.Held && r.outlasts(c.Reservation.In) {
		c.Reservation.Spare = c.Reservation.Spare.Minus(r.Step.RequiredResources())
	}
}

// reservable reports whether a worker may be reserved for tasks of a step.
func (c *Candidate) reservable(s *job.Step) bool {
	return !c.Closed && !c.Reserved && !c.Reservation.Held && c.Allowed && CanRun(&c.Worker, s)
}

// penalty is what a task loses on a worker outside of the rack that it prefers.
func (c *Candidate) penalty(n Need) time.Duration {
	if n.Step.DataRack != "" && c.Rack() != n.Step.DataRack || n.Step.SameRack && n.Rack != "" && c.Rack() != n.Rack {
		return (remoteFactor - 1) * n.Expected
	}
	return 0
}

// Earliest returns the worker on which a task of the step can start earliest, counting what it loses outside of the
// rack that it prefers, and the reservation that keeps the worker for it. It returns -1 if no worker will have room,
// and also if the task needs no reservation because one running task that ends frees enough for it: the order of the
// waiting jobs gives it that room.
//
// Load pattern: a stream of small tasks fills each gap, so that room for a task which needs a large part of a worker
// never accumulates.
func Earliest(workers []Candidate, endings Endings, n Need) (int, Reservation) {
	required := n.Step.RequiredResources()
	best, bestLoss, accumulates := -1, time.Duration(0), false
	var reservation Reservation
	for i := range workers {
		c := &workers[i]
		if !c.reservable(n.Step) {
			continue
		}
		penalty := c.penalty(n)
		if best >= 0 && penalty >= bestLoss {
			continue
		}
		free, tasks := c.Free(), c.StepTasks
		for _, e := range endings(i) {
			if best >= 0 && e.In+penalty >= bestLoss {
				break
			}
			free = free.Plus(e.Use)
			if e.of(n) {
				tasks--
			}
			if required.Fits(free) && (n.Step.MaxPerWorker == 0 || tasks < n.Step.MaxPerWorker) {
				best, bestLoss, accumulates = i, e.In+penalty, !required.Fits(e.Use)
				reservation = Reservation{Held: true, In: e.In}
				break
			}
		}
	}
	if best < 0 || !accumulates && !n.Always {
		return -1, Reservation{}
	}
	reservation.Spare = freeAt(&workers[best], endings(best), reservation.In).Minus(required)
	return best, reservation
}

// EarliestGang returns the workers on which all members of a gang can start earliest, with their reservations, or
// nothing if there are none or more than maxWorkers. A gang that prefers a rack waits for it no longer than its members
// would lose elsewhere.
//
// Load pattern: small tasks fill the gaps on some workers while others have room for members of the gang.
func EarliestGang(workers []Candidate, endings Endings, n Need, maxWorkers int) ([]int, []Reservation) {
	var eligible []int
	for i := range workers {
		if workers[i].reservable(n.Step) {
			eligible = append(eligible, i)
		}
	}
	chosen, in := gangAt(workers, endings, n, eligible)
	loss := in
	if n.Step.SameRack || n.Step.DataRack != "" {
		loss += (remoteFactor - 1) * n.Expected
		racks := byRack(workers, eligible, n)
		for _, rack := range slices.Sorted(maps.Keys(racks)) {
			at, when := gangAt(workers, endings, n, racks[rack])
			if len(at) > 0 && when < loss {
				chosen, in, loss = at, when, when
			}
		}
	}
	if len(chosen) == 0 || len(chosen) > maxWorkers {
		return nil, nil
	}
	reservations := make([]Reservation, len(chosen))
	left := n.Tasks
	for k, i := range chosen {
		members := min(left, workers[i].roomAt(endings(i), n, in))
		left -= members
		spare := freeAt(&workers[i], endings(i), in).Minus(n.Step.RequiredResources().Times(int64(members)))
		reservations[k] = Reservation{Held: true, In: in, Spare: spare}
	}
	return chosen, reservations
}

// byRack groups workers by the racks that the gang prefers.
func byRack(workers []Candidate, indices []int, n Need) map[string][]int {
	racks := map[string][]int{}
	for _, i := range indices {
		if workers[i].penalty(n) == 0 {
			racks[workers[i].Rack()] = append(racks[workers[i].Rack()], i)
		}
	}
	return racks
}

// gangAt returns which of the given workers have room for all members of the gang, those with the most room first,
// and the earliest time of it.
func gangAt(workers []Candidate, endings Endings, n Need, indices []int) ([]int, time.Duration) {
	times := []time.Duration{0}
	for _, i := range indices {
		for _, e := range endings(i) {
			times = append(times, e.In)
		}
	}
	slices.Sort(times)
	at, _ := slices.BinarySearchFunc(times, n.Tasks, func(in time.Duration, tasks int) int {
		room := 0
		for _, i := range indices {
			room = min(tasks, room+workers[i].roomAt(endings(i), n, in))
		}
		if room < tasks {
			return -1
		}
		return 1
	})
	if at == len(times) {
		return nil, 0
	}
	order := slices.Clone(indices)
	room := make(map[int]int, len(order))
	for _, i := range order {
		room[i] = workers[i].roomAt(endings(i), n, times[at])
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(room[b], room[a]) })
	found := 0
	for k, i := range order {
		if found += room[i]; found >= n.Tasks {
			return order[:k+1], times[at]
		}
	}
	return nil, 0
}

// of reports whether the ending task belongs to the step that waits.
func (e *Ending) of(n Need) bool { return e.Step == n.Step && e.Occurrence == n.Occurrence }

// freeAt returns the free resources of a worker after a time without further starts.
func freeAt(c *Candidate, endings []Ending, in time.Duration) worker.Resources {
	free := c.Free()
	for i := range endings {
		if endings[i].In <= in {
			free = free.Plus(endings[i].Use)
		}
	}
	return free
}

// roomAt returns how many tasks of the step fit on the worker after a time without further starts.
func (c *Candidate) roomAt(endings []Ending, n Need, in time.Duration) int {
	room := fitting(n.Step.RequiredResources(), freeAt(c, endings, in))
	if n.Step.MaxPerWorker == 0 {
		return room
	}
	tasks := c.StepTasks
	for i := range endings {
		if endings[i].In <= in && endings[i].of(n) {
			tasks--
		}
	}
	return min(room, max(0, n.Step.MaxPerWorker-tasks))
}

// MaxReserved returns how many of the workers may be reserved at a time.
func MaxReserved(workers []Candidate) int {
	open := 0
	for i := range workers {
		if !workers[i].Closed {
			open++
		}
	}
	return max(1, int(maxReservedFraction*float64(open)))
}
