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
	// DigestMinWorkers is the number of workers from which a digest is written. With 1,100
	// workers on links of 20 Mbit/s the entries of all are a sixth of a link, and turns are
	// served better without the digest's delay; with 3,000 they are half of it.
	DigestMinWorkers = 2000
	// sizeInterval is the pause between two looks at the number of workers while there
	// is no digest.
	sizeInterval = 8 * time.Second
	// publishPause is the pause between two comparisons of the workers with the digest.
	publishPause = 40 * time.Millisecond
	// heardLimit is how long no worker's entry may have come while the publisher gives
	// signs of life. Some hundred workers write several in each tenth of a second.
	heardLimit = time.Second
	// changesAtOnce is how many records one transaction writes, beside the conditions on
	// the ownership key and on the beat, and the beat itself.
	changesAtOnce = store.MaxTransactionEntries - 3
	// lapseShare of all workers missing at once is a lapse of their entries with the
	// store rather than a loss of workers. They are back within two seconds. Moves
	// between pools alone make a quarter of all workers leave within some seconds.
	lapseShare = 0.5
	// publishRetry is the pause after a failed call to the store.
	publishRetry = 150 * time.Millisecond
)

// Publisher writes the digest. Only the holder of its duty runs one.
//
// Load pattern: each worker writes its entry every other second, mostly without news.
// With thousands of workers the entries fill the links of all daemons that own shards;
// one daemon that follows them and writes down what changes spares the others.
type Publisher struct {
	Roster *Roster
	Store  store.Transactional
	// MinWorkers is the number of workers from which the digest is written; see DigestFrom.
	MinWorkers int
	// OwnerKey and Token fence publishers that have lost the duty.
	OwnerKey string
	Token    uint64
	Log      *logrus.Logger
}

// Run publishes while there are many workers, until ctx ends.
func (p *Publisher) Run(ctx context.Context) {
	for ctx.Err() == nil {
		entries, _, err := p.Store.List(ctx, p.Roster.prefix)
		switch {
		case err != nil:
			if ctx.Err() == nil {
				p.Log.WithError(err).Info("number of workers not known")
			}
			monotonic.Sleep(ctx, publishRetry)
		case len(entries) < p.MinWorkers:
			monotonic.Sleep(ctx, sizeInterval)
		default:
			p.publish(ctx)
		}
	}
}

// digest is what a publisher has written.
type digest struct {
	workers map[worker.ID]worker.Worker
	// beat is the last sign of life, at a revision.
	beat     int
	revision uint64
}

// publish keeps the digest until there are few workers again.
func (p *Publisher) publish(ctx context.Context) {
	r := p.Roster
	r.setPublishing(true)
	defer r.setPublishing(false)
	began := monotonic.Now()
	var d *digest
	var beatAt monotonic.Time
	var version uint64
	for ; ctx.Err() == nil; monotonic.Sleep(ctx, publishPause) {
		if d == nil {
			var err error
			if d, err = p.read(ctx); err != nil {
				p.Log.WithError(err).Info("digest of the workers not read")
				monotonic.Sleep(ctx, publishRetry)
				continue
			}
			version = 0
			p.Log.WithFields(logrus.Fields{"token": p.Token, "records": len(d.workers), "revision": d.revision}).Info("digest of the workers is kept here")
		}
		l := r.listed(version)
		if l.read < began {
			continue
		}
		now := monotonic.Now()
		alive := now.Sub(l.heard) < heardLimit
		var err error
		if l.version != version {
			if len(l.workers) < p.MinWorkers/2 {
				p.Log.WithField("workers", len(l.workers)).Info("digest of the workers is not needed any more")
				return
			}
			if err = p.update(ctx, l.workers, d, alive); err == nil {
				version = l.version
			}
		}
		if err == nil && alive && now.Sub(beatAt) >= beatInterval {
			beatAt = now
			err = p.commit(ctx, d, alive, nil, nil)
		}
		if err != nil && ctx.Err() == nil {
			// Whether it was carried out, and by whom the digest is kept, shows when it is read.
			p.Log.WithError(err).WithField("token", p.Token).Info("digest of the workers not written")
			d = nil
			monotonic.Sleep(ctx, publishRetry)
		}
	}
}

// read returns the digest as it is.
func (p *Publisher) read(ctx context.Context) (*digest, error) {
	records, _, err := p.Store.List(ctx, digestPrefix)
	if err != nil {
		return nil, err
	}
	d := &digest{workers: map[worker.ID]worker.Worker{}}
	for _, e := range records {
		if e.Key == beatKey {
			d.revision = e.Version
			if d.beat, err = strconv.Atoi(string(e.Value)); err != nil {
				p.Log.WithError(&DigestError{e.Key, err}).Warn("sign of life unreadable; it is written anew")
			}
			continue
		}
		w, err := decodeDigest(e)
		if err != nil {
			p.Log.WithError(err).Warn("record of the digest unreadable; it is written anew")
			w = worker.Worker{}
		}
		d.workers[digestID(e.Key)] = w
	}
	return d, nil
}

// update writes what has changed.
func (p *Publisher) update(ctx context.Context, listed map[worker.ID]worker.Worker, d *digest, alive bool) error {
	var changed, gone []worker.ID
	for id, w := range listed {
		if known, ok := d.workers[id]; !ok || !known.Equal(w) {
			changed = append(changed, id)
		}
	}
	for id := range d.workers {
		if _, ok := listed[id]; !ok {
			gone = append(gone, id)
		}
	}
	slices.Sort(changed)
	slices.Sort(gone)
	for batch := range slices.Chunk(changed, changesAtOnce) {
		var writes []store.Write
		for _, id := range batch {
			value, err := encodeDigest(listed[id])
			if err != nil {
				return err
			}
			writes = append(writes, store.Write{Key: digestPrefix + string(id), Value: value})
		}
		if err := p.commit(ctx, d, alive, writes, nil); err != nil {
			return err
		}
		for _, id := range batch {
			d.workers[id] = listed[id]
		}
	}
	for batch := range slices.Chunk(gone, changesAtOnce) {
		var removals []string
		for _, id := range batch {
			removals = append(removals, digestPrefix+string(id))
		}
		if err := p.commit(ctx, d, alive, nil, removals); err != nil {
			return err
		}
		for _, id := range batch {
			delete(d.workers, id)
		}
	}
	return nil
}

// commit writes records and, if the workers were heard of lately, a new sign of life.
func (p *Publisher) commit(ctx context.Context, d *digest, alive bool, writes []store.Write, removals []string) error {
	beat := d.beat
	if alive {
		beat++
	}
	revision, err := p.Store.Commit(ctx, store.Transaction{
		Conditions: []store.Condition{{Key: p.OwnerKey, Version: p.Token}, {Key: beatKey, Version: d.revision}},
		Writes:     append(writes, store.Write{Key: beatKey, Value: strconv.AppendInt(nil, int64(beat), 10)}),
		Removals:   removals,
	})
	if err != nil {
		return err
	}
	d.beat, d.revision = beat, revision
	return nil
}

func (r *Roster) setPublishing(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.publishing, r.beats = on, 0
	r.directSince = 0
}

// listing is what the workers' own entries say of all workers.
type listing struct {
	// workers is left out when nothing has changed since the version that the caller knows.
	workers map[worker.ID]worker.Worker
	version uint64
	// read is when all entries were last read, heard when some entry last came.
	read, heard monotonic.Time
}

// listed returns the workers. Those that are missing are marked, unless so many are
// that their entries must have lapsed with the store.
func (r *Roster) listed(known uint64) listing {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.direct
	t.expire()
	l := listing{version: t.version, read: t.readAt, heard: t.heardAt}
	if t.version == known {
		return l
	}
	lapse := float64(len(t.missing)) > lapseShare*float64(len(t.workers))
	l.workers = make(map[worker.ID]worker.Worker, len(t.workers))
	for id, w := range t.workers {
		if _, gone := t.missing[id]; gone && !lapse {
			w.Missing = true
		}
		l.workers[id] = w
	}
	return l
}
