package fleetapi

import (
	"context"
	"errors"
	"fmt"
	"sort"

	"samphirestile.example/samphirestile/internal/fleet"
	"samphirestile.example/samphirestile/internal/fleetapi/oas"
	"samphirestile.example/samphirestile/internal/hosts"
	"samphirestile.example/samphirestile/internal/job"
	"samphirestile.example/samphirestile/internal/jobapi"
	"samphirestile.example/samphirestile/internal/shard"
)

// Fleet provides a daemon's view of the pools and access to their owners.
type Fleet interface {
	// Pools lists the pools that serve queues.
	Pools() []fleet.ServiceID
	// SparePools returns the pools that hold switched-off hosts.
	SparePools() map[fleet.ServiceID]bool
	// Shard returns the pool's shard, if this daemon knows an owner.
	Shard(pool fleet.ServiceID) (jobapi.Shard, bool)
	// OwnerOf returns the names of the daemons that own the pool's partitions, separated by commas, or "".
	OwnerOf(pool fleet.ServiceID) string
	// Zones returns the availability zones that this daemon knows, and whether each is under evacuation.
	Zones() map[fleet.AvailabilityZone]bool
	Hosts(ctx context.Context) ([]hosts.Host, error)
	Waves(ctx context.Context) ([]hosts.Progress, error)
}

// Queries implements the read-only operations.
type Queries struct{ Fleet Fleet }

// UnknownPoolError reports a pool without queues and hosts.
type UnknownPoolError struct{ Pool string }

func (e *UnknownPoolError) Error() string { return fmt.Sprintf("no pool %q", e.Pool) }

// NoOwnerError reports a pool of which this daemon knows no owner.
type NoOwnerError struct{ Pool fleet.ServiceID }

func (e *NoOwnerError) Error() string {
	return fmt.Sprintf("pool %s has no owner at the moment", e.Pool)
}

// selectPools returns the requested pool, or all pools that serve queues if none is given.
func selectPools(f Fleet, pool oas.OptString) ([]fleet.ServiceID, error) {
	pools := f.Pools()
	if !pool.Set {
		return pools, nil
	}
	for _, p := range pools {
		if string(p) == pool.Value {
			return []fleet.ServiceID{p}, nil
		}
	}
	return nil, &UnknownPoolError{pool.Value}
}

// ListPools implements oas.Handler. A pool whose owner does not respond is listed without usage.
func (q *Queries) ListPools(ctx context.Context) ([]oas.Pool, error) {
	spare := q.Fleet.SparePools()
	serving := map[fleet.ServiceID]bool{}
	out := []oas.Pool{}
	for _, name := range q.Fleet.Pools() {
		serving[name] = true
		p := oas.Pool{ID: string(name), Spare: spare[name]}
		if owner := q.Fleet.OwnerOf(name); owner != "" {
			p.Owner = oas.NewOptString(owner)
		}
		if r, err := report(ctx, q.Fleet, name, shard.ReportRequest{}); err == nil {
			usable := 0
			for _, w := range r.Workers {
				if w.State == shard.WorkerUsable {
					usable++
				}
			}
			p.Token = oas.NewOptInt64(int64(r.Token))
			p.HostsWanted, p.Workers, p.UsableWorkers = oas.NewOptInt(r.HostsWanted), oas.NewOptInt(len(r.Workers)), oas.NewOptInt(usable)
			p.Jobs, p.WaitingJobs, p.Runs = oas.NewOptInt(r.ActiveJobs), oas.NewOptInt(r.WaitingJobs), oas.NewOptInt(r.Runs)
		}
		out = append(out, p)
	}
	for name, isSpare := range spare {
		if isSpare && !serving[name] {
			out = append(out, oas.Pool{ID: string(name), Spare: true})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out, nil
}

// report requests a report from the owner of a pool.
func report(ctx context.Context, f Fleet, pool fleet.ServiceID, request shard.ReportRequest) (shard.Report, error) {
	s, ok := f.Shard(pool)
	if !ok {
		return shard.Report{}, &NoOwnerError{pool}
	}
	return s.Report(ctx, request)
}

// ListHosts implements oas.Handler.
func (q *Queries) ListHosts(ctx context.Context, params oas.ListHostsParams) ([]oas.Host, error) {
	list, err := q.Fleet.Hosts(ctx)
	if err != nil {
		return nil, err
	}
	out, found := []oas.Host{}, !params.Pool.Set
	for _, h := range list {
		if params.Pool.Set && string(h.Pool) != params.Pool.Value {
			continue
		}
		found = true
		host := oas.Host{
			ID: string(h.ID), Pool: string(h.Pool), State: string(h.State), AvailabilityZone: string(h.AvailabilityZone),
			Labels: h.Labels, CPU: h.Capacity.CPU, MemoryMB: h.Capacity.MemMB, Gpu: h.Capacity.GPU,
		}
		if h.Worker != "" {
			host.Worker = oas.NewOptString(string(h.Worker))
		}
		out = append(out, host)
	}
	if !found {
		if _, err := selectPools(q.Fleet, params.Pool); err != nil {
			return nil, err
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out, nil
}

// ListWorkers implements oas.Handler.
func (q *Queries) ListWorkers(ctx context.Context, params oas.ListWorkersParams) ([]oas.Worker, error) {
	pools, err := selectPools(q.Fleet, params.Pool)
	if err != nil {
		return nil, err
	}
	out := []oas.Worker{}
	for _, pool := range pools {
		r, err := report(ctx, q.Fleet, pool, shard.ReportRequest{})
		if err != nil {
			return nil, err
		}
		for _, w := range r.Workers {
			out = append(out, oas.Worker{
				ID: string(w.ID), Pool: string(pool), State: w.State, AvailabilityZone: string(w.AvailabilityZone), Rack: w.Rack(),
				CPU: w.Capacity.CPU, CPUUsed: w.Used.CPU, MemoryMB: w.Capacity.MemMB, MemoryMBUsed: w.Used.MemMB,
				Gpu: w.Capacity.GPU, GpuUsed: w.Used.GPU, Runs: w.Runs, Suspicion: w.Suspicion, ContactAgeMs: w.ContactAgeMS,
			})
		}
	}
	return out, nil
}

// ListZones implements oas.Handler. It fails if the owner of a pool does not respond: the zone might look empty.
func (q *Queries) ListZones(ctx context.Context) ([]oas.Zone, error) {
	zones := map[fleet.AvailabilityZone]*oas.Zone{}
	zone := func(name fleet.AvailabilityZone) *oas.Zone {
		if zones[name] == nil {
			zones[name] = &oas.Zone{ID: string(name)}
		}
		return zones[name]
	}
	for name, evacuated := range q.Fleet.Zones() {
		zone(name).Evacuated = evacuated
	}
	for _, pool := range q.Fleet.Pools() {
		r, err := report(ctx, q.Fleet, pool, shard.ReportRequest{})
		if err != nil {
			return nil, err
		}
		for _, w := range r.Workers {
			z := zone(w.AvailabilityZone)
			z.Workers++
			z.Runs += w.Runs
			if w.State == shard.WorkerUsable {
				z.UsableWorkers++
			}
		}
	}
	out := []oas.Zone{}
	for _, z := range zones {
		out = append(out, *z)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out, nil
}

// ListJobs implements oas.Handler.
func (q *Queries) ListJobs(ctx context.Context, params oas.ListJobsParams) ([]oas.Job, error) {
	pools, err := selectPools(q.Fleet, params.Pool)
	if err != nil {
		return nil, err
	}
	out := []oas.Job{}
	for _, pool := range pools {
		r, err := report(ctx, q.Fleet, pool, shard.ReportRequest{Jobs: params.Limit.Or(defaultJobLimit)})
		if err != nil {
			return nil, err
		}
		for _, j := range r.Jobs {
			out = append(out, jobToWire(pool, j))
		}
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].AgeMs > out[j].AgeMs })
	return out, nil
}

// defaultJobLimit is the default in api/fleet.yaml.
const defaultJobLimit = 100

// GetJob implements oas.Handler.
func (q *Queries) GetJob(ctx context.Context, params oas.GetJobParams) (*oas.Job, error) {
	var found *oas.Job
	err := callPoolOfJob(q.Fleet, job.ID(params.ID), func(pool fleet.ServiceID, s jobapi.Shard) error {
		r, err := s.Report(ctx, shard.ReportRequest{Job: job.ID(params.ID)})
		if err != nil {
			return err
		}
		if len(r.Jobs) == 0 {
			return &shard.UnknownJobError{ID: job.ID(params.ID)}
		}
		j := jobToWire(pool, r.Jobs[0])
		found = &j
		return nil
	})
	return found, err
}

// callPoolOfJob calls the pools in turn until one knows the job. The error of a pool
// that does not respond is returned only if no other pool knows the job.
func callPoolOfJob(f Fleet, id job.ID, call func(fleet.ServiceID, jobapi.Shard) error) error {
	var lastErr error
	for _, pool := range f.Pools() {
		s, ok := f.Shard(pool)
		if !ok {
			lastErr = &NoOwnerError{pool}
			continue
		}
		err := call(pool, s)
		switch {
		case err == nil:
			return nil
		case !errors.As(err, new(*shard.UnknownJobError)):
			lastErr = err
		}
	}
	if lastErr == nil {
		lastErr = &shard.UnknownJobError{ID: id}
	}
	return lastErr
}

func jobToWire(pool fleet.ServiceID, r shard.JobReport) oas.Job {
	j := oas.Job{
		ID: string(r.ID), Pool: string(pool), Queue: r.Queue, State: string(r.State), AgeMs: r.AgeMS, ObjectiveMs: r.ObjectiveMS,
		Tasks: r.Tasks, TasksDone: r.Done,
	}
	if r.Account != "" {
		j.ClientAccount = oas.NewOptString(r.Account)
	}
	for _, s := range r.Steps {
		j.Steps = append(j.Steps, oas.Step(s))
	}
	for _, run := range r.Runs {
		j.Runs = append(j.Runs, oas.Run{
			Task: run.Task, Number: run.Number, Worker: string(run.Worker), Percent: run.Percent, Stopping: run.Stopping, AgeMs: run.AgeMS,
		})
	}
	return j
}

// ListMaintenance implements oas.Handler.
func (q *Queries) ListMaintenance(ctx context.Context) ([]oas.Wave, error) {
	waves, err := q.Fleet.Waves(ctx)
	if err != nil {
		return nil, err
	}
	out := make([]oas.Wave, 0, len(waves))
	for _, w := range waves {
		out = append(out, oas.Wave{
			Number: w.Number, Hosts: len(w.Hosts), Begun: w.Begun, AtOnce: w.AtOnce, WithinMs: w.Within.Milliseconds(), Completed: w.Completed,
		})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Number < out[j].Number })
	return out, nil
}
