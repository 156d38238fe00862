package main

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	service     = "dele69a"
	queueHost   = "pule25.example"
	queuePrefix = "/puxa400/"
	tenant      = "tenant-1"
	apiKey      = "key-1"

	heartbeat    = 1500 * time.Millisecond
	lapseCheck   = 10 * time.Millisecond
	readyTimeout = 20 * time.Second
	// clientTimeout is how long a client waits for a response.
	clientTimeout = 3 * time.Second
	clientPause   = 250 * time.Millisecond
	graceTime     = 6 * time.Second
)

// bounds are the figures of the settings that differ between the deployments.
type bounds struct {
	stopGrace time.Duration
}

// cell is a small deployment: the platform, its workers and the daemons.
type cell struct {
	rec    *record
	bounds bounds
	dir    string
	daemon string

	store   *kvStore
	tasks   *tasks
	servers []*http.Server
	cloud   string
	stop    context.CancelFunc
	ctx     context.Context

	mu      sync.Mutex
	workers []*simWorker
	daemons []*daemon
	http    *http.Client
}

// daemon is one process of the system.
type daemon struct {
	name, ip, settings string
	cmd                *exec.Cmd
	done               chan struct{}
}

func newCell(rec *record, program string, b bounds) (*cell, error) {
	if _, err := os.Stat(program); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	c := &cell{rec: rec, bounds: b, dir: dir, daemon: program, store: newStore(), tasks: newTasks(rec)}
	c.ctx, c.stop = context.WithCancel(context.Background())
	c.http = &http.Client{Timeout: clientTimeout}
	if c.cloud, err = c.listen(c.cloudHandler()); err != nil {
		c.close()
		return nil, err
	}
	return c, nil
}

// listen serves a handler on a free loopback address.
func (c *cell) listen(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h}
	c.servers = append(c.servers, s)
	go func() { _ = s.Serve(l) }() // returns when the server is closed
	return l.Addr().String(), nil
}

// close ends all processes that the case started.
func (c *cell) close() {
	c.stop()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, d := range c.daemons {
		if d.cmd != nil {
			_ = d.cmd.Process.Signal(syscall.SIGCONT)
			_ = d.cmd.Process.Kill() // it may have ended
			<-d.done
		}
	}
	for _, s := range c.servers {
		_ = s.Close()
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(c.dir)
	} else {
		fmt.Println("logs of the daemons:", c.dir)
	}
}

// cloudHandler serves the list of machines. The pool needs no move, and no wave is asked for.
func (c *cell) cloudHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/machines", func(w http.ResponseWriter, _ *http.Request) {
		c.mu.Lock()
		defer c.mu.Unlock()
		machines := []any{}
		for _, s := range c.workers {
			state, id := "up", any(s.id)
			if s.isLost() {
				state, id = "down", nil
			}
			machines = append(machines, map[string]any{
				"machine": "m-" + s.id, "pool": s.service, "state": state, "zone": "nz-north-a", "labels": s.labels,
				"capacity": map[string]int64{"cpu": s.cpu, "memMb": s.mem, "gpu": 0}, "id": id,
			})
		}
		respond(w, http.StatusOK, map[string]any{"machines": machines, "nextToken": nil})
	})
	mux.HandleFunc("POST /", func(w http.ResponseWriter, r *http.Request) {
		c.rec.note("unexpected call %s", r.URL.Path)
		respond(w, http.StatusBadRequest, struct{}{})
	})
	return mux
}

// addWorkers starts n workers, set up by f.
func (c *cell) addWorkers(n int, f func(*simWorker)) error {
	for i := range n {
		w := &simWorker{
			id: fmt.Sprintf("i-7f3a91%02x", len(c.workers)), service: service, cpu: 32_000, mem: 131_072, labels: []string{"a", fmt.Sprintf("r1-%d", i/4)},
			guards: true, stopGrace: c.bounds.stopGrace, maxHold: 10 * time.Second, rate: 1, began: time.Now(), tasks: c.tasks,
			runs: map[string]*run{}, highest: map[string]int{}, changed: make(chan struct{}),
		}
		if f != nil {
			f(w)
		}
		var err error
		if w.address, err = c.listen(w.handler()); err != nil {
			return err
		}
		c.mu.Lock()
		c.workers = append(c.workers, w)
		c.mu.Unlock()
		if err := c.store.put("servers/"+w.id, w.entry(1)); err != nil {
			return err
		}
		go c.live(w)
	}
	return nil
}

// live writes the worker's entry and ends its runs when its lease ends.
func (c *cell) live(w *simWorker) {
	beat, check := time.NewTicker(heartbeat), time.NewTicker(lapseCheck)
	defer beat.Stop()
	defer check.Stop()
	for sequence := 2; ; {
		select {
		case <-c.ctx.Done():
			return
		case <-beat.C:
			if w.isLost() {
				return
			}
			if err := c.store.put("servers/"+w.id, w.entry(sequence)); err != nil {
				c.rec.note("entry of %s: %v", w.id, err)
			}
			sequence++
		case <-check.C:
			w.lapse()
		}
	}
}

// configure writes the operator's first configuration; limitCPU is the tenant's limit in thousandths of a
// core.
func (c *cell) configure(limitCPU int64) error {
	return c.writeConfiguration(7, limitCPU, []string{service}, queue{"r-1", queuePrefix, service})
}

// queue is a route of the configuration.
type queue struct{ name, prefix, service string }

func (c *cell) writeConfiguration(version int, limitCPU int64, services []string, queues ...queue) error {
	routes, listed := []any{}, []any{}
	for _, q := range queues {
		routes = append(routes, map[string]any{
			"name": q.name, "host": queueHost, "prefix": q.prefix, "kind": "non_idempotent", "timeoutMs": 3000, "targetDurationMs": 600,
			"priority": 0, "service": q.service, "maxAttempts": 3, "stretch": 1.6, "public": false,
		})
	}
	for _, s := range services {
		listed = append(listed, map[string]any{"name": s, "enforcesCapacity": true, "healthPath": "/health"})
	}
	c.rec.note("the operator writes version %d: %v", version, queues)
	return c.store.put("op/config", map[string]any{
		"version": version, "routes": routes, "services": listed,
		"tenants": []any{map[string]any{
			"name": tenant, "apiKeys": []string{apiKey}, "weight": 10.0, "cap": map[string]int64{"cpu": limitCPU, "memMb": 0, "gpu": 0},
		}},
		"limits": map[string]any{"maxBodyBytes": 262_144},
	})
}

// startDaemons starts n daemons and waits until they are ready.
func (c *cell) startDaemons(n int) error {
	for i := range n {
		ip, err := freeAddress()
		if err != nil {
			return err
		}
		storeAddress, err := c.listen(c.store.handler())
		if err != nil {
			return err
		}
		d := &daemon{name: fmt.Sprintf("front-nz-north-a-%d", i+1), ip: ip}
		d.settings = filepath.Join(c.dir, d.name+".toml")
		if err := os.WriteFile(d.settings, []byte(c.settings(d, storeAddress)), 0o600); err != nil {
			return err
		}
		c.mu.Lock()
		c.daemons = append(c.daemons, d)
		c.mu.Unlock()
		if err := c.launch(d); err != nil {
			return err
		}
	}
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, d := range c.daemons {
			if c.ready(d) {
				ready++
			}
		}
		if _, owned := c.owner(); ready == n && owned {
			time.Sleep(time.Second) // the workers are contacted
			c.rec.note("%d daemons are ready", n)
			return nil
		}
	}
	return errors.New("the daemons are not ready")
}

// freeAddress returns a loopback address on which the ports of a daemon are free.
func freeAddress() (string, error) {
	for range 50 {
		b := make([]byte, 3)
		if _, err := rand.Read(b); err != nil {
			return "", err
		}
		ip := fmt.Sprintf("127.%d.%d.%d", 64+b[0]%128, b[1], 1+b[2]%254)
		free := true
		for _, port := range []int{7000, 7001, 7015, 8340, 8343} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
			if err != nil {
				free = false
				break
			}
			_ = l.Close()
		}
		if free {
			return ip, nil
		}
	}
	return "", errors.New("no free loopback address")
}

func (c *cell) settings(d *daemon, storeAddress string) string {
	return fmt.Sprintf(`nodeName = %q
role = "entry"
machineClass = "front"
serves = ["front"]
ip = %q
zone = "nz-north-a"
region = "nz-north"
internalPorts = [7000,7015]
seeds = []
bootstrap = true
heartbeatMs = 1500
commandMode = "call"
[zones]
nz-north-a = "nz-north"
[listenAddresses]
front = "%[2]s:8340"
ready = "%[2]s:8343"
[limits]
cpuShare = 0.4
cores = 1
memoryMb = 284
[bounds]
drainMs = 2000
graceS = 6
configApplyMs = 2000
revokeMs = 5000
maxHoldMs = 10000
stopGraceMs = %[5]d
gangTimeoutMs = 3000
cancel_ms = 3000
visible_ms = 3000
finish_s = 14
status_s = 120
checkpointIntervalS = 1
migrationS = 1.5
maintenanceS = 2
requireFence = false
leaseMs = 3000
[platform]
address = %[3]q
form = "kv"
writesPerS = 400
readsPerS = 2000
retentionS = 20
valueBytes = 1048576
minTtlMs = 1000
[cloudApi]
address = %[4]q
ratePerS = 64.0
dutyPerS = 64.0
`, d.name, d.ip, storeAddress, c.cloud, c.bounds.stopGrace.Milliseconds())
}

// launch starts the process of a daemon with the command of the deploy file.
func (c *cell) launch(d *daemon) error {
	log, err := os.OpenFile(d.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(c.daemon, "serve")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "SAMPHIRESTILE_CONFIG=" + d.settings}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	c.mu.Lock()
	d.cmd, d.done = cmd, done
	c.mu.Unlock()
	go func() {
		_ = cmd.Wait() // the state is not used
		_ = log.Close()
		close(done)
	}()
	c.rec.note("%s started", d.name)
	return nil
}

// signal sends a signal to a daemon.
func (c *cell) signal(d *daemon, s syscall.Signal) error {
	c.rec.note("%s gets %v", d.name, s)
	return d.cmd.Process.Signal(s)
}

// restart starts a daemon again a second after its process has ended.
func (c *cell) restart(d *daemon) error {
	select {
	case <-d.done:
	case <-time.After(graceTime):
		if err := c.signal(d, syscall.SIGKILL); err != nil {
			return err
		}
		<-d.done
	}
	time.Sleep(time.Second)
	return c.launch(d)
}

func (c *cell) ready(d *daemon) bool {
	r, err := c.http.Get("http://" + d.ip + ":8343/api/readiness")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// owner returns the daemon that gives the pool's workers their orders. It only chooses the process that a
// disruption strikes.
func (c *cell) owner() (*daemon, bool) {
	for _, key := range c.store.keysEnding("own/" + service) {
		value, _ := c.store.get(key)
		for _, d := range c.daemons {
			if strings.Contains(string(value), `"`+d.name+`"`) {
				return d, true
			}
		}
	}
	return nil, false
}

// awaitOwner waits for an owner.
func (c *cell) awaitOwner() (*daemon, error) {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if d, ok := c.owner(); ok {
			return d, nil
		}
	}
	return nil, errors.New("no daemon owns the pool")
}

func newID() string {
	b := make([]byte, 8)
	_, _ = rand.Read(b) // it never fails
	return hex.EncodeToString(b)
}

// call sends one call of a client and returns the status, or 0 if there was no response.
func (c *cell) call(d *daemon, method, id string, body []byte) (int, string) {
	r, err := http.NewRequest(method, "http://"+d.ip+":8340"+queuePrefix+id, bytes.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	r.Host = queueHost
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Authorization", "Token "+apiKey)
	r.Header.Set("Samphirestile-Deadline-Ms", "3000")
	began := time.Now()
	response, err := c.http.Do(r)
	if err != nil {
		c.rec.note("%s %s at %s: %v", method, id, d.name, err)
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	text, _ := io.ReadAll(response.Body)
	c.rec.note("%s %s at %s: %d %s (%d ms)", method, id, d.name, response.StatusCode, strings.TrimSpace(string(text)), time.Since(began).Milliseconds())
	return response.StatusCode, string(text)
}

// repeat sends a call to one daemon after the other until it is answered with 2xx or 410.
func (c *cell) repeat(method, id string, body []byte, limit time.Duration) (status int, text string) {
	for i, end := 0, time.Now().Add(limit); time.Now().Before(end); i++ {
		status, text = c.call(c.daemons[i%len(c.daemons)], method, id, body)
		if status/100 == 2 || status == http.StatusGone {
			return status, text
		}
		time.Sleep(clientPause)
	}
	return status, text
}

// submit hands a job in; spec is the rest of its body.
func (c *cell) submit(id string, job map[string]any) error {
	job["spec"] = "review"
	body, err := json.Marshal(job)
	if err != nil {
		return err
	}
	if status, _ := c.repeat(http.MethodPost, id, body, 15*time.Second); status/100 != 2 {
		return fmt.Errorf("job %s not accepted: %d", id, status)
	}
	return nil
}

// state asks for the state of a job.
func (c *cell) state(id string) string {
	status, text := c.repeat(http.MethodGet, id, nil, 5*time.Second)
	var answer struct {
		State string `json:"state"`
	}
	if status != http.StatusOK || json.Unmarshal([]byte(text), &answer) != nil {
		return fmt.Sprintf("status %d", status)
	}
	return answer.State
}

// await waits until f returns true.
func await(limit time.Duration, f func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if f() {
			return true
		}
	}
	return f()
}
