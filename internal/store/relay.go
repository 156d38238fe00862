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
	errRelayed   = errors.New("store reached through another daemon")
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
		return &UnavailableError{errors.Join(errRelayed, errors.New(a.Reason))}
	}
	return &UnknownOutcomeError{Key: key, Cause: errors.Join(errRelayed, errors.New(a.Reason))}
}

const (
	// relayFailureThreshold of calls in a row without an answer of the store send the next
	// ones through other daemons. One alone may be a lost answer.
	relayFailureThreshold = 2
	// directRetryInterval is the pause between two attempts to reach the store directly.
	directRetryInterval = time.Second
	// relayTimeout bounds a call through another daemon, which takes two hops more.
	relayTimeout = 600 * time.Millisecond
	// maxRelayPeers is how many daemons are asked for one call. A third of all may be cut
	// at the same time.
	maxRelayPeers = 3
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

	mu             sync.Mutex
	directFailures int
	lastProbe      time.Time
	// lastPeer is the daemon that reached the store lastPeer.
	lastPeer string
	// peersUnavailableUntil is until when other daemons are not asked, because the store turned
	// all of them away.
	peersUnavailableUntil time.Time
}

var _ Transactional = (*Relay)(nil)

// directUnavailable reports whether direct calls are not answered at present, and now and then
// tries whether they are again.
func (d *Relay) directUnavailable() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.directFailures < relayFailureThreshold {
		return false
	}
	if now := time.Now(); now.Sub(d.lastProbe) > directRetryInterval {
		d.lastProbe = now
		go d.probe()
	}
	return true
}

// probeKey is a key that need not exist: that it does not is an answer too.
const probeKey = "samphirestile/lease/probe"

func (d *Relay) probe() {
	ctx, cancel := context.WithTimeout(context.Background(), directRetryInterval)
	defer cancel()
	_, err := d.Transactional.Get(ctx, probeKey)
	d.recordDirect(ctx, err)
}

// recordDirect counts what became of a direct call. One that its caller cancelled says nothing
// of the store: Hedge cancels calls once another one was answered.
func (d *Relay) recordDirect(ctx context.Context, err error) {
	if err != nil && errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	answered := HasDefiniteOutcome(err)
	d.mu.Lock()
	before := d.directFailures
	if answered {
		d.directFailures = 0
	} else {
		d.directFailures++
	}
	after := d.directFailures
	if after == relayFailureThreshold && before < relayFailureThreshold {
		d.lastProbe = time.Now()
	}
	d.mu.Unlock()
	switch {
	case answered && before >= relayFailureThreshold:
		d.Log.Info("store answers directly again")
	case after == relayFailureThreshold && before < relayFailureThreshold:
		d.Log.WithError(err).Warn("store does not answer; other daemons are asked")
	}
}

// callPeers makes a call callPeers other daemons, first the one that reached the store
// last. The next one is asked when a daemon does not reach it either, and for
// repeatable calls also when no answer came.
func (d *Relay) callPeers(ctx context.Context, key string, repeatable bool, c Call) (CallResult, error) {
	peers := d.Peers()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	d.mu.Lock()
	last, nobody := d.lastPeer, time.Now().Before(d.peersUnavailableUntil)
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
	for _, peer := range peers[:min(len(peers), maxRelayPeers)] {
		var a CallResult
		calling, cancel := context.WithTimeout(ctx, relayTimeout)
		a, lost := d.CallPeer(calling, peer, c)
		cancel()
		err = a.err(key)
		if lost != nil {
			err = &UnknownOutcomeError{Key: key, Cause: errors.Join(errRelayed, lost)}
		}
		reached := lost == nil && a.Code != ResultUnavailable && a.Code != ResultUnknown
		d.mu.Lock()
		if reached {
			d.lastPeer = peer
		} else if d.lastPeer == peer {
			d.lastPeer = ""
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
	if refused == min(len(peers), maxRelayPeers) {
		// An outage of the store must not multiply the calls to it.
		d.mu.Lock()
		d.peersUnavailableUntil = time.Now().Add(directRetryInterval)
		d.mu.Unlock()
	}
	return CallResult{}, err
}

// call makes a call directly, or through other daemons while the store does not
// answer this one. A call that was not answered is made again only if it is repeatable,
// or if it was certainly not carried out.
func (d *Relay) call(ctx context.Context, key string, repeatable bool, c Call, direct func() error) (CallResult, bool, error) {
	tried := !d.directUnavailable()
	if tried {
		err := direct()
		d.recordDirect(ctx, err)
		unavailable := errors.As(err, new(*UnavailableError))
		if !d.directUnavailable() || ctx.Err() != nil || !(unavailable || repeatable && errors.As(err, new(*UnknownOutcomeError))) {
			return CallResult{}, true, err
		}
	}
	a, err := d.callPeers(ctx, key, repeatable, c)
	if errors.As(err, new(*UnavailableError)) && !tried && ctx.Err() == nil {
		// Nobody reaches the store: it may come back for this daemon first.
		err = direct()
		d.recordDirect(ctx, err)
		return CallResult{}, true, err
	}
	return a, false, err
}

// Get implements Transactional.
func (d *Relay) Get(ctx context.Context, key string) (e Entry, err error) {
	a, direct, err := d.call(ctx, key, true, Call{Get: key}, func() error { e, err = d.Transactional.Get(ctx, key); return err })
	if !direct && err == nil {
		e = a.Entries[0]
	}
	return e, err
}

// List implements Transactional.
func (d *Relay) List(ctx context.Context, prefix string) (entries []Entry, revision uint64, err error) {
	a, direct, err := d.call(ctx, prefix, true, Call{List: prefix}, func() error {
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
	a, direct, err := d.call(ctx, "", false, Call{Commit: &t}, func() error { revision, err = d.Transactional.Commit(ctx, t); return err })
	if !direct {
		revision = a.Revision
	}
	return revision, err
}

// Grant implements Transactional.
func (d *Relay) Grant(ctx context.Context, ttl time.Duration) (id LeaseID, err error) {
	a, direct, err := d.call(ctx, "lease", false, Call{GrantMS: ttl.Milliseconds()}, func() error {
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
	_, _, err := d.call(ctx, "lease", true, Call{KeepAlive: id}, func() error { return d.Transactional.KeepAlive(ctx, id) })
	return err
}

// Revoke implements Transactional.
func (d *Relay) Revoke(ctx context.Context, id LeaseID) error {
	_, _, err := d.call(ctx, "lease", true, Call{Revoke: id}, func() error { return d.Transactional.Revoke(ctx, id) })
	return err
}
