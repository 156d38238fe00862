package soak

import (
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"samphirestile.example/samphirestile/internal/emulator/cluster"
	"samphirestile.example/samphirestile/internal/job"
	"samphirestile.example/samphirestile/internal/worker"
)

// Guards against checks of job results that miss a violation or report a false one.
// The checks of run histories are tested in internal/shard.
var _ = Describe("the checks of a job", func() {
	now := time.Now()
	// withTwoTasks sets the ID and the steps of a job with the tasks first and second.
	withTwoTasks := func(r result) result {
		r.id, r.steps = "00000000000000aa", []job.Step{{Count: 2}}
		return r
	}
	const first, second = "00000000000000aa.0.0.0", "00000000000000aa.0.0.1"
	type states = map[job.State]time.Time
	both := map[string]time.Time{first: now.Add(-time.Second), second: now.Add(-time.Second)}

	DescribeTable("report violations and nothing else",
		func(r result, doneAt map[string]time.Time, starts, failures map[string]int, violations int) {
			r = withTwoTasks(r)
			Expect(r.problems(doneAt, starts, failures)).To(HaveLen(violations))
		},
		Entry("completed after all tasks", result{accepted: true, final: job.Completed, finalAt: now}, both, nil, nil, 0),
		Entry("completed before its tasks", result{accepted: true, final: job.Completed, finalAt: now.Add(-2 * time.Second)}, both, nil, nil, 2),
		Entry("completed with a task that was never done", result{accepted: true, final: job.Completed, finalAt: now},
			map[string]time.Time{first: now.Add(-time.Second)}, nil, nil, 1),
		Entry("rejected and not run", result{rejected: true}, nil, nil, nil, 0),
		Entry("rejected and run", result{rejected: true}, nil, map[string]int{second: 1}, nil, 1),
		Entry("accepted and without a final state", result{accepted: true}, both, nil, nil, 1),
		Entry("failed after all attempts", result{accepted: true, final: job.Failed}, nil, nil, map[string]int{first: queue.MaxAttempts}, 0),
		Entry("failed before all attempts", result{accepted: true, final: job.Failed}, nil, nil, map[string]int{first: 1}, 1),
		Entry("cancelled without a request", result{accepted: true, final: job.Cancelled}, nil, nil, nil, 1),
		Entry("with an unknown outcome", result{}, nil, map[string]int{first: 1}, nil, 0),
		Entry("cancelled and shown as such", result{accepted: true, cancelSent: true, cancelledAt: now, final: job.Cancelled, shown: states{job.Cancelled: now, job.Running: now.Add(-time.Second)}}, nil, nil, nil, 0),
		Entry("cancelled and then shown as running", result{accepted: true, cancelSent: true, cancelledAt: now, final: job.Cancelled, shown: states{job.Running: now.Add(time.Second)}}, nil, nil, nil, 1),
		Entry("cancelled and shown as completed too", result{accepted: true, cancelSent: true, cancelledAt: now, final: job.Cancelled, shown: states{job.Cancelled: now, job.Completed: now}}, nil, nil, nil, 1),
		Entry("completed before the cancel was acknowledged", result{accepted: true, cancelSent: true, cancelledAt: now, final: job.Completed, finalAt: now}, both, nil, nil, 0),
		Entry("completed after the cancel was acknowledged", result{accepted: true, cancelSent: true, cancelledAt: now.Add(-2 * time.Second), final: job.Completed, finalAt: now}, both, nil, nil, 2),
		Entry("accepted and denied", result{accepted: true, acceptedAt: now, goneAt: now.Add(time.Second), final: job.Completed, finalAt: now}, both, nil, nil, 1),
		Entry("accepted, with a cancel answered with 410", result{accepted: true, cancelSent: true, cancelGone: true, final: job.Cancelled}, nil, nil, nil, 1),
		Entry("accepted, with a cancel that was never answered", result{accepted: true, cancelSent: true, final: job.Cancelled}, nil, nil, nil, 1),
	)
})

// Guards against checks of the runs of cancelled jobs that miss a violation or report a false one.
var _ = Describe("the checks of cancelled jobs", func() {
	const task, observed = "00000000000000aa.0.0.0", 60 * time.Second
	acknowledged := time.Now()
	at := func(seconds float64) time.Time {
		return acknowledged.Add(time.Duration(seconds * float64(time.Second)))
	}
	// run returns the events of a run on w0 between two times in seconds after the cancel; it goes on if end is 0.
	run := func(start, end float64, e cluster.Event) []cluster.Event {
		e.Kind, e.Task, e.Worker, e.Number, e.At = cluster.Started, task, "w0", 1, at(start)
		events := []cluster.Event{e}
		if end != 0 {
			e.Kind, e.At = cluster.Finished, at(end)
			events = append(events, e)
		}
		return events
	}
	disturbed := func(w worker.ID, from, to float64) fault { return fault{w, at(from), at(to)} }
	plain, late, outlived := cluster.Event{}, cluster.Event{Late: true}, cluster.Event{Late: true, Outlived: true}

	DescribeTable("report violations and nothing else", func(events []cluster.Event, violations int, faults ...fault) {
		cancelledAt := map[job.ID]time.Time{"00000000000000aa": acknowledged}
		Expect(cancelProblems(events, acknowledged.Add(observed), cancelledAt, faults)).To(HaveLen(violations))
		Expect(cancelProblems(events, acknowledged.Add(observed), nil, faults)).To(BeEmpty(), "a job that was not cancelled")
	},
		Entry("a run that is stopped in time", run(-1, 3.1, plain), 0),
		Entry("a run that is stopped too late", run(-1, 3.5, plain), 1),
		Entry("a run that goes on", run(-1, 0, plain), 1),
		Entry("a start in time", run(2.9, 3, plain), 0),
		Entry("a start too late", run(3.1, 3.15, plain), 1),
		Entry("a late stop beside a fault of a daemon", run(-1, 5, plain), 0, disturbed("", 1, 2)),
		Entry("a late stop beside a cut of the worker", run(-1, 5, plain), 0, disturbed("w0", 1, 2)),
		Entry("a late stop beside a cut of another worker", run(-1, 5, plain), 1, disturbed("w1", 1, 2)),
		Entry("a late stop after a fault that ended before the cancel", run(-1, 5, plain), 1, disturbed("", -2, 0)),
		Entry("a late stop before a fault that began after the limit", run(-1, 5, plain), 1, disturbed("", 3.3, 5)),
		Entry("a late stop beside two faults with a pause shorter than the limit", run(-1, 6, plain), 0, disturbed("", 1, 2), disturbed("w0", 3, 4)),
		Entry("a stop long after a fault", run(-1, 6, plain), 1, disturbed("", 1, 2)),
		Entry("a late start that is stopped in time", run(5, 8.1, late), 0),
		Entry("a late start that is stopped too late", run(5, 8.5, late), 1),
		Entry("a late start beside a fault of a daemon", run(5, 8.5, late), 1, disturbed("", 5, 6)),
		Entry("a late start beside a cut of the worker", run(5, 8.5, late), 0, disturbed("w0", 5, 6)),
		Entry("a late start before the cancel", run(-1, 3.5, late), 1),
	)

	DescribeTable("report a late run that stays beside another run of its task", func(end float64, violations int) {
		other := run(0, 20, plain)
		other[0].Worker, other[1].Worker = "w1", "w1"
		Expect(cancelProblems(append(run(1, end, outlived), other...), acknowledged.Add(observed), nil, nil)).To(HaveLen(violations))
	}, Entry("for a short time", 4.1, 0), Entry("for too long", 4.5, 1))

	DescribeTable("let a task start beside a late run until its completion is acknowledged", func(first cluster.Event, acknowledge, second float64, rules ...string) {
		events := run(1, 2, first)
		events[1].Kind = cluster.Completed
		next := run(second, 5, plain)[0]
		next.Worker = "w1"
		ack := cluster.Event{Kind: cluster.Acknowledged, Task: task, Worker: "w0", Number: 1, At: at(acknowledge)}
		events = append(events, next, ack)
		slices.SortFunc(events, func(a, b cluster.Event) int { return a.At.Compare(b.At) })
		found := []string{}
		for _, v := range cluster.Check(events, cluster.Expectation{}) {
			found = append(found, v.Rule)
		}
		Expect(found).To(Equal(rules))
	},
		Entry("beside the run", outlived, 3.0, 1.5),
		Entry("after the completion", outlived, 3.0, 2.5),
		Entry("not after the acknowledgement", outlived, 3.0, 3.5, cluster.RuleNoRestart),
		Entry("not beside a late run that did not outlive its lease", late, 3.0, 1.5, cluster.RuleOneRun),
		Entry("not after a completion of such a run", late, 3.0, 2.5, cluster.RuleNoRestart),
	)

	DescribeTable("let an outlived run start beside another run or after a recorded completion only once the lease in its command has ended", func(second float64, expired bool, rules ...string) {
		events := run(0, 1, plain)
		events[1].Kind, events[1].LeaseEnd = cluster.Completed, at(4)
		ack := cluster.Event{Kind: cluster.Acknowledged, Task: task, Worker: "w0", Number: 1, At: at(1.5)}
		next := run(second, 9, cluster.Event{Late: true, Outlived: true, Expired: expired})
		for i := range next {
			next[i].Worker, next[i].Number = "w1", 2
		}
		events = append(append(events, ack), next...)
		slices.SortFunc(events, func(a, b cluster.Event) int { return a.At.Compare(b.At) })
		found := []string{}
		for _, v := range cluster.Check(events, cluster.Expectation{}) {
			found = append(found, v.Rule)
		}
		Expect(found).To(Equal(rules))
	},
		Entry("beside the run", 0.5, false, cluster.RuleOneRun),
		Entry("after the completion", 1.2, false, cluster.RuleNoRestart),
		Entry("after the acknowledgement", 2.0, false, cluster.RuleNoRestart),
		Entry("beside the run, refused by the protocol", 0.5, true),
		Entry("after the acknowledgement, refused by the protocol", 2.0, true),
	)

	DescribeTable("report a copy that starts long after its job was shown as completed", func(start float64, e cluster.Event, violations int) {
		r := result{id: "00000000000000aa", accepted: true, final: job.Completed, finalAt: at(0)}
		Expect(r.startProblems(run(start, start+1, e))).To(HaveLen(violations))
	},
		Entry("soon after it", 0.9, plain, 0), Entry("long after it", 1.1, plain, 1), Entry("long after it and late", 1.1, outlived, 1),
		Entry("when the protocol refuses the start", 1.1, cluster.Event{Late: true, Outlived: true, Expired: true}, 0),
	)

	DescribeTable("let a task start after a completion that its owner could not learn of", func(second float64, unreachable bool, violations int) {
		events := run(1, 2, plain)
		events[1].Kind, events[1].LeaseEnd = cluster.Completed, at(4)
		next := run(second, 9, plain)
		ack := cluster.Event{Kind: cluster.Acknowledged, Task: task, Worker: "w0", Number: 1, At: at(8)}
		next[0].Number, next[1].Number = 2, 2
		events = append(events, next[0], ack, next[1])
		slices.SortFunc(events, func(a, b cluster.Event) int { return a.At.Compare(b.At) })
		x := cluster.Expectation{Unreachable: func(worker.ID, time.Time, time.Time) bool { return unreachable }}
		Expect(cluster.Check(events, x)).To(HaveLen(violations))
	},
		Entry("after the lease", 5.0, true, 0),
		Entry("not while the lease lasts", 3.0, true, 1),
		Entry("not if the worker could be reached", 5.0, false, 1),
		Entry("not after the acknowledgement", 8.5, true, 1),
	)
})
