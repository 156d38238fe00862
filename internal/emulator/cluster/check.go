package cluster

import (
	"fmt"
	"strings"
	"time"

	"samphirestile.example/samphirestile/internal/worker"
)

// Violation is an event that breaks a rule.
type Violation struct {
	Rule string
	Event
	Detail string
}

func (v Violation) String() string {
	return fmt.Sprintf("%s: %s run %d on %s: %s", v.Rule, v.Task, v.Number, v.Worker, v.Detail)
}

// Rules of a history, as named in Violation.Rule.
const (
	// RuleOneRun allows one run of a task at a time.
	RuleOneRun = "one run at a time"
	// RuleNoRestart allows no start of a task after a run that completed it, if that
	// completion is acknowledged at any time. If the completion has not been acknowledged yet, its
	// worker was out of reach, and the lease of the run has ended, the owner may start the task anew.
	RuleNoRestart = "no start after an acknowledged completion"
	// RuleStepOrder requires the tasks of preceding steps to be done before a start.
	RuleStepOrder = "order of steps"
	// RuleMaxAttempts limits the failed runs before a start.
	RuleMaxAttempts = "attempts"
)

// Expectation parameterizes the rules that Check applies.
type Expectation struct {
	// After lists, by step (JOB.OCCURRENCE.STEP, the prefix of the task name), the tasks
	// that must be done before a task of the step starts.
	After map[string][]string
	// MaxAttempts limits the failed runs of a task; 0 means no limit.
	MaxAttempts int
	// Speculative reports whether speculative copies of a task may run; nil means never.
	Speculative func(task string) bool
	// Unreachable reports whether a worker may have been out of reach from a completion until the task was started
	// anew, so that its owner could not learn of the completion; nil means never.
	Unreachable func(w worker.ID, from, to time.Time) bool
	// LapsedUnrecorded applies the rule of the users that a completion is not recorded by an acknowledgement
	// after the lease of its run has ended. Without it, the rule applies to outlived starts only.
	LapsedUnrecorded bool
}

// speculationTolerance is how long after an acknowledged completion a speculative
// copy may still start.
const speculationTolerance = time.Second

// Check returns the violations in a history, whose events must be in time order.
func Check(events []Event, x Expectation) []Violation {
	type run struct {
		worker              worker.ID
		task                string
		number, incarnation int
	}
	runOf := func(e Event) run { return run{e.Worker, e.Task, e.Number, e.Incarnation} }
	acknowledged := map[run]bool{}
	for _, e := range events {
		if e.Kind == Acknowledged {
			acknowledged[runOf(e)] = true
		}
	}
	var violations []Violation
	// acknowledgedDone holds the tasks with a completion that is acknowledged at any time, recorded those whose
	// completion has been acknowledged so far, done those with any completion so far.
	running, acknowledgedDone, recorded, failed := map[string]int{}, map[string]Event{}, map[string]bool{}, map[string]int{}
	// recordedInLease are the recorded tasks whose completion was acknowledged before the lease of its run had ended.
	done, recordedInLease := map[string]bool{}, map[string]bool{}
	// outlived holds the late runs whose owner may count them as ended, completed those that completed their task.
	outlived, completed, leaseEnds := map[run]bool{}, map[run]bool{}, map[run]time.Time{}
	speculative := speculativeRules{map[string]time.Time{}, map[string]time.Time{}, map[string]EventKind{}, map[string]int{}}
	for _, e := range events {
		if x.Speculative != nil && x.Speculative(e.Task) {
			violations = append(violations, speculative.check(e, x.MaxAttempts)...)
			switch e.Kind {
			case Started:
				violations = append(violations, orderViolations(e, x, done)...)
			case Completed:
				done[e.Task] = true
			}
			continue
		}
		switch e.Kind {
		case Started:
			outlived[runOf(e)] = e.Outlived
			violations = append(violations, orderViolations(e, x, done)...)
			if e.Expired {
				continue
			}
			if running[e.Task] > 0 {
				violations = append(violations, Violation{RuleOneRun, e, fmt.Sprintf("other runs in progress: %d", running[e.Task])})
			}
			alreadyRecorded := recorded[e.Task]
			if e.Outlived || x.LapsedUnrecorded {
				alreadyRecorded = recordedInLease[e.Task]
			}
			if earlier, ok := acknowledgedDone[e.Task]; alreadyRecorded || ok && !x.excuses(earlier, e) {
				violations = append(violations, Violation{RuleNoRestart, e, "the task had already completed, and that completion is acknowledged"})
			}
			if x.MaxAttempts > 0 && failed[e.Task] >= x.MaxAttempts {
				violations = append(violations, Violation{RuleMaxAttempts, e, fmt.Sprintf("%d runs had failed, limit %d", failed[e.Task], x.MaxAttempts)})
			}
			if !e.Outlived {
				running[e.Task]++
			}
		case Finished, Completed, Failed:
			if !outlived[runOf(e)] {
				running[e.Task]--
			}
			if e.Kind == Completed {
				done[e.Task], completed[runOf(e)], leaseEnds[runOf(e)] = true, true, e.LeaseEnd
				if _, ok := acknowledgedDone[e.Task]; !ok && acknowledged[runOf(e)] && !outlived[runOf(e)] {
					acknowledgedDone[e.Task] = e
				}
			}
			if e.Kind == Failed && acknowledged[runOf(e)] {
				failed[e.Task]++
			}
		case Acknowledged:
			recorded[e.Task] = recorded[e.Task] || completed[runOf(e)]
			recordedInLease[e.Task] = recordedInLease[e.Task] || completed[runOf(e)] && !e.At.After(leaseEnds[runOf(e)])
		}
	}
	return violations
}

// excuses reports whether the owner may not have learned of a completion before it started the task anew.
func (x Expectation) excuses(completed, start Event) bool {
	return x.Unreachable != nil && !start.At.Before(completed.LeaseEnd) && x.Unreachable(completed.Worker, completed.At, start.At)
}

// speculativeRules checks tasks that may have several runs at a time.
type speculativeRules struct {
	// done and exhausted hold when a task's successful completion, and the failure of
	// its last attempt, were acknowledged.
	done, exhausted map[string]time.Time
	// outcomes holds how each run finished, by worker, incarnation, task and run number;
	// failures counts acknowledged failed runs by task.
	outcomes map[string]EventKind
	failures map[string]int
}

// check returns the violations caused by one event and records the event.
func (s speculativeRules) check(e Event, maxAttempts int) []Violation {
	var violations []Violation
	run := fmt.Sprint(e.Worker, e.Incarnation, e.Task, e.Number)
	switch e.Kind {
	case Started:
		if e.Expired {
			return nil
		}
		if at, ok := s.done[e.Task]; ok && e.At.Sub(at) > speculationTolerance {
			violations = append(violations, Violation{RuleNoRestart, e, fmt.Sprintf("a completion had been acknowledged for longer than %v", speculationTolerance)})
		}
		if at, ok := s.exhausted[e.Task]; ok && e.At.Sub(at) > speculationTolerance {
			violations = append(violations, Violation{RuleMaxAttempts, e, fmt.Sprintf("the failure of the last attempt had been acknowledged for longer than %v", speculationTolerance)})
		}
	case Completed, Failed:
		s.outcomes[run] = e.Kind
	case Acknowledged:
		switch s.outcomes[run] {
		case Completed:
			if _, ok := s.done[e.Task]; !ok {
				s.done[e.Task] = e.At
			}
		case Failed:
			s.failures[e.Task]++
			if s.failures[e.Task] == maxAttempts {
				s.exhausted[e.Task] = e.At
			}
		}
	}
	return violations
}

// orderViolations returns one violation for each preceding task that is not done.
func orderViolations(e Event, x Expectation, done map[string]bool) []Violation {
	var violations []Violation
	for _, before := range x.After[e.Task[:strings.LastIndexByte(e.Task, '.')]] {
		if !done[before] {
			violations = append(violations, Violation{RuleStepOrder, e, before + " is not done"})
		}
	}
	return violations
}

// FormatTask formats the events of one task, one per line.
func FormatTask(events []Event, task string) string {
	var b strings.Builder
	for _, e := range events {
		if e.Task == task {
			fmt.Fprintf(&b, "%s %s run %d on %s incarnation %d token %d", e.At.Format("05.000"), e.Kind, e.Number, e.Worker, e.Incarnation, e.Token)
			if e.Late {
				b.WriteString(" late")
			}
			b.WriteByte('\n')
		}
	}
	return b.String()
}
