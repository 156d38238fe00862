package soak

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"samphirestile.example/samphirestile/internal/job"
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
	)
})
