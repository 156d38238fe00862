package shard

import (
	"context"
	"sort"

	"samphirestile.example/samphirestile/internal/job"
	"samphirestile.example/samphirestile/internal/monotonic"
	"samphirestile.example/samphirestile/internal/worker"
)

// ReportRequest selects the contents of a report.
type ReportRequest struct {
	// Job is the only job to report, with its steps and runs; "" for a list.
	Job job.ID
	// Jobs is the maximum number of jobs in a list.
	Jobs int
}

// Report is the operators' view of a shard. It is encoded in JSON between daemons.
type Report struct {
	Token       uint64         `json:"token"`
	HostsWanted int            `json:"hosts_wanted"`
	ActiveJobs  int            `json:"active_jobs"`
	WaitingJobs int            `json:"waiting_jobs"`
	Runs        int            `json:"runs"`
	Jobs        []JobReport    `json:"jobs"`
	Workers     []WorkerReport `json:"workers"`
}

// JobReport describes one job. Times are in milliseconds. Steps are those of the first occurrences that are not done, and
// none for a large job that has ended.
type JobReport struct {
	ID          job.ID       `json:"id"`
	Queue       string       `json:"queue"`
	Account     string       `json:"account"`
	State       job.State    `json:"state"`
	AgeMS       int64        `json:"age_ms"`
	ObjectiveMS int64        `json:"objective_ms"`
	Tasks       int          `json:"tasks"`
	Done        int          `json:"done"`
	Steps       []StepReport `json:"steps,omitempty"`
	Runs        []RunReport  `json:"runs,omitempty"`
}

// StepReport describes one step of one occurrence.
type StepReport struct {
	Occurrence int  `json:"occurrence"`
	Step       int  `json:"step"`
	Tasks      int  `json:"tasks"`
	Done       int  `json:"done"`
	FailedRuns int  `json:"failed_runs"`
	Ready      bool `json:"ready"`
}

// RunReport describes one run.
type RunReport struct {
	Task     string    `json:"task"`
	Number   int       `json:"number"`
	Worker   worker.ID `json:"worker"`
	Percent  int       `json:"percent"`
	Stopping bool      `json:"stopping"`
	AgeMS    int64     `json:"age_ms"`
}

// WorkerReport describes one worker as seen by the owner. Suspicion is its failure score.
type WorkerReport struct {
	worker.Worker
	State     string           `json:"state"`
	Used      worker.Resources `json:"used"`
	Runs      int              `json:"runs"`
	Suspicion float64          `json:"suspicion"`
	// ContactAgeMS is the time since the worker's last response, or -1.
	ContactAgeMS int64 `json:"contact_age_ms"`
}

// Report returns the operators' view of the shard.
func (o *Owner) Report(_ context.Context, req ReportRequest) (Report, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.open || o.closed {
		return Report{}, &NotOwnerError{o.Shard}
	}
	now := monotonic.Now()
	r := Report{Token: o.Token, HostsWanted: o.hostsWanted, ActiveJobs: len(o.active)}
	for _, e := range o.active {
		if !e.job.Begun {
			r.WaitingJobs++
		}
	}
	for _, s := range o.sessions {
		r.Runs += len(s.runs)
		r.Workers = append(r.Workers, s.report(now))
	}
	sort.Slice(r.Workers, func(i, j int) bool { return r.Workers[i].ID < r.Workers[j].ID })
	if req.Job != "" {
		e, err := o.findOwned(req.Job)
		if err != nil {
			return Report{}, err
		}
		if e == nil || !e.stored {
			return Report{}, &UnknownJobError{req.Job}
		}
		r.Jobs = []JobReport{e.detail(now)}
		return r, nil
	}
	oldest := make([]*jobEntry, 0, len(o.active))
	for _, e := range o.active {
		if e.stored {
			oldest = append(oldest, e)
		}
	}
	sort.Slice(oldest, func(i, j int) bool { return oldest[i].accepted < oldest[j].accepted })
	for _, e := range oldest[:min(len(oldest), req.Jobs)] {
		r.Jobs = append(r.Jobs, e.report(now))
	}
	return r, nil
}

func (e *jobEntry) report(now monotonic.Time) JobReport {
	r := JobReport{
		ID: e.job.ID, Queue: e.job.Queue, Account: e.job.Account, State: e.job.VisibleState(e.finalStored),
		AgeMS: now.Sub(e.accepted).Milliseconds(), ObjectiveMS: e.objective.Milliseconds(),
		Tasks: e.job.Tasks(), Done: e.job.DoneTasks(),
	}
	return r
}

// maxReportedSteps bounds the steps in the report of a job with many occurrences.
const maxReportedSteps = 1000

func (e *jobEntry) detail(now monotonic.Time) JobReport {
	r := e.report(now)
	occurrences := e.job.Unfinished(e.job.Occurrences())
	if !e.job.Scheduled() {
		occurrences = func(yield func(int) bool) { yield(0) }
	}
	for k := range occurrences {
		if len(r.Steps)+len(e.job.Steps) > max(maxReportedSteps, len(e.job.Steps)) {
			break
		}
		for i := range e.job.Steps {
			r.Steps = append(r.Steps, StepReport{
				Occurrence: k, Step: i, Tasks: e.job.Steps[i].Count, Done: e.job.DoneInStep(k, i), FailedRuns: e.job.FailedRuns(k, i), Ready: e.job.StepReady(k, i),
			})
		}
	}
	for run := range e.runs {
		r.Runs = append(r.Runs, RunReport{
			Task: run.task.String(), Number: run.number, Worker: run.session.ID, Percent: run.reportedPercent, Stopping: run.stopping,
			AgeMS: now.Sub(run.placedAt).Milliseconds(),
		})
	}
	sort.Slice(r.Runs, func(i, j int) bool { return r.Runs[i].Task < r.Runs[j].Task })
	return r
}

func (s *session) report(now monotonic.Time) WorkerReport {
	r := WorkerReport{
		Worker: s.Worker, State: s.stateName(now), Used: s.used, Runs: len(s.runs), Suspicion: s.failureScore(now), ContactAgeMS: -1,
	}
	if s.contact != 0 {
		r.ContactAgeMS = now.Sub(s.contact).Milliseconds()
	}
	return r
}

// stateName returns WorkerUsable or the reason why a worker accepts no new runs.
func (s *session) stateName(now monotonic.Time) string {
	switch {
	case s.usable():
		return WorkerUsable
	case !s.listed:
		return "unlisted"
	case s.Draining:
		return "draining"
	case s.evacuated():
		return "zone evacuated"
	case !s.reachable:
		return "unreachable"
	case now < s.closedUntil || now < s.cordonUntil:
		return "closed"
	}
	return "unknown"
}

// WorkerUsable is the state of a worker that accepts new runs.
const WorkerUsable = "usable"
