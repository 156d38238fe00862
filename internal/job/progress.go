package job

import (
	"encoding/json"
	"fmt"
	"slices"
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
	// Started is set once the start of any task has been commanded.
	Started bool
	// FinalState is Completed, Failed or Cancelled once the job has finished, else "".
	FinalState State
	// EndedMS is the Unix time in milliseconds at which Final was set.
	EndedMS     int64
	occurrences map[int]*Occurrence
	doneCount   int
}

// NewTrackedJob returns a job without progress.
func NewTrackedJob(j Job) *TrackedJob { return &TrackedJob{Job: j, occurrences: map[int]*Occurrence{}} }

// Occurrence returns the progress of occurrence k.
func (l *TrackedJob) Occurrence(k int) *Occurrence {
	o := l.occurrences[k]
	if o == nil {
		o = &Occurrence{Steps: make([]StepProgress, len(l.Steps))}
		for i := range l.Steps {
			o.Steps[i].Tasks = make([]Task, l.Steps[i].Count)
		}
		l.occurrences[k] = o
	}
	return o
}

// Valid reports whether t is a task of the job.
func (l *TrackedJob) Valid(t TaskID) bool {
	return t.Job == l.ID && t.Occurrence < l.Occurrences() && t.Step < len(l.Steps) && t.Index < l.Steps[t.Step].Count
}

// Task returns the state of one task.
func (l *TrackedJob) Task(t TaskID) *Task {
	return &l.Occurrence(t.Occurrence).Steps[t.Step].Tasks[t.Index]
}

// StepReady reports whether all steps that the step depends on are done.
func (l *TrackedJob) StepReady(k, step int) bool {
	o := l.Occurrence(k)
	for _, a := range l.Steps[step].After {
		if o.Steps[a].Done < l.Steps[a].Count {
			return false
		}
	}
	return true
}

// MarkDone records that a task is done. It has no effect on long-running tasks.
func (l *TrackedJob) MarkDone(t TaskID) {
	task := l.Task(t)
	if task.Done || l.Steps[t.Step].LongRunning {
		return
	}
	task.Done = true
	o := l.Occurrence(t.Occurrence)
	o.Steps[t.Step].Done++
	if o.Steps[t.Step].Done == l.Steps[t.Step].Count {
		o.DoneSteps++
		if o.DoneSteps == len(l.Steps) {
			l.doneCount++
		}
	}
}

// MarkFailed counts a failed run, once for each run number, and reports whether the job fails
// by it because the task has reached MaxAttempts failed runs.
func (l *TrackedJob) MarkFailed(t TaskID, number int) bool {
	task := l.Task(t)
	if l.Steps[t.Step].LongRunning || slices.Contains(task.FailedRuns, number) {
		return false
	}
	task.FailedRuns = append(task.FailedRuns, number)
	return l.MaxAttempts > 0 && len(task.FailedRuns) >= l.MaxAttempts
}

// AllDone reports whether every occurrence is done.
func (l *TrackedJob) AllDone() bool { return l.doneCount >= l.Occurrences() }

// OccurrenceDone reports whether all steps of occurrence k are done.
func (l *TrackedJob) OccurrenceDone(k int) bool {
	o := l.occurrences[k]
	return o != nil && o.DoneSteps == len(l.Steps)
}

// progressRecord is the stored form of a job's progress.
type progressRecord struct {
	Final   State                `json:"final,omitempty"`
	EndedMS int64                `json:"ended_ms,omitempty"`
	Started bool                 `json:"started,omitempty"`
	Tasks   map[string]taskState `json:"tasks,omitempty"`
}

// taskState is the stored state of a task; its key is OCCURRENCE.STEP.INDEX.
type taskState struct {
	Done       bool   `json:"d,omitempty"`
	FailedRuns []int  `json:"f,omitempty"`
	LastRun    int    `json:"r,omitempty"`
	Checkpoint string `json:"c,omitempty"`
}

// EncodeProgress encodes the job's progress for the store. A finished job is stored without
// its tasks.
func (l *TrackedJob) EncodeProgress() ([]byte, error) {
	r := progressRecord{Final: l.FinalState, EndedMS: l.EndedMS, Started: l.Started}
	if !l.FinalState.IsFinal() {
		r.Tasks = map[string]taskState{}
		for k, o := range l.occurrences {
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
		return nil, fmt.Errorf("encode progress of %s: %w", l.ID, err)
	}
	return b, nil
}

// RecordError reports a stored record that cannot be decoded.
type RecordError struct {
	Key   string
	Cause error
}

func (e *RecordError) Error() string { return fmt.Sprintf("record %s: %v", e.Key, e.Cause) }

func (e *RecordError) Unwrap() error { return e.Cause }

// DecodeProgress applies a record written by EncodeProgress.
func (l *TrackedJob) DecodeProgress(b []byte) error {
	var r progressRecord
	if err := json.Unmarshal(b, &r); err != nil {
		return &RecordError{string(l.ID), err}
	}
	l.FinalState, l.EndedMS, l.Started = r.Final, r.EndedMS, r.Started
	for name, s := range r.Tasks {
		t, err := ParseTaskID(string(l.ID) + "." + name)
		if err != nil || !l.Valid(t) {
			return &RecordError{string(l.ID), &TaskFormatError{name}}
		}
		task := l.Task(t)
		task.FailedRuns, task.LastRun, task.Checkpoint = s.FailedRuns, s.LastRun, s.Checkpoint
		if s.Done {
			l.MarkDone(t)
		}
	}
	return nil
}

// VisibleState returns the state that clients see. A final state is visible only once it
// has been recorded.
func (l *TrackedJob) VisibleState(finalRecorded bool) State {
	switch {
	case l.FinalState.IsFinal() && finalRecorded:
		return l.FinalState
	case l.Started:
		return Running
	}
	return Pending
}

// ForTasks calls f for each task of occurrence k; it does nothing if the occurrence has no
// progress yet.
func (l *TrackedJob) ForTasks(k int, f func(TaskID, *Task)) {
	o := l.occurrences[k]
	if o == nil {
		return
	}
	for s := range o.Steps {
		for i := range o.Steps[s].Tasks {
			f(TaskID{l.ID, k, s, i}, &o.Steps[s].Tasks[i])
		}
	}
}
