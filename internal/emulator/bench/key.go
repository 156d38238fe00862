package bench

import (
	"context"
	"time"

	"samphirestile.example/samphirestile/internal/emulator/history"
	"samphirestile.example/samphirestile/internal/emulator/load"
	"samphirestile.example/samphirestile/internal/emulator/process"
)

// measureKey measures the time from the command that revokes a key to the last start
// of a request with it on any daemon.
func measureKey(o Options) ([]Metric, error) {
	daemons, keys := 3, 6
	if o.Full {
		daemons, keys = 8, 40
	}
	c, err := o.cell(daemons, []process.Service{{ID: "s", Endpoints: 4}}, []process.Team{{ID: "a", Account: "x", Weight: 1, Limit: 100}})
	if err != nil {
		return nil, err
	}
	defer c.Close()
	var times []int64
	for i := range keys {
		last, err := measureRevocation(c, c.Daemons[i%daemons])
		if err != nil {
			return nil, err
		}
		times = append(times, last.Nanoseconds())
	}
	return []Metric{{"key.withdraw_p99_ms", float64(quantile(times, 0.99)) / float64(time.Millisecond), "ms"}}, nil
}

// measureRevocation revokes a key through daemon d while it is in use on every daemon, and
// returns the time from the revocation to the last start of a request with it.
func measureRevocation(c *process.Cell, d *process.Daemon) (time.Duration, error) {
	caller, err := c.Caller("k", "a", "s")
	if err != nil {
		return 0, err
	}
	if err := c.AwaitConfiguration(5 * time.Second); err != nil {
		return 0, err
	}
	caller.Concurrency, caller.RefusalPauseMS = 2*len(c.Daemons), 5
	revoked := make(chan error, 1)
	go func() {
		time.Sleep(300 * time.Millisecond)
		_, err := c.Revoke(d, caller.KeyID)
		revoked <- err
	}()
	r, err := load.Run(context.Background(), load.Plan{Seed: seed, DurationMS: 1500, Callers: []load.Caller{caller}})
	if err != nil {
		return 0, err
	}
	if err := <-revoked; err != nil {
		return 0, err
	}
	events, err := c.Events(r.Recorder.Events(0))
	if err != nil {
		return 0, err
	}
	check := history.NewRevokedKey(2 * time.Second)
	// Each run uses the same ops, so only events since its first request count.
	begin := r.Recorder.Events(0)[0].TimeNS
	for _, e := range events {
		if e.TimeNS >= begin {
			check.Observe(e)
		}
	}
	return check.LastStart, nil
}
