package store

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// Call is one call to the store that another daemon makes. Exactly one field is set.
type Call struct {
	Get    string       `json:"get,omitempty"`
	List   string       `json:"list,omitempty"`
	Commit *Transaction `json:"commit,omitempty"`
	// GrantMS is the duration of a new lease in milliseconds.
	GrantMS   int64   `json:"grant_ms,omitempty"`
	KeepAlive LeaseID `json:"keep_alive,omitempty"`
	Revoke    LeaseID `json:"revoke,omitempty"`
}

// CallResult is what the store said to a Call.
type CallResult struct {
	Code     ResultCode `json:"code"`
	Reason   string     `json:"reason,omitempty"`
	Entries  []Entry    `json:"entries,omitempty"`
	Revision uint64     `json:"revision,omitempty"`
	Lease    LeaseID    `json:"lease,omitempty"`
}

// ResultCode is the kind of an Answer.
type ResultCode string

// Codes of answers; each is one type of error of Transactional.
const (
	ResultOK          ResultCode = "ok"
	ResultNotFound    ResultCode = "not_found"
	ResultCondition   ResultCode = "condition"
	ResultUnavailable ResultCode = "unavailable"
	ResultUnknown     ResultCode = "unknown"
)

// Serve makes a call for another daemon.
func Serve(ctx context.Context, s Transactional, c Call) CallResult {
	var a CallResult
	var err error
	switch {
	case c.Get != "":
		var e Entry
		if e, err = s.Get(ctx, c.Get); err == nil {
			a.Entries = []Entry{e}
		}
	case c.List != "":
		a.Entries, a.Revision, err = s.List(ctx, c.List)
	case c.Commit != nil:
		a.Revision, err = s.Commit(ctx, *c.Commit)
	case c.GrantMS != 0:
		a.Lease, err = s.Grant(ctx, time.Duration(c.GrantMS)*time.Millisecond)
	case c.KeepAlive != 0:
		err = s.KeepAlive(ctx, c.KeepAlive)
	case c.Revoke != 0:
		err = s.Revoke(ctx, c.Revoke)
	default:
		err = &UnavailableError{errEmptyCall}
	}
	var condition *ConditionError
	switch {
	case err == nil:
		a.Code = ResultOK
		return a
	case errors.As(err, &condition):
		a.Code, a.Entries = ResultCondition, condition.Current
	case errors.As(err, new(*NotFoundError)):
		a.Code = ResultNotFound
	case errors.As(err, new(*UnavailableError)):
		a.Code = ResultUnavailable
	default:
		a.Code = ResultUnknown
	}
	a.Reason = err.Error()
	return a
}

var (
	errEmptyCall = errors.New("the call asks for nothing")
	errDetour    = errors.New("store reached through another daemon")
	errNoPeer    = errors.New("no other daemon reaches the store")
)

// err returns the error that the answer stands for.
func (a CallResult) err(key string) error {
	switch a.Code {
	case ResultOK:
		return nil
	case ResultNotFound:
		return &NotFoundError{Key: key}
	case ResultCondition:
		return &ConditionError{Current: a.Entries}
	case ResultUnavailable:
		return &UnavailableError{errors.Join(errDetour, errors.New(a.Reason))}
	}
	return &UnknownOutcomeError{Key: key, Cause: errors.Join(errDetour, errors.New(a.Reason))}
}

const (
	// detourFailures of calls in a row without an answer of the store send the next
	// ones through other daemons. One alone may be a lost answer.
	detourFailures = 2
	// directInterval is the pause between two attempts to reach the store directly.
	directInterval = time.Second
	// detourTimeout bounds a call through another daemon, which takes two hops more.
	detourTimeout = 600 * time.Millisecond
	// detourPeers is how many daemons are asked for one call. A third of all may be cut
	// at the same time.
	detourPeers = 3
)

// Relay reaches the store through other daemons while it does not answer this one.
//
// Load pattern: the store turns single machines away, or a network splits them from
// it, and serves the others. An owner without the store would leave its queue alone
// until its lease has ended, two seconds of a turn.
//
// A call through another daemon has the outcomes of a direct one: it may be carried
// out late, and the conditions of transactions hold then as well.
type Relay struct {
	Transactional
	// Peers returns the addresses of the other daemons.
	Peers func() []string
	// CallPeer makes a call through the daemon at the address; an error means that
	// the daemon did not answer.
	CallPeer func(ctx context.Context, address string, c Call) (CallResult, error)
	Log      *logrus.Logger

	mu       sync.Mutex
	failures int
	probed   time.Time
	// last is the daemon that reached the store last.
	last string
	// nobodyUntil is until when other daemons are not asked, because the store turned
	// all of them away.
	nobodyUntil time.Time
}

var _ Transactional = (*Relay)(nil)

// cut reports whether direct calls are not answered at present, and now and then
// tries whether they are again.
func (d *Relay) cut() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.failures < detourFailures {
		return false
	}
	if now := time.Now(); now.Sub(d.probed) > directInterval {
		d.probed = now
		go d.probe()
	}
	return true
}

// probeKey is a key that need not exist: that it does not is an answer too.
const probeKey = "samphirestile/lease/probe"

func (d *Relay) probe() {
	ctx, cancel := context.WithTimeout(context.Background(), directInterval)
	defer cancel()
	_, err := d.Transactional.Get(ctx, probeKey)
	d.note(ctx, err)
}

// note counts what became of a direct call. One that its caller cancelled says nothing
// of the store: Hedge cancels calls once another one was answered.
func (d *Relay) note(ctx context.Context, err error) {
	if err != nil && errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	answered := HasDefiniteOutcome(err)
	d.mu.Lock()
	before := d.failures
	if answered {
		d.failures = 0
	} else {
		d.failures++
	}
	after := d.failures
	if after == detourFailures && before < detourFailures {
		d.probed = time.Now()
	}
	d.mu.Unlock()
	switch {
	case answered && before >= detourFailures:
		d.Log.Info("store answers directly again")
	case after == detourFailures && before < detourFailures:
		d.Log.WithError(err).Warn("store does not answer; other daemons are asked")
	}
}

// through makes a call through other daemons, first the one that reached the store
// last. The next one is asked when a daemon does not reach it either, and for
// repeatable calls also when no answer came.
func (d *Relay) through(ctx context.Context, key string, repeatable bool, c Call) (CallResult, error) {
	peers := d.Peers()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	d.mu.Lock()
	last, nobody := d.last, time.Now().Before(d.nobodyUntil)
	d.mu.Unlock()
	if nobody {
		return CallResult{}, &UnavailableError{errNoPeer}
	}
	refused := 0
	for i := range peers {
		if peers[i] == last {
			peers[0], peers[i] = peers[i], peers[0]
		}
	}
	err := error(&UnavailableError{errNoPeer})
	for _, peer := range peers[:min(len(peers), detourPeers)] {
		var a CallResult
		calling, cancel := context.WithTimeout(ctx, detourTimeout)
		a, lost := d.CallPeer(calling, peer, c)
		cancel()
		err = a.err(key)
		if lost != nil {
			err = &UnknownOutcomeError{Key: key, Cause: errors.Join(errDetour, lost)}
		}
		reached := lost == nil && a.Code != ResultUnavailable && a.Code != ResultUnknown
		d.mu.Lock()
		if reached {
			d.last = peer
		} else if d.last == peer {
			d.last = ""
		}
		d.mu.Unlock()
		if reached {
			return a, err
		}
		if errors.As(err, new(*UnavailableError)) {
			refused++
		}
		if !repeatable && !errors.As(err, new(*UnavailableError)) {
			break
		}
	}
	if refused == min(len(peers), detourPeers) {
		// An outage of the store must not multiply the calls to it.
		d.mu.Lock()
		d.nobodyUntil = time.Now().Add(directInterval)
		d.mu.Unlock()
	}
	return CallResult{}, err
}

// either makes a call directly, or through other daemons while the store does not
// answer this one. A call that was not answered is made again only if it is repeatable,
// or if it was certainly not carried out.
func (d *Relay) either(ctx context.Context, key string, repeatable bool, c Call, direct func() error) (CallResult, bool, error) {
	tried := !d.cut()
	if tried {
		err := direct()
		d.note(ctx, err)
		unavailable := errors.As(err, new(*UnavailableError))
		if !d.cut() || ctx.Err() != nil || !(unavailable || repeatable && errors.As(err, new(*UnknownOutcomeError))) {
			return CallResult{}, true, err
		}
	}
	a, err := d.through(ctx, key, repeatable, c)
	if errors.As(err, new(*UnavailableError)) && !tried && ctx.Err() == nil {
		// Nobody reaches the store: it may come back for this daemon first.
		err = direct()
		d.note(ctx, err)
		return CallResult{}, true, err
	}
	return a, false, err
}

// Get implements Transactional.
func (d *Relay) Get(ctx context.Context, key string) (e Entry, err error) {
	a, direct, err := d.either(ctx, key, true, Call{Get: key}, func() error { e, err = d.Transactional.Get(ctx, key); return err })
	if !direct && err == nil {
		e = a.Entries[0]
	}
	return e, err
}

// List implements Transactional.
func (d *Relay) List(ctx context.Context, prefix string) (entries []Entry, revision uint64, err error) {
	a, direct, err := d.either(ctx, prefix, true, Call{List: prefix}, func() error {
		entries, revision, err = d.Transactional.List(ctx, prefix)
		return err
	})
	if !direct {
		entries, revision = a.Entries, a.Revision
	}
	return entries, revision, err
}

// Commit implements Transactional.
func (d *Relay) Commit(ctx context.Context, t Transaction) (revision uint64, err error) {
	a, direct, err := d.either(ctx, "", false, Call{Commit: &t}, func() error { revision, err = d.Transactional.Commit(ctx, t); return err })
	if !direct {
		revision = a.Revision
	}
	return revision, err
}

// Grant implements Transactional.
func (d *Relay) Grant(ctx context.Context, ttl time.Duration) (id LeaseID, err error) {
	a, direct, err := d.either(ctx, "lease", false, Call{GrantMS: ttl.Milliseconds()}, func() error {
		id, err = d.Transactional.Grant(ctx, ttl)
		return err
	})
	if !direct {
		id = a.Lease
	}
	return id, err
}

// KeepAlive implements Transactional.
func (d *Relay) KeepAlive(ctx context.Context, id LeaseID) error {
	_, _, err := d.either(ctx, "lease", true, Call{KeepAlive: id}, func() error { return d.Transactional.KeepAlive(ctx, id) })
	return err
}

// Revoke implements Transactional.
func (d *Relay) Revoke(ctx context.Context, id LeaseID) error {
	_, _, err := d.either(ctx, "lease", true, Call{Revoke: id}, func() error { return d.Transactional.Revoke(ctx, id) })
	return err
}
