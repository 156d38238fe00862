package store_test

import (
	"context"
	"errors"
	"testing"

	"samphirestile.example/samphirestile/internal/store"
)

// conditionStore fails each transaction with the given records.
type conditionStore struct {
	store.Transactional
	current []store.Entry
}

func (s conditionStore) Commit(context.Context, store.Transaction) (uint64, error) {
	return 0, &store.ConditionError{Current: s.current}
}

// Guards against a response without records that is taken for keys that do not exist.
func TestExistingNeedsTheRecords(t *testing.T) {
	_, err := store.Existing(context.Background(), conditionStore{}, []string{"a"})
	if !errors.As(err, new(*store.UnavailableError)) {
		t.Fatalf("want an *UnavailableError, got %v", err)
	}
	found, err := store.Existing(context.Background(), conditionStore{current: []store.Entry{{Key: "a"}}}, []string{"a"})
	if err != nil || len(found) != 1 {
		t.Fatalf("want one record, got %v, %v", found, err)
	}
}
