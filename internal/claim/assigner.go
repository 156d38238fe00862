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
	// step is the pause between two looks at the workers.
	step = 60 * time.Millisecond
	// balanceInterval is the pause between two looks at the sizes of the parts.
	balanceInterval = 500 * time.Millisecond
	// wantedInterval is the least time between two records of the wanted workers, and
	// wantedShare by how much the number must have changed unless lasting work has no room.
	wantedInterval = 500 * time.Millisecond
	wantedShare    = 0.25
	// splitMargin times the workers that a part wants is below what it has while it may
	// be split: in its turn it could not give half of its workers at once.
	splitMargin = 2
	// claimGrace is how long a worker is left to the part that should take it.
	claimGrace = time.Second
	// forgetAfter is how long the claim on a worker stays after it was last listed.
	forgetAfter = time.Minute
	// givenAtOnce is how many workers one look at the parts gives away. It empties half
	// of a large pool into a part that was split off within some looks.
	givenAtOnce = 4 * claimsAtOnce
	// claimsAtOnce is how many claims one transaction takes, beside the ownership key:
	// each is a condition and a write.
	claimsAtOnce = (store.MaxTransactionEntries - 1) / 2
)

// Shard is the owner of a part.
type Shard interface {
	// Partition returns the part, and whether its depth is recorded.
	Partition() (partition.Part, bool)
	Split()
	// PeakStarts returns the most tasks a second that were started in some seconds.
	PeakStarts() float64
	// StartsPerWorker returns how many tasks a second a full worker starts.
	StartsPerWorker() float64
	// Wanted returns how many workers the part needs.
	Wanted() int
	// Unplaced reports whether work that lasts has found no room for a while.
	Unplaced() bool
	// Idle returns the workers on which nothing runs.
	Idle() []worker.ID
	// Drainable returns the workers on which no task lasts, the least used first.
	Drainable() []worker.ID
	Empty(ctx context.Context, id worker.ID) (bool, error)
}

// Config is what an assigner works with.
type Config struct {
	Store store.Transactional
	Book  *Book
	Shard Shard
	// OwnerKey and Token fence the assigners of former owners.
	OwnerKey string
	Token    uint64
	Depths   func() partition.Depths
	// WantedDepth is how deep a part of the pool should be that is so deep at present;
	// busy tells whether its owner has more to start than its processor can.
	WantedDepth func(present int, busy bool) int
	// Fleet is what the load of a part in its pool's turn follows from.
	Fleet func() partition.Fleet
	// Power is the processor of the owner's machine, in cores.
	Power float64
	// Workers returns the listed workers of the pool, and ListVersion what changes with them.
	Workers     func() map[worker.ID]worker.Worker
	ListVersion func() uint64
	Log         *logrus.Logger
}

// Assigner takes workers for one shard and gives them to others.
type Assigner struct {
	Config
	// free and gone tell since when workers have no claim, and since when they are not listed.
	free, gone map[worker.ID]monotonic.Time
	balanced   monotonic.Time
	// looked is what the workers were last looked at for.
	looked view
	// unsettled are workers whose transfer may still be carried out, with the revision
	// of the claim that it requires.
	unsettled map[worker.ID]uint64
	// wantedAt is when the wanted workers were last recorded.
	wantedAt monotonic.Time
	// workers is how many the part had at the last look.
	workers int
}

// New returns an assigner that is not running yet.
func New(c Config) *Assigner {
	return &Assigner{Config: c, free: map[worker.ID]monotonic.Time{}, gone: map[worker.ID]monotonic.Time{}, unsettled: map[worker.ID]uint64{}}
}

// view tells states of the pool apart.
type view struct {
	list, claims uint64
	depths       int
}

func (a *Assigner) view() view {
	v := view{list: a.ListVersion(), claims: a.Book.Version()}
	for _, depth := range a.Depths() {
		// Depths only grow, so their sum tells any two states apart.
		v.depths += depth
	}
	return v
}

// Run assigns workers until ctx ends.
func (a *Assigner) Run(ctx context.Context) {
	for ctx.Err() == nil {
		part, recorded := a.Shard.Partition()
		if !a.divided(part) {
			// Most pools are whole; whether to divide one changes slowly.
			monotonic.Sleep(ctx, balanceInterval)
			continue
		}
		if err := a.pass(ctx, part, recorded); err != nil && ctx.Err() == nil {
			a.Log.WithError(err).WithField("shard", part.Shard()).Info("claims on workers not written")
			if errors.As(err, new(*store.ConditionError)) {
				// Another part was first, or this owner is deposed.
				if err := a.Book.Read(ctx); err != nil {
					a.Log.WithError(err).WithField("shard", part.Shard()).Info("claims not read")
				}
			}
		}
		monotonic.Sleep(ctx, step)
	}
}

// divided reports whether the pool has several parts, or should have.
func (a *Assigner) divided(part partition.Part) bool {
	return part.Depth > 0 || a.wantedDepth(part) > part.Depth || len(a.Depths().Parts(part.Pool)) > 1
}

func (a *Assigner) wantedDepth(part partition.Part) int {
	starts := max(a.Shard.PeakStarts(), partition.TurnStarts(a.Fleet(), 1<<part.Depth, a.Shard.StartsPerWorker()))
	return a.WantedDepth(part.Depth, partition.Busy(starts, a.Power))
}

func (a *Assigner) pass(ctx context.Context, part partition.Part, recorded bool) error {
	if err := a.settle(ctx, part); err != nil {
		return err
	}
	if err := a.recordWanted(ctx, part); err != nil {
		return err
	}
	// A pool of hundreds of workers is looked at when something has changed.
	v := a.view()
	if v == a.looked && len(a.free) == 0 && monotonic.Now().Sub(a.balanced) < balanceInterval {
		return nil
	}
	a.looked = v
	parts, wanted := a.Depths().Parts(part.Pool), a.wantedDepth(part)
	listed, claims := a.Workers(), a.Book.Of(part.Pool)
	held := partition.Holdings{}
	for _, p := range parts {
		held[p.Shard()] = &partition.Holding{Wanted: a.Book.Wanted(p.Shard())}
	}
	var free []worker.Worker
	for id, w := range listed {
		if c, ok := claims[id]; ok && held[c.Shard] != nil {
			held.Add(c.Shard, w)
			delete(a.free, id)
			continue
		}
		free = append(free, w)
	}
	maps.DeleteFunc(a.free, func(id worker.ID, _ monotonic.Time) bool { _, ok := listed[id]; return !ok })
	maps.DeleteFunc(a.gone, func(id worker.ID, _ monotonic.Time) bool { _, ok := claims[id]; return !ok })
	if own := held[part.Shard()]; own != nil {
		a.workers = own.Workers
	}
	if len(free) > 0 {
		return a.claim(ctx, part, free, held)
	}
	if own := held[part.Shard()]; recorded && part.Depth < wanted && own != nil && own.Workers > splitMargin*a.Shard.Wanted() {
		a.Shard.Split()
	}
	if monotonic.Now().Sub(a.balanced) < balanceInterval {
		return nil
	}
	a.balanced = monotonic.Now()
	if err := a.forget(ctx, part, listed, claims); err != nil {
		return err
	}
	return a.give(ctx, part, listed, claims, held)
}

// recordWanted tells the other parts how many workers this one needs.
func (a *Assigner) recordWanted(ctx context.Context, part partition.Part) error {
	now, wanted, known := monotonic.Now(), a.Shard.Wanted(), a.Book.Wanted(part.Shard())
	changed := max(wanted-known, known-wanted)
	// Lasting work may lack less than wantedShare, and gets no worker before the others know.
	lacks := a.Shard.Unplaced() && wanted > a.workers && known <= a.workers
	if changed == 0 || (float64(changed) < wantedShare*float64(known) && !lacks) || now.Sub(a.wantedAt) < wantedInterval {
		return nil
	}
	a.wantedAt = now
	k, value := wantedKey(part.Pool, part.Shard()), []byte(strconv.Itoa(wanted))
	revision, err := a.Store.Commit(ctx, store.Transaction{
		Conditions: []store.Condition{{Key: a.OwnerKey, Version: a.Token}}, Writes: []store.Write{{Key: k, Value: value}},
	})
	if err != nil {
		return err
	}
	a.Book.Apply([]store.Event{{Entry: store.Entry{Key: k, Value: value, Version: revision}}})
	return nil
}

// claim takes the free workers that fall to this shard, and those that the shard
// to which they fall has not taken.
func (a *Assigner) claim(ctx context.Context, part partition.Part, free []worker.Worker, held partition.Holdings) error {
	now := monotonic.Now()
	assigned := partition.Assign(free, held)
	var mine []worker.ID
	for _, w := range free {
		since, ok := a.free[w.ID]
		if !ok {
			a.free[w.ID], since = now, now
		}
		if assigned[w.ID] == part.Shard() || now.Sub(since) > claimGrace {
			mine = append(mine, w.ID)
		}
	}
	for len(mine) > 0 {
		n := min(len(mine), claimsAtOnce)
		if err := a.write(ctx, part, mine[:n], part.Shard(), func(worker.ID) uint64 { return 0 }); err != nil {
			return err
		}
		mine = mine[n:]
	}
	return nil
}

// write sets the claims on workers, each from the revision that it has now.
func (a *Assigner) write(ctx context.Context, part partition.Part, ids []worker.ID, to string, from func(worker.ID) uint64) error {
	t := store.Transaction{Conditions: []store.Condition{{Key: a.OwnerKey, Version: a.Token}}}
	for _, id := range ids {
		k := key(part.Pool, id)
		t.Conditions = append(t.Conditions, store.Condition{Key: k, Version: from(id)})
		t.Writes = append(t.Writes, store.Write{Key: k, Value: []byte(to)})
	}
	revision, err := a.Store.Commit(ctx, t)
	if err != nil {
		return err
	}
	changes := make([]store.Event, len(ids))
	for i, id := range ids {
		changes[i].Entry = store.Entry{Key: key(part.Pool, id), Value: []byte(to), Version: revision}
	}
	a.Book.Apply(changes)
	a.Log.WithFields(logrus.Fields{"shard": part.Shard(), "to": to, "workers": len(ids), "revision": revision, "token": a.Token}).Info("workers claimed")
	return nil
}

// give hands empty workers to a part that has fewer.
func (a *Assigner) give(ctx context.Context, part partition.Part, listed map[worker.ID]worker.Worker, claims map[worker.ID]Claim, held partition.Holdings) error {
	to, chosen := a.toGive(part, listed, claims, held)
	var empty []worker.ID
	for _, id := range chosen {
		// From here on nothing starts there until the claim has moved. A worker that is
		// not empty yet stays closed for a while and is asked again.
		ok, err := a.Shard.Empty(ctx, id)
		if err != nil {
			return err
		}
		if ok {
			empty = append(empty, id)
		}
	}
	for batch := range slices.Chunk(empty, claimsAtOnce) {
		err := a.write(ctx, part, batch, to, func(id worker.ID) uint64 { return claims[id].Revision })
		if errors.As(err, new(*store.UnknownOutcomeError)) {
			for _, id := range batch {
				a.unsettled[id] = claims[id].Revision
			}
		}
		if err != nil {
			return err
		}
	}
	if len(empty) == givenAtOnce {
		// There is more to give.
		a.balanced = 0
	}
	return nil
}

// settle finds out what became of transfers without an answer. A network that was
// split carries such a write out when it is whole again, many seconds later: until the
// claim has another revision the workers stay closed, or the part to which they go
// would meet what runs there by then.
func (a *Assigner) settle(ctx context.Context, part partition.Part) error {
	ids := slices.Sorted(maps.Keys(a.unsettled))
	if len(ids) == 0 {
		return nil
	}
	ids = ids[:min(len(ids), claimsAtOnce)]
	for _, id := range ids {
		if _, err := a.Shard.Empty(ctx, id); err != nil {
			return err
		}
	}
	err := a.write(ctx, part, ids, part.Shard(), func(id worker.ID) uint64 { return a.unsettled[id] })
	if errors.As(err, new(*store.ConditionError)) {
		if err := a.Book.Read(ctx); err != nil {
			return err
		}
		for _, id := range ids {
			if c, ok := a.Book.Get(part.Pool, id); !ok || c.Revision != a.unsettled[id] {
				delete(a.unsettled, id)
			}
		}
		return nil
	}
	if err != nil {
		return err
	}
	for _, id := range ids {
		delete(a.unsettled, id)
	}
	return nil
}

// toGive chooses workers for another part.
func (a *Assigner) toGive(part partition.Part, listed map[worker.ID]worker.Worker, claims map[worker.ID]Claim, held partition.Holdings) (to string, chosen []worker.ID) {
	var idle []worker.Worker
	for _, id := range a.Shard.Idle() {
		if w, ok := listed[id]; ok && claims[id].Shard == part.Shard() {
			idle = append(idle, w)
		}
	}
	to, n := partition.Surplus(held, part.Shard())
	n = min(n, givenAtOnce)
	if n > 0 && len(idle) > 0 {
		return to, partition.Choose(idle, n, *held[to])
	}
	if n > 0 && held[to].Workers < held[to].Wanted {
		// What runs there ends soon; until then the same ones come first. They take nothing
		// meanwhile, so that only some are asked for at a time.
		drainable := a.Shard.Drainable()
		return to, drainable[:min(n, claimsAtOnce, len(drainable))]
	}
	to, kind := partition.MissingKind(held, part.Shard())
	if to == "" {
		return "", nil
	}
	// The same one at each pass, until it is empty.
	var ofKind []worker.ID
	for id, w := range listed {
		if w.Kind() == kind && claims[id].Shard == part.Shard() {
			ofKind = append(ofKind, id)
		}
	}
	return to, []worker.ID{slices.Min(ofKind)}
}

// forget removes this shard's claims on workers that have left the pool.
func (a *Assigner) forget(ctx context.Context, part partition.Part, listed map[worker.ID]worker.Worker, claims map[worker.ID]Claim) error {
	now := monotonic.Now()
	t := store.Transaction{Conditions: []store.Condition{{Key: a.OwnerKey, Version: a.Token}}}
	for id, c := range claims {
		if _, ok := listed[id]; ok || c.Shard != part.Shard() {
			delete(a.gone, id)
			continue
		}
		since, ok := a.gone[id]
		if !ok {
			a.gone[id], since = now, now
		}
		if now.Sub(since) > forgetAfter && len(t.Removals) < claimsAtOnce {
			k := key(part.Pool, id)
			t.Conditions = append(t.Conditions, store.Condition{Key: k, Version: c.Revision})
			t.Removals = append(t.Removals, k)
			delete(a.gone, id)
		}
	}
	if len(t.Removals) == 0 {
		return nil
	}
	_, err := a.Store.Commit(ctx, t)
	return err
}
