package cluster

import (
	"fmt"
	"strings"
	"time"
)

// Violation is a promise that a history breaks.
type Violation struct {
	Rule string
	Event
	Detail string
}

func (v Violation) String() string {
	return fmt.Sprintf("%s: %s run %d on %s: %s", v.Rule, v.Task, v.Number, v.Worker, v.Detail)
}

// Rules of a history.
const (
	// OneRun allows one run of a task at a time.
	OneRun = "one run at a time"
	// NoRestart allows no start after an end as done was acknowledged, then or later.
	NoRestart = "no start after an acknowledged end"
	// Order allows a step's tasks to start after those that it waits for.
	Order = "order of steps"
	// Attempts bounds the failed runs before a start.
	Attempts = "attempts"
)

// Expectation is what a history must keep to.
type Expectation struct {
	// After gives for a step, by ID.K.STEP, the tasks that must be done before.
	After map[string][]string
	// MaxAttempts bounds the failed runs of a task; 0 means no bound.
	MaxAttempts int
	// Speculative tells of which tasks copies may run; nil means of none.
	Speculative func(task string) bool
}

// copyNotice is how long after an acknowledged end a copy may still start.
const copyNotice = time.Second

// Check returns the violations of a history.
func Check(events []Event, x Expectation) []Violation {
	type end struct {
		worker       string
		number, life int
	}
	acknowledged := map[string]map[end]bool{}
	for _, e := range events {
		if e.Kind == Acknowledged {
			if acknowledged[e.Task] == nil {
				acknowledged[e.Task] = map[end]bool{}
			}
			acknowledged[e.Task][end{string(e.Worker), e.Number, e.Incarnation}] = true
		}
	}
	var violations []Violation
	running, done, failed := map[string]int{}, map[string]bool{}, map[string]int{}
	everDone := map[string]bool{}
	copies := copyRules{map[string]time.Time{}, map[string]time.Time{}, map[string]EventKind{}, map[string]int{}}
	for _, e := range events {
		if x.Speculative != nil && x.Speculative(e.Task) {
			violations = append(violations, copies.check(e, x.MaxAttempts)...)
			switch e.Kind {
			case Started:
				violations = append(violations, orderOf(e, x, everDone)...)
			case FinishedDone:
				everDone[e.Task] = true
			}
			continue
		}
		switch e.Kind {
		case Started:
			if running[e.Task] > 0 {
				violations = append(violations, Violation{OneRun, e, "another run is going on"})
			}
			if done[e.Task] {
				violations = append(violations, Violation{NoRestart, e, "the task had ended as done"})
			}
			if x.MaxAttempts > 0 && failed[e.Task] >= x.MaxAttempts {
				violations = append(violations, Violation{Attempts, e, fmt.Sprintf("%d runs had failed", failed[e.Task])})
			}
			violations = append(violations, orderOf(e, x, everDone)...)
			running[e.Task]++
		case Finished, FinishedDone, FinishedFailed:
			running[e.Task]--
			noted := acknowledged[e.Task][end{string(e.Worker), e.Number, e.Incarnation}]
			if e.Kind == FinishedDone {
				everDone[e.Task] = true
				done[e.Task] = done[e.Task] || noted
			}
			if e.Kind == FinishedFailed && noted {
				failed[e.Task]++
			}
		}
	}
	return violations
}

// copyRules checks tasks of which copies may run.
type copyRules struct {
	// done and exhausted are when a task's end as done, and that of its last attempt, were acknowledged.
	done, exhausted map[string]time.Time
	// causes are how runs ended, failures the acknowledged failed runs of tasks.
	causes   map[string]EventKind
	failures map[string]int
}

// check returns the violations by one event and notes it.
func (c copyRules) check(e Event, maxAttempts int) []Violation {
	var violations []Violation
	run := fmt.Sprint(e.Worker, e.Incarnation, e.Task, e.Number)
	switch e.Kind {
	case Started:
		if at, ok := c.done[e.Task]; ok && e.At.Sub(at) > copyNotice {
			violations = append(violations, Violation{NoRestart, e, "an end as done was acknowledged long before"})
		}
		if at, ok := c.exhausted[e.Task]; ok && e.At.Sub(at) > copyNotice {
			violations = append(violations, Violation{Attempts, e, "the last attempt's end was acknowledged long before"})
		}
	case FinishedDone, FinishedFailed:
		c.causes[run] = e.Kind
	case Acknowledged:
		switch c.causes[run] {
		case FinishedDone:
			if _, ok := c.done[e.Task]; !ok {
				c.done[e.Task] = e.At
			}
		case FinishedFailed:
			c.failures[e.Task]++
			if c.failures[e.Task] == maxAttempts {
				c.exhausted[e.Task] = e.At
			}
		}
	}
	return violations
}

// orderOf returns the violations of the order of steps by one start.
func orderOf(e Event, x Expectation, done map[string]bool) []Violation {
	var violations []Violation
	for _, before := range x.After[e.Task[:strings.LastIndexByte(e.Task, '.')]] {
		if !done[before] {
			violations = append(violations, Violation{Order, e, before + " is not done"})
		}
	}
	return violations
}

// FormatTask lists the events of one task, one a line.
func FormatTask(events []Event, task string) string {
	var b strings.Builder
	for _, e := range events {
		if e.Task == task {
			fmt.Fprintf(&b, "%s %s run %d on %s life %d token %d\n", e.At.Format("05.000"), e.Kind, e.Number, e.Worker, e.Incarnation, e.Token)
		}
	}
	return b.String()
}
