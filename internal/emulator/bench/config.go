package bench

import (
	"context"
	"sync"
	"time"

	"samphirestile.example/samphirestile/internal/emulator/process"
)

const (
	// rolloutTimeout bounds the wait for one change, and for a restarted daemon to become
	// ready. A change that takes longer counts as taking this long.
	rolloutTimeout = 10 * time.Second
	// rolloutPollInterval is the interval at which the revision of a daemon is polled.
	rolloutPollInterval = 5 * time.Millisecond
)

// measureConfig measures the time from the acknowledgement of a change until it is in
// effect on every daemon, and counts how often a daemon reverted to an older revision.
// One daemon is killed and restarted half-way; its revisions before that count as well.
func measureConfig(o Options) ([]Metric, error) {
	daemons, changes := 3, 20
	if o.Full {
		daemons, changes = 8, 100
	}
	c, err := o.cell(daemons, []process.Service{{ID: "s", Endpoints: 4}}, []process.Team{{ID: "a", Account: "x", Weight: 1, Limit: 100}})
	if err != nil {
		return nil, err
	}
	defer c.Close()
	tracker := trackRevisions(c.Daemons)
	defer tracker.stop()
	var times []int64
	for i := range changes {
		if i == changes/2 {
			last := c.Daemons[daemons-1]
			last.Kill()
			if err := c.Boot(last); err != nil {
				return nil, err
			}
			if err := c.AwaitReady(rolloutTimeout); err != nil {
				return nil, err
			}
		}
		if err := c.SetLimit("a", 100+i); err != nil {
			return nil, err
		}
		acknowledged := time.Now()
		tracker.await(c.Daemons[0].Revision(), acknowledged.Add(rolloutTimeout))
		times = append(times, time.Since(acknowledged).Nanoseconds())
	}
	return []Metric{
		{"config.rollout_p99_ms", float64(quantile(times, 0.99)) / float64(time.Millisecond), "ms"},
		{"config.reverts", float64(tracker.revertCount()), "reverts"},
	}, nil
}

// revisionTracker records the latest revision of each daemon and counts reverts.
type revisionTracker struct {
	cancel context.CancelFunc
	group  sync.WaitGroup

	mu      sync.Mutex
	latest  []int64
	reverts int
}

// trackRevisions polls the revision of each daemon until stop.
func trackRevisions(daemons []*process.Daemon) *revisionTracker {
	ctx, cancel := context.WithCancel(context.Background())
	t := &revisionTracker{cancel: cancel, latest: make([]int64, len(daemons))}
	for i, d := range daemons {
		t.group.Go(func() {
			for ctx.Err() == nil {
				t.observe(i, d.Revision())
				time.Sleep(rolloutPollInterval)
			}
		})
	}
	return t
}

// observe records the revision of a daemon; 0 means that the daemon did not respond.
func (t *revisionTracker) observe(daemon int, revision int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if revision == 0 {
		return
	}
	if revision < t.latest[daemon] {
		t.reverts++
	}
	t.latest[daemon] = revision
}

// await returns when all daemons have at least the revision, or at the deadline.
func (t *revisionTracker) await(revision int64, deadline time.Time) {
	for time.Now().Before(deadline) {
		t.mu.Lock()
		oldest := t.latest[0]
		for _, r := range t.latest {
			oldest = min(oldest, r)
		}
		t.mu.Unlock()
		if oldest >= revision {
			return
		}
		time.Sleep(rolloutPollInterval)
	}
}

func (t *revisionTracker) revertCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reverts
}

func (t *revisionTracker) stop() {
	t.cancel()
	t.group.Wait()
}
