package jobapi

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"samphirestile.example/samphirestile/internal/job"
	"samphirestile.example/samphirestile/internal/jobapi/oas"
	"samphirestile.example/samphirestile/internal/shard"
	"samphirestile.example/samphirestile/internal/store"
	"samphirestile.example/samphirestile/internal/worker"
)

// Shard is the interface of a shard's owner to other daemons.
type Shard interface {
	Submit(ctx context.Context, j job.Job) error
	Cancel(ctx context.Context, id job.ID) error
	State(ctx context.Context, id job.ID) (job.State, error)
	// Waiting returns how many jobs of a queue have no started task.
	Waiting(ctx context.Context, queue shard.Queue) (int, error)
	// HoldsQueue reports whether the shard has jobs of a queue, finished or not.
	HoldsQueue(ctx context.Context, queue shard.Queue) (bool, error)
	// Empty drains a worker, which then gets no new runs, and reports whether it has none left.
	Empty(ctx context.Context, id worker.ID) (bool, error)
	// Reopen ends the draining of a worker.
	Reopen(ctx context.Context, id worker.ID) error
	// Demand returns the number of hosts that the shard needs and the workers that it can
	// release; maintenanceDue lists the workers whose hosts go down for maintenance soon.
	Demand(ctx context.Context, maintenanceDue []worker.ID) (shard.HostDemand, error)
	// Report returns the shard's report for operators.
	Report(ctx context.Context, req shard.ReportRequest) (shard.Report, error)
}

// Server serves calls from other daemons to the shards that this daemon owns.
type Server struct {
	// Local returns the shard if this daemon owns it.
	Local func(name string) (Shard, bool)
	// Store is this daemon's direct connection to the store.
	Store store.Transactional
}

var _ oas.Handler = (*Server)(nil)

// maxRequestBytes bounds the body of a call, which may be a transaction with many records.
const maxRequestBytes = 32 << 20

// NewServer returns the HTTP handler of the interface between daemons.
func NewServer(s *Server) (http.Handler, error) {
	h, err := oas.NewServer(s)
	if err != nil {
		return nil, err
	}
	return http.MaxBytesHandler(h, maxRequestBytes), nil
}

func (s *Server) with(name string, f func(Shard) (*oas.Outcome, error)) (*oas.Outcome, error) {
	local, ok := s.Local(name)
	if !ok {
		return encode(nil, &shard.NotOwnerError{Shard: name})
	}
	return f(local)
}

// encode converts a shard's error into the response to the calling daemon.
func encode(out *oas.Outcome, err error) (*oas.Outcome, error) {
	if out == nil {
		out = &oas.Outcome{}
	}
	out.Code = oas.OutcomeCodeOk
	if err == nil {
		return out, nil
	}
	out.Reason = oas.NewOptString(err.Error())
	var rejected *shard.RejectedError
	var moved *shard.MovedError
	var queueMoved *shard.QueueMovedError
	switch {
	case errors.As(err, new(*shard.UnknownOutcomeError)):
		out.Code = oas.OutcomeCodeUnknown
	case errors.As(err, &moved):
		out.Code = oas.OutcomeCodeMoved
		out.Shard = oas.NewOptString(moved.Shard)
	case errors.As(err, &queueMoved):
		out.Code = oas.OutcomeCodeQueueMoved
		out.Version = oas.NewOptInt64(queueMoved.Version)
	case errors.As(err, &rejected):
		out.Code = oas.OutcomeCodeRejected
		out.Reason = oas.NewOptString(rejected.Reason)
		out.Overload = oas.NewOptBool(rejected.Overload)
		out.RetryAfterMs = oas.NewOptInt64(rejected.RetryAfter.Milliseconds())
	case errors.As(err, new(*shard.NotOwnerError)):
		out.Code = oas.OutcomeCodeNotOwner
	case errors.As(err, new(*shard.UnknownJobError)):
		out.Code = oas.OutcomeCodeNoJob
	default:
		out.Code = oas.OutcomeCodeUnknown
	}
	return out, nil
}

// Submit implements oas.Handler.
func (s *Server) Submit(ctx context.Context, req *oas.JobRecord) (*oas.Outcome, error) {
	return s.with(req.Shard, func(l Shard) (*oas.Outcome, error) {
		var j job.Job
		if err := json.Unmarshal([]byte(req.Record), &j); err != nil {
			return encode(nil, &shard.RejectedError{Reason: "unreadable record of a job", RetryAfter: time.Second})
		}
		return encode(nil, l.Submit(ctx, j))
	})
}

// Cancel implements oas.Handler.
func (s *Server) Cancel(ctx context.Context, req *oas.JobReference) (*oas.Outcome, error) {
	return s.with(req.Shard, func(l Shard) (*oas.Outcome, error) { return encode(nil, l.Cancel(ctx, job.ID(req.Job))) })
}

// State implements oas.Handler.
func (s *Server) State(ctx context.Context, req *oas.JobReference) (*oas.Outcome, error) {
	return s.with(req.Shard, func(l Shard) (*oas.Outcome, error) {
		state, err := l.State(ctx, job.ID(req.Job))
		return encode(&oas.Outcome{State: oas.NewOptString(string(state))}, err)
	})
}

// Waiting implements oas.Handler.
func (s *Server) Waiting(ctx context.Context, req *oas.QueueReference) (*oas.Outcome, error) {
	return s.with(req.Shard, func(l Shard) (*oas.Outcome, error) {
		n, err := l.Waiting(ctx, queueOf(req))
		return encode(&oas.Outcome{Count: oas.NewOptInt(n)}, err)
	})
}

// HoldsQueue implements oas.Handler.
func (s *Server) HoldsQueue(ctx context.Context, req *oas.QueueReference) (*oas.Outcome, error) {
	return s.with(req.Shard, func(l Shard) (*oas.Outcome, error) {
		holds, err := l.HoldsQueue(ctx, queueOf(req))
		return encode(&oas.Outcome{Holds: oas.NewOptBool(holds)}, err)
	})
}

func queueOf(req *oas.QueueReference) shard.Queue {
	return shard.Queue{Name: req.Queue, Address: req.Address.Or("")}
}

// EmptyWorker implements oas.Handler.
func (s *Server) EmptyWorker(ctx context.Context, req *oas.WorkerReference) (*oas.Outcome, error) {
	return s.with(req.Shard, func(l Shard) (*oas.Outcome, error) {
		empty, err := l.Empty(ctx, worker.ID(req.Worker))
		return encode(&oas.Outcome{Empty: oas.NewOptBool(empty)}, err)
	})
}

// OpenWorker implements oas.Handler.
func (s *Server) OpenWorker(ctx context.Context, req *oas.WorkerReference) (*oas.Outcome, error) {
	return s.with(req.Shard, func(l Shard) (*oas.Outcome, error) { return encode(nil, l.Reopen(ctx, worker.ID(req.Worker))) })
}

// Demand implements oas.Handler.
func (s *Server) Demand(ctx context.Context, req *oas.ShardReference) (*oas.Outcome, error) {
	return s.with(req.Shard, func(l Shard) (*oas.Outcome, error) {
		var maintenanceDue []worker.ID
		for _, id := range req.Due {
			maintenanceDue = append(maintenanceDue, worker.ID(id))
		}
		d, err := l.Demand(ctx, maintenanceDue)
		out := &oas.Outcome{Wanted: oas.NewOptInt(d.Wanted), Settling: oas.NewOptBool(d.Settling)}
		for _, id := range d.Releasable {
			out.Releasable = append(out.Releasable, string(id))
		}
		return encode(out, err)
	})
}

// StoreCall implements oas.Handler.
func (s *Server) StoreCall(ctx context.Context, req *oas.StoreCall) (*oas.Outcome, error) {
	var c store.Call
	if err := json.Unmarshal([]byte(req.Call), &c); err != nil {
		return encode(nil, fmt.Errorf("call to the store: %w", err))
	}
	answer, err := json.Marshal(store.Serve(ctx, s.Store, c))
	if err != nil {
		return encode(nil, fmt.Errorf("answer of the store: %w", err))
	}
	return encode(&oas.Outcome{Report: oas.NewOptString(string(answer))}, nil)
}

// Report implements oas.Handler.
func (s *Server) Report(ctx context.Context, req *oas.ReportRequest) (*oas.Outcome, error) {
	return s.with(req.Shard, func(l Shard) (*oas.Outcome, error) {
		r, err := l.Report(ctx, shard.ReportRequest{Job: job.ID(req.Job.Or("")), Jobs: max(0, req.Jobs.Or(0))})
		if err != nil {
			return encode(nil, err)
		}
		content, err := json.Marshal(r)
		return encode(&oas.Outcome{Report: oas.NewOptString(string(content))}, err)
	})
}
