package job_test

import (
	"errors"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"samphirestile.example/samphirestile/internal/job"
	"samphirestile.example/samphirestile/internal/worker"
)

var _ = Describe("a job", func() {
	valid := func() job.Job {
		return job.Job{ID: "0123456789abcdef", Spec: "x", MaxAttempts: 2, Steps: []job.Step{
			{Count: 2, Estimate: time.Second}, {Count: 1, Estimate: 2 * time.Second, After: []int{0}}, {Count: 1, Estimate: time.Second},
		}}
	}
	taskID := func(step, index int) job.TaskID { return job.TaskID{Job: "0123456789abcdef", Step: step, Index: index} }

	DescribeTable("is refused with a reason", func(change func(*job.Job), reason string) {
		j := valid()
		change(&j)
		var invalid *job.InvalidError
		Expect(errors.As(j.Validate(), &invalid)).To(BeTrue())
		Expect(invalid.Reason).To(ContainSubstring(reason))
	},
		Entry("for an ID that is not hexadecimal", func(j *job.Job) { j.ID = "xyz" }, "hexadecimal"),
		Entry("for a long spec", func(j *job.Job) { j.Spec = strings.Repeat("x", 4001) }, "4001 bytes"),
		Entry("without steps", func(j *job.Job) { j.Steps = nil }, "0 steps"),
		Entry("for a cyclic dependency", func(j *job.Job) { j.Steps[0].After = []int{1} }, "not an earlier one"),
		Entry("for a step that depends on itself", func(j *job.Job) { j.Steps[1].After = []int{1} }, "not an earlier one"),
		Entry("for an empty step", func(j *job.Job) { j.Steps[0].Count = 0 }, "0 tasks"),
		Entry("for too many tasks", func(j *job.Job) { j.Steps[0].Count, j.Steps[1].Count = 15_000, 15_000 }, "30001 tasks"),
		Entry("for negative resources", func(j *job.Job) { j.Steps[0].Need = worker.Resources{CPU: -1} }, "negative"),
		Entry("for a negative maximum of runs", func(j *job.Job) { j.MaxRuns = -1 }, "negative"),
		Entry("for more runs than a daemon can hold", func(j *job.Job) { j.MaxRuns = 1 << 40 }, "at most 10000 runs"),
		Entry("for runs with more tasks than a daemon can hold", func(j *job.Job) { j.Steps[0].Count, j.MaxRuns = 1000, 5000 }, "100000 tasks in all"),
	)
	It("has the longest path through its steps as its critical path", func() {
		j := valid()
		Expect(j.CriticalPath(func(s *job.Step) time.Duration { return s.Estimate })).To(Equal(3 * time.Second))
	})
	It("restores its progress from its record", func() {
		l := job.NewTrackedJob(valid())
		l.Begun = true
		for i, n := range []int{3, 5} {
			l.Task(taskID(0, i)).LastRun = n
		}
		l.MarkDone(taskID(0, 0))
		Expect(l.MarkFailed(taskID(0, 1), 5)).To(BeFalse())
		l.Task(taskID(0, 1)).Checkpoint = "c"
		record, err := l.EncodeProgress()
		Expect(err).NotTo(HaveOccurred())
		restored := job.NewTrackedJob(valid())
		Expect(restored.DecodeProgress(record)).To(Succeed())
		Expect(restored.Task(taskID(0, 0)).Done).To(BeTrue())
		Expect(*restored.Task(taskID(0, 1))).To(Equal(job.Task{FailedRuns: []int{5}, LastRun: 5, Checkpoint: "c"}))
		Expect(restored.StepReady(0, 1)).To(BeFalse())
		restored.MarkDone(taskID(0, 1))
		Expect(restored.StepReady(0, 1)).To(BeTrue())
	})
	It("counts each failed run once, in any order", func() {
		l := job.NewTrackedJob(valid())
		Expect(l.MarkFailed(taskID(0, 0), 4)).To(BeFalse())
		Expect(l.MarkFailed(taskID(0, 0), 4)).To(BeFalse())
		Expect(l.MarkFailed(taskID(0, 0), 2)).To(BeTrue())
	})
	It("shows its final state only after it is recorded", func() {
		l := job.NewTrackedJob(valid())
		Expect(l.VisibleState(false)).To(Equal(job.Pending))
		l.Begun, l.FinalState = true, job.Completed
		Expect(l.VisibleState(false)).To(Equal(job.Running))
		Expect(l.VisibleState(true)).To(Equal(job.Completed))
	})
	It("rejects records that name tasks it does not have", func() {
		l := job.NewTrackedJob(valid())
		Expect(l.DecodeProgress([]byte(`{"tasks":{"0.7.0":{"r":1}}}`))).To(HaveOccurred())
		Expect(l.DecodeProgress([]byte(`nonsense`))).To(HaveOccurred())
	})
	It("formats and parses task names", func() {
		t := job.TaskID{Job: "0123456789abcdef", Occurrence: 1, Step: 2, Index: 30}
		Expect(t.String()).To(Equal("0123456789abcdef.1.2.30"))
		Expect(job.ParseTaskID(t.String())).To(Equal(t))
		for _, malformed := range []string{"", "a.1.2", "a.x.0.0", "a.0.-1.0"} {
			_, err := job.ParseTaskID(malformed)
			Expect(err).To(HaveOccurred(), malformed)
		}
	})
})
