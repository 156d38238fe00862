// Package ownership assigns endpoints to seats by rendezvous hashing with
// bounded load.
package ownership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"samphirestile.example/samphirestile/internal/fleet"
	"samphirestile.example/samphirestile/internal/membership"
)

// Assignment maps each endpoint to the seat that owns it.
type Assignment map[fleet.EndpointID]fleet.SeatID

// Score returns the rendezvous hashing score of a seat for a name. It is the same on every daemon.
func Score(name string, seat fleet.SeatID) uint64 {
	var d xxhash.Digest
	d.Reset()
	// Writes to a Digest never fail. The zero byte separates the two names.
	_, _ = d.WriteString(name)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(string(seat))
	return d.Sum64()
}

// Assign assigns each endpoint to one active seat. No seat owns more than
// ceil(endpoints of the service / active seats) endpoints of one service. The
// result depends only on the sets of endpoints and active seats, not on their order.
func Assign(endpoints map[fleet.EndpointID]fleet.Endpoint, members []membership.Member) Assignment {
	seats := activeSeats(members)
	result := make(Assignment, len(endpoints))
	if len(seats) == 0 {
		return result
	}
	services := make(map[fleet.ServiceID][]fleet.EndpointID)
	for id, e := range endpoints {
		services[e.Service] = append(services[e.Service], id)
	}
	for _, ids := range services {
		assignService(result, ids, seats)
	}
	return result
}

func activeSeats(members []membership.Member) []fleet.SeatID {
	seats := make([]fleet.SeatID, 0, len(members))
	for _, m := range members {
		if m.Active {
			seats = append(seats, m.Seat)
		}
	}
	slices.Sort(seats)
	return slices.Compact(seats)
}

// candidate is a pair of endpoint and seat, given by their indexes. It contains no
// pointers, because sorting all pairs takes most of the time of Assign.
type candidate struct {
	score    uint64
	endpoint int32
	seat     int32
}

// assignService processes the pairs of endpoint and seat in descending order of score, so
// that a change of one seat moves only endpoints whose higher-ranked pairs changed.
func assignService(result Assignment, ids []fleet.EndpointID, seats []fleet.SeatID) {
	slices.Sort(ids)
	pairs := make([]candidate, 0, len(ids)*len(seats))
	for i, id := range ids {
		for j, s := range seats {
			pairs = append(pairs, candidate{Score(string(id), s), int32(i), int32(j)})
		}
	}
	slices.SortFunc(pairs, func(a, b candidate) int {
		if a.score != b.score {
			return cmp.Compare(b.score, a.score)
		}
		return cmp.Or(cmp.Compare(a.endpoint, b.endpoint), cmp.Compare(a.seat, b.seat))
	})
	bound := (len(ids) + len(seats) - 1) / len(seats)
	owned := make([]int, len(seats))
	taken := make([]bool, len(ids))
	for _, p := range pairs {
		if taken[p.endpoint] || owned[p.seat] == bound {
			continue
		}
		taken[p.endpoint] = true
		result[ids[p.endpoint]] = seats[p.seat]
		owned[p.seat]++
	}
}
