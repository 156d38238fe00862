package process

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"samphirestile.example/samphirestile/internal/store"
)

// seatRecord holds the fields of a stored seat record that the harness reads.
type seatRecord struct {
	Quorum []string `json:"quorum"`
}

// SmallQuorumError reports too few seats, or a recorded quorum with too few seats.
type SmallQuorumError struct {
	Seats  int
	Quorum int
	Want   int
}

func (e *SmallQuorumError) Error() string {
	return fmt.Sprintf("store has %d seats and a smallest quorum of %d, want at least %d for each", e.Seats, e.Quorum, e.Want)
}

// maxQuorum is the largest quorum in docs/design.md.
const maxQuorum = 7

// AwaitQuorums waits until every running daemon has a seat whose recorded quorum
// contains all seats, up to maxQuorum. Other daemons cannot reclaim a seat whose
// quorum still contains only that seat, so tests that lose a daemon wait for this first.
func (c *Cell) AwaitQuorums(timeout time.Duration) error {
	client, err := store.NewHTTP(store.HTTPConfig{URL: "http://" + c.PlatformAddress})
	if err != nil {
		return fmt.Errorf("create the store client: %w", err)
	}
	want := min(len(c.Running()), maxQuorum)
	for end := time.Now().Add(timeout); ; time.Sleep(10 * pollInterval) {
		seats, smallest, err := quorums(client)
		if err == nil && seats >= want && smallest >= want {
			return nil
		}
		if time.Now().After(end) {
			if err != nil {
				return err
			}
			return &SmallQuorumError{Seats: seats, Quorum: smallest, Want: want}
		}
	}
}

// quorums returns the number of seats and the size of the smallest quorum.
func quorums(client store.Store) (seats, smallest int, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	entries, _, err := client.List(ctx, "seats/")
	if err != nil {
		return 0, 0, fmt.Errorf("list the seats in the store: %w", err)
	}
	smallest = maxQuorum
	for _, e := range entries {
		var r seatRecord
		if err := json.Unmarshal(e.Value, &r); err != nil {
			return 0, 0, fmt.Errorf("decode seat record %s: %w", e.Key, err)
		}
		smallest = min(smallest, len(r.Quorum))
	}
	return len(entries), smallest, nil
}

// StoreRecords returns the seat and allotment records in the store as text, for the
// report of a failed spec.
func (c *Cell) StoreRecords() string {
	client, err := store.NewHTTP(store.HTTPConfig{URL: "http://" + c.PlatformAddress})
	if err != nil {
		return err.Error()
	}
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	text := ""
	for _, prefix := range []string{"seats/", "allotments/"} {
		entries, _, err := client.List(ctx, prefix)
		if err != nil {
			return err.Error()
		}
		for _, e := range entries {
			text += fmt.Sprintf("%s %s\n", e.Key, e.Value)
		}
	}
	return text
}
