package membership

import (
	"context"
	"errors"
	"sync"
	"time"

	"samphirestile.example/samphirestile/internal/store"
)

// contactStore records whether the store responded to the last call, in the order in which calls were sent.
type contactStore struct {
	store.Store
	// contact is called after a response, with the time at which the call was sent.
	contact func(sent time.Time, recovered bool)
	mu      sync.Mutex
	ok      bool
	// okSent is when the call was sent whose result ok is.
	okSent time.Time
}

func (c *contactStore) reachable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ok
}

func (c *contactStore) recordResult(sent time.Time, err error) {
	var missing *store.NotFoundError
	var conflict *store.ConflictError
	ok := err == nil || errors.As(err, &missing) || errors.As(err, &conflict)
	c.mu.Lock()
	recovered := false
	if !sent.Before(c.okSent) {
		recovered = ok && !c.ok
		c.ok, c.okSent = ok, sent
	}
	c.mu.Unlock()
	if ok {
		c.contact(sent, recovered)
	}
}

func (c *contactStore) Get(ctx context.Context, key string) (store.Entry, error) {
	sent := time.Now()
	e, err := c.Store.Get(ctx, key)
	c.recordResult(sent, err)
	return e, err
}

func (c *contactStore) List(ctx context.Context, prefix string) ([]store.Entry, uint64, error) {
	sent := time.Now()
	es, rev, err := c.Store.List(ctx, prefix)
	c.recordResult(sent, err)
	return es, rev, err
}

func (c *contactStore) Put(
	ctx context.Context, key string, value []byte, expect uint64, lease store.LeaseID,
) (uint64, error) {
	sent := time.Now()
	v, err := c.Store.Put(ctx, key, value, expect, lease)
	c.recordResult(sent, err)
	return v, err
}

func (c *contactStore) Delete(ctx context.Context, key string, expect uint64) error {
	sent := time.Now()
	err := c.Store.Delete(ctx, key, expect)
	c.recordResult(sent, err)
	return err
}
