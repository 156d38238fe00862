// Command standin-3 starts daemons, and plays their platform, minions and clients, for the cases 11 to 15 of the review.
// It exits with 1 if the rule of the case was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

type counter struct{ n atomic.Int64 }

func (c *counter) add(n int64) int64 { return c.n.Add(n) }
func (c *counter) get() int64        { return c.n.Load() }

// record is the file that says what was sent, answered and run.
type record struct {
	mu      sync.Mutex
	file    *os.File
	began   time.Time
	details int
}

// maxDetails is the number of calls and starts that are recorded one by one; all are counted.
const maxDetails = 4000

// detail records a single call or start.
func (r *record) detail(format string, args ...any) {
	r.mu.Lock()
	r.details++
	n := r.details
	r.mu.Unlock()
	switch {
	case n < maxDetails:
		r.line(format, args...)
	case n == maxDetails:
		r.line("further calls and starts are counted only")
	}
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// world is a small deployment on loopback addresses.
type world struct {
	record   *record
	platform *platform
	fleet    *fleet
	daemons  []*daemon
	client   *client
	// clockRate is how fast the steady clocks of the minions run.
	clockRate float64

	mu      sync.Mutex
	minions []*minion
}

func (w *world) allMinions() []*minion {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]*minion(nil), w.minions...)
}

// addMinions adds n minions of 32 cores and 128 GB to a service, four to a rack.
func (w *world) addMinions(service string, n int) error {
	for range n {
		w.mu.Lock()
		i := len(w.minions)
		w.mu.Unlock()
		zone := fmt.Sprintf("z%d", i%3+1)
		m, err := newMinion(fmt.Sprintf("i-%08x", 0x7f3a0000+i), service, zone, []string{"a", fmt.Sprintf("r1-%d", i/4)}, resources{CPU: 32000, MemMB: 131072}, w.fleet)
		if err != nil {
			return err
		}
		w.mu.Lock()
		w.minions = append(w.minions, m)
		w.mu.Unlock()
		m.register(w.platform)
	}
	return nil
}

// configure writes a configuration with one queue and its tenant.
func (w *world) configure(version int, attempts int, targetMS int, cap resources) {
	w.platform.put("op/config", map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "quote", "host": host, "prefix": queueURL, "kind": "non_idempotent", "timeoutMs": 3000, "service": "quoter", "priority": 0,
			"maxAttempts": attempts, "stretch": 3.0, "targetDurationMs": targetMS, "public": false,
		}},
		"services": []any{map[string]any{"name": "quoter", "enforcesCapacity": true}},
		"tenants":  []any{map[string]any{"name": "acme", "apiKeys": []string{key}, "weight": 100.0, "cap": cap}},
		"limits":   map[string]any{"maxBodyBytes": bodyBytes},
	})
	w.record.line("operator: configuration %d, cap of the tenant %+v", version, cap)
}

// start starts everything and waits until the daemons are ready and serve the queue.
func (w *world) start(dir string, daemons, minions int) error {
	w.fleet = &fleet{present: map[gangKey][]*running{}, spans: map[string][]*span{}, clockRate: w.clockRate, record: w.record}
	var err error
	if w.platform, err = startPlatform(w.record, w.allMinions); err != nil {
		return err
	}
	w.configure(1, 2, 2500, resources{})
	if err := w.addMinions("quoter", minions); err != nil {
		return err
	}
	if w.daemons, err = startDaemons(daemons, dir, w.platform.address, w.record); err != nil {
		return err
	}
	w.client = newClient(w.daemons, w.record)
	for range 200 {
		ready := 0
		for _, d := range w.daemons {
			if resp, err := http.Get("http://" + d.ready + "/api/readiness"); err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == len(w.daemons) && w.client.waiting(queueURL) >= 0 {
			time.Sleep(3 * time.Second)
			w.record.line("%d daemons are ready; %d minions", ready, minions)
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("the daemons were not ready in time")
}

func (w *world) end() {
	for _, d := range w.daemons {
		d.end()
		w.record.line("%s: peak %d MB, %d ends over its memory, %d ends by itself", d.name, d.peakMB.Load(), d.overMemory.get(), d.exits.get())
	}
	if w.client != nil {
		w.record.line("answers to clients (0: none): %s", w.client.statuses())
		w.record.line("minions: %d starts, %d ends, %d done, %d alone, %d ends taken note of", w.fleet.starts.get(), w.fleet.ends.get(), w.fleet.done.get(), w.fleet.alone.get(), w.fleet.acked.get())
	}
}

// maxDuration is below the 120 seconds that a case may take.
const maxDuration = 115 * time.Second

var cases = map[string]func(w *world, dir string, trouble bool) (broken bool, err error){
	"memory": memoryCase, "gang": gangCase, "waiting": waitingCase, "steps": stepsCase, "twice": twiceCase,
}

func main() {
	name := flag.String("case", "", "case to play")
	out := flag.String("record", "record.txt", "file for the record")
	flag.Parse()
	play, ok := cases[*name]
	if !ok {
		os.Exit(2)
	}
	f, err := os.Create(*out)
	if err != nil {
		os.Exit(2)
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		os.Exit(2)
	}
	w := &world{record: &record{file: f, began: time.Now()}, clockRate: 1}
	trouble := os.Getenv("TROUBLE") != "0"
	w.record.line("case %s, disruption %v", *name, trouble)
	// The processes are ended also when the case is interrupted or takes too long.
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-interrupted:
		case <-time.After(maxDuration):
		}
		w.record.line("the case was interrupted or took too long")
		w.end()
		_ = os.RemoveAll(dir)
		os.Exit(2)
	}()
	broken, err := play(w, dir, trouble)
	w.end()
	code := 0
	switch {
	case err != nil:
		w.record.line("the case could not run: %v", err)
		code = 2
	case broken:
		w.record.line("RULE BROKEN")
		code = 1
	default:
		w.record.line("the rule held")
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(dir)
	} else {
		w.record.line("logs of the daemons: %s", dir)
	}
	_ = f.Close()
	os.Exit(code)
}
