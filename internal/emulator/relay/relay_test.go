package relay

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"
)

// startEcho returns the address of an echo server.
func startEcho(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				_, _ = io.Copy(c, c)
			}()
		}
	}()
	return l.Addr().String()
}

func startRelay(t *testing.T) *Relay {
	t.Helper()
	classify := func(_, _ net.Addr) string { return "a" }
	r, err := Listen("127.0.0.1:0", startEcho(t), classify)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	return r
}

// exchange sends a byte and waits up to timeout for its echo.
func exchange(c net.Conn, timeout time.Duration) error {
	if _, err := c.Write([]byte("x")); err != nil {
		return err
	}
	_ = c.SetReadDeadline(time.Now().Add(timeout))
	_, err := io.ReadFull(c, make([]byte, 1))
	return err
}

func dial(t *testing.T, r *Relay) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", r.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

// Guards against switches that have no effect or cannot be cleared.
func TestSwitchesTakeEffectAndCanBeCleared(t *testing.T) {
	r := startRelay(t)
	c := dial(t, r)
	if err := exchange(c, time.Second); err != nil {
		t.Fatal(err)
	}
	_ = r.Set(Switches{DelayUpMS: 40, DelayDownMS: 40})
	begin := time.Now()
	if err := exchange(c, time.Second); err != nil || time.Since(begin) < 80*time.Millisecond {
		t.Errorf("delayed exchange: %v after %v", err, time.Since(begin))
	}
	for _, s := range []Switches{{BlackholeUp: true}, {BlackholeDown: true}} {
		_ = r.Set(s)
		if err := exchange(c, 60*time.Millisecond); err == nil {
			t.Errorf("a byte was forwarded in spite of %+v", s)
		}
		_ = r.Set(Switches{})
		_ = c.SetReadDeadline(time.Now().Add(time.Second))
		if _, err := io.ReadFull(c, make([]byte, 1)); err != nil {
			t.Errorf("withheld byte after clearing the switch: %v", err)
		}
	}
	_ = r.Set(Switches{HoldNew: true})
	held := dial(t, r)
	if err := exchange(held, 60*time.Millisecond); err == nil {
		t.Error("a byte was forwarded on a connection that is held")
	}
	_ = r.Set(Switches{})
	_ = held.SetReadDeadline(time.Now().Add(time.Second))
	if _, err := io.ReadFull(held, make([]byte, 1)); err != nil {
		t.Errorf("byte on a held connection after clearing the switch: %v", err)
	}
	_ = r.Set(Switches{Refuse: true})
	if _, err := net.Dial("tcp", r.Address()); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("dial a refusing relay: %v, want %v", err, syscall.ECONNREFUSED)
	}
	if err := exchange(c, time.Second); err != nil {
		t.Errorf("exchange on an open connection while refusing: %v", err)
	}
	if err := r.Set(Switches{}); err != nil {
		t.Fatal(err)
	}
	if err := exchange(dial(t, r), time.Second); err != nil {
		t.Errorf("exchange after clearing Refuse: %v", err)
	}
}

// Guards against random delays that are all equal, exceed their bound or apply to the other direction.
func TestJitterDelaysChunksAtRandomWithinItsBound(t *testing.T) {
	const exchanges, bound = 40, 60 * time.Millisecond
	r := startRelay(t)
	c := dial(t, r)
	for _, s := range []Switches{{JitterUpMS: int(bound.Milliseconds())}, {JitterDownMS: int(bound.Milliseconds())}} {
		_ = r.Set(s)
		short, long := 0, 0
		for range exchanges {
			begin := time.Now()
			if err := exchange(c, time.Second); err != nil {
				t.Fatal(err)
			}
			switch took := time.Since(begin); {
			case took < bound/4:
				short++
			case took < 2*bound:
				long++
			default:
				t.Logf("exchange took %v on a busy machine", took)
			}
		}
		if short < exchanges/4 || long == 0 {
			t.Errorf("%+v: %d exchanges took less than a quarter of the bound and %d longer, of %d", s, short, long, exchanges)
		}
	}
}

// Guards against connections that survive ResetConnections, and a half-close that
// closes both directions.
func TestResetAndHalfClose(t *testing.T) {
	r := startRelay(t)
	c := dial(t, r)
	_ = exchange(c, time.Second)
	r.HalfClose(false)
	_ = c.SetReadDeadline(time.Now().Add(time.Second))
	if _, err := c.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("read after the half-close of the down direction: %v, want %v", err, io.EOF)
	}
	if _, err := c.Write([]byte("x")); err != nil {
		t.Errorf("write after the half-close of the down direction: %v", err)
	}
	c = dial(t, r)
	_ = exchange(c, time.Second)
	if n := r.ResetConnections(AnySource); n == 0 {
		t.Error("no connection was reset")
	}
	if err := exchange(c, time.Second); err == nil {
		t.Error("a reset connection still works")
	}
}

// Guards against switches of one source that also apply to others, and an admin
// interface without effect.
func TestSwitchesOfOneSourceOverAdmin(t *testing.T) {
	r := startRelay(t)
	admin := httptest.NewServer(r.Admin())
	defer admin.Close()
	put := func(path, body string) {
		req, _ := http.NewRequest(http.MethodPut, admin.URL+path, strings.NewReader(body))
		resp, err := http.DefaultClient.Do(req)
		if err != nil || resp.StatusCode != http.StatusNoContent {
			t.Fatalf("put %s: %v %v", path, resp, err)
		}
		resp.Body.Close()
	}
	put("/switches/b", `{"refuse":true}`)
	if err := exchange(dial(t, r), time.Second); err != nil {
		t.Errorf("exchange from source a while b is refused: %v", err)
	}
	put("/switches/a", `{"refuse":true}`)
	// If the reset arrives before Dial returns, it is the error of Dial.
	c, err := net.Dial("tcp", r.Address())
	if err == nil {
		defer c.Close()
		err = exchange(c, time.Second)
	}
	if !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("dial or exchange from refused source a: %v, want %v", err, syscall.ECONNRESET)
	}
}
