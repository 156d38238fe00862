package bench

import (
	"context"
	"sync"
	"time"

	"samphirestile.example/samphirestile/internal/emulator/process"
)

const (
	// rolloutLimit bounds the wait for one change; one that takes longer counts as so long.
	rolloutLimit = 10 * time.Second
	// rolloutPoll is the pause between two questions for a daemon's revision.
	rolloutPoll = 5 * time.Millisecond
)

// measureConfig gives the time from the acknowledgement of a change until every daemon
// has it in force, and how often a daemon showed an older revision than before. One
// daemon is killed and started again half-way; what it showed before counts as well.
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
		{"config.reverts", float64(f.reverted()), "reverts"},
	}, nil
}

// revisions are the newest revisions that daemons have shown.
type revisions struct {
	cancel context.CancelFunc
	group  sync.WaitGroup

	mu      sync.Mutex
	shown   []int64
	reverts int
}

// followRevisions asks each daemon for its revision again and again.
func followRevisions(daemons []*process.Daemon) *revisions {
	ctx, cancel := context.WithCancel(context.Background())
	f := &revisions{cancel: cancel, shown: make([]int64, len(daemons))}
	for i, d := range daemons {
		f.group.Go(func() {
			for ctx.Err() == nil {
				f.note(i, d.Revision())
				time.Sleep(rolloutPoll)
			}
		})
	}
	return f
}

// note takes a revision over; 0 means that the daemon did not answer.
func (f *revisions) note(daemon int, revision int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if revision == 0 {
		return
	}
	if revision < f.shown[daemon] {
		f.reverts++
	}
	f.shown[daemon] = revision
}

// await returns when all daemons show the revision, or at the end.
func (f *revisions) await(revision int64, end time.Time) {
	for time.Now().Before(end) {
		f.mu.Lock()
		least := f.shown[0]
		for _, r := range f.shown {
			least = min(least, r)
		}
		f.mu.Unlock()
		if least >= revision {
			return
		}
		time.Sleep(rolloutPoll)
	}
}

func (f *revisions) reverted() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reverts
}

func (f *revisions) stop() {
	f.cancel()
	f.group.Wait()
}
