package jobapi

import (
	"context"
	"errors"
	"slices"
	"sort"
	"sync"

	"samphirestile.example/samphirestile/internal/fleet"
	"samphirestile.example/samphirestile/internal/job"
	"samphirestile.example/samphirestile/internal/partition"
	"samphirestile.example/samphirestile/internal/shard"
	"samphirestile.example/samphirestile/internal/worker"
)

// maxMoves bounds how often a call follows a job from one part to the next. A part
// is split once at a time, so its caller is seldom more than one split behind.
const maxMoves = 6

// Pool reaches the parts of a pool as if they were one shard.
type Pool struct {
	Name   fleet.ServiceID
	Depths partition.Depths
	// Find returns the owner of a shard.
	Find func(name string) (Shard, bool)
	// ClaimedBy returns the shard that has claimed a worker, "" where that is not known.
	ClaimedBy func(id worker.ID) string
}

var _ Shard = (*Pool)(nil)

func (p *Pool) find(name string) (Shard, error) {
	s, ok := p.Find(name)
	if !ok {
		return nil, &shard.NotOwnerError{Shard: name}
	}
	return s, nil
}

// withJob calls the shard that holds or takes the job.
func (p *Pool) withJob(id job.ID, f func(Shard) error) error {
	name := p.Depths.Home(p.Name, id).Shard()
	for range maxMoves {
		s, err := p.find(name)
		if err != nil {
			return err
		}
		err = f(s)
		var moved *shard.MovedError
		if !errors.As(err, &moved) {
			return err
		}
		name = moved.Shard
	}
	// Its record has expired where it was, and nobody else holds it.
	return &shard.UnknownJobError{ID: id}
}

// all calls each part at the same time and returns their failures.
func (p *Pool) all(f func(i int, s Shard) error) error {
	parts := p.Depths.Parts(p.Name)
	failures := make([]error, len(parts))
	var group sync.WaitGroup
	for i, part := range parts {
		group.Go(func() {
			s, err := p.find(part.Shard())
			if err == nil {
				err = f(i, s)
			}
			failures[i] = err
		})
	}
	group.Wait()
	return errors.Join(failures...)
}

func (p *Pool) parts() int { return len(p.Depths.Parts(p.Name)) }

// Submit implements Shard.
func (p *Pool) Submit(ctx context.Context, j job.Job) error {
	return p.withJob(j.ID, func(s Shard) error { return s.Submit(ctx, j) })
}

// Cancel implements Shard.
func (p *Pool) Cancel(ctx context.Context, id job.ID) error {
	return p.withJob(id, func(s Shard) error { return s.Cancel(ctx, id) })
}

// State implements Shard.
func (p *Pool) State(ctx context.Context, id job.ID) (state job.State, err error) {
	err = p.withJob(id, func(s Shard) error {
		state, err = s.State(ctx, id)
		return err
	})
	return state, err
}

// Waiting implements Shard.
func (p *Pool) Waiting(ctx context.Context, queue string) (int, error) {
	counts := make([]int, p.parts())
	err := p.all(func(i int, s Shard) (err error) {
		counts[i], err = s.Waiting(ctx, queue)
		return err
	})
	sum := 0
	for _, n := range counts {
		sum += n
	}
	return sum, err
}

// ofWorker calls the part to which a worker belongs, or all while that is not known.
//
// Load pattern: a turn of a large pool and a wave empty hundreds of hosts, each asked
// for several times a second. To ask every part of a pool multiplies the calls by their
// number, and one part without an owner would hold up the hosts of all others.
func (p *Pool) ofWorker(id worker.ID, f func(i int, s Shard) error) error {
	name := ""
	if p.ClaimedBy != nil {
		name = p.ClaimedBy(id)
	}
	if name == "" {
		return p.all(f)
	}
	s, err := p.find(name)
	if err != nil {
		return err
	}
	return f(0, s)
}

// Empty implements Shard. Only the part to which the worker belongs can say that it is empty.
func (p *Pool) Empty(ctx context.Context, id worker.ID) (bool, error) {
	empty := make([]bool, p.parts())
	err := p.ofWorker(id, func(i int, s Shard) (err error) {
		empty[i], err = s.Empty(ctx, id)
		return err
	})
	if slices.Contains(empty, true) {
		return true, nil
	}
	return false, err
}

// Reopen implements Shard.
func (p *Pool) Reopen(ctx context.Context, id worker.ID) error {
	return p.ofWorker(id, func(_ int, s Shard) error { return s.Reopen(ctx, id) })
}

// Demand implements Shard.
func (p *Pool) Demand(ctx context.Context, due []worker.ID) (shard.Demand, error) {
	demands := make([]shard.Demand, p.parts())
	err := p.all(func(i int, s Shard) (err error) {
		demands[i], err = s.Demand(ctx, due)
		return err
	})
	if err != nil {
		return shard.Demand{}, err
	}
	return mergeDemands(demands), nil
}

// mergeDemands adds what the parts need. Workers are given up in turn, beginning
// with the part that has most, so that the parts stay alike.
func mergeDemands(demands []shard.Demand) shard.Demand {
	var sum shard.Demand
	left := 0
	for _, d := range demands {
		sum.Wanted += d.Wanted
		sum.Settling = sum.Settling || d.Settling
		left += len(d.Releasable)
	}
	rest := make([][]worker.ID, len(demands))
	for i, d := range demands {
		rest[i] = d.Releasable
	}
	for ; left > 0; left-- {
		sort.SliceStable(rest, func(i, j int) bool { return len(rest[i]) > len(rest[j]) })
		sum.Releasable = append(sum.Releasable, rest[0][0])
		rest[0] = rest[0][1:]
	}
	return sum
}

// Report implements Shard.
func (p *Pool) Report(ctx context.Context, q shard.ReportRequest) (shard.Report, error) {
	if q.Job != "" {
		var r shard.Report
		err := p.withJob(q.Job, func(s Shard) (err error) {
			r, err = s.Report(ctx, q)
			return err
		})
		return r, err
	}
	reports := make([]shard.Report, p.parts())
	err := p.all(func(i int, s Shard) (err error) {
		reports[i], err = s.Report(ctx, q)
		return err
	})
	if err != nil {
		return shard.Report{}, err
	}
	return mergeReports(reports, q.Jobs), nil
}

func mergeReports(reports []shard.Report, jobs int) shard.Report {
	sum := reports[0]
	for _, r := range reports[1:] {
		sum.Token = max(sum.Token, r.Token)
		sum.HostsWanted += r.HostsWanted
		sum.ActiveJobs += r.ActiveJobs
		sum.WaitingJobs += r.WaitingJobs
		sum.Runs += r.Runs
		sum.Workers = append(sum.Workers, r.Workers...)
		sum.Jobs = append(sum.Jobs, r.Jobs...)
	}
	sort.Slice(sum.Workers, func(i, j int) bool { return sum.Workers[i].ID < sum.Workers[j].ID })
	sort.SliceStable(sum.Jobs, func(i, j int) bool { return sum.Jobs[i].AgeMS > sum.Jobs[j].AgeMS })
	sum.Jobs = sum.Jobs[:min(len(sum.Jobs), jobs)]
	return sum
}
