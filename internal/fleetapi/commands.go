package fleetapi

import (
	"context"

	"samphirestile.example/samphirestile/internal/fleet"
	"samphirestile.example/samphirestile/internal/fleetapi/oas"
	"samphirestile.example/samphirestile/internal/job"
	"samphirestile.example/samphirestile/internal/jobapi"
	"samphirestile.example/samphirestile/internal/worker"
)

// Commands implements the operations that change state.
type Commands struct{ Fleet Fleet }

// CancelJob implements oas.Handler.
func (c *Commands) CancelJob(ctx context.Context, params oas.CancelJobParams) error {
	id := job.ID(params.ID)
	return callPoolOfJob(c.Fleet, id, func(_ fleet.ServiceID, s jobapi.Shard) error { return s.Cancel(ctx, id) })
}

// EmptyWorker implements oas.Handler.
func (c *Commands) EmptyWorker(ctx context.Context, params oas.EmptyWorkerParams) (*oas.Emptied, error) {
	s, err := c.shard(params.Pool)
	if err != nil {
		return nil, err
	}
	empty, err := s.Empty(ctx, worker.ID(params.ID))
	if err != nil {
		return nil, err
	}
	return &oas.Emptied{Empty: empty}, nil
}

// ReopenWorker implements oas.Handler.
func (c *Commands) ReopenWorker(ctx context.Context, params oas.ReopenWorkerParams) error {
	s, err := c.shard(params.Pool)
	if err != nil {
		return err
	}
	return s.Reopen(ctx, worker.ID(params.ID))
}

func (c *Commands) shard(pool string) (jobapi.Shard, error) {
	pools, err := selectPools(c.Fleet, oas.NewOptString(pool))
	if err != nil {
		return nil, err
	}
	s, ok := c.Fleet.Shard(pools[0])
	if !ok {
		return nil, &NoOwnerError{pools[0]}
	}
	return s, nil
}
