package idempotency

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"samphirestile.example/samphirestile/internal/fleet"
	"samphirestile.example/samphirestile/internal/membership"
	"samphirestile.example/samphirestile/internal/peerapi"
	"samphirestile.example/samphirestile/internal/peerapi/oas"
	"samphirestile.example/samphirestile/internal/problem"
)

const (
	// homeCallTimeout limits one call to a home daemon.
	homeCallTimeout = time.Second
	// firstSettleTimeout limits how long Settle waits for the first attempt. Settle waits at
	// all because the client of a request that did not run may reuse the key as soon as it
	// has received the response.
	firstSettleTimeout = 300 * time.Millisecond
	// settleAttempts and settleBackoff limit the background retries to about 25 s.
	settleAttempts   = 8
	settleBackoff    = 100 * time.Millisecond
	maxSettleBackoff = 10 * time.Second
	// maxBackgroundSettlements limits the concurrent settlements in the background. A claim
	// whose settlement is abandoned keeps its state until it expires, which is safe.
	maxBackgroundSettlements = 1024
	// homeRetryAfter is the Retry-After value while a home daemon does not respond.
	homeRetryAfter = time.Second
)

// Options holds the dependencies and settings of a Coordinator.
type Options struct {
	Members membership.Source
	// Table holds the claims of the keys whose home is this daemon.
	Table  *Table
	Secret peerapi.Secret
	// HTTPClient is used for calls to other daemons; nil means a new client.
	HTTPClient *http.Client
	// AwaitHistory makes the daemon refuse claims until LoadHistory has been called or the
	// retention period has passed. It must be set when the daemon joins a cell that has
	// run before; otherwise a request could run again if its key was claimed under a view
	// that this daemon never observed.
	AwaitHistory bool
	// Now returns the monotonic time; nil means time.Now.
	Now func() time.Time
	// Dial returns a client for another daemon; nil means a client of the peer API.
	Dial func(address string) (Peer, error)
}

// Coordinator claims keys at their home daemons on behalf of the entry daemon.
type Coordinator struct {
	options         Options
	ctx             context.Context
	cancel          context.CancelFunc
	wg              sync.WaitGroup
	backgroundSlots chan struct{}

	mu      sync.Mutex
	closed  bool
	history history
	peers   map[string]Peer
	// grantedHomes maps the ID of a running request to the homes that granted its claim.
	grantedHomes map[string][]fleet.SeatID
}

// NewCoordinator starts a Coordinator, which must be closed.
func NewCoordinator(o Options) *Coordinator {
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.HTTPClient == nil {
		o.HTTPClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16, IdleConnTimeout: 30 * time.Second}}
	}
	if o.Dial == nil {
		o.Dial = func(address string) (Peer, error) { return peerapi.NewClient(address, o.Secret, o.HTTPClient) }
	}
	c := &Coordinator{
		options: o, backgroundSlots: make(chan struct{}, maxBackgroundSettlements),
		peers: make(map[string]Peer), grantedHomes: make(map[string][]fleet.SeatID),
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	if o.AwaitHistory {
		c.history.incompleteUntil = o.Now().Add(Retention)
	}
	changed, stop := o.Members.Subscribe()
	c.observeView()
	c.wg.Go(func() {
		defer stop()
		for {
			select {
			case <-changed:
				c.observeView()
			case <-c.ctx.Done():
				return
			}
		}
	})
	return c
}

// Close stops the background work and waits for it.
func (c *Coordinator) Close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.cancel()
	c.wg.Wait()
}

// observeView records the current view and returns it.
func (c *Coordinator) observeView() membership.View {
	v := c.options.Members.View()
	c.options.Table.rememberSeats(ownSeats(v))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.history.update(v, c.options.Now())
	return v
}

// History returns the views within Retention (10 minutes), for a daemon that joins the cell or
// takes over a seat.
func (c *Coordinator) History() []ViewRecord {
	c.observeView()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.history.exportViews(c.options.Now())
}

// LoadHistory adds the views recorded by another daemon.
func (c *Coordinator) LoadHistory(views []ViewRecord) {
	c.observeView()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.history.incompleteUntil = time.Time{}
	c.history.mergeViews(views, c.options.Now())
}

// HistoryComplete reports whether all views within Retention (10 minutes) are known.
func (c *Coordinator) HistoryComplete() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.options.Now().Before(c.history.incompleteUntil)
}

// hasMajority reports whether more than half of the recorded seats are active. During a
// network partition each side may contain one home of a key; only the majority side may
// grant claims.
func hasMajority(v membership.View) bool {
	return 2*len(activeSeats(v)) > len(v.Members)
}

// Claim implements Claimer. It claims the key at one home after the other. requestID must
// be unique for each received request, including duplicates.
func (c *Coordinator) Claim(ctx context.Context, team fleet.TeamID, key, requestID string) (bool, Claim, error) {
	view := c.observeView()
	c.mu.Lock()
	homes, p := c.history.homes(homeName(team, key), c.options.Now())
	c.mu.Unlock()
	if p != nil {
		return false, Claim{}, p
	}
	if !hasMajority(view) {
		return false, Claim{}, problem.New(problem.CodeIdempotencyUnknown, http.StatusServiceUnavailable,
			"this daemon sees less than half of the recorded seats and cannot rule out that another one runs the request").WithRetryAfter(homeRetryAfter)
	}
	request := &oas.ClaimRequest{Team: string(team), Key: key, RequestID: requestID}
	for i, seat := range homes {
		reply, err := c.claimAt(ctx, view, seat, request)
		if err != nil {
			// The home may have granted the claim although the call failed.
			c.settle(homes[:i+1], team, key, requestID, Released, 0)
			return false, Claim{}, &problem.Error{
				Code: problem.CodeIdempotencyUnknown, Status: http.StatusServiceUnavailable, Outcome: problem.NotRun,
				Detail: "a daemon that keeps this idempotency key does not answer", RetryAfter: homeRetryAfter, Cause: err,
			}
		}
		if !reply.Granted {
			c.settle(homes[:i], team, key, requestID, Released, 0)
			first := reply.Claim.Value
			return false, Claim{RequestID: first.RequestID, State: State(first.State), Status: first.Status}, nil
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.grantedHomes[requestID] = homes
	return true, Claim{}, nil
}

// Settle implements Claimer. It returns after the first attempt; retries are made in the
// background.
func (c *Coordinator) Settle(team fleet.TeamID, key, requestID string, state State, status int) {
	c.mu.Lock()
	homes := c.grantedHomes[requestID]
	delete(c.grantedHomes, requestID)
	c.mu.Unlock()
	c.settle(homes, team, key, requestID, state, status)
}

func (c *Coordinator) settle(homes []fleet.SeatID, team fleet.TeamID, key, requestID string, state State, status int) {
	request := &oas.SettleRequest{
		Team: string(team), Key: key, RequestID: requestID, State: oas.SettleRequestState(state), Status: status,
	}
	first := make(chan struct{}, len(homes))
	for _, seat := range homes {
		if !c.runInBackground(func() { c.settleAt(seat, request, first) }) {
			first <- struct{}{}
		}
	}
	timeout := time.NewTimer(firstSettleTimeout)
	defer timeout.Stop()
	for range homes {
		select {
		case <-first:
		case <-timeout.C:
			return
		}
	}
}

// runInBackground runs f in the background. It returns false if the Coordinator is closed
// or maxBackgroundSettlements is reached.
func (c *Coordinator) runInBackground(f func()) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	select {
	case c.backgroundSlots <- struct{}{}:
	default:
		return false
	}
	c.wg.Go(func() {
		defer func() { <-c.backgroundSlots }()
		f()
	})
	return true
}

// settleAt retries the settlement until the home has acknowledged it or its seat has been
// removed.
func (c *Coordinator) settleAt(seat fleet.SeatID, request *oas.SettleRequest, first chan<- struct{}) {
	wait := settleBackoff
	for attempt := range settleAttempts {
		done := c.settleOnce(seat, request)
		if attempt == 0 {
			first <- struct{}{}
		}
		if done {
			return
		}
		select {
		case <-time.After(wait):
		case <-c.ctx.Done():
			return
		}
		wait = min(2*wait, maxSettleBackoff)
	}
}

func (c *Coordinator) settleOnce(seat fleet.SeatID, request *oas.SettleRequest) (done bool) {
	home, err := c.homePeer(c.options.Members.View(), seat)
	if home == nil {
		return err == nil
	}
	ctx, cancel := context.WithTimeout(c.ctx, homeCallTimeout)
	defer cancel()
	addressed := *request
	addressed.RequestID = requestAtSeat(request.RequestID, seat)
	return home.Settle(ctx, &addressed) == nil
}

func (c *Coordinator) claimAt(ctx context.Context, view membership.View, seat fleet.SeatID, request *oas.ClaimRequest) (*oas.ClaimReply, error) {
	home, err := c.homePeer(view, seat)
	if err != nil {
		return nil, err
	}
	if home == nil {
		return nil, &seatGoneError{seat}
	}
	ctx, cancel := context.WithTimeout(ctx, homeCallTimeout)
	defer cancel()
	addressed := *request
	addressed.RequestID = requestAtSeat(request.RequestID, seat)
	return home.Claim(ctx, &addressed)
}

// seatGoneError reports a seat that is not in the membership view.
type seatGoneError struct{ seat fleet.SeatID }

func (e *seatGoneError) Error() string {
	return "seat " + string(e.seat) + " is not in the membership view"
}

// homePeer returns the Peer for the daemon that holds the seat, or nil if the seat no longer
// exists.
func (c *Coordinator) homePeer(view membership.View, seat fleet.SeatID) (Peer, error) {
	i := slices.IndexFunc(view.Members, func(m membership.Member) bool { return m.Seat == seat })
	if i < 0 {
		return nil, nil
	}
	m := view.Members[i]
	if m.Self {
		return c.options.Table, nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if p, ok := c.peers[m.PeerAddress]; ok {
		return p, nil
	}
	p, err := c.options.Dial(m.PeerAddress)
	if err != nil {
		return nil, err
	}
	if len(c.peers) > 2*len(view.Members) {
		// Clients of replaced daemons accumulate; those still in use are created again.
		clear(c.peers)
	}
	c.peers[m.PeerAddress] = p
	return p, nil
}
