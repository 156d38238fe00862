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

// maxRedirects bounds how often a call follows a job from one partition to the next.
// Partitions are split one level at a time, so a caller is seldom more than one split behind.
const maxRedirects = 6

// Pool presents the partitions of a pool as one shard.
type Pool struct {
	Name   fleet.ServiceID
	Depths partition.Depths
	// Find returns the owner of a shard.
	Find func(name string) (Shard, bool)
	// ClaimedBy returns the shard that has claimed a worker, or "" if that is unknown.
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

// withJob calls the shard that holds the job or would accept it.
func (p *Pool) withJob(id job.ID, f func(Shard) error) error {
	name := p.Depths.Route(p.Name, id).Shard()
	for range maxRedirects {
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
	// The job's record has expired, and no other partition has the job.
	return &shard.UnknownJobError{ID: id}
}

// forEachPartition calls all partitions concurrently and joins their errors.
func (p *Pool) forEachPartition(f func(i int, s Shard) error) error {
	partitions := p.Depths.Partitions(p.Name)
	errs := make([]error, len(partitions))
	var group sync.WaitGroup
	for i, target := range partitions {
		group.Go(func() {
			s, err := p.find(target.Shard())
			if err == nil {
				err = f(i, s)
			}
			errs[i] = err
		})
	}
	group.Wait()
	return errors.Join(errs...)
}

func (p *Pool) partitionCount() int { return len(p.Depths.Partitions(p.Name)) }

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
func (p *Pool) Waiting(ctx context.Context, queue shard.Queue) (int, error) {
	counts := make([]int, p.partitionCount())
	err := p.forEachPartition(func(i int, s Shard) (err error) {
		counts[i], err = s.Waiting(ctx, queue)
		return err
	})
	sum := 0
	for _, n := range counts {
		sum += n
	}
	return sum, err
}

// HoldsQueue implements Shard.
func (p *Pool) HoldsQueue(ctx context.Context, queue shard.Queue) (bool, error) {
	holds := make([]bool, p.partitionCount())
	err := p.forEachPartition(func(i int, s Shard) (err error) {
		holds[i], err = s.HoldsQueue(ctx, queue)
		return err
	})
	return slices.Contains(holds, true), err
}

// forWorker calls the partition that has claimed a worker, or all if that is unknown.
//
// A demand peak of a large pool and a maintenance wave drain hundreds of hosts, with several
// calls a second for each. Calling every partition would multiply the calls by their number,
// and one partition without an owner would block the hosts of all others.
func (p *Pool) forWorker(id worker.ID, f func(i int, s Shard) error) error {
	name := ""
	if p.ClaimedBy != nil {
		name = p.ClaimedBy(id)
	}
	if name == "" {
		return p.forEachPartition(f)
	}
	s, err := p.find(name)
	if err != nil {
		return err
	}
	return f(0, s)
}

// Empty implements Shard. Only the partition that has claimed the worker reports it as empty.
func (p *Pool) Empty(ctx context.Context, id worker.ID) (bool, error) {
	empty := make([]bool, p.partitionCount())
	err := p.forWorker(id, func(i int, s Shard) (err error) {
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
	return p.forWorker(id, func(_ int, s Shard) error { return s.Reopen(ctx, id) })
}

// Demand implements Shard.
func (p *Pool) Demand(ctx context.Context, maintenanceDue []worker.ID) (shard.HostDemand, error) {
	demands := make([]shard.HostDemand, p.partitionCount())
	err := p.forEachPartition(func(i int, s Shard) (err error) {
		demands[i], err = s.Demand(ctx, maintenanceDue)
		return err
	})
	if err != nil {
		return shard.HostDemand{}, err
	}
	return mergeDemands(demands), nil
}

// mergeDemands adds up the demands of the partitions. The releasable workers are ordered so
// that the partition with most of them releases next, which keeps the partitions balanced.
func mergeDemands(demands []shard.HostDemand) shard.HostDemand {
	var sum shard.HostDemand
	remaining := 0
	for _, d := range demands {
		sum.Wanted += d.Wanted
		sum.Settling = sum.Settling || d.Settling
		remaining += len(d.Releasable)
	}
	releasable := make([][]worker.ID, len(demands))
	for i, d := range demands {
		releasable[i] = d.Releasable
	}
	for ; remaining > 0; remaining-- {
		sort.SliceStable(releasable, func(i, j int) bool { return len(releasable[i]) > len(releasable[j]) })
		sum.Releasable = append(sum.Releasable, releasable[0][0])
		releasable[0] = releasable[0][1:]
	}
	return sum
}

// Report implements Shard.
func (p *Pool) Report(ctx context.Context, req shard.ReportRequest) (shard.Report, error) {
	if req.Job != "" {
		var r shard.Report
		err := p.withJob(req.Job, func(s Shard) (err error) {
			r, err = s.Report(ctx, req)
			return err
		})
		return r, err
	}
	reports := make([]shard.Report, p.partitionCount())
	err := p.forEachPartition(func(i int, s Shard) (err error) {
		reports[i], err = s.Report(ctx, req)
		return err
	})
	if err != nil {
		return shard.Report{}, err
	}
	return mergeReports(reports, req.Jobs), nil
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
