package roster

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"samphirestile.example/samphirestile/internal/fleet"
	"samphirestile.example/samphirestile/internal/monotonic"
	"samphirestile.example/samphirestile/internal/store"
	"samphirestile.example/samphirestile/internal/worker"
)

const (
	digestPrefix = "samphirestile/roster/"
	// beatKey is the publisher's sign of life. No worker's ID begins with a slash. Each
	// write of a publisher requires its revision and writes it anew, so that a write that
	// is carried out late changes nothing.
	beatKey = digestPrefix + "/beat"
	// digestPause lets the changes that one reading brought come in one answer.
	digestPause = 50 * time.Millisecond
	// digestRelist is long because a watch that has fallen silent hides the beats too,
	// and then the workers' own entries are read.
	digestRelist = 5 * time.Second
	// beatInterval is the pause between two signs of life.
	beatInterval = 400 * time.Millisecond
	// beatStale is how old the last one may be. With the reading of all entries after it,
	// a draining worker is known within two seconds; workers drain for three at the size
	// at which there is a digest.
	beatStale = 1200 * time.Millisecond
	// trustedBeats in a row show that the publisher is alive; the one that a new
	// follower reads first may be old.
	trustedBeats = 2
)

// digestRecord is what the digest says of one worker.
type digestRecord struct {
	Service  fleet.ServiceID        `json:"s"`
	Address  string                 `json:"a"`
	Zone     fleet.AvailabilityZone `json:"z,omitempty"`
	Draining bool                   `json:"d,omitempty"`
	Missing  bool                   `json:"m,omitempty"`
	Capacity worker.Resources       `json:"c"`
	Labels   []string               `json:"l,omitempty"`
}

// DigestError reports a record of the digest that cannot be read.
type DigestError struct {
	Key   string
	Cause error
}

func (e *DigestError) Error() string {
	return fmt.Sprintf("record %q of the digest: %v", e.Key, e.Cause)
}

// Unwrap returns the cause.
func (e *DigestError) Unwrap() error { return e.Cause }

func encodeDigest(w worker.Worker) ([]byte, error) {
	value, err := json.Marshal(digestRecord{w.Service, w.Address, w.AvailabilityZone, w.Draining, w.Missing, w.Capacity, w.Labels})
	if err != nil {
		return nil, &DigestError{string(w.ID), err}
	}
	return value, nil
}

func decodeDigest(e store.Entry) (worker.Worker, error) {
	var d digestRecord
	if err := json.Unmarshal(e.Value, &d); err != nil {
		return worker.Worker{}, &DigestError{e.Key, err}
	}
	return worker.Worker{
		ID: digestID(e.Key), Service: d.Service, Address: d.Address, AvailabilityZone: d.Zone, Draining: d.Draining, Missing: d.Missing,
		Capacity: d.Capacity, Labels: d.Labels,
	}, nil
}

func digestID(key string) worker.ID { return worker.ID(strings.TrimPrefix(key, digestPrefix)) }

// digestNeeded reports whether the digest must be followed.
func (r *Roster) digestNeeded() bool {
	owner := r.needed()
	r.mu.Lock()
	defer r.mu.Unlock()
	return owner && !r.publishing
}

// digestFresh reports whether the publisher is alive. The caller holds mu.
func (r *Roster) digestFresh() bool {
	return r.beats >= trustedBeats && r.digest.readAt != 0 && monotonic.Now().Sub(r.beatAt) < beatStale
}

// noteBeat takes the publisher's sign of life over. The caller holds mu.
func (r *Roster) noteBeat(beat string) {
	if beat == r.beat {
		return
	}
	now := monotonic.Now()
	if now.Sub(r.beatAt) > beatStale {
		r.beats = 0
	}
	r.beat, r.beatAt = beat, now
	r.beats++
}

// digestTarget takes the digest.
type digestTarget struct{ r *Roster }

// Replace implements follow.Target.
func (d digestTarget) Replace(records []store.Entry, _ uint64) {
	r := d.r
	r.mu.Lock()
	defer r.mu.Unlock()
	before := r.digest.version
	seen := map[worker.ID]bool{}
	for _, e := range records {
		seen[digestID(e.Key)] = true
		d.put(e)
	}
	r.digest.keepOnly(seen)
	r.digest.readAt = monotonic.Now()
	r.noteChange(r.digest, before)
}

// Apply implements follow.Target.
func (d digestTarget) Apply(changes []store.Event) {
	r := d.r
	r.mu.Lock()
	defer r.mu.Unlock()
	before := r.digest.version
	r.digest.apply(changes, digestID, d.put)
	r.noteChange(r.digest, before)
}

func (d digestTarget) put(e store.Entry) {
	if e.Key == beatKey {
		d.r.noteBeat(string(e.Value))
		return
	}
	w, err := decodeDigest(e)
	if err != nil {
		d.r.log.WithError(err).Warn("skipped an unreadable record of the digest")
		return
	}
	d.r.digest.put(w)
}
