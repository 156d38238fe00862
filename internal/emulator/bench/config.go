package bench

import (
	"context"
	"sync"
	"time"

	"samphirestile.example/samphirestile/internal/emulator/process"
)

const (
	// rolloutLimit is the longest wait for one change; a change that takes longer counts
	// as taking this long.
	rolloutLimit = 10 * time.Second
	// rolloutPoll is the interval at which the revision of a daemon is polled.
	rolloutPoll = 5 * time.Millisecond
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
	f := followRevisions(c.Daemons)
	defer f.stop()
	var times []int64
	for i := range changes {
		if i == changes/2 {
			last := c.Daemons[daemons-1]
			last.Kill()
			if err := c.Boot(last); err != nil {
				return nil, err
			}
			if err := c.AwaitReady(rolloutLimit); err != nil {
				return nil, err
			}
		}
		if err := c.SetLimit("a", 100+i); err != nil {
			return nil, err
		}
		acknowledged := time.Now()
		f.await(c.Daemons[0].Revision(), acknowledged.Add(rolloutLimit))
		times = append(times, time.Since(acknowledged).Nanoseconds())
	}
	return []Metric{
		{"config.rollout_p99_ms", float64(quantile(times, 0.99)) / float64(time.Millisecond), "ms"},
		{"config.reverts", float64(f.revertCount()), "reverts"},
	}, nil
}

// revisions tracks the latest revision of each daemon and counts reverts.
type revisions struct {
	cancel context.CancelFunc
	group  sync.WaitGroup

	mu      sync.Mutex
	latest  []int64
	reverts int
}

// followRevisions polls the revision of each daemon until stop.
func followRevisions(daemons []*process.Daemon) *revisions {
	ctx, cancel := context.WithCancel(context.Background())
	f := &revisions{cancel: cancel, latest: make([]int64, len(daemons))}
	for i, d := range daemons {
		f.group.Go(func() {
			for ctx.Err() == nil {
				f.observe(i, d.Revision())
				time.Sleep(rolloutPoll)
			}
		})
	}
	return f
}

// observe records the revision of a daemon; 0 means that the daemon did not answer.
func (f *revisions) observe(daemon int, revision int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if revision == 0 {
		return
	}
	if revision < f.latest[daemon] {
		f.reverts++
	}
	f.latest[daemon] = revision
}

// await returns when all daemons have at least the revision, or at time end.
func (f *revisions) await(revision int64, end time.Time) {
	for time.Now().Before(end) {
		f.mu.Lock()
		oldest := f.latest[0]
		for _, r := range f.latest {
			oldest = min(oldest, r)
		}
		f.mu.Unlock()
		if oldest >= revision {
			return
		}
		time.Sleep(rolloutPoll)
	}
}

func (f *revisions) revertCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reverts
}

func (f *revisions) stop() {
	f.cancel()
	f.group.Wait()
}
