// Package job describes jobs: steps of tasks, and how far they have come.
package job

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"samphirestile.example/samphirestile/internal/fleet"
	"samphirestile.example/samphirestile/internal/worker"
)

// ID names a job; the client chooses it.
type ID string

// Limits of a submission.
const (
	idLength     = 16
	maxSpecBytes = 4000
	// maxSteps and maxTasks bound what one job can take of a daemon's memory.
	maxSteps = 256
	maxTasks = 20_000
	// maxRuns bounds the times of a scheduled job, and maxScheduledTasks the tasks of all of
	// them together: those whose time has passed when the job comes are due at once.
	maxRuns           = 10_000
	maxScheduledTasks = 100_000
)

// Step is a set of like tasks.
type Step struct {
	Count    int              `json:"count"`
	Need     worker.Resources `json:"need"`
	Estimate time.Duration    `json:"estimate,omitempty"`
	// After lists earlier steps whose tasks must all be done first.
	After         []int `json:"after,omitempty"`
	Checkpointing bool  `json:"checkpointing,omitempty"`
	// Gang tasks work only when all of them are present.
	Gang     bool `json:"gang,omitempty"`
	SameRack bool `json:"same_rack,omitempty"`
	// Speculative allows parallel copies of a task.
	Speculative bool `json:"speculative,omitempty"`
	// LongRunning tasks run until the job is cancelled.
	LongRunning bool `json:"long_running,omitempty"`
	// BestEffort tasks take the processor time that other tasks leave unused.
	BestEffort    bool   `json:"filler,omitempty"`
	RequiredLabel string `json:"required_label,omitempty"`
	DataRack      string `json:"data_rack,omitempty"`
	Image         string `json:"image,omitempty"`
	// MaxPerWorker bounds the step's tasks on one worker; 0 means no bound.
	MaxPerWorker int `json:"max_per_worker,omitempty"`
	// TailLatencyTarget bounds the tail of the response times of a serving task.
	TailLatencyTarget time.Duration `json:"target,omitempty"`
	// MaxUnavailable is how many tasks may be away at once by planned work; 0 means no bound.
	MaxUnavailable int `json:"max_unavailable,omitempty"`
}

// RequiredResources is what a task takes of a worker's capacity.
func (s *Step) RequiredResources() worker.Resources {
	need := s.Need
	if s.BestEffort {
		need.CPU = 0
	}
	return need
}

// Copyable reports whether a second copy of a running task may run beside the
// first. The tasks of a gang work only together, so a copy of one would not help.
func (s *Step) Copyable() bool { return s.Speculative && !s.Gang && !s.LongRunning }

// Job is what a client handed in.
type Job struct {
	ID      ID              `json:"id"`
	Queue   string          `json:"queue"`
	Service fleet.ServiceID `json:"service"`
	// Account is the client account of the key; "" in a queue open to all.
	Account string `json:"account,omitempty"`
	Spec    string `json:"spec"`
	Steps   []Step `json:"steps"`
	// MaxRuns is the number of occurrences; 0 means one that is due at once.
	MaxRuns int `json:"max_runs,omitempty"`
	// FirstDueMS is the Unix time in milliseconds of occurrence 0.
	FirstDueMS int64         `json:"first_due_ms,omitempty"`
	Interval   time.Duration `json:"interval,omitempty"`
	Priority   int           `json:"priority,omitempty"`
	// MaxAttempts is how many failed runs of one task fail the job.
	MaxAttempts int           `json:"max_attempts,omitempty"`
	Objective   time.Duration `json:"objective,omitempty"`
	Stretch     float64       `json:"stretch,omitempty"`
	// AcceptedMS is the Unix time in milliseconds at which the owner took the job.
	AcceptedMS int64 `json:"accepted_ms"`
	// Advised jobs need the advisor's ticket for each start.
	Advised bool `json:"advised,omitempty"`
	// AdviceTime is how long the advisor takes for one step.
	AdviceTime time.Duration `json:"advice_time,omitempty"`
}

// InvalidError reports a submission that cannot be a job.
type InvalidError struct{ Reason string }

func (e *InvalidError) Error() string { return "invalid job: " + e.Reason }

// ValidID reports whether the client's ID has the required form.
func ValidID(id string) bool {
	if len(id) != idLength {
		return false
	}
	for _, c := range id {
		if !strings.ContainsRune("0123456789abcdefABCDEF", c) {
			return false
		}
	}
	return true
}

// Validate checks a submission.
func (j *Job) Validate() error {
	if !ValidID(string(j.ID)) {
		return &InvalidError{fmt.Sprintf("id %q is not %d hexadecimal digits", j.ID, idLength)}
	}
	if len(j.Spec) > maxSpecBytes {
		return &InvalidError{fmt.Sprintf("spec has %d bytes, at most %d", len(j.Spec), maxSpecBytes)}
	}
	if len(j.Steps) == 0 || len(j.Steps) > maxSteps {
		return &InvalidError{fmt.Sprintf("%d steps, want 1 to %d", len(j.Steps), maxSteps)}
	}
	tasks := 0
	for i := range j.Steps {
		if err := j.Steps[i].validate(i); err != nil {
			return err
		}
		tasks += j.Steps[i].Count
	}
	if tasks > maxTasks {
		return &InvalidError{fmt.Sprintf("%d tasks, at most %d", tasks, maxTasks)}
	}
	if j.MaxRuns < 0 || j.Interval < 0 {
		return &InvalidError{"negative number of runs or interval"}
	}
	if j.MaxRuns > maxRuns || j.MaxRuns*tasks > maxScheduledTasks {
		return &InvalidError{fmt.Sprintf("%d runs of %d tasks, at most %d runs and %d tasks in all", j.MaxRuns, tasks, maxRuns, maxScheduledTasks)}
	}
	return nil
}

func (s *Step) validate(index int) error {
	if s.Count < 1 || s.Count > maxTasks {
		return &InvalidError{fmt.Sprintf("step %d has %d tasks", index, s.Count)}
	}
	if s.Need.CPU < 0 || s.Need.MemMB < 0 || s.Need.GPU < 0 {
		return &InvalidError{fmt.Sprintf("step %d needs a negative amount", index)}
	}
	for _, a := range s.After {
		// A step can only wait for earlier ones, which rules out cycles.
		if a < 0 || a >= index {
			return &InvalidError{fmt.Sprintf("step %d waits for step %d, which is not an earlier one", index, a)}
		}
	}
	return nil
}

// LongRunning reports whether the job has a step that runs until it is cancelled.
func (j *Job) LongRunning() bool {
	for i := range j.Steps {
		if j.Steps[i].LongRunning {
			return true
		}
	}
	return false
}

// Scheduled reports whether the job's occurrences have times.
func (j *Job) Scheduled() bool { return j.MaxRuns > 0 }

// Occurrences returns how often the steps run.
func (j *Job) Occurrences() int { return max(1, j.MaxRuns) }

// DueMS returns the Unix time in milliseconds from which occurrence k may start; 0 means at once.
func (j *Job) DueMS(k int) int64 {
	if !j.Scheduled() {
		return 0
	}
	return j.FirstDueMS + int64(k)*j.Interval.Milliseconds()
}

// CriticalPath returns the longest path of estimated durations through the steps.
func (j *Job) CriticalPath(estimate func(*Step) time.Duration) time.Duration {
	ends := make([]time.Duration, len(j.Steps))
	var longest time.Duration
	for i := range j.Steps {
		for _, a := range j.Steps[i].After {
			ends[i] = max(ends[i], ends[a])
		}
		ends[i] += estimate(&j.Steps[i])
		longest = max(longest, ends[i])
	}
	return longest
}

// TaskID names one task.
type TaskID struct {
	Job                     ID
	Occurrence, Step, Index int
}

// String returns the form ID.K.STEP.INDEX.
func (t TaskID) String() string {
	b := make([]byte, 0, 32)
	b = append(b, t.Job...)
	for _, n := range [...]int{t.Occurrence, t.Step, t.Index} {
		b = append(b, '.')
		b = strconv.AppendInt(b, int64(n), 10)
	}
	return string(b)
}

// TaskFormatError reports a task name in an unknown form.
type TaskFormatError struct{ Name string }

func (e *TaskFormatError) Error() string { return fmt.Sprintf("task name %q", e.Name) }

// ParseTaskID reads the form of String.
func ParseTaskID(name string) (TaskID, error) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return TaskID{}, &TaskFormatError{name}
	}
	var numbers [3]int
	for i, p := range parts[1:] {
		n, err := strconv.Atoi(p)
		if err != nil || n < 0 {
			return TaskID{}, &TaskFormatError{name}
		}
		numbers[i] = n
	}
	return TaskID{ID(parts[0]), numbers[0], numbers[1], numbers[2]}, nil
}
