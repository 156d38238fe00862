package hosts

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"samphirestile.example/samphirestile/internal/store"
)

// Progress is the recorded progress of a wave.
type Progress struct {
	Wave
	// Begun is the number of hosts whose maintenance command was accepted.
	Begun     int
	Completed bool
}

// ReadProgress returns the recorded progress of the waves.
func ReadProgress(ctx context.Context, s store.Transactional, waves []Wave) ([]Progress, error) {
	entries, _, err := s.List(ctx, progressPrefix)
	if err != nil {
		return nil, fmt.Errorf("read the progress of waves: %w", err)
	}
	records := map[string]waveRecord{}
	for _, e := range entries {
		var r waveRecord
		if err := json.Unmarshal(e.Value, &r); err != nil {
			return nil, fmt.Errorf("decode progress record %s: %w", e.Key, err)
		}
		records[strings.TrimPrefix(e.Key, progressPrefix)] = r
	}
	out := make([]Progress, 0, len(waves))
	for _, w := range waves {
		r := records[strconv.FormatInt(w.Number, 10)]
		out = append(out, Progress{Wave: w, Begun: len(r.Begun), Completed: r.Completed})
	}
	return out, nil
}
