package hosts

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"samphirestile.example/samphirestile/internal/fleet"
	"samphirestile.example/samphirestile/internal/monotonic"
	"samphirestile.example/samphirestile/internal/store"
	"samphirestile.example/samphirestile/internal/worker"
)

const (
	// step is the pause between two looks at the waves.
	step = 200 * time.Millisecond
	// listInterval is the pause between two readings of the list of hosts.
	listInterval = 700 * time.Millisecond
	// goneAfter is how long a host must be missing from the list before it
	// counts as taken away.
	goneAfter = 6 * time.Second
	// orderRetry is the pause before an order without an answer is repeated.
	orderRetry = 500 * time.Millisecond
	// returnSlack is added to the time of an upkeep before a host that is listed
	// as up counts as returned.
	returnSlack = 300 * time.Millisecond

	progressPrefix = "samphirestile/wave/"
)

// Shards empties workers.
type Shards interface {
	// Empty reports whether nothing runs on the worker and nothing will start there.
	Empty(ctx context.Context, service fleet.ServiceID, id worker.ID) (bool, error)
	// Demand returns what the pool of a service needs; due are workers whose
	// hosts will go down soon.
	Demand(ctx context.Context, service fleet.ServiceID, due []worker.ID) (Demand, error)
}

// Config is what a manager works with.
type Config struct {
	Platform Platform
	Store    store.Transactional
	Shards   Shards
	Holder   Holder
	OwnerKey string
	// Valid reports whether the holder may still give orders.
	Valid func() bool
	// Waves returns the waves that operators have asked for.
	Waves func() []Wave
	// Pools returns the pools that serve queues.
	Pools func() []fleet.ServiceID
	// Spare returns the pools whose hosts are off.
	Spare func() map[fleet.ServiceID]bool
	// StatusKey and EncodeStatus give the form of the report on a wave.
	StatusKey       func(number int64) string
	EncodeStatus    func(completed bool) []byte
	MaintenanceTime time.Duration
	MoveTime        time.Duration
	// TermGap is how long two holders must be apart; a new holder waits for it.
	TermGap time.Duration
	// CommandMargin is the time before the end of a holder's lease in which it
	// gives no orders.
	CommandMargin time.Duration
	Log           *logrus.Logger
}

// Manager maintains hosts. Only the holder of its duty runs one.
type Manager struct {
	Config
	waves    map[int64]*waveState
	hosts    map[fleet.HostID]Host
	listedAt monotonic.Time

	// lastOrder is when this holder last gave an order for a host; blocked are
	// hosts that the former holder ordered a moment ago.
	lastOrder map[fleet.HostID]monotonic.Time
	blocked   map[fleet.HostID]monotonic.Time

	demand    map[fleet.ServiceID]Demand
	demandAt  monotonic.Time
	wanted    map[fleet.ServiceID]*wantedHistory
	transfers map[fleet.HostID]*transfer

	// revisions are those of the records that this holder has written or met.
	revisions map[string]uint64
}

type waveState struct {
	Wave
	progress  map[fleet.HostID]*hostProgress
	completed bool
	reported  string
	// openedMS is the Unix time in milliseconds at which a holder first saw the wave.
	openedMS int64
	// announced hosts are ordered next, or were a moment ago.
	announced []fleet.HostID
}

// pace returns what the wave's time asks for. A time of day that has jumped makes
// the wave late, which is the safe side.
func (w *waveState) pace(upkeep time.Duration) pace {
	elapsed := time.Duration(time.Now().UnixMilli()-w.openedMS) * time.Millisecond
	return pace{
		late: elapsed < 0 || elapsed > time.Duration(lateShare*float64(w.Within)),
		left: w.Within - max(0, elapsed), each: upkeep + emptyTime,
	}
}

// waveRecord is the stored progress of a wave.
type waveRecord struct {
	Begun []fleet.HostID `json:"begun"`
	// Announced hosts may have been ordered down beside those that have begun.
	Announced []fleet.HostID `json:"announced,omitempty"`
	OpenedMS  int64          `json:"opened_ms"`
	Completed bool           `json:"completed,omitempty"`
}

// New returns a manager that is not running yet.
func New(c Config) *Manager {
	return &Manager{
		Config: c, waves: map[int64]*waveState{}, wanted: map[fleet.ServiceID]*wantedHistory{},
		revisions: map[string]uint64{}, transfers: map[fleet.HostID]*transfer{}, lastOrder: map[fleet.HostID]monotonic.Time{}, blocked: map[fleet.HostID]monotonic.Time{},
	}
}

// Run maintains hosts until ctx ends.
func (m *Manager) Run(ctx context.Context) {
	for ctx.Err() == nil {
		err := m.takeOver(ctx)
		if err == nil {
			break
		}
		m.Log.WithError(err).Warn("orders of the former holder not known")
		monotonic.Sleep(ctx, step)
	}
	for ctx.Err() == nil {
		if err := m.pass(ctx); err != nil && ctx.Err() == nil {
			m.Log.WithError(err).Warn("maintenance held up")
		}
		monotonic.Sleep(ctx, step)
	}
}

// pass advances each open wave and each move by what is possible now.
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

// openWaves returns the waves that are not completed.
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
		return nil, fmt.Errorf("read wave %d: %w", w.Number, err)
	}
	var r waveRecord
	if err := json.Unmarshal(e.Value, &r); err != nil {
		// Orders of a wave may be repeated, so nothing is lost with the record.
		m.Log.WithError(err).WithField("wave", w.Number).Error("record of a wave unreadable")
		return state, nil
	}
	if r.OpenedMS != 0 {
		state.openedMS = r.OpenedMS
	}
	now := monotonic.Now()
	for _, id := range r.Begun {
		if p := state.progress[id]; p != nil {
			// The host may still be down for the order of an earlier holder.
			p.accepted, p.ordered = true, now
		}
	}
	for _, id := range r.Announced {
		if p := state.progress[id]; p != nil && !p.accepted {
			p.ordered, p.announced = now, true
		}
	}
	state.completed = r.Completed
	if r.Completed {
		state.reported = "completed"
	}
	return state, nil
}

func (m *Manager) list(ctx context.Context) error {
	hosts, err := m.Platform.List(ctx)
	if err != nil {
		return err
	}
	m.hosts = map[fleet.HostID]Host{}
	for _, h := range hosts {
		m.hosts[h.ID] = h
	}
	m.listedAt = monotonic.Now()
	return nil
}

// observe notes what the list says of a wave's hosts.
func (m *Manager) observe(w *waveState) {
	now := monotonic.Now()
	for _, id := range w.Hosts {
		p := w.progress[id]
		h, ok := m.hosts[id]
		if !ok {
			if p.missingSince == 0 {
				p.missingSince = m.listedAt
			}
			p.gone = p.gone || now.Sub(p.missingSince) > goneAfter
			continue
		}
		p.missingSince, p.gone = 0, false
		if p.announced && !p.accepted && h.State == Up && m.listedAt.Sub(p.ordered) > m.TermGap+returnSlack {
			// The former holder's order was not carried out, or its upkeep is over.
			p.ordered, p.announced = 0, false
		}
		if p.accepted && !p.returned && h.State == Up && m.listedAt.Sub(p.ordered) > m.MaintenanceTime+returnSlack {
			p.returned = true
		}
	}
	w.completed = completed(w.Wave, w.progress)
}

// advance empties the next hosts and orders the upkeep of those that are empty.
func (m *Manager) advance(ctx context.Context, w *waveState) error {
	if !m.Valid() {
		return &NotSentError{errNotHolder}
	}
	began := monotonic.Now()
	orders := m.candidates(w)
	m.atOnce(orders, func(o *order) { o.empty = !o.known || m.empty(ctx, o.host) })
	ready := readyOrders(orders)
	if len(ready) == 0 {
		return nil
	}
	// What is sent must be known to the next holder, and to be known here whether it
	// was carried out, also when the duty ends meanwhile.
	finishing, cancel := finishingContext(ctx)
	defer cancel()
	if err := m.announce(finishing, w, ready); err != nil {
		return err
	}
	if monotonic.Now().Sub(began) > emptyHolds {
		return nil
	}
	m.atOnce(ready, func(o *order) {
		if !m.Valid() {
			o.err = &NotSentError{errNotHolder}
			return
		}
		o.sent = monotonic.Now()
		o.err = m.Platform.Maintain(finishing, m.Holder, o.host.ID, w.Number)
	})
	return m.noteUpkeeps(finishing, w, ready)
}

// finishingContext returns a context that ends finishTime after ctx.
func finishingContext(ctx context.Context) (context.Context, context.CancelFunc) {
	finishing, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, func() { time.AfterFunc(finishTime, cancel) })
	return finishing, func() {
		stop()
		cancel()
	}
}

const (
	// finishTime bounds orders that are under way when the duty ends, with their record.
	finishTime = time.Second
	// emptyHolds is how long after the first question an order may still be sent. It
	// leaves the rest of the time in which owners count on the order to its way.
	emptyHolds = 400 * time.Millisecond
)

// candidates returns the hosts that may be ordered down now, and some more to be emptied.
func (m *Manager) candidates(w *waveState) []*order {
	now := monotonic.Now()
	var orders []*order
	for _, id := range w.Hosts {
		// An order without an answer may have been carried out: it is repeated until it is answered.
		p := w.progress[id]
		if p.ordered == 0 || p.accepted || p.gone || now.Sub(p.ordered) < orderRetry || m.transfers[id] != nil || now < m.blocked[id] {
			continue
		}
		h, ok := m.hosts[id]
		if !ok {
			h.ID = id
		}
		orders = append(orders, &order{host: h, known: ok && h.State == Up, repeated: true})
	}
	room := w.AtOnce - downHosts(w.progress)
	for _, h := range nextHosts(w.Wave, w.progress, m.hosts, m.surpluses(now), w.pace(m.MaintenanceTime)) {
		if m.transfers[h.ID] != nil || now < m.blocked[h.ID] {
			continue
		}
		orders = append(orders, &order{host: h, known: true, emptyOnly: room <= 0})
		room--
	}
	return orders
}

// readyOrders returns the orders to send. Hosts that were emptied in advance take
// the places of those that are not empty yet. A host whose order is repeated counts
// as down, so it leaves no place.
func readyOrders(orders []*order) []*order {
	places := 0
	var ready []*order
	for _, o := range orders {
		switch {
		case o.emptyOnly:
		case o.empty:
			ready = append(ready, o)
		case !o.repeated:
			places++
		}
	}
	for _, o := range orders {
		if o.emptyOnly && o.empty && places > 0 {
			places--
			ready = append(ready, o)
		}
	}
	return ready
}

// announce records the hosts that are ordered next, so that another holder counts
// them as down whatever becomes of this one.
func (m *Manager) announce(ctx context.Context, w *waveState, orders []*order) error {
	w.announced = nil
	for _, o := range orders {
		w.announced = append(w.announced, o.host.ID)
	}
	return m.record(ctx, w)
}

// noteUpkeeps notes what became of orders for upkeep. It returns an error when no
// further order makes sense now.
func (m *Manager) noteUpkeeps(ctx context.Context, w *waveState, orders []*order) error {
	w.announced = nil
	accepted := false
	var failures []error
	for _, o := range orders {
		if o.sent == 0 {
			failures = append(failures, o.err)
			continue
		}
		p := w.progress[o.host.ID]
		before := p.ordered
		p.ordered, m.lastOrder[o.host.ID] = o.sent, o.sent
		fields := logrus.Fields{"wave": w.Number, "host": o.host.ID, "token": m.Holder.Token}
		var refused *RefusedError
		switch {
		case o.err == nil:
			p.accepted, accepted = true, true
			m.Log.WithFields(fields).Info("upkeep ordered")
		case errors.As(o.err, &refused):
			m.Log.WithFields(fields).WithField("reason", refused.Reason).Info("upkeep refused")
			// Refused means that neither this order nor an earlier one runs now.
			p.ordered = 0
			p.gone = p.gone || refused.Reason == refusedWave
		default:
			if errors.As(o.err, new(*NotSentError)) {
				p.ordered = before
			}
			failures = append(failures, o.err)
		}
	}
	if accepted {
		failures = append(failures, m.record(ctx, w))
	}
	return first(failures)
}

// first returns the first failure of several that have one cause.
func first(failures []error) error {
	for _, err := range failures {
		if err != nil {
			return err
		}
	}
	return nil
}

// order is one order to a host that follows once its worker is empty.
type order struct {
	host Host
	// known hosts are up, so their workers have to be emptied first.
	known bool
	// repeated orders were sent before and may have been carried out.
	repeated bool
	// emptyOnly prepares a host whose order follows later.
	emptyOnly bool
	// empty is set once the worker was found empty.
	empty bool
	// sent is when the order was sent; 0 means that it was not.
	sent monotonic.Time
	err  error
}

// callsAtOnce bounds the calls of the holder that are under way at the same time.
// Owners answer within some tens of milliseconds while their queue is full, and
// dozens of hosts are emptied at once.
const callsAtOnce = 16

// atOnce calls f for several orders at the same time.
func (m *Manager) atOnce(orders []*order, f func(*order)) {
	var group sync.WaitGroup
	places := make(chan struct{}, callsAtOnce)
	for _, o := range orders {
		places <- struct{}{}
		group.Go(func() {
			defer func() { <-places }()
			f(o)
		})
	}
	group.Wait()
}

// empty reports whether nothing runs on the host and nothing will start there
// before the order that follows.
func (m *Manager) empty(ctx context.Context, h Host) bool {
	if h.Worker == "" || m.Spare()[h.Pool] {
		return true
	}
	empty, err := m.Shards.Empty(ctx, h.Pool, h.Worker)
	if err != nil {
		m.Log.WithError(err).WithFields(logrus.Fields{"pool": h.Pool, "host": h.ID}).Info("host not emptied")
	}
	return empty
}

// refusedWave is the reason for a host that is not of the wave.
const refusedWave = "wave"

var errNotHolder = errors.New("the duty's lease is not confirmed")

func (m *Manager) record(ctx context.Context, w *waveState) error {
	r := waveRecord{Completed: w.completed, OpenedMS: w.openedMS}
	for _, id := range w.Hosts {
		if w.progress[id].accepted {
			r.Begun = append(r.Begun, id)
		}
	}
	for _, id := range w.Hosts {
		if p := w.progress[id]; !p.accepted && (p.ordered != 0 || slices.Contains(w.announced, id)) {
			r.Announced = append(r.Announced, id)
		}
	}
	value, err := json.Marshal(r)
	if err != nil {
		return fmt.Errorf("encode wave: %w", err)
	}
	return m.write(ctx, progressPrefix+strconv.FormatInt(w.Number, 10), value)
}

// write puts a record as long as the duty is held. It requires the record's revision:
// a write whose answer was lost may be carried out seconds later and would undo this one.
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
			return fmt.Errorf("record maintenance: %w", err)
		}
		// Only the holder writes, so a change is of a former holder or of an own write
		// without an answer.
		own, held := failed.Find(m.OwnerKey)
		present, _ := failed.Find(key)
		if !held || own.Version != m.Holder.Token || present.Version == m.revisions[key] {
			return fmt.Errorf("record maintenance: %w", err)
		}
		m.revisions[key] = present.Version
	}
}

// report tells the operator the state of a wave.
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
