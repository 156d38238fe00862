package shard

import (
	"context"
	"sync/atomic"

	"samphirestile.example/samphirestile/internal/worker"
)

// connection is a connection to a worker whose address may change. Calls are made at the address of
// the time at which they begin.
type connection struct{ current atomic.Pointer[worker.Conn] }

var _ worker.Conn = (*connection)(nil)

// redial replaces the connection. Calls in flight go on at the former address.
func (c *connection) redial(conn worker.Conn) {
	if former := c.current.Swap(&conn); former != nil {
		(*former).Close()
	}
}

func (c *connection) conn() worker.Conn { return *c.current.Load() }

// Heartbeat implements worker.Conn.
func (c *connection) Heartbeat(ctx context.Context, command worker.HeartbeatCommand) (worker.Status, error) {
	return c.conn().Heartbeat(ctx, command)
}

// Start implements worker.Conn.
func (c *connection) Start(ctx context.Context, command worker.StartCommand) (int64, error) {
	return c.conn().Start(ctx, command)
}

// Stop implements worker.Conn.
func (c *connection) Stop(ctx context.Context, token uint64, task string, number int) (int64, error) {
	return c.conn().Stop(ctx, token, task, number)
}

// Pace implements worker.Conn.
func (c *connection) Pace(ctx context.Context, token uint64, task string, number, percent int) (int64, error) {
	return c.conn().Pace(ctx, token, task, number, percent)
}

// Close implements worker.Conn.
func (c *connection) Close() { c.conn().Close() }
