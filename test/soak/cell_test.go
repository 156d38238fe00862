package soak

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"samphirestile.example/samphirestile/internal/emulator/cluster"
	"samphirestile.example/samphirestile/internal/emulator/process"
	"samphirestile.example/samphirestile/internal/emulator/relay"
	"samphirestile.example/samphirestile/internal/fleet"
	"samphirestile.example/samphirestile/internal/lease"
	"samphirestile.example/samphirestile/internal/worker"
	"samphirestile.example/samphirestile/platform"
	"samphirestile.example/samphirestile/platform/standin"
)

const (
	daemonCount = 3
	// workerCount is the number of workers of both services together.
	workerCount = 12
	// service and otherService run the jobs of the queue by turns.
	service      = fleet.ServiceID("pool")
	otherService = fleet.ServiceID("other")
	// readyTimeout allows for the start of the daemons on a busy machine.
	readyTimeout = 20 * time.Second
)

var queue = standin.Queue{Host: "jobs.example", Prefix: "/q/", Key: "key", MaxAttempts: 6}

// daemonNode is one daemon and the relay between it and the store.
type daemonNode struct {
	ip       string
	relay    *relay.Relay
	settings string // path of the settings file

	mu sync.Mutex
	p  *process.Process // nil before the first start
}

// cell is an in-process platform with daemons that run as separate processes.
type cell struct {
	dir, program string
	// variables are added to the environment of the daemons.
	variables []string
	platform  *standin.Platform
	pool      workerPool
	nodes     []*daemonNode

	mu sync.Mutex
	// version is the version of the last configuration.
	version int
}

// profile describes the runs of a task.
func profile(task string) cluster.Profile {
	switch {
	case isLongRunning(task):
		return cluster.Profile{MinMS: int(time.Hour.Milliseconds())}
	case isLong(task):
		return cluster.Profile{MinMS: 5000, MaxMS: 9500}
	case isSpeculative(task):
		// The slow runs are slow enough to be copied.
		return cluster.Profile{MinMS: 50, MaxMS: 450, FailsOneIn: 50, SlowMS: 1500, SlowOneIn: 4}
	}
	return cluster.Profile{MinMS: 50, MaxMS: 450, FailsOneIn: 50}
}

var capacity = worker.Resources{CPU: 8000, MemMB: 16_000}

// loopbackIP returns an address that is derived from 14 bits of the process ID, so that concurrent runs on one machine
// rarely conflict.
func loopbackIP(host int) string {
	return fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()>>8&63, os.Getpid()&255, host)
}

// startCell starts the platform, the workers and the daemons.
func startCell(dir, program string, seed uint64, addWorkers func(*cell, uint64) (workerPool, error), variables ...string) (*cell, error) {
	c := &cell{dir: dir, program: program, variables: variables}
	outcomes := rand.New(rand.NewPCG(seed, 2))
	var mu sync.Mutex
	behaviour := func(task string, _ int) cluster.Behaviour {
		mu.Lock()
		defer mu.Unlock()
		return profile(task).Draw(outcomes)
	}
	var err error
	if c.platform, err = standin.Start(service, 0, capacity, behaviour); err != nil {
		return nil, err
	}
	if c.pool, err = addWorkers(c, seed); err != nil {
		return c, err
	}
	if err := c.bindQueue(service); err != nil {
		return c, err
	}
	for i := range daemonCount {
		n := &daemonNode{ip: loopbackIP(i + 1)}
		if n.relay, err = relay.Listen("127.0.0.1:0", c.platform.StoreAddress(), nil); err != nil {
			return c, err
		}
		n.settings = filepath.Join(dir, fmt.Sprintf("daemon-%d.toml", i))
		content := c.platform.Settings(fmt.Sprintf("daemon-%d", i), n.ip, n.relay.Address())
		if err := os.WriteFile(n.settings, []byte(content), 0o600); err != nil {
			return c, err
		}
		c.nodes = append(c.nodes, n)
		if err := c.startDaemon(n); err != nil {
			return c, err
		}
	}
	return c, c.awaitReady()
}

// bindQueue writes a configuration that sends the queue to a service. The other service has no queue then.
func (c *cell) bindQueue(service fleet.ServiceID) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.version++
	q := queue
	q.Service = service
	return c.platform.Configure(c.version, q)
}

// startDaemon starts the node's daemon unless it is running.
func (c *cell) startDaemon(n *daemonNode) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.p != nil && n.p.Running() {
		return nil
	}
	var err error
	n.p, err = process.Launch(c.dir, filepath.Base(n.settings), append([]string{platform.SettingsVariable + "=" + n.settings}, c.variables...), c.program, "serve")
	return err
}

// withProcess calls f with the node's process, if it has been started.
func (n *daemonNode) withProcess(f func(*process.Process)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.p != nil {
		f(n.p)
	}
}

var errNotReady = errors.New("not all daemons are ready")

// awaitReady waits until all daemons are ready.
func (c *cell) awaitReady() error {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, n := range c.nodes {
			resp, err := client.Get("http://" + n.ip + ":8343" + standin.ReadyPath)
			if err != nil {
				continue
			}
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				ready++
			}
		}
		if ready == len(c.nodes) {
			return nil
		}
	}
	return fmt.Errorf("%w after %v", errNotReady, readyTimeout)
}

// clearFaults clears all faults and starts the daemons that are down.
func (c *cell) clearFaults() error {
	c.platform.Store.SetFaults(cluster.StoreFaults{})
	if err := c.pool.clearFaults(); err != nil {
		return err
	}
	for _, n := range c.nodes {
		n.withProcess((*process.Process).Resume)
		if err := n.relay.Set(relay.Switches{}); err != nil {
			return err
		}
		if err := c.startDaemon(n); err != nil {
			return err
		}
	}
	return nil
}

func (c *cell) close() {
	for _, n := range c.nodes {
		n.withProcess(func(p *process.Process) {
			p.Resume()
			p.Kill()
		})
		if n.relay != nil {
			n.relay.Close()
		}
	}
	if c.pool != nil {
		c.pool.close()
	}
	if c.platform != nil {
		c.platform.Close()
	}
}

// workerPool are the workers of a cell.
type workerPool interface {
	// events returns the history of all workers in time order.
	events() []cluster.Event
	// completed reports whether a run has completed the task.
	completed(task string) bool
	// crash ends a random worker and starts it again under its ID.
	crash(s *schedule, r *rand.Rand)
	// disturb injects random faults of a worker, or of its connections.
	disturb(s *schedule, r *rand.Rand)
	// clearFaults clears all faults and starts the workers that are down.
	clearFaults() error
	close()
}

// emulatedPool are workers in the process of the test.
type emulatedPool struct{ workers *cluster.Workers }

func startEmulatedWorkers(c *cell, _ uint64) (workerPool, error) {
	p := emulatedPool{c.platform.Workers}
	if err := c.platform.AddWorkers(service, workerCount/2, capacity); err != nil {
		return p, err
	}
	return p, c.platform.AddWorkers(otherService, workerCount/2, capacity)
}

func (p emulatedPool) events() []cluster.Event { return p.workers.History.Events() }

func (p emulatedPool) completed(task string) bool { return p.workers.History.Completions(task) > 0 }

func (p emulatedPool) crash(s *schedule, r *rand.Rand) {
	id := randomWorker(r)
	s.record("worker %s crashes", id)
	p.workers.Find(id).Crash()
}

func (p emulatedPool) disturb(s *schedule, r *rand.Rand) { s.disturbWorker(r) }

func (p emulatedPool) clearFaults() error {
	for _, id := range workerIDs() {
		p.workers.Find(id).SetFaults(cluster.WorkerFaults{})
	}
	return nil
}

func (emulatedPool) close() {}

func randomWorker(r *rand.Rand) worker.ID { return workerIDs()[r.IntN(workerCount)] }

func workerIDs() []worker.ID {
	var ids []worker.ID
	for i := range workerCount {
		ids = append(ids, worker.ID(fmt.Sprintf("w%d", i)))
	}
	return ids
}

// owner returns the index of the daemon that owns a shard, or 0 if the store names none.
func (c *cell) owner(shard string) int {
	e, err := c.platform.Store.Get(context.Background(), lease.OwnerKey(shard))
	if err != nil {
		return 0
	}
	var m lease.Member
	if err := json.Unmarshal(e.Value, &m); err != nil {
		return 0
	}
	for i, n := range c.nodes {
		if strings.TrimSuffix(filepath.Base(n.settings), ".toml") == m.Name {
			return i
		}
	}
	return 0
}
