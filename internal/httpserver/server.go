// Package httpserver shuts down HTTP servers gracefully: it completes requests of
// which a part has arrived, and does not wait for connections that were never used.
package httpserver

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// unusedTimeout is the time without a first byte after which a shutdown closes a
	// connection. A client that opens a connection for a request sends it immediately,
	// which takes a few round trips even over a lossy link. http.Server waits 5 s,
	// which is most of the time for a planned stop.
	unusedTimeout = time.Second
	// unusedCheckInterval is the time between two checks for unused connections during a shutdown.
	unusedCheckInterval = 50 * time.Millisecond
)

// Server is an http.Server that tracks its open connections and whether data has
// arrived on them. Clients keep unused connections, for example one that was dialed
// while another became free.
type Server struct {
	*http.Server

	mu        sync.Mutex
	closed    bool
	listeners []*trackedListener
	conns     map[*trackedConn]time.Time
}

// New returns a Server that wraps s.
func New(s *http.Server) *Server {
	return &Server{Server: s, conns: map[*trackedConn]time.Time{}}
}

// Listener returns a listener that tracks the connections of l. Its Accept returns
// http.ErrServerClosed after Shutdown.
func (s *Server) Listener(l net.Listener) net.Listener {
	s.mu.Lock()
	defer s.mu.Unlock()
	tracked := &trackedListener{Listener: l, server: s}
	s.listeners = append(s.listeners, tracked)
	return tracked
}

type trackedListener struct {
	net.Listener
	server *Server

	once     sync.Once
	closeErr error
}

// Close implements net.Listener. It is idempotent, because http.Server closes its listeners again.
func (l *trackedListener) Close() error {
	l.once.Do(func() { l.closeErr = l.Listener.Close() })
	return l.closeErr
}

// Accept implements net.Listener.
func (l *trackedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		if l.server.isClosed() {
			return nil, http.ErrServerClosed
		}
		return nil, err
	}
	tracked := &trackedConn{Conn: c, server: l.server}
	l.server.add(tracked)
	return tracked, nil
}

type trackedConn struct {
	net.Conn
	server *Server
	used   atomic.Bool
}

// Read implements net.Conn.
func (c *trackedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.used.Store(true)
	}
	return n, err
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.server.remove(c)
	return c.Conn.Close()
}

func (s *Server) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

func (s *Server) add(c *trackedConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = time.Now()
}

func (s *Server) remove(c *trackedConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// Shutdown closes the listeners, waits for requests in flight and shuts the server down.
//
// http.Server.Shutdown drops a request whose header is completed after the call, so
// it is called last.
func (s *Server) Shutdown(ctx context.Context) error {
	if err := s.closeListeners(); err != nil {
		return err
	}
	s.SetKeepAlivesEnabled(false)
	tick := time.NewTicker(unusedCheckInterval)
	defer tick.Stop()
	for s.closeUnused(time.Now()) > 0 {
		select {
		case <-ctx.Done():
			return s.Server.Shutdown(ctx)
		case <-tick.C:
		}
	}
	return s.Server.Shutdown(ctx)
}

func (s *Server) closeListeners() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	var failures []error
	for _, l := range s.listeners {
		failures = append(failures, l.Close())
	}
	return errors.Join(failures...)
}

// closeUnused closes unused connections and returns the number of other open connections.
func (s *Server) closeUnused(now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c, opened := range s.conns {
		if !c.used.Load() && now.Sub(opened) >= unusedTimeout {
			// The client has sent nothing, so an error does not affect it.
			_ = c.Conn.Close()
			delete(s.conns, c)
		}
	}
	return len(s.conns)
}
