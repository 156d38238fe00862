package store

import (
	"context"
	"errors"
)

// Existing returns the records of those keys that exist, at most MaxTransactionEntries keys, as of one revision.
func Existing(ctx context.Context, s Transactional, keys []string) ([]Entry, error) {
	probe := Transaction{}
	for _, key := range keys {
		probe.Conditions = append(probe.Conditions, Condition{Key: key})
	}
	// The transaction writes nothing, so it may be hedged. Keys that exist fail a condition, and the store
	// returns their records.
	_, err := Hedge(ctx, HedgeDelay/2, HasDefiniteOutcome, func(ctx context.Context) (uint64, error) { return s.Commit(ctx, probe) })
	var exist *ConditionError
	if !errors.As(err, &exist) {
		return nil, err
	}
	if len(exist.Current) == 0 {
		return nil, &UnavailableError{Cause: errRecordsMissing}
	}
	return exist.Current, nil
}

var errRecordsMissing = errors.New("a condition does not hold, and no record was returned")
