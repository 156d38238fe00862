// Package shard serves one shard: it accepts the shard's jobs, runs their tasks on the shard's
// workers and records their progress. A claim assigns a worker to a shard, that is, to a partition
// of the pool.
package shard

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"samphirestile.example/samphirestile/internal/advice"
	"samphirestile.example/samphirestile/internal/capacity"
	"samphirestile.example/samphirestile/internal/fleet"
	"samphirestile.example/samphirestile/internal/job"
	"samphirestile.example/samphirestile/internal/jobconfig"
	"samphirestile.example/samphirestile/internal/jobstore"
	"samphirestile.example/samphirestile/internal/monotonic"
	"samphirestile.example/samphirestile/internal/partition"
	"samphirestile.example/samphirestile/internal/policy"
	"samphirestile.example/samphirestile/internal/quota"
	"samphirestile.example/samphirestile/internal/share"
	"samphirestile.example/samphirestile/internal/store"
	"samphirestile.example/samphirestile/internal/worker"
)

const (
	// MaxWorkerLease is how long a worker continues its runs without contact to the owner. Together
	// with the owner's own lease it outlasts the usual outages of the store, and it bounds how long
	// runs on a lost worker count as running.
	MaxWorkerLease = 4 * time.Second
	// minWorkerLease is the remaining lease below which no run is started.
	minWorkerLease = 800 * time.Millisecond
	// maxClockDrift is the fraction by which a worker's clock may run slower than the owner's.
	maxClockDrift = 0.02
	// leaseSlack covers the error of the estimated worker clock.
	leaseSlack = 400 * time.Millisecond
	// takeoverRunGap exceeds the number of runs of one task that an owner starts between two
	// records of its progress.
	takeoverRunGap = 8
	// flushTimeout bounds the final write of progress in a planned stop.
	flushTimeout = 1500 * time.Millisecond
	// retryDelay is the delay before a failed call to a worker or to the store is repeated.
	retryDelay = 150 * time.Millisecond
	// checkInterval is the period for checking conditions that no event announces.
	checkInterval = 100 * time.Millisecond
)

// Bounds are the limits that a shard guarantees.
type Bounds struct {
	// MaxLease is the longest lease that workers accept.
	MaxLease time.Duration
	// StopGrace is how long a run may continue after its worker received the stop command.
	StopGrace time.Duration
	// StatusRetention is how long the state of a finished job is kept.
	StatusRetention time.Duration
	// Evacuation is the time from the evacuation of an availability zone until no task may start in it. It is used only
	// with Config.Evacuations.
	Evacuation time.Duration
}

// Config holds the settings and dependencies of an owner.
type Config struct {
	Shard   string
	Service fleet.ServiceID
	// PartitionKey is the key of the record of the partition's depth; "" where pools are not
	// partitioned.
	PartitionKey string
	// Claim returns the shard to which a worker is assigned and the revision of that record. The
	// shard is "" in a pool of one partition. A nil function means that no pool is partitioned.
	Claim    func(worker.ID) (shard string, revision uint64)
	Token    uint64
	OwnerKey string
	Store    store.Transactional
	// Bindings are the bindings of queues to services; nil means that jobs are accepted from any queue.
	Bindings Bindings
	// Quota is what the shard knows of the others that share the limits of accounts.
	Quota  quota.Peers
	Dialer worker.Dialer
	// Advice queues the requests of all shards of the daemon to the advisor; nil if there is none.
	Advice *advice.Queue
	Bounds Bounds
	// Policy switches the decisions under load.
	Policy policy.Policy
	// JobMemory returns how much memory in bytes the jobs of the shard may need; nil means that it is not bounded. The bounds of
	// all shards together are what one daemon can hold, since it may come to own all of them.
	JobMemory func() int64
	// UnixMS returns the Unix time in milliseconds by which occurrences of jobs are due; nil means the time of day.
	UnixMS func(monotonic.Time) int64
	// LatestWorkerLeaseEnd returns the latest end of a lease that may be granted to a worker.
	LatestWorkerLeaseEnd func() monotonic.Time
	// Workers returns the listed workers of the service.
	Workers       func() map[worker.ID]worker.Worker
	Changes       <-chan struct{}
	Configuration func() *jobconfig.Configuration
	// Evacuations returns the availability zones under evacuation and the time since the store last confirmed them; nil
	// means that zones are not evacuated.
	Evacuations func() (map[fleet.AvailabilityZone]bool, time.Duration)
	Log         *logrus.Logger
	// Scope receives the metrics of the shard.
	Scope tally.Scope
}

// Owner serves one shard under one fencing token.
type Owner struct {
	Config
	chain  *jobstore.Chain
	ledger *quota.Ledger

	acquired monotonic.Time
	// partition is the partition of the pool whose jobs are accepted; recordedDepth is its depth in
	// the store. ancestorJobs are jobs of the partition that are still held by the shards from
	// which it was split.
	partition     partition.Partition
	recordedDepth int
	ancestorJobs  map[job.ID]string

	wake    chan struct{}
	commits chan struct{}

	// commitMu is held during commit.
	commitMu sync.Mutex

	mu     sync.Mutex
	open   bool
	closed bool
	// handedOver is set once the record of the workers for the successor of a planned handover is encoded. No stops are sent
	// from then on for runs that it does not name as stopping.
	handedOver bool
	jobs       map[job.ID]*jobEntry
	active     map[job.ID]*jobEntry
	// completing are the active jobs whose tasks are all done and whose final state is not set yet.
	completing map[job.ID]*jobEntry
	sessions   map[worker.ID]*session
	// recordedWorkers are the workers on which this owner may start runs, as the stored record names them.
	recordedWorkers map[worker.ID]recordedWorker
	// leaving are workers that the stored record may still name: the write that drops them has not
	// been confirmed.
	leaving map[worker.ID]recordedWorker
	// uncontacted holds recorded workers that have not responded to this owner yet. workersUnknown is
	// set if the record could not be decoded.
	uncontacted    map[worker.ID]recordedWorker
	workersUnknown bool
	// stopping are the tasks whose runs the former owner had told to stop before a planned handover.
	stopping map[string]bool
	// goneWorkers are listed workers at whose address another worker has answered.
	goneWorkers map[worker.ID]goneWorker
	// closedLateStarts are the late starts of closed sessions.
	closedLateStarts map[worker.ID]map[runKey]*lateStart
	usage            map[string]worker.Resources
	// limited holds, by account, the job that has been waiting the longest for the limit only.
	limited        map[string]*limitWait
	durationModels map[string]*durationModel
	urgent         bool
	// lastEmpty is when a worker was last reported empty.
	lastEmpty monotonic.Time
	// wantsRevision is set while a worker needs a token above that of a start without an answer: the next commit writes, also
	// if nothing has changed.
	wantsRevision bool
	// maintenanceDue holds workers whose hosts go down for maintenance soon.
	maintenanceDue map[worker.ID]bool
	// arrivals measures the work that clients submit; countedArrivals holds the jobs that are
	// already counted.
	arrivals        capacity.ArrivalRate
	countedArrivals map[job.ID]monotonic.Time
	// acceptedBacklog is the backlog of accepted work; admission recomputes it when it is older than
	// maxBacklogAge.
	acceptedBacklog backlog
	// starts counts the tasks started in the current window, peakStarts is the maximum of any
	// window.
	starts, peakStarts int
	startsSince        monotonic.Time
	// taskWork is the work of the taskCount tasks started so far, in seconds of a fully used worker.
	taskWork  float64
	taskCount int
	// hostsWanted is the number of hosts that Demand last reported for the pool.
	hostsWanted int
	// unplaced is long-running work for which no worker had sufficient capacity when a scheduling pass
	// last looked at its jobs.
	unplaced unplacedWork
	// unplacedLogged is set while the log says that such work has been unplaced for a while.
	unplacedLogged bool
	// skippingJobs is set while scheduling passes skip jobs.
	skippingJobs bool
	// promoted is the job that was last promoted because it had yielded for long, until it starts a task; promotedAt is
	// when.
	promoted   *jobEntry
	promotedAt monotonic.Time
	// yieldingAt is when the jobs that yield were last determined.
	yieldingAt monotonic.Time
	// accepted describes the accepted jobs as of acceptedAt, with those accepted since.
	accepted   []share.AcceptedJob
	acceptedAt monotonic.Time
	// startsWithheld is set while no task is started for lack of a confirmation of the zones under evacuation.
	startsWithheld bool
	// reservationLines counts the log lines about reservations since reservationLinesSince.
	reservationLines      int
	reservationLinesSince monotonic.Time
	// workersWanted is how many of the pool's workers this partition needs, as last computed by
	// Demand.
	workersWanted int
	// adviceRequests are the requests to the advisor from the last scheduling pass, most urgent
	// first.
	adviceRequests []adviceRequest
	// queueAdvice is what the advisor's answers have shown about queues.
	queueAdvice map[string]*queueAdvice
	// publishedAdviceBacklog is the last adviceBacklog, in nanoseconds.
	publishedAdviceBacklog atomic.Int64
	// adviceMissing is set once the lack of an advisor is logged.
	adviceMissing bool
	group         sync.WaitGroup
	ready         chan struct{}
}

// jobEntry is the state of one job of the shard.
type jobEntry struct {
	job *job.TrackedJob
	// storedChan is closed once the job is in the store.
	storedChan chan struct{}
	stored     bool
	dirty      bool
	// recorded is set once some record of the job is in the store. bindingRevision is the revision of the
	// binding under which the first one may be written; 0 means that it is not known yet.
	recorded        bool
	bindingRevision uint64
	// heldElsewhere and refused are set if the job was dropped before it was recorded: another shard holds it,
	// or its queue is bound to another service.
	heldElsewhere bool
	refused       error
	// finalStoredChan is closed once the final state is in the store.
	finalStoredChan chan struct{}
	finalStored     bool
	// recordLeft is set while the store holds the job's own record beside the final state.
	recordLeft bool
	accepted   monotonic.Time
	objective  time.Duration
	// firstAttempt is when the client first submitted the job, as far as this owner knows, or 0.
	firstAttempt monotonic.Time
	// predicted is the time to the job's completion that was expected when it was accepted, or 0.
	predicted time.Duration
	// unpromised is set if the job was accepted although it was expected to miss its objective. yields is set
	// while the job yields to jobs that can be in time.
	unpromised, yields bool
	// copyable is set if a step allows speculative copies of its running tasks.
	copyable bool
	// recovered is set for jobs that were accepted by an earlier owner.
	recovered bool
	// numberBase is a lower bound of the numbers of this owner's runs. It exceeds those that an
	// earlier owner used after its last record of the task.
	numberBase int
	// firstBegin and lastBegin are when a worker first and last confirmed a start of this owner. firstBegin is 0 if the job had
	// begun before.
	firstBegin, lastBegin monotonic.Time
	// starts counts the runs that this owner has placed, whether or not they began, failures and losses those that
	// failed and were lost.
	starts, failures, losses int
	// retryAt is the earliest time of the next start after a failed run, after any ended run of a
	// long-running task, or after a start that was refused as old.
	retryAt monotonic.Time
	// staleBackoff is the last delay after a start that was refused as old, or 0 after an accepted start.
	staleBackoff time.Duration
	// skips is the number of consecutive scheduling passes, up to the last one, that ended before they
	// looked at the job.
	skips int
	// unplaced are the tasks that found no worker when a scheduling pass last looked at the job.
	unplaced unplacedTasks
	// blockedSince is since when a large task or gang of the job has found no worker, or 0, and reserved holds the
	// reservations that were logged, by step. Both are kept only while the look-ahead is enabled.
	blockedSince monotonic.Time
	reserved     map[stepKey]loggedReservation
	// limited is what the job waits for since the limit of its account has kept it from starting tasks.
	limited limitWait
	// noReadyTasks is set while no task can start before a run of the job finishes.
	noReadyTasks bool
	// path is the critical path of the remaining steps, computed at pathAt after pathDoneRuns
	// completed runs.
	path         time.Duration
	pathAt       monotonic.Time
	pathDoneRuns int
	doneRuns     int
	runs         map[*run]bool
	// moves are the long-running tasks that were told to stop in an evacuated zone and do not run elsewhere yet.
	moves map[job.TaskID]bool
	// advice holds the advisor's decisions, by step.
	advice map[stepKey]*stepAdvice
}

func newJobEntry(tracked *job.TrackedJob) *jobEntry {
	e := &jobEntry{job: tracked, storedChan: make(chan struct{}), finalStoredChan: make(chan struct{}), accepted: monotonic.Now(), runs: map[*run]bool{}}
	for i := range tracked.Steps {
		e.copyable = e.copyable || tracked.Steps[i].Copyable()
	}
	return e
}

// New returns an owner; Run starts it.
func New(c Config) *Owner {
	o := &Owner{
		Config: c, acquired: monotonic.Now(), wake: make(chan struct{}, 1), commits: make(chan struct{}, 1),
		jobs: map[job.ID]*jobEntry{}, active: map[job.ID]*jobEntry{}, completing: map[job.ID]*jobEntry{}, sessions: map[worker.ID]*session{},
		recordedWorkers: map[worker.ID]recordedWorker{}, leaving: map[worker.ID]recordedWorker{}, uncontacted: map[worker.ID]recordedWorker{}, stopping: map[string]bool{}, goneWorkers: map[worker.ID]goneWorker{},
		closedLateStarts: map[worker.ID]map[runKey]*lateStart{}, usage: map[string]worker.Resources{}, limited: map[string]*limitWait{},
		durationModels: map[string]*durationModel{}, countedArrivals: map[job.ID]monotonic.Time{}, ready: make(chan struct{}),
		queueAdvice: map[string]*queueAdvice{}, partition: partition.Parse(c.Shard), ancestorJobs: map[job.ID]string{},
	}
	o.ledger = quota.NewLedger(c.Store, c.Shard, c.OwnerKey, c.Token, o, o.schedule, c.Quota, c.Log)
	return o
}

// Run serves the shard until ctx ends.
func (o *Owner) Run(ctx context.Context) {
	defer o.group.Wait()
	for ctx.Err() == nil {
		err := o.load(ctx)
		if err == nil {
			break
		}
		o.Log.WithError(err).WithField("shard", o.Shard).Warn("records of the shard not read; will retry")
		monotonic.Sleep(ctx, retryDelay)
	}
	if ctx.Err() != nil {
		return
	}
	o.group.Go(func() { o.commitLoop(ctx) })
	o.group.Go(func() { o.ledger.Run(ctx) })
	o.group.Go(func() { o.scheduleLoop(ctx) })
	if o.Advice != nil {
		defer o.Advice.Join(o)()
	}
	o.syncSessions(ctx)
	o.mu.Lock()
	o.open = true
	jobs, active := len(o.jobs), len(o.active)
	o.mu.Unlock()
	close(o.ready)
	o.Log.WithFields(logrus.Fields{
		"shard": o.Shard, "token": o.Token, "jobs": jobs, "active": active, "took_ms": monotonic.Now().Sub(o.acquired).Milliseconds(),
	}).Info("shard served")
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-o.Changes:
			o.syncSessions(ctx)
		case <-ticker.C:
			o.syncSessions(ctx)
			o.schedule()
			o.mu.Lock()
			o.completePendingJobs()
			o.setGauges()
			o.mu.Unlock()
		}
	}
}

// Close rejects new work and records all progress.
func (o *Owner) Close() {
	o.mu.Lock()
	o.closed = true
	pause := o.lastEmpty.Add(handoverDelay).Sub(monotonic.Now())
	o.mu.Unlock()
	if pause > 0 {
		time.Sleep(pause)
	}
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	if o.chain == nil {
		return
	}
	if err := o.commit(ctx); err != nil {
		o.Log.WithError(err).WithField("shard", o.Shard).Warn("final progress not recorded")
	}
}

// load reads the shard's records. Earlier owners can no longer write them, so they are read
// concurrently: a slow store takes a quarter of a second for each response.
func (o *Owner) load(ctx context.Context) error {
	var chain *jobstore.Chain
	var jobs, progress []store.Entry
	var workers map[worker.ID]recordedWorker
	var depth int
	var ancestorJobs map[job.ID]string
	reads := []func() error{
		func() (err error) {
			chain, err = jobstore.Open(ctx, o.Store, o.Shard, o.OwnerKey, o.Token)
			return err
		},
		func() (err error) {
			jobs, _, err = o.Store.List(ctx, jobstore.JobPrefix(o.Shard))
			return err
		},
		func() (err error) {
			progress, _, err = o.Store.List(ctx, jobstore.ProgressPrefix(o.Shard))
			return err
		},
		func() (err error) {
			workers, err = o.loadRecordedWorkers(ctx)
			return err
		},
		func() (err error) {
			depth, ancestorJobs, err = o.loadPartition(ctx)
			return err
		},
	}
	failures := make([]error, len(reads))
	var group sync.WaitGroup
	for i, read := range reads {
		group.Go(func() { failures[i] = read() })
	}
	group.Wait()
	if err := errors.Join(failures...); err != nil {
		return fmt.Errorf("read records of shard %s: %w", o.Shard, err)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.chain = chain
	o.partition, o.ancestorJobs = o.partition.AtDepth(depth), ancestorJobs
	o.recordedDepth = o.partition.Depth
	for _, r := range jobs {
		o.loadJob(r)
	}
	for _, r := range progress {
		o.loadProgress(r)
	}
	for id, e := range o.active {
		if e.job.AllDone() {
			o.completing[id] = e
		}
	}
	for id, w := range workers {
		if w.Tasks == nil {
			o.recordedWorkers[id] = w
		}
		o.uncontacted[id] = w
		for _, t := range w.Stopping {
			o.stopping[t] = true
		}
	}
	return nil
}

// loadRecordedWorkers reads the workers on which an earlier owner may have runs.
func (o *Owner) loadRecordedWorkers(ctx context.Context) (map[worker.ID]recordedWorker, error) {
	e, err := o.Store.Get(ctx, jobstore.WorkersKey(o.Shard))
	if errors.As(err, new(*store.NotFoundError)) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	workers := map[worker.ID]recordedWorker{}
	if err := json.Unmarshal(e.Value, &workers); err != nil {
		o.Log.WithError(err).WithField("shard", o.Shard).Error("record of the shard's workers not decoded; waiting for all leases of earlier owners")
		o.mu.Lock()
		defer o.mu.Unlock()
		o.workersUnknown = true
		return nil, nil
	}
	return workers, nil
}

func (o *Owner) loadJob(r store.Entry) {
	var j job.Job
	if err := json.Unmarshal(r.Value, &j); err != nil {
		o.Log.WithError(err).WithField("key", r.Key).Error("job record not decoded; skipping the job")
		return
	}
	e := newJobEntry(job.NewTrackedJob(j))
	e.stored, e.recovered, e.numberBase = true, true, takeoverRunGap
	close(e.storedChan)
	o.setTimes(e)
	e.accepted = monotonic.Now().Add(-time.Duration(max(0, time.Now().UnixMilli()-j.AcceptedMS)) * time.Millisecond)
	o.jobs[j.ID] = e
	o.active[j.ID] = e
}

func (o *Owner) loadProgress(r store.Entry) {
	id := job.ID(strings.TrimPrefix(r.Key, jobstore.ProgressPrefix(o.Shard)))
	e := o.jobs[id]
	if e == nil {
		// The job's own record is removed once the job has finished.
		e = newJobEntry(job.NewTrackedJob(job.Job{ID: id}))
		e.stored = true
		close(e.storedChan)
		o.jobs[id] = e
	}
	if err := e.job.DecodeProgress(r.Value); err != nil {
		o.Log.WithError(err).WithField("key", r.Key).Error("progress record not decoded")
		return
	}
	if e.job.FinalState.IsFinal() {
		e.finalStored = true
		close(e.finalStoredChan)
		if o.active[id] != nil {
			// Earlier versions removed the job's own record in a later transaction than that of the final state.
			o.Log.WithFields(logrus.Fields{"job": id, "shard": o.Shard, "token": o.Token, "state": e.job.FinalState, "ended_ms": e.job.EndedMS}).
				Info("record of an ended job found; it will be removed")
			e.recordLeft = true
			o.requestCommit()
		}
		delete(o.active, id)
	}
}

// setTimes computes the job's objective. The users count it from the longest chain of tasks as they really take, so a step
// counts with its longest task where the durations are learned.
func (o *Owner) setTimes(e *jobEntry) {
	stretch := e.job.Stretch
	if stretch <= 0 {
		stretch = 1
	}
	criticalPath := e.job.CriticalPath(func(s *job.Step) time.Duration { return o.stepTime(&e.job.Job, s) })
	e.objective = time.Duration(stretch*float64(criticalPath)) + e.job.Objective
}

// schedule requests a scheduling pass.
func (o *Owner) schedule() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// uncontactedRuns are runs of earlier owners that may still be running on workers that have not
// responded.
type uncontactedRuns struct {
	// any is set when the runs may belong to any task.
	any   bool
	tasks map[string]bool
}

// none reports whether there are no such runs.
func (u uncontactedRuns) none() bool { return !u.any && len(u.tasks) == 0 }

// mayInclude reports whether the runs may belong to a task.
func (u uncontactedRuns) mayInclude(t job.TaskID) bool {
	return u.any || len(u.tasks) > 0 && u.tasks[t.String()]
}

// uncontactedRuns returns what may be running on workers that have not responded to this owner.
func (o *Owner) uncontactedRuns(now monotonic.Time) uncontactedRuns {
	if len(o.uncontacted) == 0 && !o.workersUnknown {
		return uncontactedRuns{}
	}
	passed := now.Sub(o.acquired)
	u := uncontactedRuns{any: o.workersUnknown && passed <= atMost(o.lease()), tasks: map[string]bool{}}
	for id, w := range o.uncontacted {
		if passed > o.formerLease(id, w) {
			continue
		}
		u.any = u.any || w.Tasks == nil
		for _, t := range w.Tasks {
			u.tasks[t] = true
		}
	}
	return u
}

// mayBeStopping reports whether a run of a task that the former owner had told to stop may go on, although its worker does
// not list it.
func (o *Owner) mayBeStopping(t job.TaskID, now monotonic.Time) bool {
	return len(o.stopping) > 0 && now.Sub(o.acquired) <= o.stopTime() && o.stopping[t.String()]
}

// inheritedUsage returns what runs of earlier owners on workers that have not responded may use, by
// account. The caller holds mu.
func (o *Owner) inheritedUsage(now monotonic.Time) map[string]worker.Resources {
	u := o.uncontactedRuns(now)
	if u.none() {
		return nil
	}
	usage := map[string]worker.Resources{}
	for _, e := range o.active {
		if !e.recovered || e.job.Account == "" {
			continue
		}
		for t, s := range o.idleTasks(e, now, job.MaxTasksInProgress) {
			if u.mayInclude(t) {
				usage[e.job.Account] = usage[e.job.Account].Plus(s.Need)
			}
		}
	}
	if bound, ok := o.uncontactedCapacity(); ok {
		for account, r := range usage {
			usage[account] = r.Min(bound)
		}
	}
	return usage
}

// uncontactedCapacity returns the capacity of the workers that have not responded, and whether it is
// known. The caller holds mu.
func (o *Owner) uncontactedCapacity() (total worker.Resources, known bool) {
	if o.workersUnknown {
		return total, false
	}
	for id := range o.uncontacted {
		s := o.sessions[id]
		if s == nil || s.Capacity == (worker.Resources{}) {
			return total, false
		}
		total = total.Plus(s.Capacity)
	}
	return total, true
}

// UsageKnown implements quota.UsageReporter.
func (o *Owner) UsageKnown() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.open && o.uncontactedRuns(monotonic.Now()).none()
}

// ownershipCertain reports whether this daemon is certain to own the shard. When it is not, the
// owner only extends existing runs: a restarted worker has lost the fencing token of a successor
// and would accept a start from this owner as well.
func (o *Owner) ownershipCertain(now monotonic.Time) bool {
	return now < o.LatestWorkerLeaseEnd().Add(-o.lease())
}

func (o *Owner) lease() time.Duration { return min(MaxWorkerLease, o.Bounds.MaxLease/2) }

// unixMS returns the Unix time in milliseconds. The clocks of the workers do not tell it: they begin anywhere, and the error
// of a slow one grows with the time since its start.
func (o *Owner) unixMS(now monotonic.Time) int64 {
	if o.UnixMS == nil {
		return time.Now().UnixMilli()
	}
	return o.UnixMS(now)
}

// Limits implements quota.Source.
func (o *Owner) Limits() map[string]worker.Resources {
	limits := map[string]worker.Resources{}
	c := o.Configuration()
	if c == nil {
		return limits
	}
	for name, a := range c.Accounts {
		if a.Limit != (worker.Resources{}) {
			limits[name] = a.Limit
		}
	}
	return limits
}

// AccountDemands implements quota.Source.
func (o *Owner) AccountDemands() map[string]quota.AccountDemand {
	o.mu.Lock()
	defer o.mu.Unlock()
	demands := map[string]quota.AccountDemand{}
	for account, r := range o.usage {
		demands[account] = quota.AccountDemand{Running: r}
	}
	for _, e := range o.active {
		if e.job.Account == "" {
			continue
		}
		d := demands[e.job.Account]
		for _, s := range o.readyTasks(e, monotonic.Now()) {
			d.Waiting = d.Waiting.Plus(s.Need)
		}
		demands[e.job.Account] = d
	}
	return demands
}

func (o *Owner) limit(account string) worker.Resources {
	if c := o.Configuration(); c != nil {
		return c.Accounts[account].Limit
	}
	return worker.Resources{}
}
