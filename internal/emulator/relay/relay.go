// Package relay forwards TCP connections and can refuse, reset, half-close, delay or
// stall them, to emulate network failures.
package relay

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Switches are the injected faults for the connections of one source. Up is the
// direction from the dialing side to the target.
type Switches struct {
	// Refuse refuses new connections; open ones are not affected.
	Refuse bool `json:"refuse,omitempty"`
	// BlackholeUp and BlackholeDown withhold data until the switch is cleared, which is
	// how TCP behaves while the network drops all packets. New connections are still
	// accepted, because the kernel completes them before the relay sees them.
	BlackholeUp   bool `json:"blackhole_up,omitempty"`
	BlackholeDown bool `json:"blackhole_down,omitempty"`
	// HoldNew accepts new connections and dials the target only when it is cleared, so that what was sent on them meanwhile
	// reaches whoever listens there by then.
	HoldNew     bool `json:"hold_new,omitempty"`
	DelayUpMS   int  `json:"delay_up_ms,omitempty"`
	DelayDownMS int  `json:"delay_down_ms,omitempty"`
	// JitterUpMS and JitterDownMS bound a random delay of each chunk that is added. Most chunks are delayed by
	// a small part of it.
	JitterUpMS   int `json:"jitter_up_ms,omitempty"`
	JitterDownMS int `json:"jitter_down_ms,omitempty"`
}

// AnySource stands for all sources. Its switches apply to the sources that have no
// switches of their own.
const AnySource = ""

// Relay forwards connections from one listener to one target.
type Relay struct {
	address  string
	target   string
	classify func(remote, local net.Addr) string

	mu       sync.Mutex
	listener net.Listener // nil while Refuse is set for AnySource
	switches map[string]Switches
	changed  chan struct{} // closed when the switches change
	conns    map[*conn]struct{}
	closed   bool
	wg       sync.WaitGroup
	bytes    atomic.Int64
}

// ListenError reports that the relay could not listen.
type ListenError struct {
	Address string
	Cause   error
}

func (e *ListenError) Error() string {
	return fmt.Sprintf("relay: listen on %s: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Cause }

// Listen starts a relay from address to target. classify returns the source of a
// connection, to which SetFor refers. If it is nil, all connections have AnySource.
func Listen(address, target string, classify func(remote, local net.Addr) string) (*Relay, error) {
	if classify == nil {
		classify = func(_, _ net.Addr) string { return AnySource }
	}
	r := &Relay{
		target:   target,
		classify: classify,
		switches: map[string]Switches{},
		changed:  make(chan struct{}),
		conns:    map[*conn]struct{}{},
	}
	r.address = address
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.open(); err != nil {
		return nil, err
	}
	return r, nil
}

// Bytes returns the number of bytes forwarded so far in both directions.
func (r *Relay) Bytes() int64 { return r.bytes.Load() }

// Address returns the listening address.
func (r *Relay) Address() string { return r.address }

func (r *Relay) open() error {
	l, err := net.Listen("tcp", r.address)
	if err != nil {
		return &ListenError{Address: r.address, Cause: err}
	}
	r.listener = l
	r.address = l.Addr().String()
	r.wg.Go(func() { r.accept(l) })
	return nil
}

// Set replaces the switches of the sources that have no switches of their own. Refuse
// closes the listening socket, so that dialing fails with a refused connection.
func (r *Relay) Set(s Switches) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.setSwitches(AnySource, s)
	switch {
	case r.closed:
	case s.Refuse && r.listener != nil:
		closeListener(r.listener)
		r.listener = nil
	case !s.Refuse && r.listener == nil:
		return r.open()
	}
	return nil
}

// closeListener shuts the listening socket down before it closes the descriptor,
// because a child process holds a copy of the descriptor between fork and exec.
func closeListener(l net.Listener) {
	if raw, err := l.(*net.TCPListener).SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { _ = unix.Shutdown(int(fd), unix.SHUT_RDWR) })
	}
	// Here and above, an error only means that the listener is already closed.
	_ = l.Close()
}

// SetFor sets the switches of one source. From then on, also with zero switches, those of
// AnySource no longer apply to it, except that Refuse of AnySource closes the listener
// for all sources. Refuse of one source resets its new connections after they are accepted.
func (r *Relay) SetFor(source string, s Switches) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.setSwitches(source, s)
}

func (r *Relay) setSwitches(source string, s Switches) {
	r.switches[source] = s
	close(r.changed)
	r.changed = make(chan struct{})
}

// Switches returns the switches of the sources that have no switches of their own.
func (r *Relay) Switches() Switches {
	s, _ := r.switchesFor(AnySource)
	return s
}

// switchesFor returns the switches that apply to a source, and a channel that is closed
// when any switches change.
func (r *Relay) switchesFor(source string) (Switches, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s, ok := r.switches[source]
	if !ok {
		s = r.switches[AnySource]
	}
	return s, r.changed
}

// ResetConnections resets the open connections of source, where AnySource means all,
// and returns their number.
func (r *Relay) ResetConnections(source string) int {
	return r.forEach(source, (*conn).reset)
}

// HalfClose closes one direction of all open connections, the one to the target if up is
// set, and returns their number.
func (r *Relay) HalfClose(up bool) int {
	return r.forEach(AnySource, func(c *conn) { c.halfClose(up) })
}

func (r *Relay) forEach(source string, f func(*conn)) int {
	r.mu.Lock()
	var selected []*conn
	for c := range r.conns {
		if source == AnySource || c.source == source {
			selected = append(selected, c)
		}
	}
	r.mu.Unlock()
	for _, c := range selected {
		f(c)
	}
	return len(selected)
}

// Close stops the relay and resets its connections.
func (r *Relay) Close() {
	r.mu.Lock()
	r.closed = true
	if r.listener != nil {
		closeListener(r.listener)
	}
	r.mu.Unlock()
	r.ResetConnections(AnySource)
	r.wg.Wait()
}

func (r *Relay) accept(l net.Listener) {
	for {
		client, err := l.Accept()
		if err != nil {
			return
		}
		r.wg.Go(func() { r.serve(client.(*net.TCPConn)) })
	}
}

const (
	dialTimeout = 5 * time.Second
	// holdCheckInterval is how often a connection that is held checks whether the relay is closed.
	holdCheckInterval = 50 * time.Millisecond
)

func (r *Relay) serve(client *net.TCPConn) {
	source := r.classify(client.RemoteAddr(), client.LocalAddr())
	if s, _ := r.switchesFor(source); s.Refuse {
		// With a linger time of 0, Close sends RST instead of FIN.
		_ = client.SetLinger(0)
		_ = client.Close()
		return
	}
	if !r.waitToDial(source) {
		_ = client.Close()
		return
	}
	target, err := net.DialTimeout("tcp", r.target, dialTimeout)
	if err != nil {
		_ = client.SetLinger(0)
		_ = client.Close()
		return
	}
	c := &conn{relay: r, source: source, client: client, target: target.(*net.TCPConn), done: make(chan struct{})}
	if !r.register(c) {
		c.reset()
		return
	}
	defer r.unregister(c)
	c.run()
}

// waitToDial waits until HoldNew is cleared. It returns false if the relay is closed first.
func (r *Relay) waitToDial(source string) bool {
	for {
		s, changed := r.switchesFor(source)
		r.mu.Lock()
		closed := r.closed
		r.mu.Unlock()
		if closed || !s.HoldNew {
			return !closed
		}
		select {
		case <-changed:
		case <-time.After(holdCheckInterval):
		}
	}
}

func (r *Relay) register(c *conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return false
	}
	r.conns[c] = struct{}{}
	return true
}

func (r *Relay) unregister(c *conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, c)
}

// conn is one relayed connection.
type conn struct {
	relay  *Relay
	source string
	client *net.TCPConn // the dialing side
	target *net.TCPConn
	once   sync.Once
	done   chan struct{}
}

func (c *conn) run() {
	var wg sync.WaitGroup
	wg.Go(func() { c.copy(c.target, c.client, true) })
	wg.Go(func() { c.copy(c.client, c.target, false) })
	wg.Wait()
	c.once.Do(func() { close(c.done) })
	_ = c.target.Close()
	_ = c.client.Close()
}

func (c *conn) reset() {
	c.once.Do(func() { close(c.done) })
	for _, t := range []*net.TCPConn{c.target, c.client} {
		_ = t.SetLinger(0)
		_ = t.Close()
	}
}

func (c *conn) halfClose(up bool) {
	if up {
		_ = c.target.CloseWrite()
		return
	}
	_ = c.client.CloseWrite()
}

type chunk struct {
	data   []byte
	readAt time.Time
	// jitter is the share of the largest random delay that applies.
	jitter float64
}

// randomJitter has a median of 1/8; a fifth of the values is above 1/2.
func randomJitter() float64 {
	u := rand.Float64()
	return u * u * u
}

const (
	chunkBytes = 32 << 10
	// maxChunks limits the data that is buffered in one direction while it is delayed or
	// withheld.
	maxChunks = 64
)

// copy forwards one direction. A separate goroutine reads, so that the delay of each
// chunk counts from its own arrival.
func (c *conn) copy(dst, src *net.TCPConn, up bool) {
	chunks := make(chan chunk, maxChunks)
	var readErr error
	go func() {
		defer close(chunks)
		readErr = c.read(src, chunks)
	}()
	for ch := range chunks {
		if !c.waitToForward(ch.readAt, ch.jitter, up) {
			return
		}
		n, err := dst.Write(ch.data)
		c.relay.bytes.Add(int64(n))
		if err != nil {
			c.reset()
			return
		}
	}
	if readErr != nil {
		c.reset()
		return
	}
	if c.waitToForward(time.Now(), 0, up) {
		_ = dst.CloseWrite()
	}
}

// read sends the data of src to chunks and returns nil at EOF.
func (c *conn) read(src *net.TCPConn, chunks chan<- chunk) error {
	for {
		buf := make([]byte, chunkBytes)
		n, err := src.Read(buf)
		if n > 0 {
			select {
			case chunks <- chunk{data: buf[:n], readAt: time.Now(), jitter: randomJitter()}:
			case <-c.done:
				return net.ErrClosed
			}
		}
		if err != nil {
			if isEOF(err) {
				return nil
			}
			return err
		}
	}
}

// waitToForward waits until a chunk that was read at readAt may be forwarded; it
// returns false if the connection is closed.
func (c *conn) waitToForward(readAt time.Time, jitter float64, up bool) bool {
	for {
		s, changed := c.relay.switchesFor(c.source)
		blackhole, delayMS, jitterMS := s.BlackholeDown, s.DelayDownMS, s.JitterDownMS
		if up {
			blackhole, delayMS, jitterMS = s.BlackholeUp, s.DelayUpMS, s.JitterUpMS
		}
		delay := time.Duration((float64(delayMS) + jitter*float64(jitterMS)) * float64(time.Millisecond))
		wait := time.Until(readAt.Add(delay))
		if !blackhole && wait <= 0 {
			return !c.isClosed()
		}
		var timer <-chan time.Time
		if !blackhole {
			timer = time.After(wait)
		}
		select {
		case <-timer:
		case <-changed:
		case <-c.done:
			return false
		}
	}
}

func (c *conn) isClosed() bool {
	select {
	case <-c.done:
		return true
	default:
		return false
	}
}

func isEOF(err error) bool { return errors.Is(err, io.EOF) }
