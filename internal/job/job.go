// Package job defines jobs, which are steps of tasks, and tracks their progress.
package job

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"samphirestile.example/samphirestile/internal/fleet"
	"samphirestile.example/samphirestile/internal/worker"
)

// ID identifies a job; the client chooses it.
type ID string

// Limits on a submission.
const (
	idLength     = 16
	maxSpecBytes = 4000
	// MaxSteps and maxTasks bound the memory that one job uses in a daemon.
	MaxSteps = 256
	maxTasks = 20_000
	// maxRuns bounds the occurrences of a scheduled job, and maxScheduledTasks the tasks of
	// all occurrences together: those that are overdue on submission are all due at once.
	maxRuns           = 10_000
	maxScheduledTasks = 100_000
	// maxDuration bounds the critical path by the estimates, the targets and the interval, and
	// MaxStretch the factor of the critical path in the objective: all results stay within a
	// time.Duration.
	maxDuration = 366 * 24 * time.Hour
	MaxStretch  = 100
	// maxDueMS is the largest integer that JSON carries exactly everywhere.
	maxDueMS = 1 << 53
	// maxTextBytes bounds the labels, racks and images of all steps together, and MaxAfter the
	// dependencies of one step, so that the record of a job fits into a value of the store. JSON may
	// encode a byte in six.
	maxTextBytes = 64 << 10
	MaxAfter     = MaxSteps
	// shownBytes is how much of an invalid value an error shows.
	shownBytes = 64
)

// Step is a set of identical tasks.
type Step struct {
	Count    int              `json:"count"`
	Need     worker.Resources `json:"need"`
	Estimate time.Duration    `json:"estimate,omitempty"`
	// After lists the indexes of earlier steps whose tasks must all be done first.
	After         []int `json:"after,omitempty"`
	Checkpointing bool  `json:"checkpointing,omitempty"`
	// Gang tasks make progress only while all of them run.
	Gang     bool `json:"gang,omitempty"`
	SameRack bool `json:"same_rack,omitempty"`
	// Speculative allows a second, concurrent copy of a slow task.
	Speculative bool `json:"speculative,omitempty"`
	// LongRunning tasks run until the job is cancelled; they are never done.
	LongRunning bool `json:"long_running,omitempty"`
	// BestEffort tasks use the CPU time that other tasks leave idle.
	BestEffort    bool   `json:"filler,omitempty"`
	RequiredLabel string `json:"required_label,omitempty"`
	DataRack      string `json:"data_rack,omitempty"`
	Image         string `json:"image,omitempty"`
	// MaxPerWorker bounds the step's tasks on one worker; 0 means no bound.
	MaxPerWorker int `json:"max_per_worker,omitempty"`
	// TailLatencyTarget is the upper bound for the tail latency of a serving task.
	TailLatencyTarget time.Duration `json:"target,omitempty"`
	// MaxUnavailable bounds the tasks that are unavailable at once, for any reason, when planned
	// work such as maintenance or a move of a host stops one of them; 0 means no bound.
	MaxUnavailable int `json:"max_unavailable,omitempty"`
}

// RequiredResources returns the resources that a task reserves on a worker. A best-effort
// task reserves no CPU.
func (s *Step) RequiredResources() worker.Resources {
	need := s.Need
	if s.BestEffort {
		need.CPU = 0
	}
	return need
}

// Copyable reports whether a second copy of a running task may be started. Gang tasks make
// progress only together, so a copy of one of them would not help.
func (s *Step) Copyable() bool { return s.Speculative && !s.Gang && !s.LongRunning }

// Job is a job as submitted by a client.
type Job struct {
	ID      ID              `json:"id"`
	Queue   string          `json:"queue"`
	Service fleet.ServiceID `json:"service"`
	// QueueAddress is the host and prefix of the queue; "" in records of earlier versions.
	QueueAddress string `json:"queue_address,omitempty"`
	// ConfigVersion is the version of the configuration under which the job was submitted.
	ConfigVersion int64 `json:"config_version,omitempty"`
	// Account is the client account of the API key; "" in an open queue.
	Account string `json:"account,omitempty"`
	Spec    string `json:"spec"`
	Steps   []Step `json:"steps"`
	// MaxRuns is the number of scheduled occurrences; 0 means a single one, due immediately.
	MaxRuns int `json:"max_runs,omitempty"`
	// FirstDueMS is the Unix time in milliseconds of occurrence 0.
	FirstDueMS int64         `json:"first_due_ms,omitempty"`
	Interval   time.Duration `json:"interval,omitempty"`
	Priority   int           `json:"priority,omitempty"`
	// MaxAttempts is the number of failed runs of one task that fails the job; 0 means no bound.
	MaxAttempts int `json:"max_attempts,omitempty"`
	// Objective and Stretch give the target completion time: Stretch times the critical
	// path, plus Objective. A Stretch of 0 counts as 1.
	Objective time.Duration `json:"objective,omitempty"`
	Stretch   float64       `json:"stretch,omitempty"`
	// AcceptedMS is the Unix time in milliseconds at which the owner accepted the job.
	AcceptedMS int64 `json:"accepted_ms"`
	// Advised jobs need an approval of the advisor for each start.
	Advised bool `json:"advised,omitempty"`
	// AdviceTime is the duration of one call to the advisor that names a whole batch of workers.
	AdviceTime time.Duration `json:"advice_time,omitempty"`
	// AdviceDecision is the part of AdviceTime that does not depend on how many workers the call names.
	AdviceDecision time.Duration `json:"advice_decision,omitempty"`
}

// InvalidError reports an invalid submission.
type InvalidError struct{ Reason string }

func (e *InvalidError) Error() string { return "invalid job: " + e.Reason }

// shorten returns the start of a value for an error message.
func shorten(s string) string { return s[:min(len(s), shownBytes)] }

// ValidID reports whether the ID consists of 16 hexadecimal digits.
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

// Validate checks a submission and returns an *InvalidError for the first fault.
func (j *Job) Validate() error {
	if err := j.validateStructure(); err != nil {
		return err
	}
	text := 0
	for i := range j.Steps {
		s := &j.Steps[i]
		text += len(s.RequiredLabel) + len(s.DataRack) + len(s.Image)
		if text > maxTextBytes || len(s.After) > MaxAfter {
			return &InvalidError{fmt.Sprintf("step %d has %d dependencies, and the steps have %d bytes of text, at most %d and %d", i, len(s.After), text, MaxAfter, maxTextBytes)}
		}
		if !s.Need.InRange() {
			return &InvalidError{fmt.Sprintf("step %d needs %+v, at most %d of each", i, s.Need, worker.MaxResource)}
		}
		if s.Estimate < 0 || s.Estimate > maxDuration || s.TailLatencyTarget < 0 || s.TailLatencyTarget > maxDuration {
			return &InvalidError{fmt.Sprintf("step %d has an estimate of %v and a target of %v, want 0 to %v", i, s.Estimate, s.TailLatencyTarget, maxDuration)}
		}
	}
	if path := j.CriticalPath(func(s *Step) time.Duration { return s.Estimate }); path > maxDuration {
		return &InvalidError{fmt.Sprintf("critical path of %v, at most %v", path, maxDuration)}
	}
	if j.FirstDueMS < -maxDueMS || j.FirstDueMS > maxDueMS || j.Interval > maxDuration {
		return &InvalidError{fmt.Sprintf("first occurrence at %d ms with an interval of %v", j.FirstDueMS, j.Interval)}
	}
	return nil
}

// UnmarshalJSON decodes the record of a job that was accepted. It returns an *InvalidError for a
// record that does not describe a job, because the code that runs jobs relies on their structure.
// Quantities outside of the bounds of Validate are limited to them, so that a job accepted by an
// earlier version is not lost.
func (j *Job) UnmarshalJSON(b []byte) error {
	type plain Job
	var p plain
	if err := json.Unmarshal(b, &p); err != nil {
		return err
	}
	decoded := Job(p)
	if err := decoded.validateStructure(); err != nil {
		return err
	}
	for i := range decoded.Steps {
		s := &decoded.Steps[i]
		s.Need = s.Need.Limited()
		s.Estimate, s.TailLatencyTarget = limit(s.Estimate), limit(s.TailLatencyTarget)
	}
	if decoded.CriticalPath(func(s *Step) time.Duration { return s.Estimate }) > maxDuration {
		for i := range decoded.Steps {
			decoded.Steps[i].Estimate = min(decoded.Steps[i].Estimate, maxDuration/MaxSteps)
		}
	}
	decoded.Stretch = min(max(decoded.Stretch, 0), MaxStretch)
	decoded.Interval, decoded.Objective, decoded.AdviceTime = limit(decoded.Interval), limit(decoded.Objective), limit(decoded.AdviceTime)
	decoded.AdviceDecision = min(limit(decoded.AdviceDecision), decoded.AdviceTime)
	decoded.FirstDueMS, decoded.AcceptedMS = min(max(decoded.FirstDueMS, -maxDueMS), maxDueMS), min(max(decoded.AcceptedMS, 0), maxDueMS)
	*j = decoded
	return nil
}

func limit(d time.Duration) time.Duration { return min(max(d, 0), maxDuration) }

// validateStructure checks what the code that runs the job relies on.
func (j *Job) validateStructure() error {
	if !ValidID(string(j.ID)) {
		return &InvalidError{fmt.Sprintf("id %q is not %d hexadecimal digits", shorten(string(j.ID)), idLength)}
	}
	if len(j.Spec) > maxSpecBytes {
		return &InvalidError{fmt.Sprintf("spec has %d bytes, at most %d", len(j.Spec), maxSpecBytes)}
	}
	if len(j.Steps) == 0 || len(j.Steps) > MaxSteps {
		return &InvalidError{fmt.Sprintf("%d steps, want 1 to %d", len(j.Steps), MaxSteps)}
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
		// A step can only depend on earlier ones, which rules out cycles.
		if a < 0 || a >= index {
			return &InvalidError{fmt.Sprintf("step %d waits for step %d, which is not an earlier one", index, a)}
		}
	}
	return nil
}

// LongRunning reports whether the job has a long-running step.
func (j *Job) LongRunning() bool {
	for i := range j.Steps {
		if j.Steps[i].LongRunning {
			return true
		}
	}
	return false
}

// Scheduled reports whether the job's occurrences have due times.
func (j *Job) Scheduled() bool { return j.MaxRuns > 0 }

// Occurrences returns how often the whole job runs.
func (j *Job) Occurrences() int { return max(1, j.MaxRuns) }

// DescriptionBytes returns how much memory the description of the job needs, about.
func (j *Job) DescriptionBytes() int64 {
	const entryBytes, stepBytes, dependencyBytes = 1024, 256, 8
	n := entryBytes + len(j.Spec) + len(j.Steps)*stepBytes
	for i := range j.Steps {
		s := &j.Steps[i]
		n += len(s.After)*dependencyBytes + len(s.RequiredLabel) + len(s.DataRack) + len(s.Image)
	}
	return int64(n)
}

// TasksPerOccurrence returns the number of tasks of all steps.
func (j *Job) TasksPerOccurrence() int {
	n := 0
	for i := range j.Steps {
		n += j.Steps[i].Count
	}
	return n
}

// DueOccurrences returns how many occurrences are due at a Unix time in milliseconds, done or not.
func (j *Job) DueOccurrences(unixMS int64) int {
	switch {
	case !j.Scheduled():
		return 1
	case unixMS < j.FirstDueMS:
		return 0
	case j.Interval.Milliseconds() == 0:
		return j.MaxRuns
	}
	return int(min(int64(j.MaxRuns), (unixMS-j.FirstDueMS)/j.Interval.Milliseconds()+1))
}

// DueMS returns the Unix time in milliseconds from which occurrence k may start; 0 means immediately.
func (j *Job) DueMS(k int) int64 {
	if !j.Scheduled() {
		return 0
	}
	return j.FirstDueMS + int64(k)*j.Interval.Milliseconds()
}

// CriticalPath returns the longest path through the steps by their estimated durations.
func (j *Job) CriticalPath(estimate func(*Step) time.Duration) time.Duration {
	finish := make([]time.Duration, len(j.Steps))
	var longest time.Duration
	for i := range j.Steps {
		for _, a := range j.Steps[i].After {
			finish[i] = max(finish[i], finish[a])
		}
		finish[i] += estimate(&j.Steps[i])
		longest = max(longest, finish[i])
	}
	return longest
}

// TaskID identifies one task.
type TaskID struct {
	Job                     ID
	Occurrence, Step, Index int
}

// String returns the task name JOB.OCCURRENCE.STEP.INDEX.
func (t TaskID) String() string {
	b := make([]byte, 0, 32)
	b = append(b, t.Job...)
	for _, n := range [...]int{t.Occurrence, t.Step, t.Index} {
		b = append(b, '.')
		b = strconv.AppendInt(b, int64(n), 10)
	}
	return string(b)
}

// TaskFormatError reports a malformed task name.
type TaskFormatError struct{ Name string }

func (e *TaskFormatError) Error() string {
	return fmt.Sprintf("malformed task name %q", shorten(e.Name))
}

// ParseTaskID parses a task name in the format of TaskID.String. It accepts no other spelling of
// the same numbers, because a worker knows a task by its name.
func ParseTaskID(name string) (TaskID, error) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return TaskID{}, &TaskFormatError{name}
	}
	var numbers [3]int
	for i, p := range parts[1:] {
		n, err := strconv.Atoi(p)
		if err != nil || p[0] == '+' || p[0] == '-' || (p[0] == '0' && p != "0") {
			return TaskID{}, &TaskFormatError{name}
		}
		numbers[i] = n
	}
	return TaskID{ID(parts[0]), numbers[0], numbers[1], numbers[2]}, nil
}
