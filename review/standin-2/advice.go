package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Times of the advisor, as the configuration names them. A call for the eight minions of a service takes 760 ms.
const (
	decisionMS  = 200
	perWorkerMS = 70
	validityMS  = 3000
)

// advisor allows each minion each step, for a time.
type advisor struct {
	record *recorder

	mu sync.Mutex
	// tickets holds when each ticket ends, by minion, step and ticket.
	tickets map[string]time.Time
	last    int
}

func ticketKey(minion, step, ticket string) string { return minion + " " + step + " " + ticket }

// listen serves one calling machine, whose calls are handled one at a time. It returns the address.
func (a *advisor) listen(machine string) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	var turn sync.Mutex
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/advise", func(w http.ResponseWriter, r *http.Request) {
		var q struct {
			Step    string   `json:"step"`
			Workers []string `json:"workers"`
		}
		if json.NewDecoder(r.Body).Decode(&q) != nil {
			respond(w, http.StatusBadRequest, struct{}{})
			return
		}
		received := time.Now()
		turn.Lock()
		time.Sleep(time.Duration(decisionMS+perWorkerMS*len(q.Workers)) * time.Millisecond)
		turn.Unlock()
		respond(w, http.StatusOK, map[string]any{"good": a.approve(q.Step, q.Workers), "validityMs": validityMS})
		a.record.add("advisor: %s, step %s, %d minions: answered after %d ms", machine, q.Step, len(q.Workers), time.Since(received).Milliseconds())
	})
	go func() { _ = http.Serve(l, mux) }() // ends with the process
	return l.Addr().String(), nil
}

// approve returns a ticket for each minion.
func (a *advisor) approve(step string, minions []string) []any {
	a.mu.Lock()
	defer a.mu.Unlock()
	good := []any{}
	for _, id := range minions {
		a.last++
		ticket := fmt.Sprintf("c81e-%08x", a.last)
		a.tickets[ticketKey(id, step, ticket)] = time.Now().Add(validityMS * time.Millisecond)
		good = append(good, []string{id, ticket})
	}
	return good
}

// admits reports whether a ticket is valid for a task on a minion.
func (a *advisor) admits(minion, task, ticket string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return time.Now().Before(a.tickets[ticketKey(minion, task[:strings.LastIndexByte(task, '.')], ticket)])
}

// advice hands small jobs in to four queues with an advisor, for six seconds. With trouble, two of the three machines of the
// system have been removed for good before.
func advice(c *cell, trouble bool) (verdict, error) {
	time.Sleep(settleTime)
	if trouble {
		for _, n := range c.nodes[1:] {
			n.signal(syscall.SIGKILL)
		}
	}
	time.Sleep(2 * settleTime)
	for i, name := range c.services() {
		owner := c.ownerOf(i)
		if owner == nil {
			return notRun, errNoOwner
		}
		c.record.add("store: %s is owned by %s", name, owner.name)
	}
	var accepted []string
	steps := []step{{Count: 2, CPU: 1000, MemMB: 256, EstimatedMS: 300, workMS: 300}}
	for end, n := time.Now().Add(6*time.Second), 0; time.Now().Before(end); time.Sleep(300 * time.Millisecond) {
		for i := range c.services() {
			id := fmt.Sprintf("5c0e7a21d94b%04x", n)
			n++
			c.fleet.know(id, steps)
			if status, _ := c.call(c.nodes[0], http.MethodPost, i, id, map[string]any{"spec": "job " + id, "steps": steps}, clientDeadline); status == http.StatusOK {
				accepted = append(accepted, id)
			}
		}
	}
	c.record.add("client: %d jobs are accepted; the traffic ends", len(accepted))
	time.Sleep(finishDelay)
	v := c.judgeWaiting(accepted)
	return v, nil
}

// judgeWaiting checks that no job has nothing running for three seconds while it is not done.
func (c *cell) judgeWaiting(jobs []string) verdict {
	waiting := map[string]bool{}
	for _, id := range jobs {
		waiting[id] = true
	}
	for end := time.Now().Add(idleLimit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		c.fleet.mu.Lock()
		for id := range waiting {
			if c.fleet.running[id] > 0 || c.fleet.dones[id+".0.0.0"]+c.fleet.dones[id+".0.0.1"] >= 2 {
				delete(waiting, id)
			}
		}
		c.fleet.mu.Unlock()
	}
	if len(waiting) == 0 {
		return held
	}
	c.record.add("judge: LOST: %d of %d accepted jobs have had nothing running for %v, %v after the end of the traffic", len(waiting), len(jobs), idleLimit, finishDelay)
	return broken
}
