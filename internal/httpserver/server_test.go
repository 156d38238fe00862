package httpserver

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// serve starts a server and opens one connection on which it sends text.
func serve(t *testing.T, text string) (*Server, net.Conn) {
	t.Helper()
	s := New(&http.Server{Handler: http.NotFoundHandler(), ReadHeaderTimeout: time.Minute})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	served := make(chan error, 1)
	go func() { served <- s.Serve(s.Listener(l)) }()
	t.Cleanup(func() {
		if err := <-served; !errors.Is(err, http.ErrServerClosed) {
			t.Errorf("Serve returned %v, want %v", err, http.ErrServerClosed)
		}
	})
	conn, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
	// A response on a second connection shows that the server has accepted the first.
	resp, err := http.Get("http://" + l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	return s, conn
}

// Guards against a planned stop that waits 5 s for a connection that a client
// opened and never used.
func TestShutdownWithUnusedConnection(t *testing.T) {
	s, _ := serve(t, "")
	began := time.Now()
	if err := s.Shutdown(context.Background()); err != nil {
		t.Fatal(err)
	}
	if took := time.Since(began); took > 2*unusedTimeout {
		t.Errorf("shutdown took %v, want at most %v", took, 2*unusedTimeout)
	}
}

// Guards against a shutdown that aborts a partly received request.
func TestShutdownWithArrivingRequest(t *testing.T) {
	s, conn := serve(t, "GET / HT")
	shutdown := make(chan error, 1)
	go func() { shutdown <- s.Shutdown(context.Background()) }()
	time.Sleep(2 * unusedTimeout)
	if _, err := io.WriteString(conn, "TP/1.1\r\nHost: x\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	response, err := io.ReadAll(conn)
	if err != nil || len(response) == 0 {
		t.Errorf("response %q, error %v; want a response", response, err)
	}
	if err := <-shutdown; err != nil {
		t.Error(err)
	}
}
