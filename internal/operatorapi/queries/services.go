package queries

import (
	"context"
	"maps"
	"slices"

	"samphirestile.example/samphirestile/internal/operatorapi/oas"
)

// ListServices returns the services with their load. The number of endpoints is that
// of the whole cell; slots, running and queued requests are those of this daemon.
func (q *Queries) ListServices(context.Context) ([]oas.ServiceInfo, error) {
	s, err := q.snapshot()
	if err != nil {
		return nil, err
	}
	infos := make([]oas.ServiceInfo, 0, len(s.Services))
	for _, id := range slices.Sorted(maps.Keys(s.Services)) {
		load, _ := q.Loads.Load(id)
		info := oas.ServiceInfo{ID: string(id), Slots: load.Slots, Running: load.Running, Queued: load.Queued}
		for _, e := range s.Endpoints {
			if e.Service == id {
				info.Endpoints++
			}
		}
		infos = append(infos, info)
	}
	return infos, nil
}
