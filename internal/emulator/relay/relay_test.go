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

// startEcho returns the address of a server that sends back what it gets.
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

// exchange sends a byte and waits up to limit for its echo.
func exchange(c net.Conn, limit time.Duration) error {
	if _, err := c.Write([]byte("x")); err != nil {
		return err
	}
	_ = c.SetReadDeadline(time.Now().Add(limit))
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

// Guards against switches that have no effect or cannot be released.
func TestSwitches(t *testing.T) {
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
			t.Errorf("%+v let a byte pass", s)
		}
		_ = r.Set(Switches{})
		_ = c.SetReadDeadline(time.Now().Add(time.Second))
		if _, err := io.ReadFull(c, make([]byte, 1)); err != nil {
			t.Errorf("held byte after release: %v", err)
		}
	}
	_ = r.Set(Switches{Refuse: true})
	if _, err := net.Dial("tcp", r.Address()); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("refusing relay: %v", err)
	}
	if err := exchange(c, time.Second); err != nil {
		t.Errorf("open connection while refusing: %v", err)
	}
	if err := r.Set(Switches{}); err != nil {
		t.Fatal(err)
	}
	if err := exchange(dial(t, r), time.Second); err != nil {
		t.Errorf("after refusing: %v", err)
	}
}

// Guards against connections that survive a cut, and against a half-close that ends both directions.
func TestCutAndHalfClose(t *testing.T) {
	r := startRelay(t)
	c := dial(t, r)
	_ = exchange(c, time.Second)
	r.HalfClose(false)
	_ = c.SetReadDeadline(time.Now().Add(time.Second))
	if _, err := c.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("read after the half-close: %v", err)
	}
	if _, err := c.Write([]byte("x")); err != nil {
		t.Errorf("the other direction: %v", err)
	}
	c = dial(t, r)
	_ = exchange(c, time.Second)
	if n := r.ResetConnections(AnySource); n == 0 {
		t.Error("nothing was cut")
	}
	if err := exchange(c, time.Second); err == nil {
		t.Error("a cut connection still works")
	}
}

// Guards against switches of one source that also apply to others, and an admin path without effect.
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
		t.Errorf("source a while b is refused: %v", err)
	}
	put("/switches/a", `{"refuse":true}`)
	// The reset may arrive before the dialing side has looked at its new connection, and is then the error of the dial.
	c, err := net.Dial("tcp", r.Address())
	if err == nil {
		defer c.Close()
		err = exchange(c, time.Second)
	}
	if !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("source a: %v instead of a reset", err)
	}
}
