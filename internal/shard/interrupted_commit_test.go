package shard_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"samphirestile.example/samphirestile/internal/emulator/cluster"
	"samphirestile.example/samphirestile/internal/job"
	"samphirestile.example/samphirestile/internal/jobstore"
	"samphirestile.example/samphirestile/internal/store"
	"samphirestile.example/samphirestile/internal/worker"
)

// limitedStore commits a given number of transactions of the shard's records and is unreachable from then on.
type limitedStore struct {
	store.Transactional

	mu      sync.Mutex
	limited bool
	left    int
}

func (s *limitedStore) limit(transactions int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limited, s.left = true, transactions
}

func (s *limitedStore) Commit(ctx context.Context, t store.Transaction) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.limited && s.left == 0 {
		return 0, &store.UnavailableError{Cause: errors.New("cut")}
	}
	revision, err := s.Transactional.Commit(ctx, t)
	if s.limited && err == nil {
		s.left--
	}
	return revision, err
}

// limitStore lets the owners that are started from then on commit through a limitedStore.
func (f *fixture) limitStore() *limitedStore {
	s := &limitedStore{Transactional: f.store}
	f.wrapStore = func(store.Transactional) store.Transactional { return s }
	return s
}

// recordKeys returns the keys of the shard's records with a prefix.
func (f *fixture) recordKeys(prefix string) []string {
	entries, _, err := f.store.List(context.Background(), prefix)
	Expect(err).NotTo(HaveOccurred())
	keys := []string{}
	for _, e := range entries {
		keys = append(keys, e.Key)
	}
	return keys
}

const (
	// recordRetention exceeds the time for which the records of ended jobs are kept.
	recordRetention = 80 * time.Second
	// interruptedJobs is the number of jobs that end at once; their final states take several transactions.
	interruptedJobs = 4 * jobstore.MaxBatch
	// mostTransactions exceeds the number of transactions of one commit of that many jobs.
	mostTransactions = 10
)

// large is the capacity of a worker that runs one job at a time.
var large = worker.Resources{CPU: 64_000, MemMB: 8000}

var _ = Describe("jobs that end in one commit", func() {
	// Guards against ended jobs that start again when an owner ends between the transactions of a commit, so that a job's
	// own record outlives its final state.
	for committed := range mostTransactions {
		for repaired := range 3 {
			simulatedIt(fmt.Sprintf("do not start again after an owner that wrote %d transactions and one that wrote %d", committed, repaired), func(f *fixture) {
				f.workers.Add(worker.Worker{
					ID: "large", Service: service, Address: "large:1", Capacity: large, Labels: []string{"a", "r1"},
				})
				limited := f.limitStore()
				o := f.startOwner()
				blocker := testJob(interruptedJobs+1, job.Step{Need: large, LongRunning: true})
				f.setBehaviour(string(blocker.ID)+".0.0.0", cluster.Behaviour{Duration: time.Hour})
				o.submit(blocker)
				time.Sleep(time.Second)
				// Half of the jobs wait for the large worker and are cancelled; the others complete.
				var cancelled []job.ID
				for n := range interruptedJobs {
					step := job.Step{Need: worker.Resources{CPU: 100, MemMB: 10}}
					if n%2 == 0 {
						step.Need = large
					}
					j := testJob(n+1, step)
					if n%2 == 0 {
						cancelled = append(cancelled, j.ID)
					} else {
						f.setBehaviour(string(j.ID)+".0.0.0", cluster.Behaviour{Duration: 3 * time.Second})
					}
					o.submit(j)
				}
				time.Sleep(3030 * time.Millisecond)
				limited.limit(committed)
				var group sync.WaitGroup
				cancel := func(o *owner, id job.ID) error {
					ctx, stop := context.WithTimeout(context.Background(), time.Second)
					defer stop()
					return o.Cancel(ctx, id)
				}
				for _, id := range cancelled {
					group.Go(func() { _ = cancel(o, id) }) // repeated below
				}
				group.Wait()
				o.stop()

				limited = f.limitStore()
				limited.limit(repaired)
				o = f.startOwner()
				time.Sleep(2 * time.Second)
				o.stop()

				f.limitStore()
				o = f.startOwner()
				for _, id := range cancelled {
					Expect(cancel(o, id)).To(Succeed())
				}
				time.Sleep(20 * time.Second)
				Expect(f.recordKeys(jobstore.JobPrefix("quoter"))).To(ConsistOf(HaveSuffix(string(blocker.ID))))
				time.Sleep(recordRetention)
				Expect(cancel(o, blocker.ID)).To(Succeed())
				o.stop()
				f.startOwner()
				time.Sleep(5 * time.Second)
				for _, id := range cancelled {
					Expect(f.workers.History.Starts(string(id) + ".0.0.0")).To(BeZero())
				}
				Expect(cluster.Check(f.workers.History.Events(), cluster.Expectation{})).To(BeEmpty())
			})
		}
	}
})

var _ = Describe("a job record that an earlier version left beside a final state", func() {
	leave := func(f *fixture, ended time.Time) job.ID {
		j := testJob(1, job.Step{})
		tracked := job.NewTrackedJob(j)
		tracked.FinalState, tracked.EndedMS = job.Cancelled, ended.UnixMilli()
		progress, err := tracked.EncodeProgress()
		Expect(err).NotTo(HaveOccurred())
		record, err := json.Marshal(j)
		Expect(err).NotTo(HaveOccurred())
		_, err = f.store.Commit(context.Background(), store.Transaction{Writes: []store.Write{
			{Key: jobstore.JobPrefix("quoter") + string(j.ID), Value: record}, {Key: jobstore.ProgressPrefix("quoter") + string(j.ID), Value: progress},
		}})
		Expect(err).NotTo(HaveOccurred())
		return j.ID
	}
	// Guards against an ended job that starts again after its final state has expired.
	simulatedIt("is removed by the next owner, which keeps the final state", func(f *fixture) {
		id := leave(f, time.Now())
		o := f.startOwner()
		time.Sleep(time.Second)
		Expect(f.recordKeys(jobstore.JobPrefix("quoter"))).To(BeEmpty())
		Expect(o.state(id)).To(Equal("cancelled"))
	})
	// Guards against a final state that is removed as expired before the job's own record.
	simulatedIt("is removed together with an expired final state", func(f *fixture) {
		leave(f, time.Now().Add(-time.Hour))
		records := &recordingStore{Transactional: f.store}
		f.wrapStore = func(store.Transactional) store.Transactional { return records }
		f.startOwner()
		time.Sleep(time.Second)
		Expect(f.recordKeys("samphirestile/job/")).To(BeEmpty())
		Expect(f.recordKeys("samphirestile/progress/")).To(BeEmpty())
		first := records.first(func(t store.Transaction) bool { return len(t.Removals) > 0 })
		Expect(first).To(BeNumerically(">=", 0))
		Expect(strings.Join(records.committed[first].Removals, " ")).To(And(ContainSubstring("/job/"), ContainSubstring("/progress/")))
	})
})
