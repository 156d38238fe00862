package main

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
)

// link is the network between the daemons and one minion. While it is cut one way, what the daemons send on open connections
// arrives, nothing of the minion does, and no connection is opened.
type link struct {
	cut atomic.Bool

	mu    sync.Mutex
	conns map[net.Conn]bool
}

// listenLink returns the address at which the daemons reach the minion that listens on target.
func listenLink(target string) (*link, string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", err
	}
	k := &link{conns: map[net.Conn]bool{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go k.serve(c, target)
		}
	}()
	return k, l.Addr().String(), nil
}

func (k *link) serve(c net.Conn, target string) {
	defer c.Close()
	k.mu.Lock()
	k.conns[c] = true
	k.mu.Unlock()
	defer func() {
		k.mu.Lock()
		delete(k.conns, c)
		k.mu.Unlock()
	}()
	if k.cut.Load() {
		// The opening packets get no answer: what the caller writes goes nowhere.
		_, _ = io.Copy(io.Discard, c)
		return
	}
	m, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	defer m.Close()
	go func() {
		_, _ = io.Copy(m, c)
		if t, ok := m.(*net.TCPConn); ok {
			_ = t.CloseWrite()
		}
	}()
	buffer := make([]byte, 64<<10)
	for {
		n, err := m.Read(buffer)
		if n > 0 && !k.cut.Load() {
			if _, err := c.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// setCut cuts the link one way, or mends it. Connections whose answers were lost do not come back.
func (k *link) setCut(cut bool) {
	k.cut.Store(cut)
	if cut {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	for c := range k.conns {
		_ = c.Close()
	}
}
