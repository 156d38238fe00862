package job

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"samphirestile.example/samphirestile/internal/worker"
)

// State is the state of a job as clients see it.
type State string

const (
	Pending   State = "pending"
	Running   State = "running"
	Completed State = "completed"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// IsFinal reports whether no further run of the job will start.
func (s State) IsFinal() bool { return s == Completed || s == Failed || s == Cancelled }

// Task is the state of one task.
type Task struct {
	Done bool
	// FailedRuns lists the numbers of the failed runs. A completion may be reported again
	// after a change of owner, and completions from several workers arrive in any order.
	FailedRuns []int
	// LastRun is the highest run number used.
	LastRun    int
	Checkpoint string
	// Active counts the runs that may still be running; it is not stored.
	Active int
}

// StepProgress is the progress of one step within an occurrence.
type StepProgress struct {
	Tasks []Task
	Done  int
}

// Occurrence is the progress of one execution of all steps.
type Occurrence struct {
	Steps []StepProgress
	// DoneSteps counts the steps whose tasks are all done.
	DoneSteps int
}

// TrackedJob is a job with its progress.
type TrackedJob struct {
	Job
	// Begun is set once a worker has shown that a run of any task began there. A command to start a task may be refused or
	// have no effect.
	Begun bool
	// FinalState is Completed, Failed or Cancelled once the job has finished, else "".
	FinalState State
	// EndedMS is the Unix time in milliseconds at which FinalState was set.
	EndedMS     int64
	occurrences map[int]*Occurrence
	doneCount   int
}

// NewTrackedJob returns the job with no task started.
func NewTrackedJob(j Job) *TrackedJob { return &TrackedJob{Job: j, occurrences: map[int]*Occurrence{}} }

// Occurrence returns the progress of occurrence k.
func (j *TrackedJob) Occurrence(k int) *Occurrence {
	o := j.occurrences[k]
	if o == nil {
		o = &Occurrence{Steps: make([]StepProgress, len(j.Steps))}
		for i := range j.Steps {
			o.Steps[i].Tasks = make([]Task, j.Steps[i].Count)
		}
		j.occurrences[k] = o
	}
	return o
}

// Valid reports whether t is a task of the job.
func (j *TrackedJob) Valid(t TaskID) bool {
	return t.Job == j.ID && t.Occurrence < j.Occurrences() && t.Step < len(j.Steps) && t.Index < j.Steps[t.Step].Count
}

// Task returns the state of one task.
func (j *TrackedJob) Task(t TaskID) *Task {
	return &j.Occurrence(t.Occurrence).Steps[t.Step].Tasks[t.Index]
}

// StepReady reports whether all steps that the step depends on are done.
func (j *TrackedJob) StepReady(k, step int) bool {
	o := j.Occurrence(k)
	for _, a := range j.Steps[step].After {
		if o.Steps[a].Done < j.Steps[a].Count {
			return false
		}
	}
	return true
}

// MarkDone records that a task is done. It has no effect on long-running tasks.
func (j *TrackedJob) MarkDone(t TaskID) {
	task := j.Task(t)
	if task.Done || j.Steps[t.Step].LongRunning {
		return
	}
	task.Done = true
	o := j.Occurrence(t.Occurrence)
	o.Steps[t.Step].Done++
	if o.Steps[t.Step].Done == j.Steps[t.Step].Count {
		o.DoneSteps++
		if o.DoneSteps == len(j.Steps) {
			j.doneCount++
		}
	}
}

// MarkFailed counts a failed run, once for each run number, and reports whether the job fails
// by it because the task has reached MaxAttempts failed runs. The failed copy of a done task does
// not count.
func (j *TrackedJob) MarkFailed(t TaskID, number int) bool {
	task := j.Task(t)
	if task.Done || j.Steps[t.Step].LongRunning || slices.Contains(task.FailedRuns, number) {
		return false
	}
	task.FailedRuns = append(task.FailedRuns, number)
	return j.MaxAttempts > 0 && len(task.FailedRuns) >= j.MaxAttempts
}

// AllDone reports whether every occurrence is done.
func (j *TrackedJob) AllDone() bool { return j.doneCount >= j.Occurrences() }

// OccurrenceDone reports whether all steps of occurrence k are done.
func (j *TrackedJob) OccurrenceDone(k int) bool {
	o := j.occurrences[k]
	return o != nil && o.DoneSteps == len(j.Steps)
}

// progressRecord is the stored form of a job's progress.
type progressRecord struct {
	Final   State                `json:"final,omitempty"`
	EndedMS int64                `json:"ended_ms,omitempty"`
	Started bool                 `json:"started,omitempty"`
	Tasks   map[string]taskState `json:"tasks,omitempty"`
	// Done lists ranges of occurrences of which all tasks are done, without their tasks. Records
	// of few tasks have none, so that earlier versions read them.
	Done [][2]int `json:"done,omitempty"`
}

// maxPlainTasks is the number of tasks up to which each task is recorded. Some 40 bytes for each
// leave room in a value of the store, which has 1 MiB.
const maxPlainTasks = maxTasks

// taskState is the stored state of a task; its key is OCCURRENCE.STEP.INDEX.
type taskState struct {
	Done       bool   `json:"d,omitempty"`
	FailedRuns []int  `json:"f,omitempty"`
	LastRun    int    `json:"r,omitempty"`
	Checkpoint string `json:"c,omitempty"`
}

func (j *TrackedJob) tasksPerOccurrence() int {
	n := 0
	for i := range j.Steps {
		n += j.Steps[i].Count
	}
	return n
}

// doneOccurrences returns the ranges of occurrences that are done, both ends included.
func (j *TrackedJob) doneOccurrences() [][2]int {
	var ranges [][2]int
	for k := range j.Occurrences() {
		switch last := len(ranges) - 1; {
		case !j.OccurrenceDone(k):
		case last >= 0 && ranges[last][1] == k-1:
			ranges[last][1] = k
		default:
			ranges = append(ranges, [2]int{k, k})
		}
	}
	return ranges
}

// EncodeProgress encodes the job's progress for the store. A finished job is stored without
// its tasks.
func (j *TrackedJob) EncodeProgress() ([]byte, error) {
	r := progressRecord{Final: j.FinalState, EndedMS: j.EndedMS, Started: j.Begun}
	if !j.FinalState.IsFinal() {
		r.Tasks = map[string]taskState{}
		if j.Occurrences()*j.tasksPerOccurrence() > maxPlainTasks {
			r.Done = j.doneOccurrences()
		}
		for k, o := range j.occurrences {
			if r.Done != nil && j.OccurrenceDone(k) {
				continue
			}
			for s := range o.Steps {
				for i := range o.Steps[s].Tasks {
					t := &o.Steps[s].Tasks[i]
					if t.LastRun == 0 {
						continue
					}
					r.Tasks[fmt.Sprintf("%d.%d.%d", k, s, i)] = taskState{t.Done, t.FailedRuns, t.LastRun, t.Checkpoint}
				}
			}
		}
	}
	b, err := json.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode progress of job %s: %w", j.ID, err)
	}
	return b, nil
}

// RecordError reports a stored progress record that cannot be decoded. Key is the ID of the job.
type RecordError struct {
	Key   string
	Cause error
}

func (e *RecordError) Error() string {
	return fmt.Sprintf("decode progress record of job %s: %v", e.Key, e.Cause)
}

func (e *RecordError) Unwrap() error { return e.Cause }

var (
	errNotFinal    = errors.New("the record has no known state")
	errOccurrences = errors.New("the record has occurrences out of range")
	errRunNumber   = errors.New("the record has a run number out of range")
)

// DecodeProgress applies a record written by EncodeProgress. It changes nothing if the record is
// invalid.
func (j *TrackedJob) DecodeProgress(b []byte) error {
	var r *progressRecord
	if err := json.Unmarshal(b, &r); err != nil {
		return &RecordError{string(j.ID), err}
	}
	if r == nil || (r.Final != "" && !r.Final.IsFinal()) {
		return &RecordError{string(j.ID), errNotFinal}
	}
	for i, done := range r.Done {
		if done[0] < 0 || done[1] < done[0] || done[1] >= j.Occurrences() || len(j.Steps) == 0 || (i > 0 && done[0] <= r.Done[i-1][1]) {
			return &RecordError{string(j.ID), errOccurrences}
		}
	}
	tasks := make(map[TaskID]taskState, len(r.Tasks))
	for name, stored := range r.Tasks {
		t, err := ParseTaskID(string(j.ID) + "." + name)
		if err != nil || !j.Valid(t) {
			return &RecordError{string(j.ID), &TaskFormatError{name}}
		}
		invalid := func(number int) bool { return number < 0 || number > worker.MaxRunNumber }
		if invalid(stored.LastRun) || slices.ContainsFunc(stored.FailedRuns, invalid) {
			return &RecordError{string(j.ID), errRunNumber}
		}
		tasks[t] = stored
	}
	j.FinalState, j.EndedMS, j.Begun = r.Final, min(max(r.EndedMS, 0), maxDueMS), r.Started
	for _, done := range r.Done {
		for k := done[0]; k <= done[1]; k++ {
			j.Occurrence(k)
			j.ForTasks(k, func(t TaskID, task *Task) {
				// The number that ended the task is not recorded, and no other run follows.
				task.LastRun = max(task.LastRun, 1)
				j.MarkDone(t)
			})
		}
	}
	for t, stored := range tasks {
		task := j.Task(t)
		task.FailedRuns, task.LastRun, task.Checkpoint = stored.FailedRuns, stored.LastRun, stored.Checkpoint
		if stored.Done {
			j.MarkDone(t)
		}
	}
	return nil
}

// VisibleState returns the state that clients see. A final state is visible only once it
// has been recorded.
func (j *TrackedJob) VisibleState(finalRecorded bool) State {
	switch {
	case j.FinalState.IsFinal() && finalRecorded:
		return j.FinalState
	case j.Begun:
		return Running
	}
	return Pending
}

// ForTasks calls f for each task of occurrence k; it does nothing if the occurrence has no
// progress yet.
func (j *TrackedJob) ForTasks(k int, f func(TaskID, *Task)) {
	o := j.occurrences[k]
	if o == nil {
		return
	}
	for s := range o.Steps {
		for i := range o.Steps[s].Tasks {
			f(TaskID{j.ID, k, s, i}, &o.Steps[s].Tasks[i])
		}
	}
}
