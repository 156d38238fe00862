package shard

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
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
	// urgentBatchDelay lets concurrent client calls share a transaction.
	urgentBatchDelay = 4 * time.Millisecond
	// progressBatchDelay lets the completions of many tasks share a transaction. It delays only the
	// acknowledgement of completions, not the next start.
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
	deadline := time.Now().Add(progressBatchDelay)
	for ctx.Err() == nil && time.Now().Before(deadline) {
		o.mu.Lock()
		urgent := o.urgent
		o.mu.Unlock()
		if urgent {
			monotonic.Sleep(ctx, urgentBatchDelay)
			return
		}
		t := time.NewTimer(time.Until(deadline))
		select {
		case <-ctx.Done():
		case <-o.commits:
		case <-t.C:
		}
		t.Stop()
	}
}

// change is a part of a commit that is applied in one transaction.
type change struct {
	writes   []store.Write
	removals []string
	// first is the job whose first record this is, which requires that its queue is bound to the shard's
	// service; nil for other records.
	first *jobEntry
}

func (c change) entries() int { return len(c.writes) + len(c.removals) }

func putChange(key string, value []byte) change {
	return change{writes: []store.Write{{Key: key, Value: value}}}
}

// batch holds the changes of one commit. A commit may take several transactions, and an owner may end after
// any of them, so the records must be consistent after each change.
type batch struct {
	changes  []change
	jobs     []*jobEntry
	progress []*jobEntry
	finals   []*jobEntry
	expired  []job.ID
	// repaired are the jobs whose own record is removed because their final state was recorded without that.
	repaired []*jobEntry
	workers  map[worker.ID]recordedWorker
	// dropsWorkers is set when workers lacks some that the stored record names.
	dropsWorkers bool
	depth        int
	processed    map[*session]completionNumber
}

// completionNumber identifies a completion within one incarnation of a worker.
type completionNumber struct {
	incarnation int
	sequence    int64
}

// commit writes all changes and then allows completions to be acknowledged.
func (o *Owner) commit(ctx context.Context) error {
	o.commitMu.Lock()
	defer o.commitMu.Unlock()
	for attempt := 1; ; attempt++ {
		// Jobs whose queues are not bound yet wait; all other changes are written.
		bindErr := o.bindQueues(ctx)
		err := o.commitChanges(ctx)
		if !errors.As(err, new(*jobstore.PreconditionError)) || ctx.Err() != nil || attempt == maxBindAttempts {
			return errors.Join(bindErr, err)
		}
	}
}

// commitChanges writes all changes. After a *jobstore.PreconditionError the bindings of some queues have changed,
// and the jobs that were not recorded for that reason have none.
func (o *Owner) commitChanges(ctx context.Context) error {
	o.mu.Lock()
	b, err := o.collect()
	wantsRevision := o.wantsRevision
	o.mu.Unlock()
	if err != nil {
		return err
	}
	if len(b.changes) == 0 && wantsRevision {
		if err := o.chain.Commit(ctx, nil, nil); err != nil {
			if errors.As(err, new(*jobstore.OwnershipLostError)) {
				<-ctx.Done()
			}
			return fmt.Errorf("write the chain of shard %s for a revision: %w", o.Shard, err)
		}
	}
	for changes := b.changes; len(changes) > 0; {
		o.mu.Lock()
		next, conditions := o.nextTransaction(changes)
		o.mu.Unlock()
		writes, removals := operations(next)
		began := monotonic.Now()
		if err := o.chain.Commit(ctx, writes, removals, conditions...); err != nil {
			o.mu.Lock()
			for _, e := range b.progress {
				e.dirty = true
			}
			o.urgent = true
			o.mu.Unlock()
			if errors.As(err, new(*jobstore.OwnershipLostError)) {
				// The successor decides from here on; unknown outcomes stay unknown here.
				<-ctx.Done()
			}
			var failed *jobstore.PreconditionError
			if errors.As(err, &failed) {
				if readErr := o.rebind(ctx, next, failed); readErr != nil {
					err = readErr
				}
			}
			return fmt.Errorf("write %d records and remove %d: %w", len(writes), len(removals), err)
		}
		o.recordCommit(monotonic.Now().Sub(began))
		o.mu.Lock()
		for _, written := range next {
			if written.first != nil {
				written.first.recorded = true
			}
		}
		o.mu.Unlock()
		changes = changes[len(next):]
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.applyCommitted(b)
	o.wantsRevision = false
	for _, s := range o.sessions {
		s.fenceUnansweredStarts()
	}
	return nil
}

// nextTransaction returns the first changes that fit into one transaction together with their conditions. The
// caller holds mu.
func (o *Owner) nextTransaction(changes []change) ([]change, []store.Condition) {
	n, entries := 0, 0
	for n < len(changes) && entries+changes[n].entries() <= jobstore.MaxBatch {
		entries += changes[n].entries()
		n++
	}
	for ; ; n-- {
		conditions := o.bindingConditions(changes[:n])
		if entries+len(conditions) <= jobstore.MaxBatch || n <= 1 {
			return changes[:n], conditions
		}
		entries -= changes[n-1].entries()
	}
}

// operations returns the writes and removals of changes.
func operations(changes []change) (writes []store.Write, removals []string) {
	for _, c := range changes {
		writes = append(writes, c.writes...)
		removals = append(removals, c.removals...)
	}
	return writes, removals
}

// collect gathers unrecorded changes. Jobs are written before progress, so that a batch split over
// two transactions leaves no progress without its job.
func (o *Owner) collect() (*batch, error) {
	b := &batch{processed: map[*session]completionNumber{}}
	o.urgent = false
	now := time.Now().UnixMilli()
	var progress []change
	// splitWaits is set if a job that was accepted before the split is not in this batch.
	unbound, splitWaits := false, false
	for id, e := range o.jobs {
		var first *jobEntry
		if o.needsBinding(e) {
			if e.bindingRevision == 0 {
				unbound = true
				splitWaits = splitWaits || !o.partition.Contains(id)
				continue
			}
			first = e
		}
		if !e.stored && !e.job.FinalState.IsFinal() {
			value, err := json.Marshal(e.job.Job)
			if err != nil {
				return nil, fmt.Errorf("encode job %s: %w", id, err)
			}
			c := putChange(jobstore.JobPrefix(o.Shard)+string(id), value)
			c.first = first
			b.changes = append(b.changes, c)
			b.jobs = append(b.jobs, e)
		}
		if e.dirty {
			value, err := e.job.EncodeProgress()
			if err != nil {
				return nil, err
			}
			e.dirty = false
			c := putChange(jobstore.ProgressPrefix(o.Shard)+string(id), value)
			c.first = first
			if e.job.FinalState.IsFinal() {
				b.finals = append(b.finals, e)
				// The final state expires. A job's own record that outlived it would make the job a new one.
				c.removals = []string{jobstore.JobPrefix(o.Shard) + string(id)}
			}
			progress = append(progress, c)
			b.progress = append(b.progress, e)
		}
		var removals []string
		if e.finalStored && e.recordLeft {
			b.repaired = append(b.repaired, e)
			removals = append(removals, jobstore.JobPrefix(o.Shard)+string(id))
		}
		if e.finalStored && e.job.EndedMS > 0 && now-e.job.EndedMS > o.Bounds.StatusRetention.Milliseconds()+retentionSlackMS {
			b.expired = append(b.expired, id)
			removals = append(removals, jobstore.ProgressPrefix(o.Shard)+string(id))
		}
		if len(removals) > 0 {
			progress = append(progress, change{removals: removals})
		}
	}
	if unbound {
		// They arrived after bindQueues, or their queues could not be bound.
		o.urgent = true
		o.requestCommit()
	}
	b.changes = append(b.changes, progress...)
	if err := o.collectWorkers(b); err != nil {
		return nil, err
	}
	if o.partition.Depth != o.recordedDepth && !splitWaits {
		// Written after all jobs that were accepted before the split: the new partition's owner
		// reads them.
		b.depth = o.partition.Depth
		b.changes = append(b.changes, putChange(o.PartitionKey, partition.EncodeDepth(b.depth)))
	}
	for _, s := range o.sessions {
		b.processed[s] = completionNumber{s.incarnation, s.processed}
	}
	return b, nil
}

// retentionSlackMS keeps records longer than guaranteed, because they are dated by the wall clock,
// which may have jumped.
const retentionSlackMS = 10_000

// recordedWorker is a worker on which runs may exist.
type recordedWorker struct {
	Address string `json:"address"`
	// BornMS is the start of the incarnation of which the owner knows the clock, in Unix milliseconds; 0 if it has not
	// answered the owner yet.
	BornMS int64 `json:"born_ms,omitempty"`
	// LongLease is set while a command with a lease by the clock of a former incarnation may take effect, or hold.
	LongLease bool `json:"long_lease,omitempty"`
	// Tasks are the only tasks that may run there. A planned handover lists them for workers that
	// do not respond; nil means any task.
	Tasks []string `json:"tasks,omitempty"`
	// Stopping are the tasks whose runs there may go on for the stop grace after a planned handover without being listed.
	Stopping []string `json:"stopping,omitempty"`
}

// UnmarshalJSON implements json.Unmarshaler. It also accepts the format of earlier versions, which
// recorded only the address.
func (w *recordedWorker) UnmarshalJSON(b []byte) error {
	if len(b) > 0 && b[0] == '"' {
		return json.Unmarshal(b, &w.Address)
	}
	type plain recordedWorker
	return json.Unmarshal(b, (*plain)(w))
}

// collectWorkers adds the record of the workers on which runs may exist, if it is due. The next
// owner does not start a task that an earlier owner may have started until all these workers
// have responded or their leases have expired.
//
// A batch may be split over two transactions. A record that adds workers is therefore written first
// and drops none; a record that only drops workers is written after the completions that they
// listed.
func (o *Owner) collectWorkers(b *batch) error {
	o.handedOver = o.closed
	workers := o.usedWorkers()
	// forAny reports whether runs of any task may exist on a worker.
	forAny := func(id worker.ID) bool { w, ok := workers[id]; return ok && w.Tasks == nil }
	added, outdated, named := false, false, 0
	for id, w := range workers {
		if !forAny(id) {
			continue
		}
		named++
		recorded, ok := o.recordedWorkers[id]
		added = added || !ok || recorded.needsUpdate(w)
		outdated = outdated || recorded.LongLease && !w.LongLease || len(w.Stopping) > 0
	}
	switch {
	case added:
		for _, former := range []map[worker.ID]recordedWorker{o.recordedWorkers, o.leaving} {
			for id, w := range former {
				if !forAny(id) {
					workers[id] = w
				}
			}
		}
	case named == len(o.recordedWorkers)+len(o.leaving) && !outdated:
		return nil
	case len(b.changes) == 0 && !o.closed:
		// Departed workers are dropped only together with other writes.
		return nil
	default:
		b.dropsWorkers = true
		for id, w := range o.recordedWorkers {
			// A worker that returns gets no runs before it is recorded again.
			if !forAny(id) {
				delete(o.recordedWorkers, id)
				o.leaving[id] = w
			}
		}
	}
	value, err := json.Marshal(workers)
	if err != nil {
		return fmt.Errorf("encode record of %d workers: %w", len(workers), err)
	}
	b.workers = workers
	c := putChange(jobstore.WorkersKey(o.Shard), value)
	if b.dropsWorkers {
		b.changes = append(b.changes, c)
	} else {
		b.changes = append([]change{c}, b.changes...)
	}
	return nil
}

// usedWorkers returns the workers on which runs may exist.
func (o *Owner) usedWorkers() map[worker.ID]recordedWorker {
	workers := map[worker.ID]recordedWorker{}
	now := monotonic.Now()
	for id, s := range o.sessions {
		switch w := (recordedWorker{Address: s.addressToRecord(), BornMS: s.incarnationStartMS, LongLease: s.mayHoldLongLease(now)}); {
		case !o.closed:
			workers[id] = w
		case len(s.runs) > 0 || s.hasLateStarts():
			// No runs are started during a handover.
			if !s.reachable {
				w.Tasks = s.tasks()
			}
			w.Stopping = s.stoppingTasks()
			workers[id] = w
		}
	}
	for id, w := range o.uncontacted {
		workers[id] = w
	}
	return workers
}

// tasks returns the tasks of the runs and of starts that may still take effect, without duplicates.
func (s *session) tasks() []string {
	seen := map[string]bool{}
	tasks := []string{}
	keys := slices.Collect(maps.Keys(s.runs))
	for key, l := range s.lateStarts {
		if !s.holds(l.stopAccepted) {
			keys = append(keys, key)
		}
	}
	for _, key := range keys {
		if name := key.task.String(); !seen[name] {
			seen[name] = true
			tasks = append(tasks, name)
		}
	}
	return tasks
}

// applyCommitted updates the state after a batch was recorded. The caller holds mu.
func (o *Owner) applyCommitted(b *batch) {
	for _, e := range b.jobs {
		e.stored, e.noReadyTasks = true, false
		close(e.storedChan)
	}
	for _, e := range b.finals {
		if !e.finalStored {
			e.finalStored = true
			e.stored = true
			close(e.finalStoredChan)
			select {
			case <-e.storedChan:
			default:
				close(e.storedChan)
			}
		}
		e.releaseIfEnded()
	}
	for _, e := range b.repaired {
		e.recordLeft = false
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
	for s, last := range b.processed {
		if last.incarnation == s.incarnation && last.sequence > s.durable {
			s.durable = last.sequence
			s.notify()
		}
	}
	if len(b.jobs) > 0 {
		o.schedule()
	}
}

// applyCommittedWorkers updates which workers the stored record names. The caller holds mu.
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
		o.recordedWorkers[id] = w
	}
}
