package job_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"samphirestile.example/samphirestile/internal/job"
	"samphirestile.example/samphirestile/internal/store"
	"samphirestile.example/samphirestile/internal/worker"
)

const validID = "0123456789abcdef"

// invalidRecords are values of other writers below the keys of jobs.
var invalidRecords = map[string]string{
	"null":                         `null`,
	"array":                        `[]`,
	"no steps":                     `{"id":"` + validID + `"}`,
	"no ID":                        `{"steps":[{"count":1}]}`,
	"ID of another form":           `{"id":"x","steps":[{"count":1}]}`,
	"step after a missing one":     `{"id":"` + validID + `","steps":[{"count":1,"after":[7]}]}`,
	"step after a negative one":    `{"id":"` + validID + `","steps":[{"count":1,"after":[-1]}]}`,
	"step after itself":            `{"id":"` + validID + `","steps":[{"count":1,"after":[0]}]}`,
	"negative count":               `{"id":"` + validID + `","steps":[{"count":-1}]}`,
	"count beyond int64":           `{"id":"` + validID + `","steps":[{"count":99999999999999999999}]}`,
	"a billion tasks":              `{"id":"` + validID + `","steps":[{"count":1000000000}]}`,
	"need as a string":             `{"id":"` + validID + `","steps":[{"count":1,"need":{"cpu":"8"}}]}`,
	"a billion runs":               `{"id":"` + validID + `","max_runs":1000000000,"steps":[{"count":1}]}`,
	"runs whose product overflows": `{"id":"` + validID + `","max_runs":9223372036854775807,"steps":[{"count":2}]}`,
	"nested arrays":                strings.Repeat("[", 1<<20),
	"trailing bytes":               `{"id":"` + validID + `","steps":[{"count":1}]} x`,
	"invalid UTF-8":                "\xff\x00",
}

var _ = Describe("records of jobs", func() {
	It("that describe no job are rejected", func() {
		for name, value := range invalidRecords {
			var j job.Job
			Expect(json.Unmarshal([]byte(value), &j)).NotTo(Succeed(), name)
		}
	})
	It("of earlier versions are limited to the bounds and not lost", func() {
		var j job.Job
		Expect(json.Unmarshal([]byte(`{"id":"`+validID+`","stretch":1e300,"interval":9223372036854775807,"max_runs":10000,"first_due_ms":9223372036854775807,"steps":[
			{"count":1,"need":{"cpu":9223372036854775807,"mem_mb":5},"estimate":9223372036854775807},{"count":1,"after":[0],"estimate":9223372036854775807}]}`), &j)).To(Succeed())
		Expect(j.Validate()).To(Succeed())
		Expect(j.Steps[0].Need).To(Equal(worker.Resources{CPU: worker.MaxResource, MemMB: 5}))
		path := j.CriticalPath(func(s *job.Step) time.Duration { return s.Estimate })
		Expect(time.Duration(j.Stretch*float64(path))).To(BeNumerically(">", 0), "the objective must not overflow")
		Expect(j.DueMS(9999)).To(BeNumerically(">=", j.DueMS(0)))
	})
	DescribeTable("whose numbers would overflow are refused on submission", func(change func(*job.Job)) {
		j := job.Job{ID: validID, Steps: []job.Step{{Count: 1}, {Count: 1, After: []int{0}}}}
		Expect(j.Validate()).To(Succeed())
		change(&j)
		Expect(errors.As(j.Validate(), new(*job.InvalidError))).To(BeTrue())
	},
		Entry("need", func(j *job.Job) { j.Steps[0].Need.CPU = 1 << 62 }),
		Entry("estimate", func(j *job.Job) { j.Steps[0].Estimate = 1 << 62 }),
		Entry("negative estimate", func(j *job.Job) { j.Steps[0].Estimate = -time.Hour }),
		Entry("critical path", func(j *job.Job) { j.Steps[0].Estimate, j.Steps[1].Estimate = 300*24*time.Hour, 300*24*time.Hour }),
		Entry("interval", func(j *job.Job) { j.MaxRuns, j.Interval = 2, 1<<62 }),
		Entry("label", func(j *job.Job) { j.Steps[0].RequiredLabel = strings.Repeat("<", 200_000) }),
		Entry("dependencies", func(j *job.Job) { j.Steps[1].After = make([]int, 100_000) }),
		Entry("first occurrence", func(j *job.Job) { j.MaxRuns, j.FirstDueMS = 2, 1<<62 }),
	)
})

// Guards against a job whose record the store does not accept: the batch with it would be repeated
// for ever, and no other record of the shard would be written.
var _ = It("the record of the largest job fits into a value of the store", func() {
	j := job.Job{ID: validID, Spec: strings.Repeat("<", 4000)}
	for i := range 256 {
		j.Steps = append(j.Steps, job.Step{
			Count: 78, Need: worker.Resources{CPU: worker.MaxResource, MemMB: worker.MaxResource, GPU: worker.MaxResource}, Estimate: 24 * time.Hour,
			RequiredLabel: strings.Repeat("<", 256), Checkpointing: true, Gang: true, SameRack: true, Speculative: true, LongRunning: true, BestEffort: true,
			MaxPerWorker: 1 << 62, MaxUnavailable: 1 << 62, TailLatencyTarget: time.Hour,
		})
		for range min(i, 1) * 256 {
			j.Steps[i].After = append(j.Steps[i].After, i-1)
		}
	}
	Expect(j.Validate()).To(Succeed())
	record, err := json.Marshal(j)
	Expect(err).NotTo(HaveOccurred())
	Expect(len(record)).To(BeNumerically("<", store.MaxValueBytes))
	j.Steps[0].Image = "x"
	Expect(j.Validate()).NotTo(Succeed())
})

// As above, for the progress of the job with the most tasks.
var _ = It("the progress of a job of many occurrences fits into a value of the store", func() {
	j := job.Job{ID: validID, MaxRuns: 10_000, Steps: []job.Step{{Count: 9}, {Count: 1, After: []int{0}}}}
	Expect(j.Validate()).To(Succeed())
	tracked := job.NewTrackedJob(j)
	for k := range j.MaxRuns {
		for s, step := range j.Steps {
			for i := range step.Count {
				t := job.TaskID{Job: validID, Occurrence: k, Step: s, Index: i}
				task := tracked.Task(t)
				task.LastRun, task.Checkpoint = 123, "x"
				if k%100 != 7 {
					tracked.MarkDone(t)
				}
			}
		}
	}
	record, err := tracked.EncodeProgress()
	Expect(err).NotTo(HaveOccurred())
	Expect(len(record)).To(BeNumerically("<", store.MaxValueBytes))
	restored := job.NewTrackedJob(j)
	Expect(restored.DecodeProgress(record)).To(Succeed())
	for k := range j.MaxRuns {
		Expect(restored.OccurrenceDone(k)).To(Equal(k%100 != 7))
	}
	Expect(restored.Task(job.TaskID{Job: validID, Occurrence: 7}).LastRun).To(Equal(123))
	again, err := restored.EncodeProgress()
	Expect(err).NotTo(HaveOccurred())
	Expect(again).To(MatchJSON(record))
})

var _ = Describe("progress records that cannot be used", func() {
	It("change nothing", func() {
		for _, value := range []string{
			`null`, `[]`, `{"final":"banana"}`, `{"tasks":{"0.0.0":{"r":-1}}}`, `{"tasks":{"0.0.0":{"r":9223372036854775807}}}`,
			`{"tasks":{"0.0.0":{"f":[9223372036854775807]}}}`, `{"tasks":{"0.0.+0":{"r":1}}}`, `{"tasks":{"0.0.00":{"r":1}}}`, `{"tasks":{"0.0":{"r":1}}}`,
			`{"final":"completed","started":true,"tasks":{"0.0.0":{"d":true,"r":1},"0.9.0":{"r":1}}}`, `{"final":"completed","tasks":{"5.0.0":{"r":1}}}`,
			`{"done":[[-1,0]]}`, `{"done":[[0,1]]}`, `{"done":[[1,0]]}`, `{"done":[[0,9223372036854775807]]}`, `{"done":[[0,0],[0,0]]}`, `{"done":[5]}`,
		} {
			tracked := job.NewTrackedJob(job.Job{ID: validID, Steps: []job.Step{{Count: 2}}})
			Expect(errors.As(tracked.DecodeProgress([]byte(value)), new(*job.RecordError))).To(BeTrue(), value)
			Expect(tracked.FinalState).To(BeEmpty(), value)
			Expect(tracked.Begun).To(BeFalse(), value)
			Expect(*tracked.Task(job.TaskID{Job: validID})).To(Equal(job.Task{}), value)
		}
	})
})

var _ = It("a task name in another spelling is no task name", func() {
	for _, name := range []string{"a.+0.0.0", "a.00.0.0", "a.-0.0.0", "a..0.0", "a.0.0", "a.0.0.0.0", "a.0x1.0.0", "a.9223372036854775808.0.0", strings.Repeat("9", 1<<16)} {
		_, err := job.ParseTaskID(name)
		Expect(err).To(HaveOccurred(), name)
		Expect(len(err.Error())).To(BeNumerically("<", 500))
	}
})

// Guards against records of another writer that make the owner of a shard panic.
func FuzzRecords(f *testing.F) {
	for _, value := range invalidRecords {
		if len(value) < 1000 {
			f.Add([]byte(value), []byte(`{"final":"completed"}`))
		}
	}
	f.Add([]byte(`{"id":"`+validID+`","max_runs":3,"stretch":2,"steps":[{"count":2,"estimate":5,"gang":true},{"count":1,"after":[0],"long_running":true}]}`),
		[]byte(`{"started":true,"tasks":{"0.0.0":{"d":true,"r":3,"f":[1,2]},"2.1.0":{"r":1,"c":"x"}}}`))
	f.Fuzz(func(t *testing.T, record, progress []byte) {
		var j job.Job
		if json.Unmarshal(record, &j) != nil {
			return
		}
		if err := j.Validate(); err != nil {
			t.Fatalf("decoded an invalid job: %v", err)
		}
		path := j.CriticalPath(func(s *job.Step) time.Duration { return s.Estimate })
		if path < 0 || time.Duration(j.Stretch*float64(path))+j.Objective < 0 {
			t.Fatalf("critical path %v times %v overflows", path, j.Stretch)
		}
		tracked := job.NewTrackedJob(j)
		if tracked.DecodeProgress(progress) != nil {
			return
		}
		for k := range min(j.Occurrences(), 3) {
			for i := range j.Steps {
				tracked.StepReady(k, i)
			}
		}
		encoded, err := tracked.EncodeProgress()
		if err != nil {
			t.Fatal(err)
		}
		again := job.NewTrackedJob(j)
		if err := again.DecodeProgress(encoded); err != nil {
			t.Fatalf("%s: %v", encoded, err)
		}
		if reencoded, _ := again.EncodeProgress(); !bytes.Equal(encoded, reencoded) {
			t.Fatalf("%s became %s", encoded, reencoded)
		}
	})
}
