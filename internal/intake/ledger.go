package intake

import "time"

// Part is a share of the budget. A crowd in one part leaves the others theirs.
type Part int

// Parts of the budget.
const (
	Clients Part = iota
	Peers
	// Control is for operators, metrics and readiness.
	Control
	partCount
)

// partEighths divides the budget.
var partEighths = [partCount]int64{Clients: 4, Peers: 3, Control: 1}

// partConnectionEighths is the largest share of the connections that a part may have. The shares leave two eighths that
// clients cannot take, and each other part one that nobody else can.
var partConnectionEighths = [partCount]int{Clients: 6, Peers: 5, Control: 2}

const (
	// stallTime is the time without a byte after which an incomplete request is shed before others. Loss on a link costs
	// less: TCP repeats a segment after 0.2 to 0.6 s.
	stallTime = time.Second
	// maxHold bounds the wait for budget. By then each connection that holds an incomplete request has made progress
	// or is stalled.
	maxHold = stallTime + 500*time.Millisecond
	// lineCost is what a header line costs beyond its bytes: the entries of a map with its growth, and a slice.
	lineCost = 384
	// bodyCost is what a byte of a body costs: the copies of a growing buffer, of its decoded form and of its record.
	bodyCost = 4
)

// State says what a connection does.
type State int

// States of a connection.
const (
	// Receiving is a connection whose request is incomplete.
	Receiving State = iota
	// Idle is one between requests.
	Idle
	// Handling is one whose request is complete and has no response yet. It is never shed.
	Handling
)

// Entry is a connection in the ledger. The ledger's user serializes all access.
type Entry struct {
	Part     Part
	Address  string
	State    State
	Held     int64
	Progress time.Duration
	opened   uint64
	shed     bool
}

// Verdict is a decision on bytes that arrived.
type Verdict int

// Verdicts.
const (
	Admit Verdict = iota
	// Hold asks again once budget was released, for maxHold at most.
	Hold
	// Refuse closes the connection.
	Refuse
)

// Ledger counts the connections and the bytes in flight of a process and decides which input is admitted. It does not read
// a clock and is not safe for concurrent use.
type Ledger struct {
	limits    Limits
	entries   map[*Entry]struct{}
	byPart    [partCount]int
	byAddress map[string]int
	held      [partCount]int64
	opened    uint64
}

// NewLedger returns an empty ledger.
func NewLedger(l Limits) *Ledger {
	return &Ledger{limits: l, entries: map[*Entry]struct{}{}, byAddress: map[string]int{}}
}

// Open decides on a new connection. If it returns a victim, that one is to be closed for it.
func (l *Ledger) Open(now time.Duration, part Part, address string) (e, victim *Entry, refused Reason) {
	share := l.limits.Connections * partConnectionEighths[part] / 8
	if l.byAddress[address] >= l.limits.ConnectionsPerAddress {
		// Peers and operators may share an address with clients.
		if part == Clients {
			victim, refused = l.connectionVictim(now, part, address), ReasonAddress
		}
	}
	if refused == "" && (len(l.entries) >= l.limits.Connections || l.byPart[part] >= share) {
		victim, refused = l.connectionVictim(now, part, ""), ReasonConnections
	}
	if refused != "" && victim == nil {
		return nil, nil, refused
	}
	if victim != nil {
		l.Shed(victim)
	}
	l.opened++
	e = &Entry{Part: part, Address: address, Progress: now, opened: l.opened}
	l.entries[e] = struct{}{}
	l.byPart[part]++
	l.byAddress[address]++
	return e, victim, ""
}

// connectionVictim returns a connection of the part (and the address, unless it is "") that gives way to a new one: the one
// that is stalled for the longest time, else the one that is idle for the longest time, at least stallTime.
func (l *Ledger) connectionVictim(now time.Duration, part Part, address string) *Entry {
	var best *Entry
	for e := range l.entries {
		if e.Part != part || address != "" && e.Address != address || e.State == Handling || now-e.Progress < stallTime {
			continue
		}
		if best == nil || e.State == Receiving && best.State == Idle || e.State == best.State && e.Progress < best.Progress {
			best = e
		}
	}
	return best
}

// Reserve decides whether the connection may hold n more bytes. If it returns a victim, the victim's bytes are released and
// it is to be closed.
func (l *Ledger) Reserve(now time.Duration, e *Entry, n int64) (v Verdict, victim *Entry) {
	if e.shed {
		return Refuse, nil
	}
	e.Progress = now
	budget := l.limits.BufferBytes * partEighths[e.Part] / 8
	if l.held[e.Part]+n <= budget || l.alone(e) {
		e.Held += n
		l.held[e.Part] += n
		return Admit, nil
	}
	var newest *Entry
	complete := false
	for other := range l.entries {
		switch {
		case other.Part != e.Part || other.Held == 0 && other != e:
		case other.State == Handling:
			complete = true
		case other != e && now-other.Progress >= stallTime:
			if victim == nil || other.Progress < victim.Progress {
				victim = other
			}
		case newest == nil || other.opened > newest.opened:
			newest = other
		}
	}
	switch {
	case victim != nil:
		l.Shed(victim)
		return Hold, victim
	case complete || newest != e:
		// Requests that are handled release their bytes with their response, older ones have precedence.
		return Hold, nil
	}
	return Refuse, nil
}

// alone reports whether no other connection of the part holds bytes. One request may exceed the part, up to the limit on
// its body: calls between daemons may be larger than the part of a small machine.
func (l *Ledger) alone(e *Entry) bool { return l.held[e.Part] == e.Held }

// Shed releases the bytes of a connection that is being closed.
func (l *Ledger) Shed(e *Entry) {
	l.Release(e)
	e.shed = true
	l.remove(e)
}

// Release releases the bytes of a request that has its response.
func (l *Ledger) Release(e *Entry) {
	l.held[e.Part] -= e.Held
	e.Held = 0
}

// Close removes a connection.
func (l *Ledger) Close(e *Entry) {
	l.Release(e)
	l.remove(e)
}

func (l *Ledger) remove(e *Entry) {
	if _, ok := l.entries[e]; !ok {
		return
	}
	delete(l.entries, e)
	l.byPart[e.Part]--
	if l.byAddress[e.Address]--; l.byAddress[e.Address] == 0 {
		delete(l.byAddress, e.Address)
	}
}

// Totals returns the open connections and the bytes in flight.
func (l *Ledger) Totals() (connections int, bytes int64) {
	for _, h := range l.held {
		bytes += h
	}
	return len(l.entries), bytes
}
