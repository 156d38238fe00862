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
	// Err is set if the record of the progress cannot be decoded.
	Err error
}

// ReadProgress returns the recorded progress of the waves. A record that cannot be decoded does not
// hide the progress of the other waves.
func ReadProgress(ctx context.Context, s store.Transactional, waves []Wave) ([]Progress, error) {
	entries, _, err := s.List(ctx, progressPrefix)
	if err != nil {
		return nil, fmt.Errorf("read the progress of waves: %w", err)
	}
	records := map[string]store.Entry{}
	for _, e := range entries {
		records[strings.TrimPrefix(e.Key, progressPrefix)] = e
	}
	out := make([]Progress, 0, len(waves))
	for _, w := range waves {
		p := Progress{Wave: w}
		if e, ok := records[strconv.FormatInt(w.Number, 10)]; ok {
			var r waveRecord
			if err := json.Unmarshal(e.Value, &r); err != nil {
				p.Err = fmt.Errorf("decode progress record %s: %w", e.Key, err)
			}
			p.Begun, p.Completed = len(r.Begun), r.Completed
		}
		out = append(out, p)
	}
	return out, nil
}
