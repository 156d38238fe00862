package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	deadline = 3 * time.Second
	queueURL = "/quote/"
	host     = "quotes.example"
	key      = "key-1"
)

var httpClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}

// client hands jobs in as the platform's clients do: each attempt at another daemon, four retries at most.
type client struct {
	daemons []*daemon
	record  *record
	next    counter

	mu sync.Mutex
	// accepted holds when each job was accepted; status counts the answers by method and status.
	accepted map[string]time.Time
	status   map[string]int
}

func newClient(daemons []*daemon, r *record) *client {
	return &client{daemons: daemons, record: r, accepted: map[string]time.Time{}, status: map[string]int{}}
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// call sends one request to the next daemon. The status is 0 without an answer.
func (c *client) call(method, rest string, body []byte) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	d := c.daemons[int(c.next.add(1))%len(c.daemons)]
	r, err := http.NewRequestWithContext(ctx, method, "http://"+d.front+rest, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	r.Host = host
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Authorization", "Token "+key)
	r.Header.Set("Samphirestile-Deadline-Ms", strconv.Itoa(int(deadline.Milliseconds())))
	status, answer, began := 0, []byte(nil), time.Now()
	if resp, err := httpClient.Do(r); err == nil {
		answer, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err == nil {
			status = resp.StatusCode
		}
	}
	c.record.detail("client: %s %s at %s: %d %s (0: no answer), %d ms", method, rest, d.name, status, bytes.TrimSpace(answer), time.Since(began).Milliseconds())
	c.mu.Lock()
	c.status[method+" "+strconv.Itoa(status)]++
	c.mu.Unlock()
	return status, answer
}

// submit hands a job in and reports whether it was accepted.
func (c *client) submit(prefix, id string, job map[string]any) bool {
	body, err := json.Marshal(job)
	if err != nil {
		panic(err)
	}
	for range 5 {
		status, _ := c.call(http.MethodPost, prefix+id, body)
		if status/100 == 2 {
			c.mu.Lock()
			c.accepted[id] = time.Now()
			c.mu.Unlock()
			return true
		}
		if status == 400 || status == 401 || status == 404 || status == 413 {
			c.record.line("client: POST %s answered %d", id, status)
			return false
		}
		time.Sleep(500 * time.Millisecond)
	}
	return false
}

// state asks for a job; it returns the status and the state.
func (c *client) state(prefix, id string) (int, string) {
	status, answer := c.call(http.MethodGet, prefix+id, nil)
	var body struct {
		State string `json:"state"`
	}
	if status == http.StatusOK && json.Unmarshal(answer, &body) != nil {
		return 0, ""
	}
	return status, body.State
}

// waiting asks for the number of jobs of which no task has started, or -1.
func (c *client) waiting(prefix string) int {
	status, answer := c.call(http.MethodGet, prefix, nil)
	var body struct {
		Waiting int `json:"waiting"`
	}
	if status != http.StatusOK || json.Unmarshal(answer, &body) != nil {
		return -1
	}
	return body.Waiting
}

func (c *client) statuses() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var parts []string
	for k, n := range c.status {
		parts = append(parts, fmt.Sprintf("%s: %d", k, n))
	}
	return strings.Join(parts, ", ")
}

// simpleJob is a job of one step.
func simpleJob(w work, step map[string]any) map[string]any {
	step["cpu"], step["memMb"], step["estimatedMs"] = w.CPU, w.MemMB, w.MS
	return map[string]any{"spec": encode(w), "steps": []any{step}}
}

func encode(v any) string {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return string(b)
}
