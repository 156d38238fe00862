package main

import (
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	maxHold    = 10 * time.Second
	stopGrace  = 200 * time.Millisecond
	gangWait   = 3 * time.Second
	heartbeat  = 1500 * time.Millisecond
	maxEnds    = 500
	instanceOf = "Samphirestile-Target-Instance"
)

type resources struct {
	CPU   int64 `json:"cpu"`
	MemMB int64 `json:"memMb"`
	GPU   int64 `json:"gpu"`
}

// work tells a minion what the tasks of a job do. It is the job's spec.
type work struct {
	MS int `json:"ms"`
	// Fails are the steps whose tasks fail.
	Fails []string `json:"fails,omitempty"`
	Gangs []string `json:"gangs,omitempty"`
	// Members is the size of a gang.
	Members int   `json:"members,omitempty"`
	CPU     int64 `json:"cpu"`
	MemMB   int64 `json:"mem"`
}

func (w work) in(list []string, task string) bool {
	step := strings.Split(task, ".")[2]
	for _, s := range list {
		if s == step {
			return true
		}
	}
	return false
}

// fleet holds what the minions share: the members of gangs that are present.
type fleet struct {
	mu sync.Mutex
	// present holds the members of each run of a gang.
	present map[gangKey][]*running
	record  *record
	// starts, done and alone count the runs of all minions; acked counts the ends that were taken note of.
	starts, done, alone, acked, ends counter
	// begun holds the jobs of which a task has begun.
	begun sync.Map
	// clockRate is how fast the steady clocks of the minions run; they may be 2% slow.
	clockRate float64
	// spans holds the runs of each task, for the rule TWICE.
	spans map[string][]*span
}

// span is one run of a task on a minion.
type span struct {
	minion string
	run    int
	began  time.Time
	ended  time.Time
	how    string
}

// begin records the start of a run and returns its span.
func (f *fleet) begin(m *minion, task string, run int) *span {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := &span{minion: m.id, run: run, began: time.Now()}
	f.spans[task] = append(f.spans[task], s)
	return s
}

func (f *fleet) endSpan(s *span, how string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s.ended, s.how = time.Now(), how
}

// overlaps counts the tasks of which two runs were going on at the same time, and records them.
func (f *fleet) overlaps() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for task, spans := range f.spans {
		for i, a := range spans {
			for _, b := range spans[:i] {
				first, second := b, a
				if second.began.Before(first.began) {
					first, second = a, b
				}
				if first.ended.IsZero() || first.ended.After(second.began) {
					n++
					f.record.line("minions: run %d of %s began on %s %.3f s before run %d of it ended (%s) on %s, where it began %.3f s earlier",
						second.run, task, second.minion, endOr(first.ended).Sub(second.began).Seconds(), first.run, first.how, first.minion,
						second.began.Sub(first.began).Seconds())
				}
			}
		}
	}
	return n
}

func endOr(t time.Time) time.Time {
	if t.IsZero() {
		return time.Now()
	}
	return t
}

type gangKey struct {
	job, occurrence, step string
	run                   int
}

// minion runs tasks as a sound worker does.
type minion struct {
	id, service, zone, address string
	labels                     []string
	capacity                   resources
	fleet                      *fleet
	link                       *link
	born                       time.Time

	mu       sync.Mutex
	dark     bool
	token    uint64
	leaseEnd int64
	runs     map[string]*running
	highest  map[string]int
	ends     []end
	last     int64
	used     resources
	changed  chan struct{}
}

type running struct {
	minion  *minion
	task    string
	run     int
	work    work
	gang    *gangKey
	stopped bool
	span    *span
}

type end struct {
	n    int64
	task string
	run  int
	how  string
}

func newMinion(id, service, zone string, labels []string, capacity resources, f *fleet) (*minion, error) {
	m := &minion{
		id: id, service: service, zone: zone, labels: labels, capacity: capacity, fleet: f, born: time.Now(),
		runs: map[string]*running{}, highest: map[string]int{}, changed: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/run-start", m.serve(m.start))
	mux.HandleFunc("POST /api/run-stop", m.serve(m.stop))
	mux.HandleFunc("POST /api/hold", m.serve(m.hold))
	mux.HandleFunc("POST /api/pace", m.serve(func(*command) (int, map[string]any) { return 200, map[string]any{} }))
	own, err := listen(mux)
	if err != nil {
		return nil, err
	}
	go m.expire()
	m.link, m.address, err = listenLink(own)
	return m, err
}

type command struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"spec"`
	ExpiryMS   int64  `json:"expiryMs"`
	Token      uint64 `json:"fencingToken"`
	Checkpoint string `json:"lastCheckpoint"`
	AckedUpTo  int64  `json:"ackedUpTo"`
	WaitMS     int64  `json:"waitMs"`
}

func (m *minion) serve(f func(*command) (int, map[string]any)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		m.mu.Lock()
		dark := m.dark
		m.mu.Unlock()
		if dark {
			// A dark minion neither acts nor answers; the caller's own time-out ends the call.
			<-r.Context().Done()
			return
		}
		if t := r.Header.Get(instanceOf); t != "" && t != m.id {
			respond(w, http.StatusMisdirectedRequest, struct{}{})
			return
		}
		var c command
		if json.NewDecoder(r.Body).Decode(&c) != nil {
			respond(w, http.StatusBadRequest, struct{}{})
			return
		}
		status, body := f(&c)
		body["clockMs"] = m.clock()
		body["born"] = m.born.UnixMilli()
		respond(w, status, body)
	}
}

// clock is the minion's steady clock.
func (m *minion) clock() int64 {
	return int64(float64(time.Since(m.born).Milliseconds())*m.fleet.clockRate) + 1000
}

func refused(reason string) (int, map[string]any) {
	return http.StatusConflict, map[string]any{"reason": reason}
}

// fenced reports whether the token is lower than the highest one seen. The caller holds mu.
func (m *minion) fenced(token uint64) bool {
	if token < m.token {
		return true
	}
	m.token = token
	return false
}

func (m *minion) extend(expiry int64) {
	m.leaseEnd = max(m.leaseEnd, min(expiry, m.clock()+maxHold.Milliseconds()))
}

func (m *minion) start(c *command) (int, map[string]any) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.fenced(c.Token) {
		return refused("fence")
	}
	if c.ExpiryMS <= m.clock() {
		return refused("late")
	}
	m.extend(c.ExpiryMS)
	if r := m.runs[c.Task]; r != nil && r.run == c.Run {
		return 200, map[string]any{}
	}
	if c.Run <= m.highest[c.Task] || m.runs[c.Task] != nil {
		return refused("old")
	}
	var w work
	if json.Unmarshal([]byte(c.Spec), &w) != nil {
		return http.StatusBadRequest, map[string]any{}
	}
	if m.used.CPU+w.CPU > m.capacity.CPU || m.used.MemMB+w.MemMB > m.capacity.MemMB {
		return refused("room")
	}
	r := &running{minion: m, task: c.Task, run: c.Run, work: w}
	r.span = m.fleet.begin(m, c.Task, c.Run)
	m.runs[c.Task] = r
	m.used.CPU += w.CPU
	m.used.MemMB += w.MemMB
	m.fleet.starts.add(1)
	m.fleet.record.detail("minion %s: starts %s run %d, token %d", m.id, c.Task, c.Run, c.Token)
	m.fleet.begun.Store(strings.Split(c.Task, ".")[0], true)
	if w.in(w.Gangs, c.Task) {
		p := strings.Split(c.Task, ".")
		r.gang = &gangKey{p[0], p[1], p[2], c.Run}
		m.fleet.join(r)
	} else {
		how := "done"
		if w.in(w.Fails, c.Task) {
			how = "failed"
		}
		time.AfterFunc(time.Duration(w.MS)*time.Millisecond, func() { r.end(how) })
	}
	return 200, map[string]any{}
}

// join adds a member of a gang. The gang is at work from when all members of one run are present.
func (f *fleet) join(r *running) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.present[*r.gang] = append(f.present[*r.gang], r)
	members := f.present[*r.gang]
	if len(members) == r.work.Members {
		time.AfterFunc(time.Duration(r.work.MS)*time.Millisecond, func() {
			for _, m := range members {
				m.end("done")
			}
		})
		return
	}
	time.AfterFunc(gangWait, func() {
		f.mu.Lock()
		n := len(f.present[*r.gang])
		f.mu.Unlock()
		if n < r.work.Members && r.end("alone") {
			if f.alone.add(1) <= 10 {
				f.record.line("minion %s: %s run %d ended alone: %d of %d members were present", r.minion.id, r.task, r.run, n, r.work.Members)
			}
		}
	})
}

// end ends a run and reports whether it was going on.
func (r *running) end(how string) bool {
	m := r.minion
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.finish(r, how)
}

// finish ends a run. The caller holds mu.
func (m *minion) finish(r *running, how string) bool {
	if m.runs[r.task] != r {
		return false
	}
	m.fleet.endSpan(r.span, how)
	delete(m.runs, r.task)
	m.used.CPU -= r.work.CPU
	m.used.MemMB -= r.work.MemMB
	m.highest[r.task] = max(m.highest[r.task], r.run)
	m.last++
	m.ends = append(m.ends, end{m.last, r.task, r.run, how})
	m.fleet.ends.add(1)
	if how == "done" {
		m.fleet.done.add(1)
	}
	close(m.changed)
	m.changed = make(chan struct{})
	if r.gang != nil && how != "done" && how != "alone" {
		f, key := m.fleet, *r.gang
		go func() {
			f.mu.Lock()
			members := f.present[key]
			f.mu.Unlock()
			for _, other := range members {
				other.end("broken")
			}
		}()
	}
	return true
}

func (m *minion) stop(c *command) (int, map[string]any) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.fenced(c.Token) {
		return refused("fence")
	}
	m.highest[c.Task] = max(m.highest[c.Task], c.Run)
	if r := m.runs[c.Task]; r != nil && r.run <= c.Run && !r.stopped {
		r.stopped = true
		time.AfterFunc(stopGrace/4, func() { r.end("stopped") })
	}
	return 200, map[string]any{}
}

func (m *minion) hold(c *command) (int, map[string]any) {
	m.mu.Lock()
	if m.fenced(c.Token) {
		m.mu.Unlock()
		return refused("fence")
	}
	for len(m.ends) > 0 && m.ends[0].n <= c.AckedUpTo {
		m.ends = m.ends[1:]
		m.fleet.acked.add(1)
	}
	if c.ExpiryMS > 0 {
		m.extend(c.ExpiryMS)
	}
	waits, changed := len(m.ends) == 0 && c.WaitMS > 0, m.changed
	m.mu.Unlock()
	if waits {
		select {
		case <-changed:
		case <-time.After(time.Duration(min(c.WaitMS, 2000)) * time.Millisecond):
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	rows, ends := []any{}, []any{}
	for _, r := range m.runs {
		rows = append(rows, []any{r.task, r.run, "", 100, r.work.CPU})
	}
	for _, e := range m.ends[:min(len(m.ends), maxEnds)] {
		ends = append(ends, []any{e.n, e.task, e.run, e.how, ""})
	}
	return 200, map[string]any{"running": rows, "finished": ends}
}

// expire ends all runs when the lease has ended.
func (m *minion) expire() {
	for range time.Tick(20 * time.Millisecond) {
		m.mu.Lock()
		if len(m.runs) > 0 && m.clock() > m.leaseEnd {
			for _, r := range m.runs {
				m.finish(r, "lapsed")
			}
		}
		m.mu.Unlock()
	}
}

// register writes the minion's entry, and writes it again at each heartbeat while the minion is not dark.
func (m *minion) register(p *platform) {
	write := func(sequence int) {
		p.put("servers/"+m.id, map[string]any{
			"service": m.service, "address": m.address, "zone": m.zone, "version": "1", "slots": 8, "state": "ready", "coldRemainingMs": 0,
			"sequence": sequence, "capacity": m.capacity, "labels": m.labels, "born": m.born.UnixMilli(),
		})
	}
	write(1)
	go func() {
		n := 1
		for range time.Tick(heartbeat) {
			m.mu.Lock()
			dark := m.dark
			m.mu.Unlock()
			if !dark {
				n++
				write(n)
			}
		}
	}()
}

func (m *minion) setDark(dark bool) {
	m.mu.Lock()
	m.dark = dark
	m.mu.Unlock()
}
