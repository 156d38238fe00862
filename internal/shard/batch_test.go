package shard_test

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"samphirestile.example/samphirestile/internal/job"
	"samphirestile.example/samphirestile/internal/jobstore"
	"samphirestile.example/samphirestile/internal/store"
)

// recordingStore keeps the transactions that it commits.
type recordingStore struct {
	store.Transactional

	mu        sync.Mutex
	committed []store.Transaction
}

func (s *recordingStore) Commit(ctx context.Context, t store.Transaction) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	revision, err := s.Transactional.Commit(ctx, t)
	if err == nil {
		s.committed = append(s.committed, t)
	}
	return revision, err
}

// first returns the index of the first committed transaction that the function selects, or -1.
func (s *recordingStore) first(selects func(store.Transaction) bool) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.IndexFunc(s.committed, selects)
}

var _ = Describe("the record of a job", func() {
	// Guards against an accepted job that is lost with its owner between two transactions of one batch.
	simulatedIt("is removed no sooner than the job's final state is recorded", func(f *fixture) {
		records := &recordingStore{Transactional: f.store}
		f.wrapStore = func(store.Transactional) store.Transactional { return records }
		o := f.startServiceOwner(service)
		ended := testJob(1, job.Step{LongRunning: true})
		o.submit(ended)
		// These jobs take two transactions: each needs the condition on the binding of its own queue.
		var group sync.WaitGroup
		for n := range jobstore.MaxBatch {
			j := testJob(n+2, job.Step{})
			j.QueueAddress, j.ConfigVersion = fmt.Sprintf("jobs.example/%d/", n), 1
			group.Go(func() { o.submit(j) })
		}
		group.Go(func() { Expect(o.Cancel(context.Background(), ended.ID)).To(Succeed()) })
		group.Wait()
		time.Sleep(time.Second)
		key := jobstore.JobPrefix("quoter") + string(ended.ID)
		final := jobstore.ProgressPrefix("quoter") + string(ended.ID)
		removed := records.first(func(t store.Transaction) bool { return slices.Contains(t.Removals, key) })
		recorded := records.first(func(t store.Transaction) bool {
			return slices.ContainsFunc(t.Writes, func(w store.Write) bool {
				return w.Key == final && strings.Contains(string(w.Value), string(job.Cancelled))
			})
		})
		Expect(recorded).To(BeNumerically(">=", 0))
		Expect(removed).To(BeNumerically(">=", recorded))
	})
})
