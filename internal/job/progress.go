package job

import (
	"encoding/json"
	"errors"
	"fmt"
	"iter"
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
	EndedMS int64
	// occurrences holds the progress of the occurrences of which any task was changed. That of a done occurrence of a
	// scheduled job is not kept, so that the memory of a job follows what is under way, not what was described.
	occurrences map[int]*Occurrence
	// done holds the occurrences that are done.
	done      ranges
	doneCount int
	// doneTasks counts the tasks that are done, heldTasks those whose state is held in occurrences.
	doneTasks, heldTasks int
	tasksPerOccurrence   int
}

// NewTrackedJob returns the job with no task started.
func NewTrackedJob(j Job) *TrackedJob {
	return &TrackedJob{Job: j, occurrences: map[int]*Occurrence{}, tasksPerOccurrence: j.TasksPerOccurrence()}
}

// occurrence returns the progress of occurrence k to change it.
func (j *TrackedJob) occurrence(k int) *Occurrence {
	o := j.occurrences[k]
	if o == nil {
		o = &Occurrence{Steps: make([]StepProgress, len(j.Steps))}
		for i := range j.Steps {
			o.Steps[i].Tasks = make([]Task, j.Steps[i].Count)
			j.heldTasks += j.Steps[i].Count
		}
		j.occurrences[k] = o
	}
	return o
}

// HeldTasks returns how many tasks have a state in memory.
func (j *TrackedJob) HeldTasks() int { return j.heldTasks }

// DoneTasks returns how many tasks of all occurrences are done.
func (j *TrackedJob) DoneTasks() int { return j.doneTasks }

// DoneInStep returns how many tasks of a step of occurrence k are done.
func (j *TrackedJob) DoneInStep(k, step int) int {
	if o := j.occurrences[k]; o != nil {
		return o.Steps[step].Done
	}
	if j.OccurrenceDone(k) {
		return j.Steps[step].Count
	}
	return 0
}

// FailedRuns returns how many runs of the tasks of a step of occurrence k have failed, as far as their states are held.
func (j *TrackedJob) FailedRuns(k, step int) int {
	n := 0
	if o := j.occurrences[k]; o != nil {
		for i := range o.Steps[step].Tasks {
			n += len(o.Steps[step].Tasks[i].FailedRuns)
		}
	}
	return n
}

// Idle iterates over the tasks of a step of occurrence k that are neither done nor have a run.
func (j *TrackedJob) Idle(k, step int) iter.Seq[TaskID] {
	return func(yield func(TaskID) bool) {
		o := j.occurrences[k]
		if o == nil && j.OccurrenceDone(k) {
			return
		}
		for index := range j.Steps[step].Count {
			if o != nil && (o.Steps[step].Tasks[index].Done || o.Steps[step].Tasks[index].Active != 0) {
				continue
			}
			if !yield(TaskID{j.ID, k, step, index}) {
				return
			}
		}
	}
}

// Ready iterates over the steps of occurrence k that are not done and depend on no step that is not done.
func (j *TrackedJob) Ready(k int) iter.Seq[int] {
	return func(yield func(int) bool) {
		o := j.occurrences[k]
		if o == nil && j.OccurrenceDone(k) {
			return
		}
		for step := range j.Steps {
			ready := o == nil && len(j.Steps[step].After) == 0 || o != nil && o.Steps[step].Done < j.Steps[step].Count && j.StepReady(k, step)
			if ready && !yield(step) {
				return
			}
		}
	}
}

// Unfinished iterates over the occurrences below limit that are not done.
func (j *TrackedJob) Unfinished(limit int) iter.Seq[int] {
	return func(yield func(int) bool) { j.done.missing(limit, yield) }
}

// MaxTasksInProgress bounds the tasks of a scheduled job that may have a state in memory, like those of a job without
// occurrences.
const MaxTasksInProgress = maxTasks

// Startable iterates over the occurrences whose tasks may start at a Unix time in milliseconds: the first ones that are due and
// not done, as many as have the given number of tasks, and at least one.
func (j *TrackedJob) Startable(unixMS int64, tasks int) iter.Seq[int] {
	return func(yield func(int) bool) {
		left := max(1, tasks/max(1, j.tasksPerOccurrence))
		for k := range j.Unfinished(j.DueOccurrences(unixMS)) {
			if left == 0 || !yield(k) {
				return
			}
			left--
		}
	}
}

// MemoryBytes returns how much memory the job needs at a Unix time in milliseconds, about: for its description, and for the
// states of the tasks that are in progress or may start.
func (j *TrackedJob) MemoryBytes(unixMS int64) int64 {
	due := max(1, j.DueOccurrences(unixMS)-j.doneCount) * j.tasksPerOccurrence
	tasks := max(j.heldTasks, min(due, max(MaxTasksInProgress, j.tasksPerOccurrence)))
	return j.DescriptionBytes() + int64(tasks)*taskBytes
}

// UnfinishedTasks returns the number of tasks of a step that are not done in the first occurrences.
func (j *TrackedJob) UnfinishedTasks(step, occurrences int) int {
	n := occurrences
	for _, r := range j.done {
		n -= max(0, min(r[1]+1, occurrences)-r[0])
	}
	n *= j.Steps[step].Count
	for k, o := range j.occurrences {
		if k < occurrences && !j.OccurrenceDone(k) {
			n -= o.Steps[step].Done
		}
	}
	return n
}

// Valid reports whether t is a task of the job.
func (j *TrackedJob) Valid(t TaskID) bool {
	return t.Job == j.ID && t.Occurrence < j.Occurrences() && t.Step < len(j.Steps) && t.Index < j.Steps[t.Step].Count
}

// Release drops the description of the tasks and their states. A job that has ended needs neither.
func (j *TrackedJob) Release() {
	j.Spec, j.Steps, j.occurrences, j.heldTasks = "", nil, nil, 0
}

// Tasks returns the number of tasks of all occurrences.
func (j *TrackedJob) Tasks() int { return j.Occurrences() * j.tasksPerOccurrence }

// Task returns the state of one task to change it. That of a task of a done occurrence, and of a released job, may be a copy
// without effect.
func (j *TrackedJob) Task(t TaskID) *Task {
	if !j.Valid(t) {
		return &Task{}
	}
	if j.OccurrenceDone(t.Occurrence) && j.occurrences[t.Occurrence] == nil {
		return &Task{Done: true, LastRun: 1}
	}
	return &j.occurrence(t.Occurrence).Steps[t.Step].Tasks[t.Index]
}

// StepReady reports whether all steps that the step depends on are done.
func (j *TrackedJob) StepReady(k, step int) bool {
	for _, a := range j.Steps[step].After {
		if j.DoneInStep(k, a) < j.Steps[a].Count {
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
	j.doneTasks++
	o := j.occurrence(t.Occurrence)
	o.Steps[t.Step].Done++
	if o.Steps[t.Step].Done == j.Steps[t.Step].Count {
		o.DoneSteps++
		if o.DoneSteps == len(j.Steps) {
			j.done = j.done.add(t.Occurrence)
			j.doneCount++
			if j.Scheduled() {
				delete(j.occurrences, t.Occurrence)
				j.heldTasks -= j.tasksPerOccurrence
			}
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
func (j *TrackedJob) OccurrenceDone(k int) bool { return j.done.contains(k) }

// taskBytes is the memory of the state of a task with its run.
const taskBytes = 128

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

// maxPlainTasks is the number of tasks up to which each task of a done occurrence is recorded. The record is written with each
// batch of completions of the job.
const maxPlainTasks = 1000

// taskState is the stored state of a task; its key is OCCURRENCE.STEP.INDEX.
type taskState struct {
	Done       bool   `json:"d,omitempty"`
	FailedRuns []int  `json:"f,omitempty"`
	LastRun    int    `json:"r,omitempty"`
	Checkpoint string `json:"c,omitempty"`
}

// EncodeProgress encodes the job's progress for the store. A finished job is stored without
// its tasks.
func (j *TrackedJob) EncodeProgress() ([]byte, error) {
	r := progressRecord{Final: j.FinalState, EndedMS: j.EndedMS, Started: j.Begun}
	if !j.FinalState.IsFinal() {
		r.Tasks = map[string]taskState{}
		if j.Occurrences()*j.tasksPerOccurrence > maxPlainTasks {
			r.Done = j.done
		} else {
			for k := range j.doneOccurrences() {
				if j.occurrences[k] != nil {
					continue
				}
				for s := range j.Steps {
					for i := range j.Steps[s].Count {
						r.Tasks[fmt.Sprintf("%d.%d.%d", k, s, i)] = taskState{Done: true, LastRun: 1}
					}
				}
			}
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
			j.done = j.done.add(k)
		}
	}
	j.doneCount = j.done.count()
	j.doneTasks = j.doneCount * j.tasksPerOccurrence
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

// doneOccurrences iterates over the occurrences that are done.
func (j *TrackedJob) doneOccurrences() iter.Seq[int] {
	return func(yield func(int) bool) {
		for _, r := range j.done {
			for k := r[0]; k <= r[1]; k++ {
				if !yield(k) {
					return
				}
			}
		}
	}
}
