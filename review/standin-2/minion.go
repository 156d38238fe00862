package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// tickInterval is how often the work of the runs advances.
	tickInterval = 5 * time.Millisecond
	// maxHoldMS is the longest lease of a minion, stopGrace the longest time of a stop, and gangTimeout how long a member
	// of a gang waits for the others; the settings of the daemons say the same.
	maxHoldMS   = 10_000
	stopGraceMS = 200
	gangTimeout = 3 * time.Second
	// maxListedEnds is how many ends one list holds.
	maxListedEnds = 500
	// beatInterval is how often a minion writes its entry.
	beatInterval = 1500 * time.Millisecond
)

// step describes the tasks of a step, as the client submits them and as the minions run them.
type step struct {
	Count         int   `json:"count"`
	CPU           int64 `json:"cpu"`
	MemMB         int64 `json:"memMb"`
	EstimatedMS   int64 `json:"estimatedMs"`
	After         []int `json:"after,omitempty"`
	Gang          bool  `json:"gang,omitempty"`
	Checkpointing bool  `json:"checkpointing,omitempty"`
	LongRunning   bool  `json:"longRunning,omitempty"`
	MaxPerServer  int   `json:"maxPerServer,omitempty"`
	// workMS is how long a task works; only the minions know it.
	workMS int64
}

// fleet is the set of all minions and what the judge sees of them.
type fleet struct {
	mu      sync.Mutex
	record  *recorder
	steps   map[string]step // by ID.STEP
	minions []*minion
	// starts and dones count the runs that began and that ended done, by task. lastStart is when the last one began.
	starts, dones map[string]int
	lastStart     map[string]time.Time
	// acked counts the tasks with an end done that was taken note of.
	acked map[string]bool
	// running counts the runs at present by job.
	running map[string]int
	// advisor gives the tickets that starts need; nil if they need none.
	advisor *advisor
	// quiet leaves starts and ends out of the record.
	quiet bool
}

func newFleet(r *recorder) *fleet {
	f := &fleet{
		record: r, steps: map[string]step{}, starts: map[string]int{}, dones: map[string]int{}, lastStart: map[string]time.Time{}, acked: map[string]bool{},
		running: map[string]int{},
	}
	go func() {
		last := time.Now()
		for {
			time.Sleep(tickInterval)
			now := time.Now()
			f.tick(now, now.Sub(last))
			last = now
		}
	}()
	return f
}

// know tells the minions the steps of a job that a client sends.
func (f *fleet) know(id string, steps []step) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, s := range steps {
		f.steps[fmt.Sprintf("%s.%d", id, i)] = s
	}
}

// stepOf returns the step of a task ID.K.STEP.INDEX.
func (f *fleet) stepOf(task string) (step, bool) {
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return step{}, false
	}
	s, ok := f.steps[parts[0]+"."+parts[2]]
	return s, ok
}

// minion is one life of a minion.
type minion struct {
	fleet    *fleet
	id       string
	service  string
	address  string
	capacity map[string]int64
	labels   []string
	server   *http.Server

	born    time.Time
	token   uint64
	leaseMS int64
	runs    map[string]*run
	highest map[string]int
	ends    []end
	nextEnd int64
	changed chan struct{}
	down    bool
	entrySq int
}

type run struct {
	task       string
	number     int
	step       step
	worked     time.Duration
	begun      time.Time
	stopAt     time.Time
	checkpoint string
}

type end struct {
	number int64
	task   string
	run    int
	how    string
	saved  string
}

// addMinion starts a minion.
func (f *fleet) addMinion(id, service string, rack int, cpu, memMB int64) (*minion, error) {
	m := &minion{
		fleet: f, id: id, service: service, capacity: map[string]int64{"cpu": cpu, "memMb": memMB, "gpu": 0},
		labels: []string{"a", fmt.Sprintf("r1-%d", rack)}, born: time.Now(),
		runs: map[string]*run{}, highest: map[string]int{}, changed: make(chan struct{}),
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	m.address = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/run-start", m.serve(m.start))
	mux.HandleFunc("POST /api/run-stop", m.serve(m.stop))
	mux.HandleFunc("POST /api/pace", m.serve(m.pace))
	mux.HandleFunc("POST /api/hold", m.hold)
	m.server = &http.Server{Handler: mux}
	go func() { _ = m.server.Serve(l) }() // returns after Close
	f.mu.Lock()
	defer f.mu.Unlock()
	f.minions = append(f.minions, m)
	return m, nil
}

// crash ends the minion and all that runs on it, for good.
func (m *minion) crash() {
	m.fleet.mu.Lock()
	m.down = true
	for key, r := range m.runs {
		m.fleet.record.add("minion %s: %s run %d ends with the minion", m.id, r.task, r.number)
		m.fleet.removed(r)
		delete(m.runs, key)
	}
	m.fleet.mu.Unlock()
	_ = m.server.Close() // resets open connections
	m.fleet.record.add("minion %s crashes", m.id)
}

// clock returns the steady clock in milliseconds.
func (m *minion) clock() int64 {
	return time.Since(m.born).Milliseconds()
}

type command struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"spec"`
	ExpiryMS   int64  `json:"expiryMs"`
	Token      uint64 `json:"fencingToken"`
	Ticket     string `json:"ticket"`
	Checkpoint string `json:"lastCheckpoint"`
	AckedUpTo  int64  `json:"ackedUpTo"`
	WaitMS     int64  `json:"waitMs"`
}

func respond(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the caller may have gone
}

// decode reads a command and checks the intended incarnation.
func (m *minion) decode(w http.ResponseWriter, r *http.Request) (command, bool) {
	var c command
	if target := r.Header.Get("Samphirestile-Target-Instance"); target != "" && target != m.id {
		respond(w, http.StatusMisdirectedRequest, struct{}{})
		return c, false
	}
	if json.NewDecoder(r.Body).Decode(&c) != nil {
		respond(w, http.StatusBadRequest, struct{}{})
		return c, false
	}
	return c, true
}

// serve answers a command on one run; call returns the reason of a refusal.
func (m *minion) serve(call func(command) string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		c, ok := m.decode(w, r)
		if !ok {
			return
		}
		m.fleet.mu.Lock()
		if m.down {
			// The call was on its way when the minion crashed.
			m.fleet.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		reason := "fence"
		if c.Token >= m.token {
			m.token = c.Token
			reason = call(c)
		}
		clock := m.clock()
		m.fleet.mu.Unlock()
		if reason != "" {
			respond(w, http.StatusConflict, map[string]any{"clockMs": clock, "reason": reason})
			return
		}
		respond(w, http.StatusOK, map[string]any{"clockMs": clock})
	}
}

func runKey(task string, number int) string { return task + "#" + strconv.Itoa(number) }

func (m *minion) extend(expiryMS int64) {
	m.leaseMS = max(m.leaseMS, min(expiryMS, m.clock()+maxHoldMS))
}

func (m *minion) used() (cpu, mem int64) {
	for _, r := range m.runs {
		cpu += r.step.CPU
		mem += r.step.MemMB
	}
	return cpu, mem
}

func (m *minion) start(c command) string {
	f := m.fleet
	if c.ExpiryMS <= m.clock() {
		return "late"
	}
	key := runKey(c.Task, c.Run)
	if m.runs[key] != nil {
		m.extend(c.ExpiryMS)
		return ""
	}
	m.extend(c.ExpiryMS)
	if c.Run <= m.highest[c.Task] {
		return "old"
	}
	if f.advisor != nil && !f.advisor.admits(m.id, c.Task, c.Ticket) {
		return "ticket"
	}
	s, known := f.stepOf(c.Task)
	if !known {
		f.record.add("minion %s: start of %s run %d, which no client sent", m.id, c.Task, c.Run)
		return "room"
	}
	if cpu, mem := m.used(); cpu+s.CPU > m.capacity["cpu"] || mem+s.MemMB > m.capacity["memMb"] {
		return "room"
	}
	m.runs[key] = &run{task: c.Task, number: c.Run, step: s, begun: time.Now(), checkpoint: c.Checkpoint}
	f.starts[c.Task]++
	f.lastStart[c.Task] = time.Now()
	f.running[jobOf(c.Task)]++
	if !f.quiet {
		f.record.add("minion %s: %s run %d starts (token %d, checkpoint %q)", m.id, c.Task, c.Run, c.Token, c.Checkpoint)
	}
	return ""
}

func (m *minion) stop(c command) string {
	m.highest[c.Task] = max(m.highest[c.Task], c.Run)
	if r := m.runs[runKey(c.Task, c.Run)]; r != nil && r.stopAt.IsZero() {
		r.stopAt = time.Now().Add(stopGraceMS / 2 * time.Millisecond)
		m.fleet.record.add("minion %s: %s run %d is told to stop", m.id, c.Task, c.Run)
	}
	return ""
}

func (m *minion) pace(command) string { return "" }

func (m *minion) hold(w http.ResponseWriter, r *http.Request) {
	c, ok := m.decode(w, r)
	if !ok {
		return
	}
	f := m.fleet
	f.mu.Lock()
	if m.down {
		f.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	if c.Token < m.token {
		clock := m.clock()
		f.mu.Unlock()
		respond(w, http.StatusConflict, map[string]any{"clockMs": clock, "reason": "fence"})
		return
	}
	m.token = c.Token
	for len(m.ends) > 0 && m.ends[0].number <= c.AckedUpTo {
		if m.ends[0].how == "done" {
			f.acked[m.ends[0].task] = true
		}
		m.ends = m.ends[1:]
	}
	if c.ExpiryMS > 0 {
		m.extend(c.ExpiryMS)
	}
	wait, changed := len(m.ends) == 0 && c.WaitMS > 0, m.changed
	f.mu.Unlock()
	if wait {
		select {
		case <-changed:
		case <-time.After(time.Duration(c.WaitMS) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
	}
	f.mu.Lock()
	running, finished := []any{}, []any{}
	for _, r := range m.runs {
		running = append(running, []any{r.task, r.number, r.checkpoint, 100, r.step.CPU})
	}
	for _, e := range m.ends[:min(len(m.ends), maxListedEnds)] {
		finished = append(finished, []any{e.number, e.task, e.run, e.how, e.saved})
	}
	body := map[string]any{"clockMs": m.clock(), "born": m.born.UnixMilli(), "running": running, "finished": finished}
	f.mu.Unlock()
	respond(w, http.StatusOK, body)
}

func jobOf(task string) string { return task[:strings.IndexByte(task, '.')] }

// removed counts a run that is there no more.
func (f *fleet) removed(r *run) { f.running[jobOf(r.task)]-- }

// progress returns how many tasks are done, of how many of these the end was taken note of, and how many runs a job has.
func (f *fleet) progress(job string) (done, acked, running int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.dones), len(f.acked), f.running[job]
}

// end ends a run and lists its end.
func (m *minion) end(key string, how string) {
	r := m.runs[key]
	delete(m.runs, key)
	m.fleet.removed(r)
	m.highest[r.task] = max(m.highest[r.task], r.number)
	m.nextEnd++
	m.ends = append(m.ends, end{m.nextEnd, r.task, r.number, how, r.checkpoint})
	if how == "done" {
		m.fleet.dones[r.task]++
	}
	if !m.fleet.quiet {
		m.fleet.record.add("minion %s: %s run %d ends %s", m.id, r.task, r.number, how)
	}
	close(m.changed)
	m.changed = make(chan struct{})
}

// gangKey names one run of a gang: ID.K.STEP and the number.
func gangKey(r *run) string {
	return r.task[:strings.LastIndexByte(r.task, '.')] + "#" + strconv.Itoa(r.number)
}

// tick advances the work of all runs.
func (f *fleet) tick(now time.Time, passed time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	present, broken := map[string]int{}, map[string]bool{}
	for _, m := range f.minions {
		for _, r := range m.runs {
			if r.step.Gang {
				present[gangKey(r)]++
			}
		}
	}
	for _, m := range f.minions {
		if m.down {
			continue
		}
		lapsed := m.clock() >= m.leaseMS
		for key, r := range m.runs {
			complete := !r.step.Gang || present[gangKey(r)] >= r.step.Count
			switch {
			case lapsed:
				m.end(key, "lapsed")
				broken[gangKey(r)] = r.step.Gang
			case !r.stopAt.IsZero() && now.After(r.stopAt):
				m.end(key, "stopped")
				broken[gangKey(r)] = r.step.Gang
			case !complete && r.worked > 0:
				m.end(key, "broken")
			case !complete && now.Sub(r.begun) > gangTimeout:
				m.end(key, "alone")
			case complete:
				before := r.worked
				r.worked += passed
				if r.step.Checkpointing && r.worked/checkpointInterval > before/checkpointInterval {
					r.checkpoint = fmt.Sprintf("%08x%08x", r.worked.Milliseconds(), m.nextEnd)
				}
				if !r.step.LongRunning && r.worked >= time.Duration(r.step.workMS)*time.Millisecond {
					m.end(key, "done")
				}
			}
		}
	}
}

// checkpointInterval is the work after which a task makes a new checkpoint.
const checkpointInterval = time.Second

// entry is the minion's entry in the store. The caller holds mu.
func (m *minion) entry() map[string]any {
	m.entrySq++
	return map[string]any{
		"service": m.service, "address": m.address, "zone": "nz-north-a", "version": "v1", "slots": 8, "state": "ready", "coldRemainingMs": 0,
		"capacity": m.capacity, "labels": m.labels, "clockMs": m.clock(), "sequence": m.entrySq, "born": m.born.UnixMilli(),
	}
}
