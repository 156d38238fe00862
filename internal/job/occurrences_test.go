package job_test

import (
	"math/rand/v2"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"samphirestile.example/samphirestile/internal/job"
)

// The memory and the time that a job needs follow the occurrences that are under way, not those that were described.
var _ = Describe("the progress of a job with many occurrences", func() {
	scheduled := func(runs int) job.Job {
		return job.Job{ID: validID, MaxRuns: runs, FirstDueMS: 1000, Interval: 1500e6, Steps: []job.Step{{Count: 2}, {Count: 1, After: []int{0}}}}
	}
	tasksOf := func(j job.Job, k int) (tasks []job.TaskID) {
		for s := range j.Steps {
			for i := range j.Steps[s].Count {
				tasks = append(tasks, job.TaskID{Job: validID, Occurrence: k, Step: s, Index: i})
			}
		}
		return tasks
	}

	// Guards against reads that allocate the state of what they look at.
	It("is not held before a task has started", func() {
		j := scheduled(10_000)
		tracked := job.NewTrackedJob(j)
		for k := range tracked.Unfinished(j.Occurrences()) {
			Expect(tracked.StepReady(k, 1)).To(BeFalse())
			Expect(tracked.DoneInStep(k, 0)).To(BeZero())
			Expect(tracked.OccurrenceDone(k)).To(BeFalse())
		}
		Expect(tracked.UnfinishedTasks(0, 10_000)).To(Equal(20_000))
		Expect(tracked.HeldTasks()).To(BeZero())
		Expect(tracked.MemoryBytes(0)).To(BeNumerically("<", 4<<10))
	})

	// Guards against jobs whose memory grows with each occurrence that has run.
	It("is not held after the occurrence is done", func() {
		for _, runs := range []int{100, 10_000} {
			j := scheduled(runs)
			tracked := job.NewTrackedJob(j)
			for k := range 100 {
				for _, t := range tasksOf(j, k) {
					tracked.Task(t).LastRun = 3
					tracked.MarkDone(t)
				}
			}
			Expect(tracked.HeldTasks()).To(BeZero())
			Expect(tracked.DoneTasks()).To(Equal(300))
			for _, t := range tasksOf(j, 7) {
				Expect(tracked.Task(t).Done).To(BeTrue())
				Expect(tracked.MarkFailed(t, 9)).To(BeFalse())
				tracked.MarkDone(t)
			}
			Expect(tracked.DoneTasks()).To(Equal(300))
			Expect(tracked.HeldTasks()).To(BeZero())
			record, err := tracked.EncodeProgress()
			Expect(err).NotTo(HaveOccurred())
			restored := job.NewTrackedJob(j)
			Expect(restored.DecodeProgress(record)).To(Succeed())
			Expect(restored.DoneTasks()).To(Equal(300))
			Expect(restored.HeldTasks()).To(BeZero())
			Expect(restored.AllDone()).To(Equal(runs == 100))
		}
	})

	// Guards against occurrences that are left out or done twice by the ranges that replace their states.
	It("shows the same occurrences as done that were marked, in any order", func() {
		for seed := range uint64(50) {
			rng := rand.New(rand.NewPCG(seed, 0))
			j := scheduled(1 + rng.IntN(40))
			tracked, done := job.NewTrackedJob(j), map[int]bool{}
			for range rng.IntN(2 * j.MaxRuns) {
				k := rng.IntN(j.MaxRuns)
				for _, t := range tasksOf(j, k) {
					tracked.Task(t).LastRun = 1
					tracked.MarkDone(t)
				}
				done[k] = true
			}
			limit := rng.IntN(j.MaxRuns + 1)
			var unfinished, expected []int
			for k := range tracked.Unfinished(limit) {
				unfinished = append(unfinished, k)
			}
			for k := range limit {
				if !done[k] {
					expected = append(expected, k)
				}
			}
			Expect(unfinished).To(Equal(expected), "seed %d", seed)
			Expect(tracked.UnfinishedTasks(0, limit)).To(Equal(2*len(expected)), "seed %d", seed)
			Expect(tracked.DoneTasks()).To(Equal(3*len(done)), "seed %d", seed)
			Expect(tracked.AllDone()).To(Equal(len(done) == j.MaxRuns))
		}
	})

	// Guards against a count of due occurrences that differs from their due times.
	It("counts the occurrences that are due", func() {
		for _, j := range []job.Job{scheduled(7), {MaxRuns: 3, FirstDueMS: -5}, {MaxRuns: 3, FirstDueMS: 10, Interval: 1e6}} {
			for now := int64(-10); now < 14_000; now++ {
				due := 0
				for k := range j.Occurrences() {
					if j.DueMS(k) <= now {
						due++
					}
				}
				Expect(j.DueOccurrences(now)).To(Equal(due))
			}
		}
		Expect((&job.Job{}).DueOccurrences(0)).To(Equal(1))
	})

	// Guards against overdue occurrences that are all in memory at once.
	It("may start as many tasks as a job without occurrences has at most", func() {
		j := scheduled(10_000)
		tracked, n := job.NewTrackedJob(j), 0
		for range tracked.Startable(1<<40, job.MaxTasksInProgress) {
			n++
		}
		Expect(n).To(Equal(job.MaxTasksInProgress / 3))
		n = 0
		for range tracked.Startable(1<<40, 0) {
			n++
		}
		Expect(n).To(Equal(1))
		for range tracked.Startable(999, job.MaxTasksInProgress) {
			Fail("not due yet")
		}
	})

	// Guards against a panic by an answer that arrives after a large job has ended.
	It("is not held after the job is released", func() {
		j := scheduled(100)
		tracked := job.NewTrackedJob(j)
		t := tasksOf(j, 5)[0]
		tracked.Task(t).LastRun = 2
		Expect(tracked.HeldTasks()).To(Equal(3))
		tracked.Release()
		Expect(tracked.HeldTasks()).To(BeZero())
		Expect(tracked.Valid(t)).To(BeFalse())
		tracked.Task(t).LastRun += 8
		Expect(tracked.HeldTasks()).To(BeZero())
		Expect(tracked.Tasks()).To(Equal(300))
	})
})
