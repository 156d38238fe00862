package intake

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
)

const (
	// logInterval bounds the log lines about refused clients.
	logInterval = time.Second
	// holdCheckInterval is how often a held connection asks again: a connection may become stalled without an event.
	holdCheckInterval = 50 * time.Millisecond
	// RetryAfter is the Retry-After of refusals for want of budget, after which a stalled connection has been shed.
	RetryAfter = time.Second
)

// RefusedError reports input that was refused. No handler has acted on the request.
type RefusedError struct{ Reason Reason }

func (e *RefusedError) Error() string { return fmt.Sprintf("input refused: %s", e.Reason) }

// Status returns the HTTP status of the refusal.
func (e *RefusedError) Status() int {
	switch e.Reason {
	case ReasonHeadBytes, ReasonHeadLines:
		return http.StatusRequestHeaderFieldsTooLarge
	case ReasonEmptyLines:
		return http.StatusBadRequest
	case ReasonBodyIdle:
		return http.StatusRequestTimeout
	}
	return http.StatusServiceUnavailable
}

// Intake applies limits to the listeners of a process.
type Intake struct {
	limits Limits
	began  time.Time
	log    logrus.FieldLogger
	scope  tally.Scope

	connectionsGauge, bytesGauge tally.Gauge

	mu     sync.Mutex
	ledger *Ledger
	conns  map[*Entry]*Conn
	// released is closed when budget is released, and replaced.
	released chan struct{}
	logged   time.Time
	unlogged int
}

// New returns an Intake without listeners.
func New(l Limits, scope tally.Scope, log logrus.FieldLogger) *Intake {
	return &Intake{
		limits: l, began: time.Now(), log: log, scope: scope,
		connectionsGauge: scope.Gauge("intake_connections"), bytesGauge: scope.Gauge("intake_bytes"),
		ledger: NewLedger(l), conns: map[*Entry]*Conn{}, released: make(chan struct{}),
	}
}

// ForMachine returns an Intake with the defaults of a machine and the overrides. 0 stands for unknown memory, and for the
// descriptors of the process.
func ForMachine(memory int64, descriptors int, overrides Limits, scope tally.Scope, log logrus.FieldLogger) *Intake {
	if descriptors == 0 {
		descriptors = Descriptors()
	}
	return New(DefaultLimits(memory, descriptors).Override(overrides), scope, log)
}

// memoryFraction is the part of the machine's memory that the garbage collector aims at. The rest is for the program
// itself, which the runtime does not count, and for what is allocated during a collection.
const memoryFraction = 0.7

// LimitMemory makes the garbage collector keep the process inside the memory of its machine, unless it is unknown or the
// environment sets a limit.
func LimitMemory(memory int64) {
	if memory > 0 && os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(int64(memoryFraction * float64(memory)))
	}
}

func (in *Intake) now() time.Duration { return time.Since(in.began) }

// open admits a connection or returns why it is refused.
func (in *Intake) open(c *Conn, part Part, address string) Reason {
	in.mu.Lock()
	e, victim, refused := in.ledger.Open(in.now(), part, address)
	shed := in.takeVictim(victim)
	if e != nil {
		c.entry = e
		in.conns[e] = c
	}
	in.report()
	in.mu.Unlock()
	in.closeVictim(shed)
	if refused != "" {
		in.refused(refused, part, address)
	}
	return refused
}

// takeVictim returns the connection of an entry that was shed. The caller holds in.mu.
func (in *Intake) takeVictim(e *Entry) *Conn {
	if e == nil {
		return nil
	}
	c := in.conns[e]
	delete(in.conns, e)
	in.wake()
	return c
}

func (in *Intake) closeVictim(c *Conn) {
	if c == nil {
		return
	}
	// The client gave its request up or sends too slowly for the load, so an error does not affect it.
	_ = c.Conn.Close()
	in.refused(ReasonShed, c.entry.Part, c.entry.Address)
}

// wake makes held connections ask again. The caller holds in.mu.
func (in *Intake) wake() {
	close(in.released)
	in.released = make(chan struct{})
}

// report updates the gauges. The caller holds in.mu.
func (in *Intake) report() {
	connections, bytes := in.ledger.Totals()
	in.connectionsGauge.Update(float64(connections))
	in.bytesGauge.Update(float64(bytes))
}

// reserve reserves n bytes for the connection and waits for them for at most maxHold.
func (in *Intake) reserve(c *Conn, n int64) error {
	var deadline time.Duration
	for {
		in.mu.Lock()
		now := in.now()
		if deadline == 0 {
			deadline = now + maxHold
		}
		verdict, victim := in.ledger.Reserve(now, c.entry, n)
		shed := in.takeVictim(victim)
		released := in.released
		in.report()
		in.mu.Unlock()
		in.closeVictim(shed)
		if verdict == Admit {
			return nil
		}
		if verdict == Refuse || now >= deadline {
			in.refused(ReasonBuffer, c.entry.Part, c.entry.Address)
			return &RefusedError{ReasonBuffer}
		}
		if shed != nil {
			continue
		}
		timer := time.NewTimer(holdCheckInterval)
		select {
		case <-released:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// setState records what the connection does. release releases its bytes as well.
func (in *Intake) setState(c *Conn, s State, release bool) {
	in.mu.Lock()
	defer in.mu.Unlock()
	c.entry.State, c.entry.Progress = s, in.now()
	if release && c.entry.Held > 0 {
		in.ledger.Release(c.entry)
		in.wake()
	}
	in.report()
}

func (in *Intake) close(c *Conn) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if _, ok := in.conns[c.entry]; !ok {
		return
	}
	delete(in.conns, c.entry)
	in.ledger.Close(c.entry)
	in.wake()
	in.report()
}

// refused counts a refusal and logs at most one line per logInterval.
func (in *Intake) refused(r Reason, part Part, address string) {
	in.scope.Tagged(map[string]string{"reason": string(r), "part": part.String()}).Counter("intake_refused").Inc(1)
	in.mu.Lock()
	in.unlogged++
	count := in.unlogged
	due := time.Since(in.logged) >= logInterval
	if due {
		in.logged, in.unlogged = time.Now(), 0
	}
	connections, bytes := in.ledger.Totals()
	in.mu.Unlock()
	if due {
		in.log.WithFields(logrus.Fields{
			"refused": count, "reason": string(r), "part": part.String(), "address": address, "connections": connections, "bytes": bytes,
		}).Warn("clients refused")
	}
}

// Options describe one listener.
type Options struct {
	Part Part
	// HeadBytes replaces Limits.HeadBytes at this listener unless it is 0.
	HeadBytes int
	// Configured returns the limit on heads and the idle time of bodies that are in force, 0 for those that are not
	// configured. It may be nil.
	Configured func() (headBytes int, idle time.Duration)
	// Streams returns for a request whose body the handler streams the size up to which it is held instead, and 0 for
	// others. The handler bounds the progress of such a body itself and answers a *RefusedError. It may be nil.
	Streams func(*http.Request) int64
	// Response encodes a refusal of a head; nil is a response without a body.
	Response func(status int, retryAfter time.Duration) []byte
}

// Listener returns a listener whose connections are bounded. The server must be one that Wrap has set up.
func (in *Intake) Listener(l net.Listener, o Options) net.Listener {
	if o.Response == nil {
		o.Response = plainResponse
	}
	return &listener{Listener: l, intake: in, options: o}
}

type listener struct {
	net.Listener
	intake  *Intake
	options Options
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &Conn{Conn: raw, intake: l.intake, options: &l.options}
		host, _, err := net.SplitHostPort(raw.RemoteAddr().String())
		if err != nil {
			host = raw.RemoteAddr().String()
		}
		refused := l.intake.open(c, l.options.Part, host)
		if refused == "" {
			return c, nil
		}
		// The client may be gone; a few bytes fit into the buffer of a new socket.
		_, _ = raw.Write(l.options.Response((&RefusedError{refused}).Status(), RetryAfter))
		_ = raw.Close()
	}
}

func plainResponse(status int, retryAfter time.Duration) []byte {
	retry := ""
	if status == http.StatusServiceUnavailable {
		retry = fmt.Sprintf("Retry-After: %d\r\n", int(retryAfter.Seconds()))
	}
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\n%sConnection: close\r\nContent-Length: 0\r\n\r\n", status, http.StatusText(status), retry)
}

func (p Part) String() string {
	switch p {
	case Clients:
		return "clients"
	case Peers:
		return "peers"
	}
	return "control"
}
