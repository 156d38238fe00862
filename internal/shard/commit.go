package shard

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"samphirestile.example/samphirestile/internal/job"
	"samphirestile.example/samphirestile/internal/jobstore"
	"samphirestile.example/samphirestile/internal/monotonic"
	"samphirestile.example/samphirestile/internal/partition"
	"samphirestile.example/samphirestile/internal/store"
	"samphirestile.example/samphirestile/internal/worker"
)

const (
	// urgentBatchDelay lets concurrent calls of clients share a transaction.
	urgentBatchDelay = 4 * time.Millisecond
	// progressBatchDelay lets the ends of many tasks share a transaction. Only the
	// acknowledgement of ends waits for it, not the next start.
	progressBatchDelay = 60 * time.Millisecond
)

func (o *Owner) requestCommit() {
	select {
	case o.commits <- struct{}{}:
	default:
	}
}

func (o *Owner) commitLoop(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-o.commits:
		}
		o.waitForBatch(ctx)
		if err := o.commit(ctx); err != nil {
			o.Log.WithError(err).WithField("shard", o.Shard).Warn("records not written")
			monotonic.Sleep(ctx, retryDelay)
			o.requestCommit()
		}
	}
}

func (o *Owner) waitForBatch(ctx context.Context) {
	end := time.Now().Add(progressBatchDelay)
	for ctx.Err() == nil && time.Now().Before(end) {
		o.mu.Lock()
		urgent := o.urgent
		o.mu.Unlock()
		if urgent {
			monotonic.Sleep(ctx, urgentBatchDelay)
			return
		}
		t := time.NewTimer(time.Until(end))
		select {
		case <-ctx.Done():
		case <-o.commits:
		case <-t.C:
		}
		t.Stop()
	}
}

// batch is what one pass of commit writes.
type batch struct {
	writes   []store.Write
	removals []string
	jobs     []*jobEntry
	progress []*jobEntry
	finals   []*jobEntry
	expired  []job.ID
	workers  map[worker.ID]recordedWorker
	// dropsWorkers is set when workers lacks some that the record names.
	dropsWorkers bool
	depth        int
	processed    map[*session]completionNumber
}

// completionNumber is an end of one life of a worker.
type completionNumber struct {
	incarnation int
	sequence    int64
}

// commit writes all that has changed and then lets the ends be acknowledged.
func (o *Owner) commit(ctx context.Context) error {
	o.commitMu.Lock()
	defer o.commitMu.Unlock()
	o.mu.Lock()
	b, err := o.collect()
	o.mu.Unlock()
	if err != nil {
		return err
	}
	writes, removals := b.writes, b.removals
	for len(writes)+len(removals) > 0 {
		w := writes[:min(len(writes), jobstore.MaxBatch)]
		r := removals[:min(len(removals), jobstore.MaxBatch-len(w))]
		began := monotonic.Now()
		if err := o.chain.Commit(ctx, w, r); err != nil {
			o.mu.Lock()
			for _, e := range b.progress {
				e.dirty = true
			}
			o.urgent = true
			o.mu.Unlock()
			if errors.As(err, new(*jobstore.OwnershipLostError)) {
				// The successor decides from here on; what is open stays open.
				<-ctx.Done()
			}
			return fmt.Errorf("record progress: %w", err)
		}
		o.recordCommit(monotonic.Now().Sub(began))
		writes, removals = writes[len(w):], removals[len(r):]
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.applyCommitted(b)
	return nil
}

// collect gathers what is not recorded. Writes of jobs come before those of
// progress, so that a batch cut in two leaves no progress without its job.
func (o *Owner) collect() (*batch, error) {
	b := &batch{processed: map[*session]completionNumber{}}
	o.urgent = false
	now := time.Now().UnixMilli()
	var progress []store.Write
	for id, e := range o.jobs {
		if !e.stored && !e.live.Final.Final() {
			value, err := json.Marshal(e.live.Job)
			if err != nil {
				return nil, fmt.Errorf("encode job: %w", err)
			}
			b.writes = append(b.writes, store.Write{Key: jobstore.JobPrefix(o.Shard) + string(id), Value: value})
			b.jobs = append(b.jobs, e)
		}
		if e.dirty {
			value, err := e.live.EncodeProgress()
			if err != nil {
				return nil, err
			}
			e.dirty = false
			progress = append(progress, store.Write{Key: jobstore.ProgressPrefix(o.Shard) + string(id), Value: value})
			b.progress = append(b.progress, e)
			if e.live.Final.Final() {
				b.finals = append(b.finals, e)
				b.removals = append(b.removals, jobstore.JobPrefix(o.Shard)+string(id))
			}
		}
		if e.finalStored && e.live.EndedMS > 0 && now-e.live.EndedMS > o.Bounds.StatusRetention.Milliseconds()+retentionSlackMS {
			b.expired = append(b.expired, id)
			b.removals = append(b.removals, jobstore.ProgressPrefix(o.Shard)+string(id))
		}
	}
	b.writes = append(b.writes, progress...)
	if err := o.collectWorkers(b); err != nil {
		return nil, err
	}
	if o.partition.Depth != o.recordedDepth {
		// After all jobs that were accepted before the split: the new part's owner reads them.
		b.depth = o.partition.Depth
		b.writes = append(b.writes, store.Write{Key: o.PartitionKey, Value: partition.EncodeDepth(b.depth)})
	}
	for _, s := range o.sessions {
		b.processed[s] = completionNumber{s.life, s.seen}
	}
	return b, nil
}

// retentionSlackMS keeps records a little longer than promised, as the time of
// day that dates them may have jumped.
const retentionSlackMS = 10_000

// recordedWorker is a worker on which runs may be.
type recordedWorker struct {
	Address string `json:"address"`
	// Tasks are the only ones that may run there. A planned hand-over lists them for
	// workers that do not answer; nil means any task.
	Tasks []string `json:"tasks,omitempty"`
}

// UnmarshalJSON implements json.Unmarshaler. Earlier versions recorded the address alone.
func (w *recordedWorker) UnmarshalJSON(b []byte) error {
	if len(b) > 0 && b[0] == '"' {
		return json.Unmarshal(b, &w.Address)
	}
	type plain recordedWorker
	return json.Unmarshal(b, (*plain)(w))
}

// collectWorkers adds the record of the workers on which runs may be, if it is due.
// The next owner starts nothing that an earlier one may have started before all of
// them have answered, or their leases have ended.
//
// A batch may be cut in two. So a record with more workers is written first and
// drops none, and a record with fewer is written after the ends that were listed there.
func (o *Owner) collectWorkers(b *batch) error {
	workers := o.usedWorkers()
	// forAny reports whether runs of any task may be on a worker.
	forAny := func(id worker.ID) bool { w, ok := workers[id]; return ok && w.Tasks == nil }
	added, named := false, 0
	for id := range workers {
		if !forAny(id) {
			continue
		}
		named++
		if _, ok := o.recordedWorkers[id]; !ok {
			added = true
		}
	}
	switch {
	case added:
		for _, former := range []map[worker.ID]string{o.recordedWorkers, o.leaving} {
			for id, address := range former {
				if !forAny(id) {
					workers[id] = recordedWorker{Address: address}
				}
			}
		}
	case named == len(o.recordedWorkers)+len(o.leaving):
		return nil
	case len(b.writes) == 0 && !o.closed:
		// Workers that have left are dropped when other records are written as well.
		return nil
	default:
		b.dropsWorkers = true
		for id, address := range o.recordedWorkers {
			// A worker that comes back takes nothing before it is recorded anew.
			if !forAny(id) {
				delete(o.recordedWorkers, id)
				o.leaving[id] = address
			}
		}
	}
	value, err := json.Marshal(workers)
	if err != nil {
		return fmt.Errorf("encode workers: %w", err)
	}
	b.workers = workers
	record := store.Write{Key: jobstore.WorkersKey(o.Shard), Value: value}
	if b.dropsWorkers {
		b.writes = append(b.writes, record)
	} else {
		b.writes = append([]store.Write{record}, b.writes...)
	}
	return nil
}

// usedWorkers returns the workers on which runs may be.
func (o *Owner) usedWorkers() map[worker.ID]recordedWorker {
	workers := map[worker.ID]recordedWorker{}
	for id, s := range o.sessions {
		switch w := (recordedWorker{Address: s.Address}); {
		case !o.closed:
			workers[id] = w
		case len(s.runs) > 0:
			// Nothing more starts on a shard that is handed over.
			if !s.reachable {
				w.Tasks = s.tasks()
			}
			workers[id] = w
		}
	}
	for id, w := range o.uncontacted {
		workers[id] = w
	}
	return workers
}

// tasks names the tasks of the runs, without duplicates.
func (s *session) tasks() []string {
	seen := map[string]bool{}
	tasks := []string{}
	for key := range s.runs {
		if name := key.task.String(); !seen[name] {
			seen[name] = true
			tasks = append(tasks, name)
		}
	}
	return tasks
}

// applyCommitted notes that a batch is recorded. The caller holds mu.
func (o *Owner) applyCommitted(b *batch) {
	for _, e := range b.jobs {
		e.stored, e.noReadyTasks = true, false
		close(e.recorded)
	}
	for _, e := range b.finals {
		if !e.finalStored {
			e.finalStored = true
			e.stored = true
			close(e.ended)
			select {
			case <-e.recorded:
			default:
				close(e.recorded)
			}
		}
	}
	for _, id := range b.expired {
		delete(o.jobs, id)
	}
	if b.depth != 0 {
		o.recordedDepth = b.depth
		o.Log.WithFields(logrus.Fields{"shard": o.Shard, "token": o.Token, "depth": b.depth, "jobs": len(o.jobs), "workers": len(o.sessions)}).Info("shard split")
	}
	if b.workers != nil {
		o.applyCommittedWorkers(b)
		o.schedule()
	}
	for s, n := range b.processed {
		if n.incarnation == s.life && n.sequence > s.durable {
			s.durable = n.sequence
			s.poke()
		}
	}
	if len(b.jobs) > 0 {
		o.schedule()
	}
}

// applyCommittedWorkers notes which workers the record names. The caller holds mu.
func (o *Owner) applyCommittedWorkers(b *batch) {
	if b.dropsWorkers {
		clear(o.leaving)
	}
	clear(o.recordedWorkers)
	for id, w := range b.workers {
		if _, leaves := o.leaving[id]; w.Tasks != nil || (leaves && o.sessions[id] == nil) {
			continue
		}
		delete(o.leaving, id)
		o.recordedWorkers[id] = w.Address
	}
}
