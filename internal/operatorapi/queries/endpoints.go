package queries

import (
	"context"
	"maps"
	"slices"

	"samphirestile.example/samphirestile/internal/operatorapi/oas"
)

// ListEndpoints returns the endpoints with their owners in this daemon's view.
func (q *Queries) ListEndpoints(context.Context) ([]oas.EndpointInfo, error) {
	s, err := q.snapshot()
	if err != nil {
		return nil, err
	}
	owners := q.Owners()
	infos := make([]oas.EndpointInfo, 0, len(s.Endpoints))
	for _, id := range slices.Sorted(maps.Keys(s.Endpoints)) {
		e := s.Endpoints[id]
		info := oas.EndpointInfo{
			ID: string(id), Service: string(e.Service), Address: e.Address, Slots: e.Slots,
			Leaving: e.Leaving, Owner: string(owners[id]),
		}
		if e.Host != "" {
			info.Host = oas.NewOptString(string(e.Host))
		}
		infos = append(infos, info)
	}
	return infos, nil
}
