package store

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// Call is a store call that another daemon makes for this one. Exactly one field is set.
type Call struct {
	Get    string       `json:"get,omitempty"`
	List   string       `json:"list,omitempty"`
	Commit *Transaction `json:"commit,omitempty"`
	// GrantMS is the duration of a new lease in milliseconds.
	GrantMS   int64   `json:"grant_ms,omitempty"`
	KeepAlive LeaseID `json:"keep_alive,omitempty"`
	Revoke    LeaseID `json:"revoke,omitempty"`
}

// CallResult is the result of a Call.
type CallResult struct {
	Code     ResultCode `json:"code"`
	Reason   string     `json:"reason,omitempty"`
	Entries  []Entry    `json:"entries,omitempty"`
	Revision uint64     `json:"revision,omitempty"`
	Lease    LeaseID    `json:"lease,omitempty"`
}

// ResultCode is the kind of a CallResult.
type ResultCode string

// Result codes; each stands for success or one error type of Transactional.
const (
	ResultOK          ResultCode = "ok"
	ResultNotFound    ResultCode = "not_found"
	ResultCondition   ResultCode = "condition"
	ResultUnavailable ResultCode = "unavailable"
	ResultUnknown     ResultCode = "unknown"
)

// Serve makes a store call for another daemon.
func Serve(ctx context.Context, s Transactional, c Call) CallResult {
	var result CallResult
	var err error
	switch {
	case c.Get != "":
		var e Entry
		if e, err = s.Get(ctx, c.Get); err == nil {
			result.Entries = []Entry{e}
		}
	case c.List != "":
		result.Entries, result.Revision, err = s.List(ctx, c.List)
	case c.Commit != nil:
		result.Revision, err = s.Commit(ctx, *c.Commit)
	case c.GrantMS != 0:
		result.Lease, err = s.Grant(ctx, time.Duration(c.GrantMS)*time.Millisecond)
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
		result.Code = ResultOK
		return result
	case errors.As(err, &condition):
		result.Code, result.Entries = ResultCondition, condition.Current
	case errors.As(err, new(*NotFoundError)):
		result.Code = ResultNotFound
	case errors.As(err, new(*UnavailableError)):
		result.Code = ResultUnavailable
	default:
		result.Code = ResultUnknown
	}
	result.Reason = err.Error()
	return result
}

var (
	errEmptyCall = errors.New("the call asks for nothing")
	errRelayed   = errors.New("store reached through another daemon")
	errNoEntry   = errors.New("the response does not hold one record")
	errNoPeer    = errors.New("no other daemon reaches the store")
)

// err converts the result to the error that Transactional would have returned.
func (result CallResult) err(key string) error {
	switch result.Code {
	case ResultOK:
		return nil
	case ResultNotFound:
		return &NotFoundError{Key: key}
	case ResultCondition:
		return &ConditionError{Current: result.Entries}
	case ResultUnavailable:
		return &UnavailableError{errors.Join(errRelayed, errors.New(result.Reason))}
	}
	return &UnknownOutcomeError{Key: key, Cause: errors.Join(errRelayed, errors.New(result.Reason))}
}

const (
	// relayFailureThreshold is the number of consecutive direct calls without a response
	// after which calls are relayed. A single one may be a lost response.
	relayFailureThreshold = 2
	// directRetryInterval is the interval between attempts to reach the store directly.
	directRetryInterval = time.Second
	// relayTimeout bounds one relayed call, which takes two more hops than a direct one.
	relayTimeout = 600 * time.Millisecond
	// maxRelayPeers bounds the daemons that are tried for one call. A third of all daemons
	// may be unable to reach the store at the same time.
	maxRelayPeers = 3
)

// Relay sends store calls through other daemons while the store does not respond to this
// daemon.
//
// Fault: the store rejects calls of single machines, or a network partition separates them
// from it, while it serves the others. A shard owner that cannot reach the store would stop
// serving its queue until its lease has expired, two seconds of a demand peak.
//
// A relayed call has the same outcomes as a direct one: it may be executed late, and the
// conditions of a transaction are then checked as well.
type Relay struct {
	Transactional
	// Peers returns the addresses of the other daemons.
	Peers func() []string
	// CallPeer makes a call through the daemon at address; an error means that the daemon
	// did not respond.
	CallPeer func(ctx context.Context, address string, c Call) (CallResult, error)
	Log      *logrus.Logger

	mu             sync.Mutex
	directFailures int
	lastProbe      time.Time
	// lastPeer is the daemon that most recently reached the store.
	lastPeer string
	// peersUnavailableUntil is the time until which calls are not relayed, because no other
	// daemon could reach the store.
	peersUnavailableUntil time.Time
}

var _ Transactional = (*Relay)(nil)

// directUnavailable reports whether direct calls currently get no response. It starts a
// probe of the store at most once per directRetryInterval.
func (r *Relay) directUnavailable() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.directFailures < relayFailureThreshold {
		return false
	}
	if now := time.Now(); now.Sub(r.lastProbe) > directRetryInterval {
		r.lastProbe = now
		go r.probe()
	}
	return true
}

// probeKey need not exist: a not-found result also shows that the store responds.
const probeKey = "samphirestile/lease/probe"

func (r *Relay) probe() {
	ctx, cancel := context.WithTimeout(context.Background(), directRetryInterval)
	defer cancel()
	_, err := r.Transactional.Get(ctx, probeKey)
	r.recordDirect(ctx, err)
}

// recordDirect records the outcome of a direct call. Cancelled calls are ignored, because
// Hedge cancels the remaining calls once another one has a result.
func (r *Relay) recordDirect(ctx context.Context, err error) {
	if err != nil && errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	definite := HasDefiniteOutcome(err)
	r.mu.Lock()
	before := r.directFailures
	if definite {
		r.directFailures = 0
	} else {
		r.directFailures++
	}
	after := r.directFailures
	if after == relayFailureThreshold && before < relayFailureThreshold {
		r.lastProbe = time.Now()
	}
	r.mu.Unlock()
	switch {
	case definite && before >= relayFailureThreshold:
		r.Log.Info("store answers directly again")
	case after == relayFailureThreshold && before < relayFailureThreshold:
		r.Log.WithError(err).Warn("store does not answer; other daemons are asked")
	}
}

// callPeers makes a call through other daemons, starting with the one that most recently
// reached the store. The next one is tried if a daemon cannot reach the store either, and
// for idempotent calls also if there was no response.
func (r *Relay) callPeers(ctx context.Context, key string, idempotent bool, c Call) (CallResult, error) {
	peers := r.Peers()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	r.mu.Lock()
	lastPeer, unavailable := r.lastPeer, time.Now().Before(r.peersUnavailableUntil)
	r.mu.Unlock()
	if unavailable {
		return CallResult{}, &UnavailableError{errNoPeer}
	}
	unavailablePeers := 0
	for i := range peers {
		if peers[i] == lastPeer {
			peers[0], peers[i] = peers[i], peers[0]
		}
	}
	err := error(&UnavailableError{errNoPeer})
	for _, peer := range peers[:min(len(peers), maxRelayPeers)] {
		var result CallResult
		callCtx, cancel := context.WithTimeout(ctx, relayTimeout)
		result, callErr := r.CallPeer(callCtx, peer, c)
		cancel()
		err = result.err(key)
		if callErr != nil {
			err = &UnknownOutcomeError{Key: key, Cause: errors.Join(errRelayed, callErr)}
		}
		reached := callErr == nil && result.Code != ResultUnavailable && result.Code != ResultUnknown
		r.mu.Lock()
		if reached {
			r.lastPeer = peer
		} else if r.lastPeer == peer {
			r.lastPeer = ""
		}
		r.mu.Unlock()
		if reached {
			return result, err
		}
		if errors.As(err, new(*UnavailableError)) {
			unavailablePeers++
		}
		if !idempotent && !errors.As(err, new(*UnavailableError)) {
			break
		}
	}
	if unavailablePeers == min(len(peers), maxRelayPeers) {
		// During an outage of the store, relaying must not multiply the load on it.
		r.mu.Lock()
		r.peersUnavailableUntil = time.Now().Add(directRetryInterval)
		r.mu.Unlock()
	}
	return CallResult{}, err
}

// call makes a call directly, or through other daemons while the store does not respond to
// this one. A call without a response is repeated only if it is idempotent or was
// definitely not executed.
func (r *Relay) call(ctx context.Context, key string, idempotent bool, c Call, direct func() error) (CallResult, bool, error) {
	tried := !r.directUnavailable()
	if tried {
		err := direct()
		r.recordDirect(ctx, err)
		unavailable := errors.As(err, new(*UnavailableError))
		if !r.directUnavailable() || ctx.Err() != nil || !(unavailable || idempotent && errors.As(err, new(*UnknownOutcomeError))) {
			return CallResult{}, true, err
		}
	}
	result, err := r.callPeers(ctx, key, idempotent, c)
	if errors.As(err, new(*UnavailableError)) && !tried && ctx.Err() == nil {
		// No peer reaches the store; this daemon may be the first to reach it again.
		err = direct()
		r.recordDirect(ctx, err)
		return CallResult{}, true, err
	}
	return result, false, err
}

// Get implements Transactional.
func (r *Relay) Get(ctx context.Context, key string) (e Entry, err error) {
	result, direct, err := r.call(ctx, key, true, Call{Get: key}, func() error { e, err = r.Transactional.Get(ctx, key); return err })
	if direct || err != nil {
		return e, err
	}
	if len(result.Entries) != 1 {
		return Entry{}, &UnavailableError{errors.Join(errRelayed, errNoEntry)}
	}
	return result.Entries[0], nil
}

// List implements Transactional.
func (r *Relay) List(ctx context.Context, prefix string) (entries []Entry, revision uint64, err error) {
	result, direct, err := r.call(ctx, prefix, true, Call{List: prefix}, func() error {
		entries, revision, err = r.Transactional.List(ctx, prefix)
		return err
	})
	if !direct {
		entries, revision = result.Entries, result.Revision
	}
	return entries, revision, err
}

// Commit implements Transactional.
func (r *Relay) Commit(ctx context.Context, t Transaction) (revision uint64, err error) {
	result, direct, err := r.call(ctx, "", false, Call{Commit: &t}, func() error { revision, err = r.Transactional.Commit(ctx, t); return err })
	if !direct {
		revision = result.Revision
	}
	return revision, err
}

// Grant implements Transactional.
func (r *Relay) Grant(ctx context.Context, ttl time.Duration) (id LeaseID, err error) {
	result, direct, err := r.call(ctx, "lease", false, Call{GrantMS: ttl.Milliseconds()}, func() error {
		id, err = r.Transactional.Grant(ctx, ttl)
		return err
	})
	if !direct {
		id = result.Lease
	}
	return id, err
}

// KeepAlive implements Transactional.
func (r *Relay) KeepAlive(ctx context.Context, id LeaseID) error {
	_, _, err := r.call(ctx, "lease", true, Call{KeepAlive: id}, func() error { return r.Transactional.KeepAlive(ctx, id) })
	return err
}

// Revoke implements Transactional.
func (r *Relay) Revoke(ctx context.Context, id LeaseID) error {
	_, _, err := r.call(ctx, "lease", true, Call{Revoke: id}, func() error { return r.Transactional.Revoke(ctx, id) })
	return err
}
