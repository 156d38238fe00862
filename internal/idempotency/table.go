package idempotency

import (
	"container/list"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strings"
	"sync"
	"time"

	"samphirestile.example/samphirestile/internal/fleet"
	"samphirestile.example/samphirestile/internal/peerapi/oas"
	"samphirestile.example/samphirestile/internal/problem"
)

const (
	// Retention is how long a claim is kept after its last change.
	Retention = 10 * time.Minute
	// DefaultMaxClaims limits the memory of a table. When it is full, new claims are refused,
	// because evicting an old one could allow a request to run twice.
	DefaultMaxClaims = 100_000
	// fullRetryAfter is the Retry-After value while the table is full.
	fullRetryAfter = 5 * time.Second
	// hashedPrefix marks exported keys, which are transferred only as hashes.
	hashedPrefix = "sha256:"
	// seatSeparator separates a request ID from the seat for which the request was sent to
	// a home.
	seatSeparator = "~seat="
)

// requestAtSeat returns the request ID that is sent to the home that holds the seat.
func requestAtSeat(requestID string, seat fleet.SeatID) string {
	return requestID + seatSeparator + string(seat)
}

// splitSeat returns the parts of an ID made by requestAtSeat. Daemons of earlier versions send
// no seat.
func splitSeat(id string) (requestID string, seat fleet.SeatID) {
	if i := strings.LastIndex(id, seatSeparator); i >= 0 {
		return id[:i], fleet.SeatID(id[i+len(seatSeparator):])
	}
	return id, ""
}

// Peer is a home of keys: the table of this daemon or a client for another daemon.
type Peer interface {
	Claim(ctx context.Context, req *oas.ClaimRequest) (*oas.ClaimReply, error)
	Settle(ctx context.Context, req *oas.SettleRequest) error
}

type keyHash [sha256.Size]byte

func hashKey(team, key string) keyHash {
	if hash, ok := strings.CutPrefix(key, hashedPrefix); ok && team == "" {
		var k keyHash
		if n, err := hex.Decode(k[:], []byte(hash)); err == nil && n == len(k) {
			return k
		}
	}
	return sha256.Sum256([]byte(team + "\x00" + key))
}

// record is a claim in a table. A released record is kept as a tombstone, so that a delayed
// message of the same request cannot claim the key again.
type record struct {
	key       keyHash
	claim     Claim
	changedAt time.Time
}

// Table holds the claims of the keys whose home is this daemon.
type Table struct {
	maxClaims int
	now       func() time.Time
	// holdsSeat reports whether this process holds a seat; nil means that it is not checked.
	holdsSeat func(fleet.SeatID) bool

	mu sync.Mutex
	// heldSeats are the seats that this process has held. Claims stay here when a seat is
	// released, and callers with an older view still ask for them.
	heldSeats map[fleet.SeatID]bool
	records   map[keyHash]*list.Element
	// order contains the records in the order of their last change, oldest first.
	order *list.List
	// frozen is non-nil between Export and the following MoveTo or Resume, which closes it.
	frozen    chan struct{}
	successor Peer
}

// NewTable returns an empty table; maxClaims 0 means DefaultMaxClaims. now
// returns the monotonic time; nil means time.Now.
func NewTable(maxClaims int, now func() time.Time) *Table {
	if maxClaims <= 0 {
		maxClaims = DefaultMaxClaims
	}
	if now == nil {
		now = time.Now
	}
	return &Table{maxClaims: maxClaims, now: now, records: make(map[keyHash]*list.Element), order: list.New(), heldSeats: make(map[fleet.SeatID]bool)}
}

// RequireSeats makes the table refuse claims for seats that this process has never held. It must
// be called before the table is used.
//
// Fault: after both homes of a key have restarted at their addresses, their empty tables would grant a
// used key to a daemon that does not know of the restarts yet.
func (t *Table) RequireSeats(holds func(fleet.SeatID) bool) { t.holdsSeat = holds }

// rememberSeats records that this process holds the seats.
func (t *Table) rememberSeats(seats []fleet.SeatID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, seat := range seats {
		t.heldSeats[seat] = true
	}
}

// Claim grants the key to the request or returns the claim of an earlier request. It is
// idempotent while the request is running.
func (t *Table) Claim(ctx context.Context, req *oas.ClaimRequest) (*oas.ClaimReply, error) {
	successor, err := t.lockOrSuccessor(ctx)
	if err != nil {
		return nil, err
	}
	if successor != nil {
		return successor.Claim(ctx, req)
	}
	defer t.mu.Unlock()
	requestID, seat := splitSeat(req.RequestID)
	if seat != "" && t.holdsSeat != nil && !t.heldSeats[seat] && !t.holdsSeat(seat) {
		return nil, problem.New(problem.CodeIdempotencyUnknown, http.StatusServiceUnavailable, "this process has not held seat %s", seat).WithRetryAfter(homeRetryAfter)
	}
	now := t.now()
	t.expire(now)
	key := hashKey(req.Team, req.Key)
	if e, ok := t.records[key]; ok {
		r := e.Value.(*record)
		same := r.claim.RequestID == requestID
		switch {
		case same && r.claim.State == Running:
			return &oas.ClaimReply{Granted: true}, nil
		case same || r.claim.State != Released:
			return &oas.ClaimReply{Claim: oas.NewOptClaim(exportClaim(r, now, req.Team, req.Key))}, nil
		}
	} else if len(t.records) >= t.maxClaims {
		return nil, problem.New(problem.CodeIdempotencyUnknown, http.StatusServiceUnavailable, "the table of idempotency keys is full").WithRetryAfter(fullRetryAfter)
	}
	t.put(key, Claim{RequestID: requestID, State: Running}, now)
	return &oas.ClaimReply{Granted: true}, nil
}

// Settle records the outcome of the request that holds the claim. It does not affect a claim
// held by another request.
func (t *Table) Settle(ctx context.Context, req *oas.SettleRequest) error {
	successor, err := t.lockOrSuccessor(ctx)
	if err != nil {
		return err
	}
	if successor != nil {
		return successor.Settle(ctx, req)
	}
	defer t.mu.Unlock()
	requestID, _ := splitSeat(req.RequestID)
	now := t.now()
	t.expire(now)
	key := hashKey(req.Team, req.Key)
	e, ok := t.records[key]
	if ok && e.Value.(*record).claim.RequestID != requestID {
		return nil
	}
	if !ok && len(t.records) >= t.maxClaims {
		return problem.New(problem.CodeIdempotencyUnknown, http.StatusServiceUnavailable, "the table of idempotency keys is full")
	}
	if ok && hasOutcome(e.Value.(*record).claim.State) && !hasOutcome(State(req.State)) {
		return nil
	}
	t.put(key, Claim{RequestID: requestID, State: State(req.State), Status: req.Status}, now)
	return nil
}

// lockOrSuccessor locks the table and returns nil, or returns the successor without locking.
// It waits while a handover is in progress.
func (t *Table) lockOrSuccessor(ctx context.Context) (Peer, error) {
	for {
		t.mu.Lock()
		if t.successor != nil {
			defer t.mu.Unlock()
			return t.successor, nil
		}
		frozen := t.frozen
		if frozen == nil {
			return nil, nil
		}
		t.mu.Unlock()
		select {
		case <-frozen:
		case <-ctx.Done():
			return nil, problem.New(problem.CodeIdempotencyUnknown, http.StatusServiceUnavailable, "the claims are being handed over").WithRetryAfter(time.Second)
		}
	}
}

func (t *Table) put(key keyHash, c Claim, at time.Time) {
	if e, ok := t.records[key]; ok {
		t.order.Remove(e)
	}
	t.records[key] = t.order.PushBack(&record{key: key, claim: c, changedAt: at})
}

func (t *Table) expire(now time.Time) {
	for e := t.order.Front(); e != nil; e = t.order.Front() {
		r := e.Value.(*record)
		if now.Sub(r.changedAt) < Retention {
			return
		}
		t.order.Remove(e)
		delete(t.records, r.key)
	}
}

// Len returns the number of records.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.records)
}

func exportClaim(r *record, now time.Time, team, key string) oas.Claim {
	state := oas.ClaimState(r.claim.State)
	if r.claim.State == Released {
		// Only a delayed message of the released request itself receives this state.
		state = oas.ClaimStateUnknown
	}
	return oas.Claim{
		Team: team, Key: key, RequestID: r.claim.RequestID, State: state,
		Status: r.claim.Status, AgeMs: now.Sub(r.changedAt).Milliseconds(),
	}
}

// Export returns the claims for a handover and freezes the table. Later calls block until
// MoveTo or Resume is called.
func (t *Table) Export() []oas.Claim {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.frozen == nil {
		t.frozen = make(chan struct{})
	}
	now := t.now()
	t.expire(now)
	claims := make([]oas.Claim, 0, t.order.Len())
	for e := t.order.Front(); e != nil; e = e.Next() {
		r := e.Value.(*record)
		if r.claim.State != Released {
			claims = append(claims, exportClaim(r, now, "", hashedPrefix+hex.EncodeToString(r.key[:])))
		}
	}
	return claims
}

// MoveTo forwards all later calls to the successor that imported the claims, so that daemons
// with an outdated view still reach the right table.
func (t *Table) MoveTo(successor Peer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.successor = successor
	t.unfreeze()
}

// Resume unfreezes the table after a handover that was not completed.
func (t *Table) Resume() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.unfreeze()
}

func (t *Table) unfreeze() {
	if t.frozen != nil {
		close(t.frozen)
		t.frozen = nil
	}
}

// Import merges claims exported by another daemon. It is idempotent, and it never drops a
// claim, even if the table then exceeds its maximum size.
func (t *Table) Import(claims []oas.Claim) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	for _, c := range claims {
		age := time.Duration(min(max(c.AgeMs, 0), Retention.Milliseconds())) * time.Millisecond
		t.merge(hashKey(c.Team, c.Key), Claim{RequestID: c.RequestID, State: State(c.State), Status: c.Status}, now.Add(-age))
	}
	t.expire(now)
}

// merge keeps the more advanced claim: an outcome takes precedence over a running request,
// and that over a released one.
func (t *Table) merge(key keyHash, c Claim, at time.Time) {
	if e, ok := t.records[key]; ok {
		r := e.Value.(*record)
		if rank(r.claim.State) >= rank(c.State) {
			return
		}
		t.order.Remove(e)
	}
	r := &record{key: key, claim: c, changedAt: at}
	next := t.order.Back()
	for next != nil && next.Value.(*record).changedAt.After(at) {
		next = next.Prev()
	}
	if next == nil {
		t.records[key] = t.order.PushFront(r)
		return
	}
	t.records[key] = t.order.InsertAfter(r, next)
}

func rank(s State) int {
	switch {
	case hasOutcome(s):
		return 2
	case s == Running:
		return 1
	}
	return 0
}

// hasOutcome reports whether the state is the final outcome of a request that was sent.
func hasOutcome(s State) bool { return s == Done || s == Unknown }

// homeName returns the value whose rendezvous hashing scores determine the homes of a key.
func homeName(team fleet.TeamID, key string) string { return string(team) + "\x00" + key }
