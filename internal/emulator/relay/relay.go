// Package relay forwards TCP connections and lets a test cut, refuse, delay,
// half-close or hold them.
package relay

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Switches is the state of a relay for the connections of one source. Up is the
// direction from the dialing side to the target.
type Switches struct {
	// Refuse refuses new connections; it leaves open ones alone.
	Refuse bool `json:"refuse,omitempty"`
	// BlackholeUp and BlackholeDown keep bytes back until the switch is released, as a
	// network that loses every packet does to TCP. New connections are accepted,
	// because the kernel completes them before the relay sees them.
	BlackholeUp   bool `json:"blackhole_up,omitempty"`
	BlackholeDown bool `json:"blackhole_down,omitempty"`
	DelayUpMS     int  `json:"delay_up_ms,omitempty"`
	DelayDownMS   int  `json:"delay_down_ms,omitempty"`
}

// AnySource is the source of connections for which no own switches are set.
const AnySource = ""

// Relay forwards connections from one listener to one target.
type Relay struct {
	address  string
	target   string
	classify func(remote, local net.Addr) string

	mu       sync.Mutex
	listener net.Listener // nil while refusing everything
	switches map[string]Switches
	changed  chan struct{}
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

// Listen starts a relay from address to target. classify names the source of a
// connection for SetFor; it may be nil.
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

// Set replaces the switches of all connections without own switches. Refuse
// closes the listening socket, so that callers see a refused connection.
func (r *Relay) Set(s Switches) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.put(AnySource, s)
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

// closeListener stops the listening itself before it closes the descriptor: a
// child process holds a copy of the descriptor from its fork to its exec.
func closeListener(l net.Listener) {
	if raw, err := l.(*net.TCPListener).SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { _ = unix.Shutdown(int(fd), unix.SHUT_RDWR) })
	}
	// Only a closed listener reports an error here or above.
	_ = l.Close()
}

// SetFor replaces the switches of the connections of one source. Refuse resets
// its new connections after the accept.
func (r *Relay) SetFor(source string, s Switches) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.put(source, s)
}

func (r *Relay) put(source string, s Switches) {
	r.switches[source] = s
	close(r.changed)
	r.changed = make(chan struct{})
}

// Switches returns the switches set for all sources.
func (r *Relay) Switches() Switches {
	s, _ := r.current(AnySource)
	return s
}

func (r *Relay) current(source string) (Switches, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s, ok := r.switches[source]
	if !ok {
		s = r.switches[AnySource]
	}
	return s, r.changed
}

// ResetConnections resets the open connections of source; AnySource means all.
func (r *Relay) ResetConnections(source string) int {
	return r.each(source, (*conn).reset)
}

// HalfClose ends one direction of the open connections.
func (r *Relay) HalfClose(up bool) int {
	return r.each(AnySource, func(c *conn) { c.halfClose(up) })
}

func (r *Relay) each(source string, f func(*conn)) int {
	r.mu.Lock()
	var chosen []*conn
	for c := range r.conns {
		if source == AnySource || c.source == source {
			chosen = append(chosen, c)
		}
	}
	r.mu.Unlock()
	for _, c := range chosen {
		f(c)
	}
	return len(chosen)
}

// Close ends the relay and all its connections.
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
		down, err := l.Accept()
		if err != nil {
			return
		}
		r.wg.Go(func() { r.serve(down.(*net.TCPConn)) })
	}
}

const dialTimeout = 5 * time.Second

func (r *Relay) serve(down *net.TCPConn) {
	source := r.classify(down.RemoteAddr(), down.LocalAddr())
	if s, _ := r.current(source); s.Refuse {
		// Without lingering, the close sends a reset instead of an orderly end.
		_ = down.SetLinger(0)
		_ = down.Close()
		return
	}
	up, err := net.DialTimeout("tcp", r.target, dialTimeout)
	if err != nil {
		_ = down.SetLinger(0)
		_ = down.Close()
		return
	}
	c := &conn{relay: r, source: source, down: down, up: up.(*net.TCPConn), done: make(chan struct{})}
	if !r.register(c) {
		c.reset()
		return
	}
	defer r.unregister(c)
	c.run()
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
	down   *net.TCPConn
	up     *net.TCPConn
	once   sync.Once
	done   chan struct{}
}

func (c *conn) run() {
	var wg sync.WaitGroup
	wg.Go(func() { c.copy(c.up, c.down, true) })
	wg.Go(func() { c.copy(c.down, c.up, false) })
	wg.Wait()
	c.once.Do(func() { close(c.done) })
	_ = c.up.Close()
	_ = c.down.Close()
}

func (c *conn) reset() {
	c.once.Do(func() { close(c.done) })
	for _, t := range []*net.TCPConn{c.up, c.down} {
		_ = t.SetLinger(0)
		_ = t.Close()
	}
}

func (c *conn) halfClose(up bool) {
	if up {
		_ = c.up.CloseWrite()
		return
	}
	_ = c.down.CloseWrite()
}

type chunk struct {
	data []byte
	read time.Time
}

const (
	chunkBytes = 32 << 10
	// chunksHeld bounds the bytes that wait for a delay or a hold in one direction.
	chunksHeld = 64
)

// copy forwards one direction; a separate reader lets a delay apply to each
// chunk from its own arrival.
func (c *conn) copy(dst, src *net.TCPConn, up bool) {
	chunks := make(chan chunk, chunksHeld)
	var failed error
	go func() {
		defer close(chunks)
		failed = c.read(src, chunks)
	}()
	for k := range chunks {
		if !c.pass(k.read, up) {
			return
		}
		n, err := dst.Write(k.data)
		c.relay.bytes.Add(int64(n))
		if err != nil {
			c.reset()
			return
		}
	}
	if failed != nil {
		c.reset()
		return
	}
	if c.pass(time.Now(), up) {
		_ = dst.CloseWrite()
	}
}

// read returns nil at an orderly end of src.
func (c *conn) read(src *net.TCPConn, chunks chan<- chunk) error {
	for {
		buf := make([]byte, chunkBytes)
		n, err := src.Read(buf)
		if n > 0 {
			select {
			case chunks <- chunk{data: buf[:n], read: time.Now()}:
			case <-c.done:
				return net.ErrClosed
			}
		}
		if err != nil {
			if isEnd(err) {
				return nil
			}
			return err
		}
	}
}

// pass waits until a chunk that arrived at read may leave; false means that the
// connection ended.
func (c *conn) pass(read time.Time, up bool) bool {
	for {
		s, changed := c.relay.current(c.source)
		hold, delay := s.BlackholeDown, s.DelayDownMS
		if up {
			hold, delay = s.BlackholeUp, s.DelayUpMS
		}
		wait := time.Until(read.Add(time.Duration(delay) * time.Millisecond))
		if !hold && wait <= 0 {
			return !c.ended()
		}
		var timer <-chan time.Time
		if !hold {
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

func (c *conn) ended() bool {
	select {
	case <-c.done:
		return true
	default:
		return false
	}
}

func isEnd(err error) bool { return errors.Is(err, io.EOF) }
