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
	// heartbeatKey holds the publisher's heartbeat; no worker ID begins with a slash. Each
	// write of a publisher is conditional on its revision and rewrites it, so that a delayed
	// write has no effect.
	heartbeatKey = digestPrefix + "/beat"
	// digestBatchDelay combines the changes of one comparison by the publisher in one response.
	digestBatchDelay = 50 * time.Millisecond
	// digestRelistInterval is long because a stalled watch hides the heartbeats too, and
	// without them the workers' own entries are read.
	digestRelistInterval = 5 * time.Second
	// heartbeatInterval is the interval between heartbeats of the publisher.
	heartbeatInterval = 400 * time.Millisecond
	// heartbeatTimeout is the maximum age of the last heartbeat. Including the read of all
	// entries that follows, a draining worker is observed within two seconds. Workers drain
	// for three seconds in fleets that are large enough for a digest.
	heartbeatTimeout = 1200 * time.Millisecond
	// minHeartbeats is how many consecutive heartbeats show that the publisher is alive. The
	// first one that a follower reads may be old.
	minHeartbeats = 2
)

// digestRecord is the digest's record of one worker.
type digestRecord struct {
	Service  fleet.ServiceID        `json:"s"`
	Address  string                 `json:"a"`
	Zone     fleet.AvailabilityZone `json:"z,omitempty"`
	Draining bool                   `json:"d,omitempty"`
	Missing  bool                   `json:"m,omitempty"`
	Capacity worker.Resources       `json:"c"`
	Labels   []string               `json:"l,omitempty"`
	StartMS  int64                  `json:"b,omitempty"`
}

// DigestError reports an invalid record of the digest.
type DigestError struct {
	Key   string
	Cause error
}

func (e *DigestError) Error() string {
	return fmt.Sprintf("digest record %q: %v", e.Key, e.Cause)
}

func (e *DigestError) Unwrap() error { return e.Cause }

func encodeDigest(w worker.Worker) ([]byte, error) {
	value, err := json.Marshal(digestRecord{w.Service, w.Address, w.AvailabilityZone, w.Draining, w.Missing, w.Capacity, w.Labels, w.StartMS})
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
	w := worker.Worker{
		ID: digestID(e.Key), Service: d.Service, Address: d.Address, AvailabilityZone: d.Zone, Draining: d.Draining, Missing: d.Missing,
		Capacity: d.Capacity, Labels: d.Labels, StartMS: d.StartMS,
	}
	if err := w.Validate(); err != nil {
		return worker.Worker{}, &DigestError{e.Key, err}
	}
	return w, nil
}

func digestID(key string) worker.ID { return worker.ID(strings.TrimPrefix(key, digestPrefix)) }

// digestNeeded reports whether this daemon must follow the digest.
func (r *Roster) digestNeeded() bool {
	owner := r.needed()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recordNeed(owner || r.publishing)
	return owner && !r.publishing
}

// digestFresh reports whether the digest has been read and its publisher is alive. The
// caller holds mu.
func (r *Roster) digestFresh() bool {
	return r.heartbeats >= minHeartbeats && r.digest.readAt != 0 && monotonic.Now().Sub(r.heartbeatAt) < heartbeatTimeout
}

// recordHeartbeat records a heartbeat of the publisher. The caller holds mu.
func (r *Roster) recordHeartbeat(heartbeat string) {
	if heartbeat == r.heartbeat {
		return
	}
	now := monotonic.Now()
	if now.Sub(r.heartbeatAt) > heartbeatTimeout {
		r.heartbeats = 0
	}
	r.heartbeat, r.heartbeatAt = heartbeat, now
	r.heartbeats++
}

// digestTarget receives the records of the digest.
type digestTarget struct{ r *Roster }

// Replace implements follow.Target.
func (d digestTarget) Replace(records []store.Entry, _ uint64) {
	r := d.r
	r.mu.Lock()
	defer r.mu.Unlock()
	before := r.digest.version
	seen := map[worker.ID]bool{}
	heartbeat := r.heartbeat
	for _, e := range records {
		seen[digestID(e.Key)] = true
		d.put(e, &heartbeat)
	}
	r.digest.markOthersMissing(seen)
	r.digest.readAt = monotonic.Now()
	r.recordHeartbeat(heartbeat)
	d.confirm()
	r.notifyIfChanged(r.digest, before)
}

// Apply implements follow.Target. Several heartbeats that are delivered at once count as one: after a pause of this
// daemon all of them may be old.
func (d digestTarget) Apply(changes []store.Event) {
	r := d.r
	r.mu.Lock()
	defer r.mu.Unlock()
	before := r.digest.version
	heartbeat := r.heartbeat
	r.digest.apply(changes, digestID, func(e store.Entry) { d.put(e, &heartbeat) })
	r.recordHeartbeat(heartbeat)
	d.confirm()
	r.notifyIfChanged(r.digest, before)
}

// confirm ends the wait for the workers' own entries once the digest is fresh, as they are
// not read any more then. The caller holds mu.
func (d digestTarget) confirm() {
	if !d.r.publishing && d.r.digestFresh() {
		d.r.confirmFollowing()
	}
}

// put applies a record of a worker, or stores the publisher's heartbeat in heartbeat.
func (d digestTarget) put(e store.Entry, heartbeat *string) {
	if e.Key == heartbeatKey {
		*heartbeat = string(e.Value)
		return
	}
	w, err := decodeDigest(e)
	if err != nil {
		d.r.rejections.Report(e.Key, err)
		return
	}
	d.r.digest.put(w)
}
