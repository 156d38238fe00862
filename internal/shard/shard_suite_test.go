package shard_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"samphirestile.example/samphirestile/internal/advice"
	"samphirestile.example/samphirestile/internal/emulator/cluster"
	"samphirestile.example/samphirestile/internal/fleet"
	"samphirestile.example/samphirestile/internal/job"
	"samphirestile.example/samphirestile/internal/jobconfig"
	"samphirestile.example/samphirestile/internal/monotonic"
	"samphirestile.example/samphirestile/internal/policy"
	"samphirestile.example/samphirestile/internal/quota"
	"samphirestile.example/samphirestile/internal/shard"
	"samphirestile.example/samphirestile/internal/store"
	"samphirestile.example/samphirestile/internal/worker"
)

// suite runs the specs on simulated time.
var suite *testing.T

func TestShard(t *testing.T) {
	suite = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "shard")
}

const (
	service  = fleet.ServiceID("quoter")
	ownerKey = "test/owner"
	// callTimeout is the timeout for operations of a few round trips.
	callTimeout = 2 * time.Second
	// stopGrace is the longest stop grace of the users' deployments.
	stopGrace = 900 * time.Millisecond
	// maxLease is the longest lease that workers accept.
	maxLease = 10 * time.Second
	// leaseExpiryTimeout is the timeout for operations that wait for the lease of a lost worker.
	leaseExpiryTimeout = shard.MaxWorkerLease + 3*time.Second
)

// simulatedIt declares a spec on a simulated clock, which advances only while all goroutines wait, so that
// load on the machine changes no duration. .ci/run runs the label on one thread under the race detector.
func simulatedIt(text string, body func(f *fixture)) {
	It(text, Label("simulated"), func() {
		synctest.Test(suite, func(*testing.T) {
			began := time.Now()
			monotonic.SetTestClock(func() monotonic.Time { return monotonic.Time(time.Hour + time.Since(began)) })
			defer monotonic.SetTestClock(nil)
			f := newFixture(2)
			f.simulated = true
			defer func() {
				for _, o := range f.owners {
					o.stop()
				}
				f.advisor.Wait()
			}()
			defer GinkgoRecover()
			body(f)
		})
	})
}

// fixture is a shard with an emulated store and emulated workers.
type fixture struct {
	store   *cluster.Store
	workers *cluster.Workers
	config  *jobconfig.Configuration
	advisor *cluster.Advisor
	// advice queues the calls to the advisor of owners that are started from then on; nil if each is on a host of its own.
	advice *advice.Queue

	mu sync.Mutex
	// behaviours by task; other tasks take defaultDuration.
	behaviours map[string]cluster.Behaviour
	hidden     map[worker.ID]bool
	// excludedWorkers lists the workers that a partition does not have, claims the revisions at
	// which workers were assigned to their partition.
	excludedWorkers map[string][]worker.ID
	claims          map[worker.ID]uint64
	// wrapStore wraps the store of owners that are started from then on.
	wrapStore func(store.Transactional) store.Transactional
	// wrapDialer wraps the connections to the workers of owners that are started from then on.
	wrapDialer func(worker.Dialer) worker.Dialer
	// keepsTokens lets workers receive commands of owners that are started from then on only with the token of the ownership. Late
	// starts then take effect as far as stops do not prevent it.
	keepsTokens bool
	// service and bindings are those of owners that are started from then on.
	service  fleet.ServiceID
	bindings shard.Bindings
	// quota is what owners that are started from then on know of the shards that share limits with them.
	quota quota.Peers
	// jobMemory bounds the memory of the jobs of owners that are started from then on; nil means no bound.
	jobMemory func() int64
	// policy is that of owners that are started from then on.
	policy policy.Policy
	// evacuations are the zones under evacuation for owners that are started from then on; nil where the part is off.
	evacuations func() (map[fleet.AvailabilityZone]bool, time.Duration)
	// log receives the log lines of owners that are started from then on.
	log io.Writer
	// simulated is set for specs on simulated time. Their owners must be stopped before the clock is removed.
	simulated bool
	owners    []*owner
}

// interruptedStore becomes unreachable after it has written a given key.
type interruptedStore struct {
	store.Transactional
	key string

	mu                  sync.Mutex
	armed, disconnected bool
}

func (c *interruptedStore) arm() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.armed = true
}

func (c *interruptedStore) Commit(ctx context.Context, t store.Transaction) (uint64, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.disconnected {
		return 0, &store.UnavailableError{Cause: errors.New("cut")}
	}
	revision, err := c.Transactional.Commit(ctx, t)
	c.disconnected = c.armed && err == nil && slices.ContainsFunc(t.Writes, func(w store.Write) bool { return w.Key == c.key })
	return revision, err
}

const defaultDuration = 30 * time.Millisecond

func newFixture(workers int) *fixture {
	f := &fixture{
		store: cluster.NewStore(), service: service, behaviours: map[string]cluster.Behaviour{}, hidden: map[worker.ID]bool{},
		excludedWorkers: map[string][]worker.ID{}, claims: map[worker.ID]uint64{},
		config: &jobconfig.Configuration{Version: 1, Accounts: map[string]jobconfig.Account{}}, log: io.Discard,
	}
	f.workers = &cluster.Workers{Behaviour: func(task string, _ int) cluster.Behaviour {
		f.mu.Lock()
		defer f.mu.Unlock()
		if behaviour, ok := f.behaviours[task]; ok {
			return behaviour
		}
		return cluster.Behaviour{Duration: defaultDuration}
	}}
	f.advisor = &cluster.Advisor{
		Validity: time.Second, Workers: f.workers, Allows: func(string, worker.ID) bool { return true },
	}
	f.workers.Advisor = f.advisor
	for i := range workers {
		f.addWorker(fmt.Sprintf("w%d", i))
	}
	return f
}

func (f *fixture) addWorker(id string) *cluster.Worker {
	return f.workers.Add(worker.Worker{
		ID: worker.ID(id), Service: service, Address: id + ":1", Capacity: worker.Resources{CPU: 8000, MemMB: 8000},
		Labels: []string{"a", "r1"},
	})
}

func (f *fixture) setBehaviour(task string, behaviour cluster.Behaviour) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.behaviours[task] = behaviour
}

func (f *fixture) configuration() *jobconfig.Configuration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.config
}

// setLimit replaces the configuration by one in which an account has a limit.
func (f *fixture) setLimit(account string, limit worker.Resources) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.config = &jobconfig.Configuration{
		Version: f.config.Version + 1, Accounts: map[string]jobconfig.Account{account: {Name: account, Weight: 1, Limit: limit}},
	}
}

func (f *fixture) listed() map[worker.ID]worker.Worker {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := f.workers.List()
	for id := range f.hidden {
		delete(all, id)
	}
	return all
}

func (f *fixture) excluded(name string, id worker.ID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Contains(f.excludedWorkers[name], id)
}

// owner is a running owner.
type owner struct {
	*shard.Owner
	mu     sync.Mutex
	until  monotonic.Time
	cancel context.CancelFunc
	done   chan struct{}
}

// grantLeasesFor sets for how long the owner may grant leases. By default it may do so as long as it
// runs.
func (o *owner) grantLeasesFor(d time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.until = monotonic.Now().Add(d)
}

func (o *owner) stop() {
	o.cancel()
	<-o.done
}

// startOwner acquires the shard, as a successor if another owner had it.
func (f *fixture) startOwner() *owner { return f.startPartitionOwner("quoter") }

// rewriteKey deletes and creates a key and returns its new revision.
func (f *fixture) rewriteKey(key string) uint64 {
	_, err := f.store.Commit(context.Background(), store.Transaction{Removals: []string{key}})
	Expect(err).NotTo(HaveOccurred())
	revision, err := f.store.Commit(context.Background(), store.Transaction{
		Conditions: []store.Condition{{Key: key}}, Writes: []store.Write{{Key: key, Value: []byte("x")}},
	})
	Expect(err).NotTo(HaveOccurred())
	return revision
}

func (f *fixture) startPartitionOwner(name string) *owner {
	log := logrus.New()
	log.SetOutput(f.log)
	ownerKey := ownerKey + "/" + name
	token := f.rewriteKey(ownerKey)
	records := store.Transactional(f.store)
	if f.wrapStore != nil {
		records = f.wrapStore(records)
	}
	dialer := worker.Dialer(f.workers)
	if f.wrapDialer != nil {
		dialer = f.wrapDialer(dialer)
	}
	if f.keepsTokens {
		dialer = &keptTokenDialer{dialer, token}
	}
	own := f.service
	ctx, cancel := context.WithCancel(context.Background())
	o := &owner{cancel: cancel, done: make(chan struct{})}
	var group sync.WaitGroup
	requests := f.advice
	if requests == nil {
		requests = advice.New(f.advisor, log, tally.NoopScope)
		group.Go(func() { requests.Run(ctx) })
	}
	o.Owner = shard.New(shard.Config{
		Shard: name, Service: f.service, Token: token, Bindings: f.bindings, Quota: f.quota, OwnerKey: ownerKey, PartitionKey: "test/part/" + name, Store: records, Dialer: dialer, Advice: requests,
		Bounds:      shard.Bounds{MaxLease: maxLease, StopGrace: stopGrace, StatusRetention: time.Minute, Evacuation: evacuationBound},
		Policy:      f.policy,
		JobMemory:   f.jobMemory,
		Evacuations: f.evacuations,
		LatestWorkerLeaseEnd: func() monotonic.Time {
			o.mu.Lock()
			defer o.mu.Unlock()
			if o.until != 0 {
				return o.until
			}
			return monotonic.Now().Add(3*time.Second + shard.MaxWorkerLease)
		},
		Workers: func() map[worker.ID]worker.Worker {
			all := f.listed()
			maps.DeleteFunc(all, func(id worker.ID, w worker.Worker) bool { return f.excluded(name, id) || w.Service != own })
			return all
		},
		Claim: func(id worker.ID) (string, uint64) {
			if f.excluded(name, id) {
				return "another partition", 0
			}
			f.mu.Lock()
			defer f.mu.Unlock()
			return name, f.claims[id]
		},
		Changes: make(chan struct{}), Configuration: f.configuration, Log: log, Scope: tally.NoopScope,
	})
	go func() {
		defer close(o.done)
		o.Run(ctx)
		group.Wait()
	}()
	if f.simulated {
		f.owners = append(f.owners, o)
	} else {
		DeferCleanup(o.stop)
	}
	Eventually(func() error {
		_, err := o.Demand(context.Background(), nil)
		return err
	}).Should(Succeed())
	return o
}

// keptTokenDialer sends commands with a token at most.
type keptTokenDialer struct {
	worker.Dialer
	token uint64
}

func (d *keptTokenDialer) Dial(w worker.Worker) worker.Conn {
	return &keptTokenConn{d.Dialer.Dial(w), d.token}
}

type keptTokenConn struct {
	worker.Conn
	token uint64
}

func (c *keptTokenConn) Heartbeat(ctx context.Context, command worker.HeartbeatCommand) (worker.Status, error) {
	command.Token = min(command.Token, c.token)
	return c.Conn.Heartbeat(ctx, command)
}

func (c *keptTokenConn) Start(ctx context.Context, command worker.StartCommand) (int64, error) {
	command.Token = min(command.Token, c.token)
	return c.Conn.Start(ctx, command)
}

func (c *keptTokenConn) Stop(ctx context.Context, token uint64, task string, number int) (int64, error) {
	return c.Conn.Stop(ctx, min(token, c.token), task, number)
}

func testJob(n int, steps ...job.Step) job.Job {
	for i := range steps {
		if steps[i].Count == 0 {
			steps[i].Count = 1
		}
		if steps[i].Need == (worker.Resources{}) {
			steps[i].Need = worker.Resources{CPU: 1000, MemMB: 100}
		}
		if steps[i].Estimate == 0 {
			steps[i].Estimate = defaultDuration
		}
	}
	return job.Job{
		ID: job.ID(fmt.Sprintf("%016x", n)), Queue: "q", Service: service, Spec: "s", Steps: steps, MaxAttempts: 3,
		Stretch: 2, Objective: 5 * time.Second,
	}
}

func (o *owner) state(id job.ID) string {
	s, err := o.State(context.Background(), id)
	if err != nil {
		return err.Error()
	}
	return string(s)
}

func (o *owner) submit(j job.Job) { Expect(o.Submit(context.Background(), j)).To(Succeed()) }
