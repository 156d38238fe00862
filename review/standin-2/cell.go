package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"samphirestile.example/samphirestile/internal/emulator/cluster"
	fleetid "samphirestile.example/samphirestile/internal/fleet"
	"samphirestile.example/samphirestile/internal/store"
	"samphirestile.example/samphirestile/internal/worker"
	"samphirestile.example/samphirestile/platform/standin"
)

// recorder writes what was sent, answered and run.
type recorder struct {
	mu    sync.Mutex
	began time.Time
	out   io.Writer
}

func (r *recorder) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f ", time.Since(r.began).Seconds())
	fmt.Fprintf(r.out, format, args...)
	fmt.Fprintln(r.out)
}

// serviceNames are the services; a deployment uses the first ones.
var serviceNames = []string{"huvo11a", "kafi81c", "lovo22d", "wuno96b"}

const (
	queueHost = "pule25.example"
	queueKey  = "sjnbanfqasnmgkcuyj8p"
	// valueBytes is the largest value that the store takes.
	valueBytes = 1 << 20
)

// cell is a small deployment: the platform, the minions and the daemons.
type cell struct {
	dir      string
	record   *recorder
	fleet    *fleet
	platform *standin.Platform
	nodes    []*node
	scene    scene
	version  int
	// capCPU is what the tenant may have running, in thousandths of a core; 0 means no limit.
	capCPU int64
}

// services lists the services of the deployment.
func (c *cell) services() []string { return serviceNames[:c.scene.services] }

// queuePath returns the path of a job in the queue of a service.
func queuePath(service int, id string) string { return fmt.Sprintf("/puxa40%d/%s", service, id) }

// node is one machine of the system with its way to the store.
type node struct {
	name, ip, settings string
	// port is the first of the ports of the daemon; it is the client port, and the next one tells the readiness.
	port int
	// advisor is the address of the advisor for this machine; it may be empty.
	advisor string
	cell    *cell
	// slow delays the answers of the store, in nanoseconds.
	slow atomic.Int64
	// refusedAt is when a refused write was last recorded.
	refusedAt time.Time

	mu    sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{}
}

func startCell(record *recorder, daemons int, s scene) (*cell, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	c := &cell{dir: dir, record: record, fleet: newFleet(record), scene: s, capCPU: s.capCPU}
	c.platform, err = standin.Start(fleetid.ServiceID(c.services()[0]), 0, worker.Resources{}, func(string, int) cluster.Behaviour { return cluster.Behaviour{} })
	if err != nil {
		return nil, err
	}
	if s.advised {
		c.fleet.advisor = &advisor{record: record, tickets: map[string]time.Time{}}
	}
	if err := c.configure(); err != nil {
		return nil, err
	}
	for i := range daemons {
		n := &node{name: fmt.Sprintf("front-nz-north-%c-1", 'a'+i), ip: loopback(i + 1), cell: c}
		n.settings = filepath.Join(dir, n.name+".toml")
		if n.port, err = freePorts(n.ip); err != nil {
			return nil, err
		}
		if s.advised {
			if n.advisor, err = c.fleet.advisor.listen(n.name); err != nil {
				return nil, err
			}
		}
		if err := n.startProxy(); err != nil {
			return nil, err
		}
		c.nodes = append(c.nodes, n)
	}
	return c, nil
}

// loopback returns an address of 127.0.0.0/8 that depends on the process.
func loopback(host int) string {
	return fmt.Sprintf("127.%d.%d.%d", 128+os.Getpid()>>8&63, os.Getpid()&255, host)
}

const (
	// nodePorts is how many ports a daemon uses, in a row.
	nodePorts          = 5
	firstPort, endPort = 18_340, 28_340
)

var errNoPorts = errors.New("no free ports")

// freePorts returns the first of nodePorts free ports in a row.
func freePorts(ip string) (int, error) {
	for port := firstPort; port < endPort; port += nodePorts {
		free := true
		for i := range nodePorts {
			l, err := net.Listen("tcp", net.JoinHostPort(ip, fmt.Sprint(port+i)))
			if err != nil {
				free = false
				break
			}
			l.Close()
		}
		if free {
			return port, nil
		}
	}
	return 0, errNoPorts
}

func (c *cell) put(key string, value any) error {
	encoded, err := json.Marshal(value)
	if err != nil {
		return err
	}
	_, err = c.platform.Store.Commit(context.Background(), store.Transaction{Writes: []store.Write{{Key: key, Value: encoded}}})
	return err
}

// configure writes the next version of the configuration.
func (c *cell) configure() error {
	c.version++
	c.record.add("operator: configuration %d, cap of the tenant %d", c.version, c.capCPU)
	routes, services := []any{}, []any{}
	for i, name := range c.services() {
		route := map[string]any{
			"name": "r-iikdrb" + fmt.Sprint(i), "host": queueHost, "prefix": queuePath(i, ""), "kind": "non_idempotent", "timeoutMs": 3000, "targetDurationMs": 600, "priority": 0,
			"service": name, "maxAttempts": 4, "stretch": 1.6, "public": false,
		}
		if c.scene.advised {
			route["advisor"] = map[string]any{"decisionMs": decisionMS, "perWorkerMs": perWorkerMS, "validityMs": validityMS}
		}
		routes = append(routes, route)
		services = append(services, map[string]any{"name": name, "healthPath": "/health", "maxConnections": 64, "protocol": "h1", "enforcesCapacity": true, "spare": false})
	}
	return c.put("op/config", map[string]any{
		"version": c.version, "routes": routes, "services": services,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{
			"name": "cugo130", "apiKeys": []string{queueKey}, "weight": 32, "cap": map[string]any{"cpu": c.capCPU, "memMb": 0, "gpu": 0},
		}},
	})
}

// addMinions adds minions to the pools in turn, four to a rack.
func (c *cell) addMinions(n int) error {
	for range n {
		i := len(c.fleet.minions)
		service := c.services()[i%len(c.services())]
		m, err := c.fleet.addMinion(fmt.Sprintf("i-%08x", 0x7f3a9100+i), service, i/4+1, 32_000, 131_072)
		if err != nil {
			return err
		}
		// The machine service lists what was listed here; the entry is written below.
		listed := worker.Worker{
			ID: worker.ID(m.id), Service: fleetid.ServiceID(service), Address: m.address, Capacity: worker.Resources{CPU: 32_000, MemMB: 131_072}, Labels: m.labels, StartMS: m.born.UnixMilli(),
		}
		if err := c.platform.ListWorker(listed); err != nil {
			return err
		}
		go c.beat(m)
	}
	return nil
}

// beat writes the entry of a minion as long as it lives, and removes it after three missing beats.
func (c *cell) beat(m *minion) {
	for {
		c.fleet.mu.Lock()
		down, entry := m.down, m.entry()
		c.fleet.mu.Unlock()
		if down {
			time.Sleep(3 * beatInterval)
			_, _ = c.platform.Store.Commit(context.Background(), store.Transaction{Removals: []string{"servers/" + m.id}})
			return
		}
		_ = c.put("servers/"+m.id, entry) // written again with the next beat
		time.Sleep(beatInterval)
	}
}

// startProxy starts the node's way to the store, which refuses values that are too large and may be slow.
func (n *node) startProxy() error {
	target, err := url.Parse("http://" + n.cell.platform.StoreAddress())
	if err != nil {
		return err
	}
	forward := httputil.NewSingleHostReverseProxy(target)
	forward.ErrorLog = nil
	forward.ErrorHandler = func(http.ResponseWriter, *http.Request, error) { panic(http.ErrAbortHandler) }
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	handler := func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/api/kv-txn" {
			body, err := io.ReadAll(r.Body)
			if err != nil {
				panic(http.ErrAbortHandler)
			}
			t := decodeTransaction(body)
			if key, size := t.largestValue(); size > valueBytes {
				n.recordRefusal(key, size)
				respond(w, http.StatusBadRequest, struct{}{})
				return
			}
			if n.slow.Load() > 0 && len(t.Puts)+len(t.Remove) > 1 {
				n.cell.record.add("store: %s writes %d records and removes %d", n.name, len(t.Puts), len(t.Remove))
			}
			r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(body)), int64(len(body))
		}
		forward.ServeHTTP(delayed{w, n, r.URL.Path != "/api/kv-watch"}, r)
	}
	go func() { _ = http.Serve(l, http.HandlerFunc(handler)) }() // ends with the process
	return os.WriteFile(n.settings, []byte(n.settingsText(l.Addr().String())), 0o600)
}

// recordRefusal records a write that the store refuses, once in five seconds.
func (n *node) recordRefusal(key string, size int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if time.Since(n.refusedAt) > 5*time.Second {
		n.refusedAt = time.Now()
		n.cell.record.add("store: refuses a write of %s from %s, %d bytes, at most %d", key, n.name, size, valueBytes)
	}
}

// delayed delays the answer of the store.
type delayed struct {
	http.ResponseWriter
	node  *node
	slows bool
}

func (d delayed) WriteHeader(status int) {
	if d.slows {
		time.Sleep(time.Duration(d.node.slow.Load()))
	}
	d.ResponseWriter.WriteHeader(status)
}

// transaction is a write call to the store.
type transaction struct {
	Puts []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
	} `json:"puts"`
	Remove []string `json:"remove"`
}

// decodeTransaction returns an empty transaction for a body that is none; the store refuses it.
func decodeTransaction(body []byte) transaction {
	var t transaction
	if json.Unmarshal(body, &t) != nil {
		return transaction{}
	}
	return t
}

func (t transaction) largestValue() (key string, size int) {
	for _, p := range t.Puts {
		if len(p.Value) > size {
			key, size = p.Key, len(p.Value)
		}
	}
	return key, size
}

func (n *node) settingsText(storeAddress string) string {
	base := n.cell.platform.Settings(n.name, n.ip, storeAddress)
	machines := base[strings.Index(base, "[cloudApi]"):strings.Index(base, "[bounds]")]
	return fmt.Sprintf(`nodeName = %q
role = "entry"
machineClass = "front"
serves = ["front"]
ip = %[2]q
zone = "nz-north-a"
region = "nz-north"
internalPorts = [%[9]d, %[10]d]
seeds = []
bootstrap = true
discovery = "platform"
entry = "virtual_ip"
heartbeatMs = 1500
contracts = ["base","drain","config","cost","recover","sched","tenants","quota","platform","advice","upkeep","sharing"]
commandMode = "call"
advisor = %[13]q
[listenAddresses]
front = "%[2]s:%[11]d"
ready = "%[2]s:%[12]d"
[limits]
cpuShare = 0.4
cores = 1
memoryMb = 284
fileDescriptors = 4100
linkMbps = 1000.0
diskMb = 0
[bounds]
contactMs = 3000
ackMs = 4000
drainMs = 2000
graceS = 6
configApplyMs = 2000
strictRevocation = true
revokeMs = 5000
maxHoldMs = %[3]d
stopGraceMs = %[4]d
gangTimeoutMs = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = %[5]d
checkpointIntervalS = 1
restoreMs = 250
noticeMs = 4500
migrationS = 1.5
maintenanceS = 2
requireFence = false
leaseMs = 3000
[platform]
address = %[6]q
form = "kv"
writesPerS = 400
readsPerS = 2000
retentionS = 20
valueBytes = %[7]d
minTtlMs = 1000
%[8]s`, n.name, n.ip, maxHoldMS, stopGraceMS, n.cell.scene.statusS, storeAddress, valueBytes, machines, n.port+2, n.port+4, n.port, n.port+1, n.advisor)
}

// start starts the daemon with the command of the deploy file.
func (n *node) start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	log, err := os.OpenFile(filepath.Join(n.cell.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	n.cmd = exec.Command("target/samphirestiled", "serve")
	n.cmd.Env = append(os.Environ(), "SAMPHIRESTILE_CONFIG="+n.settings)
	n.cmd.Stdout, n.cmd.Stderr = log, log
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.cmd.Start(); err != nil {
		return err
	}
	cmd, ended := n.cmd, make(chan struct{})
	n.ended = ended
	go func() {
		_ = cmd.Wait() // killed on purpose
		close(ended)
	}()
	n.cell.record.add("daemon %s is started", n.name)
	return nil
}

// signal sends a signal to the daemon; kill and termination are waited for.
func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cell.record.add("daemon %s: %v", n.name, s)
	_ = n.cmd.Process.Signal(s) // it may have ended
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		<-n.ended
		n.cell.record.add("daemon %s has ended", n.name)
	}
}

func (c *cell) startDaemons() error {
	for _, n := range c.nodes {
		if err := n.start(); err != nil {
			return err
		}
	}
	return c.awaitReady(c.nodes, 15*time.Second)
}

var errNotReady = errors.New("the daemons are not ready in time")

func (c *cell) awaitReady(nodes []*node, limit time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, n := range nodes {
			resp, err := client.Get(fmt.Sprintf("http://%s:%d/api/readiness", n.ip, n.port+1))
			if err != nil {
				continue
			}
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				ready++
			}
		}
		if ready == len(nodes) {
			return nil
		}
	}
	return errNotReady
}

// close ends all processes and removes the folder.
func (c *cell) close(keepLogs bool) {
	for _, n := range c.nodes {
		if n.cmd != nil {
			_ = n.cmd.Process.Kill() // it may have ended
			<-n.ended
		}
	}
	if !keepLogs {
		_ = os.RemoveAll(c.dir)
	}
}

// call makes a client's call to a daemon, for a job in the queue of a service. The status is 0 without a response.
func (c *cell) call(n *node, method string, service int, id string, body any, limit time.Duration) (int, string) {
	var content io.Reader
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			return 0, err.Error()
		}
		content = bytes.NewReader(encoded)
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s:%d%s", n.ip, n.port, queuePath(service, id)), content)
	if err != nil {
		return 0, err.Error()
	}
	r.Host = queueHost
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Authorization", "Token "+queueKey)
	r.Header.Set("Samphirestile-Deadline-Ms", fmt.Sprint(limit.Milliseconds()))
	began := time.Now()
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		c.record.add("client: %s %s at %s: no answer after %d ms", method, id, n.name, time.Since(began).Milliseconds())
		return 0, err.Error()
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	text := strings.TrimSpace(string(answer))
	c.record.add("client: %s %s at %s: %d %s after %d ms", method, id, n.name, resp.StatusCode, text, time.Since(began).Milliseconds())
	return resp.StatusCode, text
}

const clientDeadline = 3 * time.Second

// submit submits a job and repeats the call, as clients do, until it has a definite answer.
func (c *cell) submit(id string, steps []step, extra map[string]any) bool {
	c.fleet.know(id, steps)
	body := map[string]any{"spec": "job " + id, "steps": steps}
	for k, v := range extra {
		body[k] = v
	}
	for i := range 5 {
		status, _ := c.call(c.nodes[i%len(c.nodes)], http.MethodPost, 0, id, body, clientDeadline)
		switch {
		case status == http.StatusOK:
			return true
		case status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable:
			time.Sleep(time.Second)
		}
	}
	return false
}

// state asks for the state of a job at the daemons in turn until one answers.
func (c *cell) state(id string) string {
	for _, n := range c.nodes {
		if status, text := c.call(n, http.MethodGet, 0, id, nil, clientDeadline); status == http.StatusOK || status == http.StatusGone {
			return fmt.Sprint(status, " ", text)
		}
	}
	return "no answer"
}

// owner returns the node whose daemon owns the shard of the first service, or nil.
func (c *cell) owner() *node { return c.ownerOf(0) }

func (c *cell) ownerOf(service int) *node {
	e, err := c.platform.Store.Get(context.Background(), "samphirestile/lease/own/"+c.services()[service])
	if err != nil {
		return nil
	}
	for _, n := range c.nodes {
		if strings.Contains(string(e.Value), `"`+n.name+`"`) {
			return n
		}
	}
	return nil
}

// count returns the number of records below a prefix.
func (c *cell) count(prefix string) int {
	entries, _, err := c.platform.Store.List(context.Background(), prefix)
	if err != nil {
		return -1
	}
	return len(entries)
}

var errNoOwner = errors.New("no daemon owns the service's shard")

// restartOwner stops the daemon that owns the shard as planned and starts it again.
func (c *cell) restartOwner() error {
	owner := c.owner()
	if owner == nil {
		return errNoOwner
	}
	c.recordCounts()
	owner.signal(syscall.SIGTERM)
	return owner.start()
}

// recordCounts records how many jobs the store holds.
func (c *cell) recordCounts() {
	c.record.add("store: %d records of jobs, %d of their progress", c.count("samphirestile/job/"), c.count("samphirestile/progress/"))
}

// slowStore delays the answers of the store; 0 ends that.
func (c *cell) slowStore(delay time.Duration) {
	c.record.add("store: answers take %v longer", delay)
	for _, n := range c.nodes {
		n.slow.Store(int64(delay))
	}
}

// crashMinionOf crashes the minion on which a task ran.
func (c *cell) crashMinionOf(task string) {
	for _, m := range c.fleet.minions {
		c.fleet.mu.Lock()
		ran := m.highest[task] > 0
		c.fleet.mu.Unlock()
		if ran {
			m.crash()
		}
	}
}

// judgeIdle checks, until all tasks are done or the limit has passed, that the job does not have nothing running for three
// seconds. Its tasks must be due, and most of the capacity free.
func (c *cell) judgeIdle(id string, tasks int, limit time.Duration) verdict {
	idleSince, shownAt := time.Now(), time.Time{}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		done, acked, running := c.fleet.progress(id)
		if done >= tasks {
			return held
		}
		if running > 0 {
			idleSince = time.Now()
		}
		if time.Since(shownAt) > 5*time.Second {
			shownAt = time.Now()
			c.record.add("minions: %d tasks done, %d of these ends taken note of, %d runs of %s", done, acked, running, id)
		}
		if time.Since(idleSince) >= idleLimit {
			c.record.add("judge: LOST: %s has had nothing running for %.1f s; %d of %d tasks are done", id, time.Since(idleSince).Seconds(), done, tasks)
			c.state(id)
			return broken
		}
	}
	return held
}
