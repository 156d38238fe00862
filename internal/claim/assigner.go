package claim

import (
	"context"
	"errors"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"samphirestile.example/samphirestile/internal/monotonic"
	"samphirestile.example/samphirestile/internal/partition"
	"samphirestile.example/samphirestile/internal/store"
	"samphirestile.example/samphirestile/internal/worker"
)

const (
	// passInterval is the pause between two reconciliation passes.
	passInterval = 60 * time.Millisecond
	// balanceInterval is the minimum time between two checks of the partitions' sizes.
	balanceInterval = 500 * time.Millisecond
	// splitMargin is how many times the workers that it wants a partition must exceed to be
	// split. At its demand peak it could not transfer half of its workers at once.
	splitMargin = 2
	// claimGrace is how long a worker is left to the partition that it is assigned to.
	claimGrace = time.Second
	// claimRetention is how long the claim on a worker is kept after it was last listed.
	claimRetention = time.Minute
	// strandedRetention is how long a claim by an unknown shard is kept. A new partition and its
	// claims are observed through different watches, less than three seconds apart.
	strandedRetention = 6 * time.Second
	// transfersPerPass is how many workers are transferred in one pass. At this rate half
	// of a large pool is transferred to a new partition within some passes.
	transfersPerPass = 4 * claimsPerTransaction
	// claimsPerTransaction is how many claims fit into one transaction beside the condition
	// on the ownership key: each takes a condition and a write.
	claimsPerTransaction = (store.MaxTransactionEntries - 1) / 2
	// emptyValidity is how long after the first report that a worker is empty the claims of its batch may
	// still be written. Owners keep the worker empty for three seconds; the rest of that time is left for
	// the write to be carried out.
	emptyValidity = time.Second
)

// Shard is the owner of a partition.
type Shard interface {
	// Partition returns the partition, and whether its depth is recorded.
	Partition() (partition.Partition, bool)
	Split()
	// PeakStarts returns the highest number of task starts per second during recent seconds.
	PeakStarts() float64
	// StartsPerWorker returns how many tasks per second a fully used worker starts.
	StartsPerWorker() float64
	// Wanted returns how many workers the partition needs.
	Wanted() int
	// Unplaced reports whether long-running tasks could not be placed for a while.
	Unplaced() bool
	// Idle returns the workers on which no task runs.
	Idle() []worker.ID
	// Drainable returns the workers without long-running tasks, the least used first.
	Drainable() []worker.ID
	Empty(ctx context.Context, id worker.ID) (bool, error)
}

// Config holds the dependencies and settings of an assigner.
type Config struct {
	Store store.Transactional
	Table *Table
	Shard Shard
	// OwnerKey and Token fence off the assigners of former owners.
	OwnerKey string
	Token    uint64
	Depths   func() partition.Depths
	// WantedDepth returns the depth that a partition of the current depth should have;
	// cpuBound is set if its owner is limited by its CPU.
	WantedDepth func(currentDepth int, cpuBound bool) int
	// ClusterSize returns the counts from which the peak load of a partition is predicted.
	ClusterSize func() partition.ClusterSize
	// CPUCores is the number of CPU cores of the owner's machine.
	CPUCores float64
	// Workers returns the listed workers of the pool, and ListVersion a number that changes
	// with them.
	Workers     func() map[worker.ID]worker.Worker
	ListVersion func() uint64
	Log         *logrus.Logger
}

// Assigner claims workers for one shard and transfers them to others.
type Assigner struct {
	Config
	// unclaimedSince holds when workers were first found without a claim, unlistedSince when
	// claimed workers were first found missing from the list.
	unclaimedSince, unlistedSince map[worker.ID]monotonic.Time
	// strandedClaims holds the claims on workers that were found to name an unknown shard.
	strandedClaims map[worker.ID]strandedClaim
	balancedAt     monotonic.Time
	// lastView is the state for which the workers were last examined.
	lastView view
	// unresolved holds the workers whose transfer has an unknown outcome, with the revision
	// of the claim that the transfer requires.
	unresolved map[worker.ID]uint64
	// wantedAt is when the number of wanted workers was last recorded.
	wantedAt monotonic.Time
	// workers is the number of the partition's workers in the last pass, and shortage is set if
	// all partitions together wanted more workers than the pool had.
	workers  int
	shortage bool
}

// strandedClaim is a claim that names an unknown shard, and when it was first found to do so.
type strandedClaim struct {
	revision uint64
	since    monotonic.Time
}

// New returns an assigner; call Run to start it.
func New(c Config) *Assigner {
	return &Assigner{Config: c, unclaimedSince: map[worker.ID]monotonic.Time{}, unlistedSince: map[worker.ID]monotonic.Time{}, strandedClaims: map[worker.ID]strandedClaim{}, unresolved: map[worker.ID]uint64{}}
}

// view identifies a state of the pool.
type view struct {
	list, claims uint64
	depths       int
}

func (a *Assigner) view() view {
	v := view{list: a.ListVersion(), claims: a.Table.Version()}
	for _, depth := range a.Depths() {
		// Depths only grow, so their sum identifies a state.
		v.depths += depth
	}
	return v
}

// Run claims and transfers workers until ctx ends.
func (a *Assigner) Run(ctx context.Context) {
	for ctx.Err() == nil {
		self, recorded := a.Shard.Partition()
		if !a.partitioned(self) {
			// Most pools have one partition, and whether to split one changes slowly.
			monotonic.Sleep(ctx, balanceInterval)
			continue
		}
		if err := a.pass(ctx, self, recorded); err != nil && ctx.Err() == nil {
			a.Log.WithError(err).WithField("shard", self.Shard()).Info("claims on workers not written")
			if errors.As(err, new(*store.ConditionError)) {
				// Another partition has written first, or this owner has lost ownership.
				if err := a.Table.Read(ctx); err != nil {
					a.Log.WithError(err).WithField("shard", self.Shard()).Info("claims on workers not read")
				}
			}
		}
		monotonic.Sleep(ctx, passInterval)
	}
}

// partitioned reports whether the pool has several partitions, or should have.
func (a *Assigner) partitioned(self partition.Partition) bool {
	return self.Depth > 0 || a.wantedDepth(self) > self.Depth || len(a.Depths().Partitions(self.Pool)) > 1
}

func (a *Assigner) wantedDepth(self partition.Partition) int {
	starts := max(a.Shard.PeakStarts(), partition.PredictedPeakStarts(a.ClusterSize(), 1<<self.Depth, a.Shard.StartsPerWorker()))
	return a.WantedDepth(self.Depth, partition.ExceedsCPU(starts, a.CPUCores))
}

func (a *Assigner) pass(ctx context.Context, self partition.Partition, recorded bool) error {
	if err := a.resolveTransfers(ctx, self); err != nil {
		return err
	}
	if err := a.recordWanted(ctx, self); err != nil {
		return err
	}
	// Pools have hundreds of workers, so they are examined only if something has changed.
	v := a.view()
	if v == a.lastView && len(a.unclaimedSince) == 0 && monotonic.Now().Sub(a.balancedAt) < balanceInterval {
		return nil
	}
	a.lastView = v
	partitions, wanted := a.Depths().Partitions(self.Pool), a.wantedDepth(self)
	listed, claims := a.Workers(), a.Table.ByPool(self.Pool)
	held := partition.WorkersByShard{}
	for _, p := range partitions {
		held[p.Shard()] = &partition.WorkerCounts{Wanted: a.Table.Wanted(p.Shard())}
	}
	var free []worker.Worker
	for id, w := range listed {
		if c, ok := claims[id]; ok && held[c.Shard] != nil {
			held.Add(c.Shard, w)
			delete(a.unclaimedSince, id)
			delete(a.strandedClaims, id)
			continue
		} else if ok && !a.stranded(id, c) {
			continue
		}
		free = append(free, w)
	}
	maps.DeleteFunc(a.unclaimedSince, func(id worker.ID, _ monotonic.Time) bool { _, ok := listed[id]; return !ok })
	maps.DeleteFunc(a.strandedClaims, func(id worker.ID, _ strandedClaim) bool { _, ok := listed[id]; return !ok })
	maps.DeleteFunc(a.unlistedSince, func(id worker.ID, _ monotonic.Time) bool { _, ok := claims[id]; return !ok })
	if own := held[self.Shard()]; own != nil {
		a.workers = own.Workers
	}
	a.shortage = held.Shortage()
	if len(free) > 0 {
		return a.claim(ctx, self, free, claims, held)
	}
	if own := held[self.Shard()]; recorded && self.Depth < wanted && own != nil && own.Workers > splitMargin*a.Shard.Wanted() {
		a.Shard.Split()
	}
	if monotonic.Now().Sub(a.balancedAt) < balanceInterval {
		return nil
	}
	a.balancedAt = monotonic.Now()
	if err := a.removeStaleClaims(ctx, self, listed, claims); err != nil {
		return err
	}
	return a.transfer(ctx, self, listed, claims, held)
}

// recordWanted records how many workers this partition needs, for the other partitions.
func (a *Assigner) recordWanted(ctx context.Context, self partition.Partition) error {
	now, wanted, recorded := monotonic.Now(), a.Shard.Wanted(), a.Table.Wanted(self.Shard())
	r := wantedRecord{
		wanted: wanted, recorded: recorded, age: now.Sub(a.wantedAt), workers: a.workers, unplaced: a.Shard.Unplaced(), shortage: a.shortage,
	}
	if !r.due() {
		return nil
	}
	a.wantedAt = now
	recordKey, value := wantedKey(self.Pool, self.Shard()), []byte(strconv.Itoa(wanted))
	revision, err := a.Store.Commit(ctx, store.Transaction{
		Conditions: []store.Condition{{Key: a.OwnerKey, Version: a.Token}}, Writes: []store.Write{{Key: recordKey, Value: value}},
	})
	if err != nil {
		return err
	}
	a.Table.Apply([]store.Event{{Entry: store.Entry{Key: recordKey, Value: value, Version: revision}}})
	a.Log.WithFields(logrus.Fields{
		"shard": self.Shard(), "token": a.Token, "revision": revision, "wanted": r.wanted, "recorded": r.recorded,
		"workers": r.workers, "unplaced": r.unplaced, "shortage": r.shortage,
	}).Info("wanted workers recorded")
	return nil
}

// stranded reports whether the claim on a worker has named an unknown shard for strandedRetention.
// Without the shard nobody transfers the worker, and it may be claimed again.
func (a *Assigner) stranded(id worker.ID, c Claim) bool {
	now := monotonic.Now()
	known, ok := a.strandedClaims[id]
	if !ok || known.revision != c.Revision {
		known = strandedClaim{c.Revision, now}
		a.strandedClaims[id] = known
	}
	return now.Sub(known.since) > strandedRetention
}

// claim claims the free workers that are assigned to this shard, and those that the
// shard they are assigned to has not claimed within claimGrace.
func (a *Assigner) claim(ctx context.Context, self partition.Partition, free []worker.Worker, claims map[worker.ID]Claim, held partition.WorkersByShard) error {
	now := monotonic.Now()
	assigned := partition.Assign(free, held)
	var claimable []worker.ID
	for _, w := range free {
		since, ok := a.unclaimedSince[w.ID]
		if !ok {
			a.unclaimedSince[w.ID], since = now, now
		}
		if assigned[w.ID] == self.Shard() || now.Sub(since) > claimGrace {
			claimable = append(claimable, w.ID)
		}
	}
	for len(claimable) > 0 {
		n := min(len(claimable), claimsPerTransaction)
		if err := a.write(ctx, self, claimable[:n], self.Shard(), func(id worker.ID) uint64 { return claims[id].Revision }); err != nil {
			return err
		}
		claimable = claimable[n:]
	}
	return nil
}

// write writes the claims on workers, on condition that each has the given revision.
func (a *Assigner) write(ctx context.Context, self partition.Partition, ids []worker.ID, to string, requiredRevision func(worker.ID) uint64) error {
	t := store.Transaction{Conditions: []store.Condition{{Key: a.OwnerKey, Version: a.Token}}}
	for _, id := range ids {
		claimKey := key(self.Pool, id)
		t.Conditions = append(t.Conditions, store.Condition{Key: claimKey, Version: requiredRevision(id)})
		t.Writes = append(t.Writes, store.Write{Key: claimKey, Value: []byte(to)})
	}
	revision, err := a.Store.Commit(ctx, t)
	if err != nil {
		return err
	}
	changes := make([]store.Event, len(ids))
	for i, id := range ids {
		changes[i].Entry = store.Entry{Key: key(self.Pool, id), Value: []byte(to), Version: revision}
	}
	a.Table.Apply(changes)
	a.Log.WithFields(logrus.Fields{"shard": self.Shard(), "to": to, "workers": len(ids), "revision": revision, "token": a.Token}).Info("workers claimed")
	return nil
}

// transfer transfers empty workers to a partition that lacks workers.
func (a *Assigner) transfer(ctx context.Context, self partition.Partition, listed map[worker.ID]worker.Worker, claims map[worker.ID]Claim, held partition.WorkersByShard) error {
	to, chosen := a.chooseTransfer(self, listed, claims, held)
	transferred := 0
	for candidates := range slices.Chunk(chosen, claimsPerTransaction) {
		// Each batch is checked directly before it is written: the writes before it may take long.
		asked := monotonic.Now()
		var batch []worker.ID
		for _, id := range candidates {
			// From here on no task starts there until the claim is transferred. A worker that is
			// not empty yet stays closed for a while and is checked again in a later pass.
			ok, err := a.Shard.Empty(ctx, id)
			if err != nil {
				return err
			}
			if ok {
				batch = append(batch, id)
			}
		}
		if len(batch) == 0 {
			continue
		}
		if monotonic.Now().Sub(asked) > emptyValidity {
			return nil
		}
		err := a.write(ctx, self, batch, to, func(id worker.ID) uint64 { return claims[id].Revision })
		if errors.As(err, new(*store.UnknownOutcomeError)) {
			for _, id := range batch {
				a.unresolved[id] = claims[id].Revision
			}
		}
		if err != nil {
			return err
		}
		transferred += len(batch)
	}
	if transferred == transfersPerPass {
		// There are more workers to transfer: balance again in the next pass.
		a.balancedAt = 0
	}
	return nil
}

// resolveTransfers resolves transfers with an unknown outcome. After a network partition
// such a write may be carried out many seconds later. Until the claim has another
// revision the workers stay closed; otherwise the partition that gets them could find
// tasks of this one running there.
func (a *Assigner) resolveTransfers(ctx context.Context, self partition.Partition) error {
	ids := slices.Sorted(maps.Keys(a.unresolved))
	if len(ids) == 0 {
		return nil
	}
	ids = ids[:min(len(ids), claimsPerTransaction)]
	for _, id := range ids {
		if _, err := a.Shard.Empty(ctx, id); err != nil {
			return err
		}
	}
	err := a.write(ctx, self, ids, self.Shard(), func(id worker.ID) uint64 { return a.unresolved[id] })
	if errors.As(err, new(*store.ConditionError)) {
		if err := a.Table.Read(ctx); err != nil {
			return err
		}
		for _, id := range ids {
			if c, ok := a.Table.Get(self.Pool, id); !ok || c.Revision != a.unresolved[id] {
				delete(a.unresolved, id)
			}
		}
		return nil
	}
	if err != nil {
		return err
	}
	for _, id := range ids {
		delete(a.unresolved, id)
	}
	return nil
}

// chooseTransfer chooses workers to transfer and the partition that gets them.
func (a *Assigner) chooseTransfer(self partition.Partition, listed map[worker.ID]worker.Worker, claims map[worker.ID]Claim, held partition.WorkersByShard) (to string, chosen []worker.ID) {
	var idle []worker.Worker
	for _, id := range a.Shard.Idle() {
		if w, ok := listed[id]; ok && claims[id].Shard == self.Shard() {
			idle = append(idle, w)
		}
	}
	to, n := partition.Surplus(held, self.Shard())
	n = min(n, transfersPerPass)
	if n > 0 && len(idle) > 0 {
		return to, partition.Choose(idle, n, *held[to])
	}
	if n > 0 && held[to].Workers < held[to].Wanted {
		// The tasks there complete soon; until then the same workers come first. They get no
		// tasks meanwhile, so only claimsPerTransaction of them are drained at the same time.
		drainable := a.Shard.Drainable()
		return to, drainable[:min(n, claimsPerTransaction, len(drainable))]
	}
	to, kind := partition.MissingKind(held, self.Shard())
	if to == "" {
		return "", nil
	}
	// Choose the same worker in each pass until it is empty.
	var ofKind []worker.ID
	for id, w := range listed {
		if w.Kind() == kind && claims[id].Shard == self.Shard() {
			ofKind = append(ofKind, id)
		}
	}
	return to, []worker.ID{slices.Min(ofKind)}
}

// removeStaleClaims removes this shard's claims on workers that have left the pool.
func (a *Assigner) removeStaleClaims(ctx context.Context, self partition.Partition, listed map[worker.ID]worker.Worker, claims map[worker.ID]Claim) error {
	now := monotonic.Now()
	t := store.Transaction{Conditions: []store.Condition{{Key: a.OwnerKey, Version: a.Token}}}
	for id, c := range claims {
		if _, ok := listed[id]; ok || c.Shard != self.Shard() {
			delete(a.unlistedSince, id)
			continue
		}
		since, ok := a.unlistedSince[id]
		if !ok {
			a.unlistedSince[id], since = now, now
		}
		if now.Sub(since) > claimRetention && len(t.Removals) < claimsPerTransaction {
			claimKey := key(self.Pool, id)
			t.Conditions = append(t.Conditions, store.Condition{Key: claimKey, Version: c.Revision})
			t.Removals = append(t.Removals, claimKey)
			delete(a.unlistedSince, id)
		}
	}
	if len(t.Removals) == 0 {
		return nil
	}
	_, err := a.Store.Commit(ctx, t)
	return err
}
