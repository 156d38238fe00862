package queries

import (
	"context"
	"maps"
	"slices"

	"samphirestile.example/samphirestile/internal/operatorapi/oas"
)

// ListTeams returns the teams with their usage on this daemon.
func (q *Queries) ListTeams(context.Context) ([]oas.TeamInfo, error) {
	s, err := q.snapshot()
	if err != nil {
		return nil, err
	}
	infos := make([]oas.TeamInfo, 0, len(s.Teams))
	for _, id := range slices.Sorted(maps.Keys(s.Teams)) {
		t := s.Teams[id]
		running, units := q.TeamUsage.Usage(id)
		infos = append(infos, oas.TeamInfo{
			ID: string(id), ClientAccount: t.Account, Weight: t.Weight, Limit: t.Limit, Running: running, Units: units,
		})
	}
	return infos, nil
}
