package main

import (
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

// ordinary hands a job in every interval until stop is closed. It returns the ids of the accepted jobs.
func (w *world) ordinary(interval time.Duration, stop <-chan struct{}, done func(ids []string)) {
	var mu sync.Mutex
	var group sync.WaitGroup
	var ids []string
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		select {
		case <-stop:
			group.Wait()
			done(ids)
			return
		case <-tick.C:
			group.Go(func() {
				id := newID()
				if w.client.submit(queueURL, id, simpleJob(work{MS: 640, CPU: 1800, MemMB: 5100}, map[string]any{"count": 6})) {
					mu.Lock()
					ids = append(ids, id)
					mu.Unlock()
				}
			})
		}
	}
}

// settled asks for each job until it is shown as ended, for the given time. It returns how many were ended, not ended, not known
// and never answered.
func (w *world) settled(prefix string, ids []string, within time.Duration) (ended, open, unknown, silent int) {
	var mu sync.Mutex
	var group sync.WaitGroup
	limit := make(chan struct{}, 16)
	until := time.Now().Add(within)
	for _, id := range ids {
		group.Go(func() {
			limit <- struct{}{}
			defer func() { <-limit }()
			status, state := 0, ""
			for {
				status, state = w.client.state(prefix, id)
				if state == "completed" || state == "failed" || status == 410 || time.Now().After(until) {
					break
				}
				time.Sleep(300 * time.Millisecond)
			}
			mu.Lock()
			defer mu.Unlock()
			switch {
			case state == "completed" || state == "failed":
				ended++
			case status == 410:
				unknown++
			case status == 200:
				open++
			default:
				silent++
			}
		})
	}
	group.Wait()
	return ended, open, unknown, silent
}

// finish is finish_s of the settings.
const finish = 14 * time.Second

// ackBound is ackMs of the settings.
const ackBound = 4 * time.Second

// cancel cancels a job as a client does that repeats a call without an answer, and reports whether it was answered with
// 2xx or 410 within ackMs.
func (w *world) cancel(prefix, id string) bool {
	for began := time.Now(); ; {
		status, _ := w.client.call(http.MethodDelete, prefix+id, nil)
		if took := time.Since(began); took > ackBound {
			return false
		}
		if status/100 == 2 || status == http.StatusGone {
			return true
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// cancelAll cancels jobs at the same time and returns how many cancels were not answered within ackMs.
func (w *world) cancelAll(prefix string, ids []string) int {
	var missed counter
	var group sync.WaitGroup
	for _, id := range ids {
		group.Go(func() {
			if !w.cancel(prefix, id) {
				missed.add(1)
			}
		})
	}
	group.Wait()
	w.record.line("client: %d of %d cancels of accepted jobs had no 2xx or 410 after %v", missed.get(), len(ids), ackBound)
	return int(missed.get())
}

// acksBroken is the first rule Acks: more than a tenth of the cancels, three at least.
func acksBroken(missed, cancels int) bool { return missed >= 3 && missed*10 > cancels }

// submitLong hands in jobs of one task of 90 s.
func (w *world) submitLong(n int) []string {
	var ids []string
	for range n {
		id := newID()
		if w.client.submit(queueURL, id, simpleJob(work{MS: 90_000, CPU: 1000, MemMB: 5100}, map[string]any{"count": 1})) {
			ids = append(ids, id)
		}
	}
	return ids
}

// memoryCase: scheduled jobs are handed in that run hourly for a year, the first time in an hour.
func memoryCase(w *world, dir string, trouble bool) (bool, error) {
	if err := w.start(dir, 3, 8); err != nil {
		return false, err
	}
	long := w.submitLong(12)
	stop := make(chan struct{})
	var ids []string
	ended := make(chan struct{})
	go w.ordinary(250*time.Millisecond, stop, func(all []string) { ids = all; close(ended) })
	time.Sleep(5 * time.Second)
	if trouble {
		w.record.line("client: the large jobs begin: three bursts of 4 s, 12 s apart, of 32 jobs each, of ten steps of one task, to run hourly for a year (8,760 times), first in an hour")
		var accepted counter
		var group sync.WaitGroup
		for i := range 3 * 32 {
			if i > 0 && i%32 == 0 {
				time.Sleep(8 * time.Second)
			}
			unit := work{MS: 640, CPU: 1800, MemMB: 5100}
			steps := []any{}
			for j := range 10 {
				step := map[string]any{"count": 1, "cpu": unit.CPU, "memMb": unit.MemMB, "estimatedMs": unit.MS}
				if j > 0 {
					step["after"] = []int{j - 1}
				}
				steps = append(steps, step)
			}
			job := map[string]any{
				"spec": encode(unit), "steps": steps, "maxRuns": 8760, "startTimeMs": time.Now().Add(time.Hour).UnixMilli(), "intervalMs": 3_600_000,
			}
			group.Go(func() {
				if w.client.submit(queueURL, newID(), job) {
					accepted.add(1)
				}
			})
			time.Sleep(125 * time.Millisecond)
		}
		group.Wait()
		w.record.line("client: %d of the large jobs were accepted", accepted.get())
	} else {
		time.Sleep(28 * time.Second)
	}
	time.Sleep(20 * time.Second)
	w.record.line("so far: %s", w.client.statuses())
	missed := w.cancelAll(queueURL, long)
	close(stop)
	<-ended
	w.record.line("client: %d ordinary jobs were accepted; the traffic ends", len(ids))
	done, open, unknown, silent := w.settled(queueURL, ids, finish)
	w.record.line("client: of these %d ended, %d are shown as not ended, %d are not known, %d got no answer", done, open, unknown, silent)
	failing := w.failing()
	return acksBroken(missed, len(long)) || failing >= 2 || unknown+silent > 0, nil
}

// gangCase: jobs that fill most of the pool are cancelled, and a wide gang of small tasks is handed in.
func gangCase(w *world, dir string, trouble bool) (bool, error) {
	if err := w.start(dir, 3, 8); err != nil {
		return false, err
	}
	// Of the jobs handed in, a share below that of the site is cancelled.
	for range 8 {
		w.client.submit(queueURL, newID(), simpleJob(work{MS: 300, CPU: 100, MemMB: 100}, map[string]any{"count": 2}))
	}
	var cancelled []string
	for range 4 {
		id := newID()
		big := work{MS: 90_000, CPU: 10_000, MemMB: 5100}
		if w.client.submit(queueURL, id, simpleJob(big, map[string]any{"count": 4, "maxPerServer": 1})) {
			cancelled = append(cancelled, id)
		}
	}
	time.Sleep(2 * time.Second)
	w.record.line("client: %d jobs of four tasks of ten cores were accepted; %d tasks have started", len(cancelled), w.fleet.starts.get())
	if trouble {
		w.cancelAll(queueURL, cancelled)
	}
	time.Sleep(4 * time.Second)
	const members = 600
	unit := work{MS: 640, CPU: 50, MemMB: 100, Gangs: []string{"0"}, Members: members}
	var ids []string
	for range 2 {
		id := newID()
		if w.client.submit(queueURL, id, simpleJob(unit, map[string]any{"count": members, "gang": true})) {
			ids = append(ids, id)
			w.record.line("client: job %s with a gang of %d tasks of 0.05 cores was accepted", id, members)
		}
		time.Sleep(10 * time.Second)
	}
	done, open, unknown, silent := w.settled(queueURL, ids, finish)
	w.record.line("client: of the jobs with a gang %d ended, %d are shown as not ended, %d are not known, %d got no answer", done, open, unknown, silent)
	w.record.line("%d runs of members of gangs ended alone", w.fleet.alone.get())
	return w.fleet.alone.get() > 0, nil
}

// waitingCase: the only rack of a pool falls silent for 7.6 s while jobs are handed in.
func waitingCase(w *world, dir string, trouble bool) (bool, error) {
	if err := w.start(dir, 3, 4); err != nil {
		return false, err
	}
	const (
		darkFor = 7600 * time.Millisecond
		// shownAfter is visible_ms and the two seconds of the rule.
		shownAfter = 5 * time.Second
	)
	began := time.Now()
	if trouble {
		for _, m := range w.allMinions() {
			m.setDark(true)
		}
		w.record.line("minions: the rack is silent")
	}
	var group sync.WaitGroup
	for range 20 {
		group.Go(func() {
			id := newID()
			if w.client.submit(queueURL, id, simpleJob(work{MS: 640, CPU: 1800, MemMB: 5100}, map[string]any{"count": 1})) {
				w.record.line("client: job %s was accepted", id)
			}
		})
		time.Sleep(30 * time.Millisecond)
	}
	group.Wait()
	broken := false
	for time.Since(began) < darkFor-200*time.Millisecond {
		asked := time.Now()
		said := w.client.waiting(queueURL)
		w.client.mu.Lock()
		due := 0
		for id, at := range w.client.accepted {
			if _, ran := w.fleet.begun.Load(id); !ran && asked.Sub(at) > shownAfter {
				due++
			}
		}
		w.client.mu.Unlock()
		if due > 0 && said >= 0 && 2*said < due {
			broken = true
		}
		w.record.line("client: waiting %d; %d jobs that were accepted over %v ago have not begun", said, due, shownAfter)
		time.Sleep(200 * time.Millisecond)
	}
	return broken, nil
}

// bodyBytes is maxBodyBytes of the configuration.
const bodyBytes = 262144

// stepsCase: clients send bodies of legal size that list very many steps.
func stepsCase(w *world, dir string, trouble bool) (bool, error) {
	if err := w.start(dir, 3, 8); err != nil {
		return false, err
	}
	long := w.submitLong(12)
	stop := make(chan struct{})
	var ids []string
	ended := make(chan struct{})
	go w.ordinary(250*time.Millisecond, stop, func(all []string) { ids = all; close(ended) })
	time.Sleep(3 * time.Second)
	// Both bodies have nearly the same size, and both are refused: one has too many steps, the other one too long a spec.
	body := []byte(`{"spec":"` + strings.Repeat("x", bodyBytes-100) + `","steps":[{"count":1}]}`)
	if trouble {
		body = []byte(`{"spec":"x","steps":[{}` + strings.Repeat(",{}", (bodyBytes-100)/3) + `]}`)
	}
	const senders = 60
	w.record.line("client: %d further clients send one body of %d bytes after the other for 30 s", senders, len(body))
	until := time.Now().Add(30 * time.Second)
	var group sync.WaitGroup
	var sent counter
	for range senders {
		group.Go(func() {
			for time.Now().Before(until) {
				w.client.call(http.MethodPost, queueURL+newID(), body)
				sent.add(1)
				time.Sleep(time.Second)
			}
		})
	}
	time.Sleep(20 * time.Second)
	missed := w.cancelAll(queueURL, long)
	group.Wait()
	w.record.line("client: %d such bodies were sent", sent.get())
	close(stop)
	<-ended
	w.record.line("client: %d ordinary jobs were accepted; the traffic ends", len(ids))
	done, open, unknown, silent := w.settled(queueURL, ids, finish)
	w.record.line("client: of these %d ended, %d are shown as not ended, %d are not known, %d got no answer", done, open, unknown, silent)
	failing := w.failing()
	return acksBroken(missed, len(long)) || failing >= 2 || unknown+silent > 0, nil
}

// failing returns how many machines fail by the rule Fault: their process ended three times, also by exceeding the memory.
func (w *world) failing() int {
	failing := 0
	for _, d := range w.daemons {
		if d.overMemory.get()+d.exits.get() >= 3 {
			failing++
		}
	}
	w.record.line("%d machines of %d whose process ended three times or more", failing, len(w.daemons))
	return failing
}

// twiceCase: minions whose clocks are 2% slow are cut off one way from the daemon that sends them work, after the pool was idle for
// some time. CLOCK=exact shows the same with exact clocks.
func twiceCase(w *world, dir string, trouble bool) (bool, error) {
	const (
		minions = 11
		idle    = 54 * time.Second
		cutFor  = 5 * time.Second
	)
	w.clockRate = 0.98
	if os.Getenv("CLOCK") == "exact" {
		w.clockRate = 1
	}
	if err := w.start(dir, 4, minions); err != nil {
		return false, err
	}
	w.client.submit(queueURL, newID(), simpleJob(work{MS: 300, CPU: 10_000, MemMB: 5100}, map[string]any{"count": 2 * minions, "maxPerServer": 2}))
	time.Sleep(3 * time.Second)
	w.record.line("minions: %d starts, %d done; the pool is idle for %v", w.fleet.starts.get(), w.fleet.done.get(), idle)
	time.Sleep(idle)
	all := w.allMinions()
	if trouble {
		for _, m := range all[:minions/5] {
			m.link.setCut(true)
			w.record.line("minion %s is cut off one way: it hears the daemons, and they do not hear it", m.id)
		}
	}
	// Two tasks of the step don't fit on one minion. Two minions stay idle.
	unit := work{MS: 6500, CPU: 20_000, MemMB: 5100}
	id := newID()
	w.client.submit(queueURL, id, simpleJob(unit, map[string]any{"count": minions - 2}))
	time.Sleep(cutFor)
	for _, m := range all {
		m.link.setCut(false)
	}
	w.record.line("the links are mended")
	time.Sleep(8 * time.Second)
	_, state := w.client.state(queueURL, id)
	w.record.line("client: job %s is shown as %q", id, state)
	n := w.fleet.overlaps()
	w.record.line("%d times two runs of a task went on at the same time", n)
	return n > 0, nil
}
