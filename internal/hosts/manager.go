package hosts

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"samphirestile.example/samphirestile/internal/fleet"
	"samphirestile.example/samphirestile/internal/follow"
	"samphirestile.example/samphirestile/internal/monotonic"
	"samphirestile.example/samphirestile/internal/store"
	"samphirestile.example/samphirestile/internal/worker"
)

const (
	// passInterval is the pause between two reconciliation passes.
	passInterval = 200 * time.Millisecond
	// listInterval is the minimum time between two listings of the hosts.
	listInterval = 700 * time.Millisecond
	// goneAfter is how long a host must be missing from the list before it
	// counts as removed.
	goneAfter = 6 * time.Second
	// commandRetryInterval is the pause before a command without a response is repeated.
	commandRetryInterval = 500 * time.Millisecond
	// returnSlack is added to the maintenance time before a host that is listed
	// as up counts as returned.
	returnSlack = 300 * time.Millisecond

	progressPrefix = "samphirestile/wave/"
)

// Shards drains workers and reports the demand of pools.
type Shards interface {
	// Empty drains the worker and reports whether no task runs on it; none will start
	// there for a while.
	Empty(ctx context.Context, service fleet.ServiceID, id worker.ID) (bool, error)
	// Demand returns the demand of a service's pool; maintenanceDue are the workers whose
	// hosts go down for maintenance soon.
	Demand(ctx context.Context, service fleet.ServiceID, maintenanceDue []worker.ID) (Demand, error)
}

// Config holds the dependencies and settings of a manager.
type Config struct {
	Platform Platform
	Store    store.Transactional
	Shards   Shards
	Holder   Holder
	OwnerKey string
	// Valid reports whether the holder may still issue commands.
	Valid func() bool
	// Waves returns the maintenance waves that operators have requested.
	Waves func() []Wave
	// Pools returns the pools that serve queues.
	Pools func() []fleet.ServiceID
	// Spare returns the pools whose hosts are switched off.
	Spare func() map[fleet.ServiceID]bool
	// Evacuated returns the availability zones under evacuation; nil means that zones are not evacuated.
	Evacuated func() map[fleet.AvailabilityZone]bool
	// StatusKey and EncodeStatus define the key and the encoding of a wave's status report.
	StatusKey       func(number int64) string
	EncodeStatus    func(completed bool) []byte
	MaintenanceTime time.Duration
	MoveTime        time.Duration
	// DrainTime is the expected time to drain a host; 0 means drainTime.
	DrainTime time.Duration
	// TermGap is the minimum time between the terms of two holders; a new holder
	// waits for it before it issues commands.
	TermGap time.Duration
	Log     *logrus.Logger
}

// Manager maintains and moves hosts. It runs only on the daemon that holds the
// singleton role.
type Manager struct {
	Config
	waves map[int64]*waveState
	hosts map[fleet.HostID]Host
	// requestedAt is when the list of hosts was requested, and listedAt when it was received. What the list shows is
	// compared with commands by the time of the request.
	requestedAt, listedAt monotonic.Time

	// lastCommand is when the last call that commanded each host ended. blocked holds the
	// time until which a host gets no command, because the previous holder issued one recently.
	lastCommand map[fleet.HostID]monotonic.Time
	blocked     map[fleet.HostID]monotonic.Time
	// former is the record of the previous holder; nil until it was read.
	former *termRecord
	// takenOver is set once this holder may issue commands.
	takenOver bool

	demand    map[fleet.ServiceID]Demand
	demandAt  monotonic.Time
	wanted    map[fleet.ServiceID]*wantedHistory
	transfers map[fleet.HostID]*transfer

	// rejections reports entries that are listed again and again.
	rejections *follow.Rejections
	// revisions holds the last observed revision of each record, by key.
	revisions map[string]uint64
}

type waveState struct {
	Wave
	progress  map[fleet.HostID]*hostProgress
	completed bool
	reported  string
	// openedMS is the Unix time in milliseconds at which a holder first observed the wave.
	openedMS int64
	// announced lists the hosts to which a command is about to be sent or was just sent.
	announced []fleet.HostID
}

// timeBudget returns how much of the wave's time is left. A jump of the wall clock,
// forwards or to before the opening, makes the wave late, which is the safe side.
func (w *waveState) timeBudget(maintenance, drain time.Duration) timeBudget {
	elapsed := time.Duration(time.Now().UnixMilli()-w.openedMS) * time.Millisecond
	return timeBudget{
		late:      elapsed < 0 || elapsed > time.Duration(lateShare*float64(w.Within)),
		remaining: w.Within - max(0, elapsed), perHost: maintenance + drain,
	}
}

// waveRecord is the stored progress of a wave.
type waveRecord struct {
	Begun []fleet.HostID `json:"begun"`
	// Announced lists further hosts that may have been commanded to go down.
	Announced []fleet.HostID `json:"announced,omitempty"`
	OpenedMS  int64          `json:"opened_ms"`
	Completed bool           `json:"completed,omitempty"`
}

// New returns a manager; call Run to start it.
func New(c Config) *Manager {
	c.Holder.Valid = c.Valid
	return &Manager{
		Config: c, waves: map[int64]*waveState{}, wanted: map[fleet.ServiceID]*wantedHistory{},
		rejections: follow.NewRejections(c.Log), revisions: map[string]uint64{}, transfers: map[fleet.HostID]*transfer{}, lastCommand: map[fleet.HostID]monotonic.Time{}, blocked: map[fleet.HostID]monotonic.Time{},
	}
}

// Run maintains and moves hosts until ctx ends.
func (m *Manager) Run(ctx context.Context) {
	for ctx.Err() == nil {
		err := m.takeOver(ctx)
		if err == nil {
			break
		}
		if ctx.Err() != nil {
			return
		}
		m.Log.WithError(err).Warn("cannot take over from the previous holder")
		monotonic.Sleep(ctx, passInterval)
	}
	lastFailure := ""
	for ctx.Err() == nil {
		err := m.pass(ctx)
		switch {
		case err != nil && ctx.Err() == nil && err.Error() != lastFailure:
			// A failure usually lasts for many passes.
			lastFailure = err.Error()
			m.Log.WithError(err).Warn("host reconciliation pass failed")
		case err == nil && lastFailure != "":
			lastFailure = ""
			m.Log.Info("host reconciliation pass succeeded again")
		}
		monotonic.Sleep(ctx, passInterval)
	}
}

// pass runs one reconciliation pass: it advances each open wave and each move as
// far as is possible now.
func (m *Manager) pass(ctx context.Context) error {
	open, err := m.openWaves(ctx)
	if err != nil {
		return err
	}
	if now := monotonic.Now(); now.Sub(m.listedAt) > listInterval || m.hosts == nil {
		if err := m.list(ctx); err != nil {
			return err
		}
	}
	for _, w := range open {
		m.observe(w)
		if err := m.report(ctx, w); err != nil {
			return err
		}
		if w.completed {
			continue
		}
		if err := m.advance(ctx, w); err != nil {
			return err
		}
	}
	return m.balance(ctx)
}

// openWaves returns the waves that are not completed or not yet reported as completed.
func (m *Manager) openWaves(ctx context.Context) ([]*waveState, error) {
	var open []*waveState
	for _, w := range m.Waves() {
		state := m.waves[w.Number]
		if state == nil {
			var err error
			if state, err = m.loadWave(ctx, w); err != nil {
				return nil, err
			}
			m.waves[w.Number] = state
			m.Log.WithFields(logrus.Fields{"wave": w.Number, "hosts": len(w.Hosts), "at_once": w.AtOnce, "within_ms": w.Within.Milliseconds()}).Info("wave opened")
		}
		if !state.completed || state.reported != "completed" {
			open = append(open, state)
		}
	}
	return open, nil
}

func (m *Manager) loadWave(ctx context.Context, w Wave) (*waveState, error) {
	state := &waveState{Wave: w, progress: map[fleet.HostID]*hostProgress{}, openedMS: time.Now().UnixMilli()}
	for _, id := range w.Hosts {
		state.progress[id] = &hostProgress{}
	}
	e, err := m.Store.Get(ctx, progressPrefix+strconv.FormatInt(w.Number, 10))
	if errors.As(err, new(*store.NotFoundError)) {
		return state, nil
	}
	if err != nil {
		return nil, fmt.Errorf("read progress of wave %d: %w", w.Number, err)
	}
	var r waveRecord
	if err := json.Unmarshal(e.Value, &r); err != nil {
		// Maintenance commands may be repeated, so nothing is lost without the record.
		m.Log.WithError(err).WithField("wave", w.Number).Error("cannot decode progress record of wave; starting over")
		return state, nil
	}
	if r.OpenedMS != 0 {
		state.openedMS = r.OpenedMS
	}
	now := monotonic.Now()
	for _, id := range r.Begun {
		if p := state.progress[id]; p != nil {
			// The host may still be down after a command of an earlier holder.
			p.accepted, p.commandedAt = true, now
		}
	}
	for _, id := range r.Announced {
		if p := state.progress[id]; p != nil && !p.accepted {
			p.commandedAt, p.announced = now, true
		}
	}
	// The former holder may not have written the status, so it is written again.
	state.completed = r.Completed
	return state, nil
}

func (m *Manager) list(ctx context.Context) error {
	requested := monotonic.Now()
	hosts, err := m.Platform.List(ctx)
	if err != nil {
		return err
	}
	listed := map[fleet.HostID]Host{}
	for _, h := range hosts {
		if h.State == Unreadable {
			m.rejections.Report(string(h.ID), errUnreadable)
		}
		if _, duplicate := listed[h.ID]; duplicate {
			// Which of the entries is true is not known.
			m.rejections.Report(string(h.ID), errListedTwice)
			h.State = Unreadable
		}
		if h.ID != "" {
			listed[h.ID] = h
		}
	}
	m.hosts = listed
	m.requestedAt, m.listedAt = requested, monotonic.Now()
	return nil
}

// observe updates the progress of a wave's hosts from the latest listing.
func (m *Manager) observe(w *waveState) {
	for _, id := range w.Hosts {
		p := w.progress[id]
		h, ok := m.hosts[id]
		if !ok {
			if p.missingSince == 0 {
				p.missingSince = m.requestedAt
			}
			p.gone = p.gone || m.requestedAt.Sub(p.missingSince) > goneAfter
			continue
		}
		p.missingSince, p.gone = 0, false
		if p.announced && !p.accepted && h.State == Up && m.requestedAt.Sub(p.commandedAt) > m.TermGap+returnSlack {
			// The previous holder's command was not carried out, or its maintenance is over.
			p.commandedAt, p.announced = 0, false
		}
		if p.accepted && !p.returned && h.State == Up && m.requestedAt.Sub(p.commandedAt) > m.MaintenanceTime+returnSlack {
			p.returned = true
		}
	}
	w.completed = w.completed || completed(w.Wave, w.progress)
}

// advance drains the next hosts and commands maintenance of those that are empty.
func (m *Manager) advance(ctx context.Context, w *waveState) error {
	if !m.Valid() {
		return &NoEffectError{errNotHolder}
	}
	commands := m.candidates(w)
	m.runConcurrently(commands, func(c *command) { m.drain(ctx, c) })
	ready := readyCommands(commands)
	if len(ready) == 0 {
		return nil
	}
	// Commands in flight must be recorded for the next holder, and their results must be
	// received here even if the singleton role ends meanwhile.
	finishing, cancel := finishingContext(ctx)
	defer cancel()
	if err := m.announce(finishing, w, ready); err != nil {
		return err
	}
	m.runConcurrently(ready, func(c *command) {
		m.send(ctx, c, func() error { return m.Platform.Maintain(finishing, m.Holder, c.host.ID, w.Number) })
	})
	return m.recordMaintenanceResults(finishing, w, ready)
}

// finishingContext returns a context that ends finishTimeout after ctx.
func finishingContext(ctx context.Context) (context.Context, context.CancelFunc) {
	finishing, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, func() { time.AfterFunc(finishTimeout, cancel) })
	return finishing, func() {
		stop()
		cancel()
	}
}

const (
	// finishTimeout bounds the commands that are in flight when the singleton role
	// ends, and the recording of their results.
	finishTimeout = time.Second
	// emptyValidity is how long after the drain request of its worker a command may still be
	// sent. Owners keep the worker empty for longer; the rest of that time is left for
	// the command to arrive.
	emptyValidity = 400 * time.Millisecond
)

// candidates returns commands for the hosts that may go down now, and for some more
// that are only drained in advance.
func (m *Manager) candidates(w *waveState) []*command {
	now := monotonic.Now()
	var commands []*command
	for _, id := range w.Hosts {
		// A command without a response may have been carried out: it is repeated until there is one.
		p := w.progress[id]
		if p.commandedAt == 0 || p.accepted || p.gone || now.Sub(p.commandedAt) < commandRetryInterval || m.transfers[id] != nil || now < m.blocked[id] {
			continue
		}
		h, ok := m.hosts[id]
		if ok && h.State == Unreadable {
			// Tasks may run there, on a worker that is not known.
			continue
		}
		if !ok {
			h.ID = id
		}
		commands = append(commands, &command{host: h, up: ok && h.State == Up, repeated: true})
	}
	available := w.AtOnce - downHosts(w.progress)
	budget := w.timeBudget(m.MaintenanceTime, cmp.Or(m.DrainTime, drainTime))
	for _, h := range nextHosts(w.Wave, w.progress, m.hostsForWave(), m.surpluses(now), budget) {
		h = m.hosts[h.ID]
		if m.transfers[h.ID] != nil || now < m.blocked[h.ID] {
			continue
		}
		commands = append(commands, &command{host: h, up: true, drainOnly: available <= 0})
		available--
	}
	return commands
}

// hostsForWave returns the listed hosts, without a pool where their zone is evacuated: their maintenance takes no capacity
// from the pool.
func (m *Manager) hostsForWave() map[fleet.HostID]Host {
	if m.Evacuated == nil || len(m.Evacuated()) == 0 {
		return m.hosts
	}
	listed := maps.Clone(m.hosts)
	for id, h := range listed {
		if m.evacuated(h) {
			h.Pool = ""
			listed[id] = h
		}
	}
	return listed
}

// readyCommands returns the commands to send now. Hosts that were drained in advance
// take the places of those that are not empty yet. A host whose command is repeated
// counts as down, so it does not free a place.
func readyCommands(commands []*command) []*command {
	places := 0
	var ready []*command
	for _, c := range commands {
		switch {
		case c.drainOnly:
		case c.empty:
			ready = append(ready, c)
		case !c.repeated:
			places++
		}
	}
	for _, c := range commands {
		if c.drainOnly && c.empty && places > 0 {
			places--
			ready = append(ready, c)
		}
	}
	return ready
}

// announce records the hosts to which a command is about to be sent, so that the next holder
// counts them as down even if this one fails.
func (m *Manager) announce(ctx context.Context, w *waveState, commands []*command) error {
	w.announced = nil
	for _, c := range commands {
		w.announced = append(w.announced, c.host.ID)
	}
	return m.record(ctx, w)
}

// recordMaintenanceResults applies the results of maintenance commands. It returns an
// error if no further command should be issued in this pass.
func (m *Manager) recordMaintenanceResults(ctx context.Context, w *waveState, commands []*command) error {
	w.announced = nil
	accepted := false
	var failures []error
	for _, c := range commands {
		if c.sent == 0 {
			failures = append(failures, c.err)
			continue
		}
		p := w.progress[c.host.ID]
		before := p.commandedAt
		p.commandedAt, m.lastCommand[c.host.ID] = c.sent, c.ended
		fields := logrus.Fields{"wave": w.Number, "host": c.host.ID, "token": m.Holder.Token}
		var refused *RefusedError
		switch {
		case c.err == nil:
			p.accepted, accepted = true, true
			m.Log.WithFields(fields).Info("upkeep ordered")
		case errors.As(c.err, &refused):
			m.Log.WithFields(fields).WithField("reason", refused.Reason).Info("upkeep refused")
			// A rejection means that neither this command nor an earlier one is in effect.
			p.commandedAt = 0
			p.notInWave = p.notInWave || refused.Reason == reasonNotInWave
		default:
			if errors.As(c.err, new(*NoEffectError)) {
				p.commandedAt = before
			}
			failures = append(failures, c.err)
		}
	}
	if accepted {
		failures = append(failures, m.record(ctx, w))
	}
	return firstError(failures)
}

// firstError returns the first error that is not nil. The errors of one batch
// usually have a common cause.
func firstError(failures []error) error {
	for _, err := range failures {
		if err != nil {
			return err
		}
	}
	return nil
}

// command is a command to a host, issued once the host's worker is empty.
type command struct {
	host Host
	// up is set if the host is listed as up, so that its worker has to be drained first.
	up bool
	// repeated is set if the command was sent before and may have been carried out.
	repeated bool
	// drainOnly is set if the host is only drained now and its command follows later.
	drainOnly bool
	// empty is set once the worker was reported empty, in response to a request that was
	// sent at drainSent.
	empty     bool
	drainSent monotonic.Time
	// sent is when the command was sent; 0 means that it was not. ended is when the call ended;
	// without a response the command may have been carried out until then.
	sent, ended monotonic.Time
	err         error
}

// maxConcurrentCalls bounds the concurrent calls of the holder. Owners with a full
// queue take some tens of milliseconds to respond, and dozens of hosts are drained at
// the same time.
const maxConcurrentCalls = 16

// runConcurrently calls f for each command, at most maxConcurrentCalls at a time.
func (m *Manager) runConcurrently(commands []*command, f func(*command)) {
	var group sync.WaitGroup
	places := make(chan struct{}, maxConcurrentCalls)
	for _, c := range commands {
		places <- struct{}{}
		group.Go(func() {
			defer func() { <-places }()
			f(c)
		})
	}
	group.Wait()
}

// drain drains the worker of the command's host if the host is up.
func (m *Manager) drain(ctx context.Context, c *command) {
	c.drainSent = monotonic.Now()
	c.empty = !c.up || m.drainHost(ctx, c.host)
}

// send sends a command if it is still permitted. The permission may have ended while the
// worker was drained, while the command was announced or while others were sent.
func (m *Manager) send(ctx context.Context, c *command, call func() error) {
	if c.err = m.checkCommandAllowed(ctx, c.host.ID); c.err != nil {
		return
	}
	now := monotonic.Now()
	if c.up && now.Sub(c.drainSent) > emptyValidity {
		// The owner may have new tasks started on the worker; it is drained again in the next pass.
		return
	}
	c.sent = now
	c.err = call()
	c.ended = monotonic.Now()
}

// drainHost drains the host's worker and reports whether no task runs there; none will
// start before the command that follows.
func (m *Manager) drainHost(ctx context.Context, h Host) bool {
	if h.Worker == "" || m.Spare()[h.Pool] {
		return true
	}
	empty, err := m.Shards.Empty(ctx, h.Pool, h.Worker)
	if err != nil {
		m.Log.WithError(err).WithFields(logrus.Fields{"pool": h.Pool, "host": h.ID}).Info("cannot drain the worker of the host")
	}
	return empty
}

// reasonNotInWave is the platform's reason for rejecting a host that is not in the wave.
const reasonNotInWave = "wave"

var (
	errUnreadable  = errors.New("the entry of the host cannot be read")
	errListedTwice = errors.New("the host is listed twice")
)

var errNotHolder = errors.New("the lease of the singleton role for hosts is not confirmed")

func (m *Manager) record(ctx context.Context, w *waveState) error {
	r := waveRecord{Completed: w.completed, OpenedMS: w.openedMS}
	for _, id := range w.Hosts {
		if w.progress[id].accepted {
			r.Begun = append(r.Begun, id)
		}
	}
	for _, id := range w.Hosts {
		if p := w.progress[id]; !p.accepted && (p.commandedAt != 0 || slices.Contains(w.announced, id)) {
			r.Announced = append(r.Announced, id)
		}
	}
	value, err := json.Marshal(r)
	if err != nil {
		return fmt.Errorf("encode progress of wave %d: %w", w.Number, err)
	}
	return m.write(ctx, progressPrefix+strconv.FormatInt(w.Number, 10), value)
}

// write stores a record on condition that this holder still holds the singleton role
// and that the record has its last observed revision. Without the latter condition, an
// earlier write whose response was lost could be carried out seconds later and undo this one.
func (m *Manager) write(ctx context.Context, key string, value []byte) error {
	for {
		revision, err := m.Store.Commit(ctx, store.Transaction{
			Conditions: []store.Condition{{Key: m.OwnerKey, Version: m.Holder.Token}, {Key: key, Version: m.revisions[key]}},
			Writes:     []store.Write{{Key: key, Value: value}},
		})
		if err == nil {
			m.revisions[key] = revision
			return nil
		}
		var failed *store.ConditionError
		if !errors.As(err, &failed) {
			return fmt.Errorf("write maintenance record %s: %w", key, err)
		}
		// Only the holder writes, so the change is by a former holder or by an own write
		// whose response was lost.
		own, held := failed.Find(m.OwnerKey)
		current, _ := failed.Find(key)
		if !held || own.Version != m.Holder.Token || current.Version == m.revisions[key] {
			return fmt.Errorf("write maintenance record %s: %w", key, err)
		}
		m.revisions[key] = current.Version
	}
}

// report writes the status of a wave for the operator if it has changed.
func (m *Manager) report(ctx context.Context, w *waveState) error {
	state := "running"
	if w.completed {
		state = "completed"
	}
	if w.reported == state {
		return nil
	}
	if err := m.record(ctx, w); err != nil {
		return err
	}
	if err := m.write(ctx, m.StatusKey(w.Number), m.EncodeStatus(w.completed)); err != nil {
		return err
	}
	w.reported = state
	m.Log.WithFields(logrus.Fields{"wave": w.Number, "state": state}).Info("wave reported")
	return nil
}
