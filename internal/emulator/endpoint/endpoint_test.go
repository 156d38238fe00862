package endpoint

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"samphirestile.example/samphirestile/internal/emulator/history"
)

func start(t *testing.T, s Settings) (*Endpoint, string) {
	t.Helper()
	e, err := New(s, history.NewRecorder(nil))
	if err != nil {
		t.Fatal(err)
	}
	srv := httptest.NewServer(e)
	t.Cleanup(srv.Close)
	return e, srv.URL
}

func get(t *testing.T, url string) (int, []byte, error) {
	t.Helper()
	resp, err := http.Get(url)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, body, err
}

// Guards against a missing slow-down above the capacity, or one below it.
func TestProcessorSharingSlowsDownAboveCapacity(t *testing.T) {
	_, url := start(t, Settings{MeanMS: 50, Capacity: 2})
	begin := time.Now()
	if _, _, err := get(t, url); err != nil {
		t.Fatal(err)
	}
	alone := time.Since(begin)
	begin = time.Now()
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() { _, _, _ = get(t, url) })
	}
	wg.Wait()
	if full := time.Since(begin); alone > 120*time.Millisecond || full < 190*time.Millisecond {
		t.Fatalf("alone %v, eight requests at capacity two %v; want about 50 ms and 200 ms", alone, full)
	}
}

// Guards against a queue mode that rejects requests or exceeds the capacity, and a
// reject mode that queues.
func TestQueueAndRejectAboveCapacity(t *testing.T) {
	for _, mode := range []Overload{OverloadQueue, OverloadReject} {
		_, url := start(t, Settings{MeanMS: 60, Capacity: 1, Overload: mode})
		statuses := make(chan int, 3)
		begin := time.Now()
		for range 3 {
			go func() {
				status, _, _ := get(t, url)
				statuses <- status
			}()
		}
		rejected := 0
		for range 3 {
			if <-statuses == http.StatusServiceUnavailable {
				rejected++
			}
		}
		elapsed := time.Since(begin)
		if mode == OverloadQueue && (rejected != 0 || elapsed < 170*time.Millisecond) {
			t.Errorf("queue mode: %d rejected in %v", rejected, elapsed)
		}
		if mode == OverloadReject && rejected != 2 {
			t.Errorf("reject mode: %d rejected, want 2", rejected)
		}
	}
}

// Guards against faults that have no effect or cannot be cleared through the admin interface.
func TestFaultsSwitchAtRunTime(t *testing.T) {
	e, url := start(t, Settings{})
	put := func(f Faults) {
		body, _ := json.Marshal(f)
		req, _ := http.NewRequest(http.MethodPut, url+AdminPrefix+"faults", bytes.NewReader(body))
		resp, err := http.DefaultClient.Do(req)
		if err != nil || resp.StatusCode != http.StatusOK {
			t.Fatalf("put faults: %v %v", resp, err)
		}
		resp.Body.Close()
	}
	put(Faults{FailStatus: 500, FailPaths: []string{"/bad"}})
	if s, _, _ := get(t, url+"/bad/x"); s != 500 {
		t.Errorf("path with FailStatus: status %d, want 500", s)
	}
	if s, _, _ := get(t, url+"/good"); s != 200 {
		t.Errorf("path without FailStatus: status %d, want 200", s)
	}
	put(Faults{CloseMidBody: true})
	if _, _, err := get(t, url); err == nil {
		t.Error("a truncated body was read without error")
	}
	put(Faults{CloseBeforeResponse: true})
	if _, _, err := get(t, url); err == nil {
		t.Error("CloseBeforeResponse: the request got a response")
	}
	put(Faults{Hang: true})
	done := make(chan int, 1)
	go func() { s, _, _ := get(t, url); done <- s }()
	time.Sleep(50 * time.Millisecond)
	if e.Status().Running != 1 {
		t.Error("a hanging request is not running")
	}
	put(Faults{})
	if s := <-done; s != 200 {
		t.Errorf("request after the end of the hang: status %d, want 200", s)
	}
}

// Guards against work that stops when its caller disconnects although KeepWorking is
// set, and against work that continues without it.
func TestWorkAfterTheCallerDisconnected(t *testing.T) {
	for _, keep := range []bool{false, true} {
		e, url := start(t, Settings{MeanMS: 200})
		e.SetFaults(Faults{KeepWorking: keep})
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		req, _ := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		_, err := http.DefaultClient.Do(req)
		cancel()
		if err == nil {
			t.Fatal("the cancelled request got a response")
		}
		time.Sleep(50 * time.Millisecond)
		if got := e.Status().Running == 1; got != keep {
			t.Errorf("KeepWorking %v: running after the caller disconnected: %v", keep, got)
		}
	}
}

// Guards against lost events, wrong counts and modified bodies.
func TestRecordsRequestsAndBodies(t *testing.T) {
	e, url := start(t, Settings{Name: "e1"})
	const size = 5 << 20
	resp, err := http.Post(url+"/x?op=o1&team=t1&echo=1", "", NewPattern("o1", size))
	if err != nil {
		t.Fatal(err)
	}
	got, _ := io.ReadAll(resp.Body)
	resp.Body.Close()
	want, _ := io.ReadAll(NewPattern("o1", size))
	if !bytes.Equal(got, want) {
		t.Error("the echoed body differs")
	}
	_, sized, _ := get(t, url+"/x?op=o1&size=100000")
	if !bytes.Equal(sized, want[:100000]) {
		t.Error("the generated body differs")
	}
	_, lines, _ := get(t, url+AdminPrefix+"events")
	events, err := history.Read(bytes.NewReader(lines))
	if err != nil || len(events) != 4 || events[0].Team != "t1" || events[1].Kind != history.KindEnd {
		t.Errorf("events %+v, %v", events, err)
	}
	if e.Counts().Ops["o1"] != 2 {
		t.Errorf("counts %+v", e.Counts())
	}
	if _, err := New(Settings{Shape: "square"}, nil); err == nil || !strings.Contains(err.Error(), "square") {
		t.Errorf("invalid shape: %v", err)
	}
}
