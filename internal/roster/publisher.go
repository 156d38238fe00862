package roster

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"samphirestile.example/samphirestile/internal/monotonic"
	"samphirestile.example/samphirestile/internal/store"
	"samphirestile.example/samphirestile/internal/worker"
)

const (
	// DigestMinWorkers is the number of workers from which a digest is written. On links of
	// 20 Mbit/s the entries of 1,100 workers use a sixth of a link, and demand peaks are
	// served better without the delay of the digest; those of 3,000 use half of a link.
	DigestMinWorkers = 2000
	// countInterval is the interval between counts of the workers while there is no digest.
	countInterval = 8 * time.Second
	// publishInterval is the interval between comparisons of the workers with the digest.
	publishInterval = 40 * time.Millisecond
	// receiveTimeout is the time without any worker entry after which the publisher stops
	// its heartbeat. Several hundred workers write several entries each 100 ms.
	receiveTimeout = time.Second
	// maxBatch is the number of records in one transaction, besides the conditions on the
	// ownership key and on the heartbeat, and the write of the heartbeat.
	maxBatch = store.MaxTransactionEntries - 3
	// massExpiryFraction is the fraction of workers above which simultaneously missing entries
	// are attributed to a store outage and not to lost workers. Such entries reappear within
	// two seconds. Moves between pools alone remove a quarter of all workers within some
	// seconds.
	massExpiryFraction = 0.5
	// retryDelay is the delay after a failed call to the store.
	retryDelay = 150 * time.Millisecond
)

// Publisher writes the digest. Only the daemon with this singleton role runs one.
//
// Each worker writes its entry every other second, mostly unchanged. With thousands of
// workers the entries saturate the links of all daemons that own shards. Instead, one
// daemon follows the entries and writes only the changes to the digest.
type Publisher struct {
	Roster *Roster
	Store  store.Transactional
	// MinWorkers is the number of workers from which the digest is written; see DigestMinWorkers.
	MinWorkers int
	// OwnerKey and Token fence off publishers that have lost the role.
	OwnerKey string
	Token    uint64
	Log      *logrus.Logger
}

// Run publishes the digest while there are many workers, until ctx is done.
func (p *Publisher) Run(ctx context.Context) {
	for ctx.Err() == nil {
		entries, _, err := p.Store.List(ctx, p.Roster.prefix)
		switch {
		case err != nil:
			if ctx.Err() == nil {
				p.Log.WithError(err).Info("worker entries not listed; will retry")
			}
			monotonic.Sleep(ctx, retryDelay)
		case len(entries) < p.MinWorkers:
			monotonic.Sleep(ctx, countInterval)
		default:
			p.publish(ctx)
		}
	}
}

// digest is the digest as last written by this publisher.
type digest struct {
	workers map[worker.ID]worker.Worker
	// heartbeat is the last heartbeat, written at revision.
	heartbeat int
	revision  uint64
}

// publish keeps the digest up to date until there are few workers.
func (p *Publisher) publish(ctx context.Context) {
	r := p.Roster
	r.setPublishing(true)
	defer r.setPublishing(false)
	began := monotonic.Now()
	var d *digest
	var heartbeatAt monotonic.Time
	var version uint64
	for ; ctx.Err() == nil; monotonic.Sleep(ctx, publishInterval) {
		if d == nil {
			var err error
			if d, err = p.read(ctx); err != nil {
				p.Log.WithError(err).Info("digest of the workers not read; will retry")
				monotonic.Sleep(ctx, retryDelay)
				continue
			}
			version = 0
			p.Log.WithFields(logrus.Fields{"token": p.Token, "records": len(d.workers), "revision": d.revision}).Info("digest of the workers is kept here")
		}
		current := r.listed(version)
		if current.readAt < began {
			continue
		}
		now := monotonic.Now()
		receiving := now.Sub(current.receivedAt) < receiveTimeout
		var err error
		if current.version != version {
			if len(current.workers) < p.MinWorkers/2 {
				p.Log.WithField("workers", len(current.workers)).Info("digest of the workers no longer needed")
				return
			}
			if err = p.update(ctx, current.workers, d, receiving); err == nil {
				version = current.version
			}
		}
		if err == nil && receiving && now.Sub(heartbeatAt) >= heartbeatInterval {
			heartbeatAt = now
			err = p.commit(ctx, d, receiving, nil, nil)
		}
		if err != nil && ctx.Err() == nil {
			// The next read shows whether the write was applied or another publisher has
			// taken over.
			p.Log.WithError(err).WithField("token", p.Token).Info("digest of the workers not written")
			d = nil
			monotonic.Sleep(ctx, retryDelay)
		}
	}
}

// read returns the digest as it is in the store.
func (p *Publisher) read(ctx context.Context) (*digest, error) {
	records, _, err := p.Store.List(ctx, digestPrefix)
	if err != nil {
		return nil, err
	}
	d := &digest{workers: map[worker.ID]worker.Worker{}}
	for _, e := range records {
		if e.Key == heartbeatKey {
			d.revision = e.Version
			if d.heartbeat, err = strconv.Atoi(string(e.Value)); err != nil {
				p.Log.WithError(&DigestError{e.Key, err}).Warn("heartbeat of the digest invalid; rewriting it")
			}
			continue
		}
		w, err := decodeDigest(e)
		if err != nil {
			// The record is rewritten or removed.
			p.Roster.rejections.Report(e.Key, err)
			w = worker.Worker{}
		}
		d.workers[digestID(e.Key)] = w
	}
	return d, nil
}

// update writes the changes of the listed workers to the digest.
func (p *Publisher) update(ctx context.Context, listed map[worker.ID]worker.Worker, d *digest, receiving bool) error {
	var changed, removed []worker.ID
	for id, w := range listed {
		if previous, ok := d.workers[id]; !ok || !previous.Equal(w) {
			changed = append(changed, id)
		}
	}
	for id := range d.workers {
		if _, ok := listed[id]; !ok {
			removed = append(removed, id)
		}
	}
	slices.Sort(changed)
	slices.Sort(removed)
	for batch := range slices.Chunk(changed, maxBatch) {
		var writes []store.Write
		for _, id := range batch {
			value, err := encodeDigest(listed[id])
			if err != nil {
				return err
			}
			writes = append(writes, store.Write{Key: digestPrefix + string(id), Value: value})
		}
		if err := p.commit(ctx, d, receiving, writes, nil); err != nil {
			return err
		}
		for _, id := range batch {
			d.workers[id] = listed[id]
		}
	}
	for batch := range slices.Chunk(removed, maxBatch) {
		var removals []string
		for _, id := range batch {
			removals = append(removals, digestPrefix+string(id))
		}
		if err := p.commit(ctx, d, receiving, nil, removals); err != nil {
			return err
		}
		for _, id := range batch {
			delete(d.workers, id)
		}
	}
	return nil
}

// commit writes records and, if worker entries are being received, a new heartbeat.
func (p *Publisher) commit(ctx context.Context, d *digest, receiving bool, writes []store.Write, removals []string) error {
	heartbeat := d.heartbeat
	if receiving {
		heartbeat++
	}
	revision, err := p.Store.Commit(ctx, store.Transaction{
		Conditions: []store.Condition{{Key: p.OwnerKey, Version: p.Token}, {Key: heartbeatKey, Version: d.revision}},
		Writes:     append(writes, store.Write{Key: heartbeatKey, Value: strconv.AppendInt(nil, int64(heartbeat), 10)}),
		Removals:   removals,
	})
	if err != nil {
		return err
	}
	d.heartbeat, d.revision = heartbeat, revision
	return nil
}

func (r *Roster) setPublishing(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.publishing, r.heartbeats = on, 0
	r.directNeededSince = 0
}

// listing is a snapshot of the workers according to their own entries.
type listing struct {
	// workers is nil if nothing has changed since the version that the caller passed.
	workers map[worker.ID]worker.Worker
	version uint64
	// readAt is when all entries were last read, receivedAt when any entry was last received.
	readAt, receivedAt monotonic.Time
}

// listed returns the workers. Missing ones are marked, unless there are so many that their
// entries must have expired in a store outage.
func (r *Roster) listed(sinceVersion uint64) listing {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.direct
	t.evictMissing()
	l := listing{version: t.version, readAt: t.readAt, receivedAt: t.receivedAt}
	if t.version == sinceVersion {
		return l
	}
	massExpiry := float64(len(t.missing)) > massExpiryFraction*float64(len(t.workers))
	l.workers = make(map[worker.ID]worker.Worker, len(t.workers))
	for id, w := range t.workers {
		if _, missing := t.missing[id]; missing && !massExpiry {
			w.Missing = true
		}
		l.workers[id] = w
	}
	return l
}
