package jobapi

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"samphirestile.example/samphirestile/internal/job"
	"samphirestile.example/samphirestile/internal/jobapi/oas"
	"samphirestile.example/samphirestile/internal/metrics"
	"samphirestile.example/samphirestile/internal/shard"
	"samphirestile.example/samphirestile/internal/store"
	"samphirestile.example/samphirestile/internal/worker"
)

const (
	// peerDialTimeout tolerates one lost packet between availability zones.
	peerDialTimeout = 500 * time.Millisecond
	// peerTimeout bounds a call. It exceeds the time that an owner needs to record a job
	// while the store is slow.
	peerTimeout = 1800 * time.Millisecond
	// maxIdleConnsPerPeer is the number of idle connections kept per daemon.
	maxIdleConnsPerPeer = 8
)

// Clients caches one client for each daemon.
type Clients struct {
	http *http.Client

	mu        sync.Mutex
	byAddress map[string]*oas.Client
}

// NewClients returns an empty cache. The bytes of all connections are counted by traffic
// unless it is nil.
func NewClients(traffic *metrics.Traffic) *Clients {
	return &Clients{
		http: &http.Client{Timeout: peerTimeout, Transport: &http.Transport{
			DialContext:         traffic.Dial(&net.Dialer{Timeout: peerDialTimeout}),
			MaxIdleConnsPerHost: maxIdleConnsPerPeer, DisableCompression: true,
		}},
		byAddress: map[string]*oas.Client{},
	}
}

// Remote returns a shard that is owned by the daemon at the address.
func (c *Clients) Remote(address, name string) (Shard, error) {
	client, err := c.client(address)
	if err != nil {
		return nil, err
	}
	return &remoteShard{client, name}, nil
}

func (c *Clients) client(address string) (*oas.Client, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	client := c.byAddress[address]
	if client == nil {
		var err error
		if client, err = oas.NewClient("http://"+address, oas.WithClient(c.http)); err != nil {
			return nil, fmt.Errorf("create client for %s: %w", address, err)
		}
		c.byAddress[address] = client
	}
	return client, nil
}

// StoreCall relays a call to the store through the daemon at the address.
func (c *Clients) StoreCall(ctx context.Context, address string, call store.Call) (result store.CallResult, err error) {
	client, err := c.client(address)
	if err != nil {
		return result, err
	}
	encoded, err := json.Marshal(call)
	if err != nil {
		return result, fmt.Errorf("encode call to the store: %w", err)
	}
	out, err := client.StoreCall(ctx, &oas.StoreCall{Call: string(encoded)})
	if err := outcomeError("", "", out, err); err != nil {
		return result, err
	}
	if err := json.Unmarshal([]byte(out.Report.Or("")), &result); err != nil {
		return result, fmt.Errorf("decode response of the store relayed by %s: %w", address, err)
	}
	return result, nil
}

type remoteShard struct {
	client *oas.Client
	name   string
}

// NotSentError reports a call that was not sent to the owner.
type NotSentError struct{ Cause error }

func (e *NotSentError) Error() string { return fmt.Sprintf("owner unreachable: %v", e.Cause) }

func (e *NotSentError) Unwrap() error { return e.Cause }

// outcomeError returns the error of a call: the one that the owner returned, or one that
// tells whether the call was sent.
func outcomeError(name string, id job.ID, out *oas.Outcome, err error) error {
	if err != nil {
		var op *net.OpError
		if errors.As(err, &op) && op.Op == "dial" {
			return &NotSentError{err}
		}
		return &shard.UnknownOutcomeError{Cause: err}
	}
	switch out.Code {
	case oas.OutcomeCodeOk:
		return nil
	case oas.OutcomeCodeRejected:
		return &shard.RejectedError{
			Reason: out.Reason.Or(""), Overload: out.Overload.Or(false),
			RetryAfter: time.Duration(out.RetryAfterMs.Or(0)) * time.Millisecond,
		}
	case oas.OutcomeCodeNotOwner:
		return &shard.NotOwnerError{Shard: name}
	case oas.OutcomeCodeMoved:
		return &shard.MovedError{Shard: out.Shard.Or("")}
	case oas.OutcomeCodeQueueMoved:
		return &shard.QueueMovedError{Version: out.Version.Or(0)}
	case oas.OutcomeCodeNoJob:
		return &shard.UnknownJobError{ID: id}
	}
	return &shard.UnknownOutcomeError{Cause: errors.New(out.Reason.Or("no reason"))}
}

// Submit implements Shard.
func (r *remoteShard) Submit(ctx context.Context, j job.Job) error {
	record, err := json.Marshal(j)
	if err != nil {
		return &NotSentError{fmt.Errorf("encode job: %w", err)}
	}
	out, err := r.client.Submit(ctx, &oas.JobRecord{Shard: r.name, Record: string(record)})
	return outcomeError(r.name, j.ID, out, err)
}

// Cancel implements Shard.
func (r *remoteShard) Cancel(ctx context.Context, id job.ID) error {
	out, err := r.client.Cancel(ctx, &oas.JobReference{Shard: r.name, Job: string(id)})
	return outcomeError(r.name, id, out, err)
}

// State implements Shard.
func (r *remoteShard) State(ctx context.Context, id job.ID) (job.State, error) {
	out, err := r.client.State(ctx, &oas.JobReference{Shard: r.name, Job: string(id)})
	if err := outcomeError(r.name, id, out, err); err != nil {
		return "", err
	}
	return job.State(out.State.Or("")), nil
}

// Waiting implements Shard.
func (r *remoteShard) Waiting(ctx context.Context, queue shard.Queue) (int, error) {
	out, err := r.client.Waiting(ctx, r.queueReference(queue))
	if err := outcomeError(r.name, "", out, err); err != nil {
		return 0, err
	}
	return out.Count.Or(0), nil
}

// HoldsQueue implements Shard. A daemon of an earlier version does not have the call, and its answer is an error.
func (r *remoteShard) HoldsQueue(ctx context.Context, queue shard.Queue) (bool, error) {
	out, err := r.client.HoldsQueue(ctx, r.queueReference(queue))
	if err := outcomeError(r.name, "", out, err); err != nil {
		return false, err
	}
	return out.Holds.Or(true), nil
}

func (r *remoteShard) queueReference(queue shard.Queue) *oas.QueueReference {
	return &oas.QueueReference{Shard: r.name, Queue: queue.Name, Address: oas.NewOptString(queue.Address)}
}

// Empty implements Shard.
func (r *remoteShard) Empty(ctx context.Context, id worker.ID) (bool, error) {
	out, err := r.client.EmptyWorker(ctx, &oas.WorkerReference{Shard: r.name, Worker: string(id)})
	if err := outcomeError(r.name, "", out, err); err != nil {
		return false, err
	}
	return out.Empty.Or(false), nil
}

// Reopen implements Shard.
func (r *remoteShard) Reopen(ctx context.Context, id worker.ID) error {
	out, err := r.client.OpenWorker(ctx, &oas.WorkerReference{Shard: r.name, Worker: string(id)})
	return outcomeError(r.name, "", out, err)
}

// Demand implements Shard.
func (r *remoteShard) Demand(ctx context.Context, maintenanceDue []worker.ID) (shard.HostDemand, error) {
	req := &oas.ShardReference{Shard: r.name}
	for _, id := range maintenanceDue {
		req.Due = append(req.Due, string(id))
	}
	out, err := r.client.Demand(ctx, req)
	if err := outcomeError(r.name, "", out, err); err != nil {
		return shard.HostDemand{}, err
	}
	d := shard.HostDemand{Wanted: out.Wanted.Or(0), Settling: out.Settling.Or(false)}
	for _, id := range out.Releasable {
		d.Releasable = append(d.Releasable, worker.ID(id))
	}
	return d, nil
}

// Report implements Shard.
func (r *remoteShard) Report(ctx context.Context, req shard.ReportRequest) (shard.Report, error) {
	out, err := r.client.Report(ctx, &oas.ReportRequest{
		Shard: r.name, Job: oas.NewOptString(string(req.Job)), Jobs: oas.NewOptInt(req.Jobs),
	})
	if err := outcomeError(r.name, req.Job, out, err); err != nil {
		return shard.Report{}, err
	}
	var report shard.Report
	if err := json.Unmarshal([]byte(out.Report.Or("")), &report); err != nil {
		return shard.Report{}, fmt.Errorf("decode report of shard %s: %w", r.name, err)
	}
	return report, nil
}
