package membership

import (
	"context"
	"errors"
	"sync"

	"samphirestile.example/samphirestile/internal/store"
)

// contactStore records whether the store responded to the last call.
type contactStore struct {
	store.Store
	contact func(recovered bool)
	mu      sync.Mutex
	ok      bool
}

func (c *contactStore) reachable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ok
}

func (c *contactStore) recordResult(err error) {
	var missing *store.NotFoundError
	var conflict *store.ConflictError
	ok := err == nil || errors.As(err, &missing) || errors.As(err, &conflict)
	c.mu.Lock()
	recovered := ok && !c.ok
	c.ok = ok
	c.mu.Unlock()
	if ok {
		c.contact(recovered)
	}
}

func (c *contactStore) Get(ctx context.Context, key string) (store.Entry, error) {
	e, err := c.Store.Get(ctx, key)
	c.recordResult(err)
	return e, err
}

func (c *contactStore) List(ctx context.Context, prefix string) ([]store.Entry, uint64, error) {
	es, rev, err := c.Store.List(ctx, prefix)
	c.recordResult(err)
	return es, rev, err
}

func (c *contactStore) Put(
	ctx context.Context, key string, value []byte, expect uint64, lease store.LeaseID,
) (uint64, error) {
	v, err := c.Store.Put(ctx, key, value, expect, lease)
	c.recordResult(err)
	return v, err
}

func (c *contactStore) Delete(ctx context.Context, key string, expect uint64) error {
	err := c.Store.Delete(ctx, key, expect)
	c.recordResult(err)
	return err
}
