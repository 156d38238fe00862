package forward

import (
	"math"
	"time"

	"samphirestile.example/samphirestile/internal/fleet"
)

// TeamLoad is the load and the allotment of one team at one daemon.
type TeamLoad struct {
	// Units is the number of units of the team's limit that are allotted to the daemon.
	Units int
	// Load is the number of the team's running and queued requests at the daemon.
	Load int
}

type teamKey struct {
	address string
	team    fleet.TeamID
}

// teamEstimate is this daemon's estimate of the load of a team at an owner.
type teamEstimate struct {
	// inFlight counts the requests that this daemon has in flight at the owner.
	inFlight int
	reported TeamLoad
	// othersLoad is the reported load minus the requests of this daemon.
	othersLoad int
	reportedAt time.Time
}

func (o *owners) teamEstimate(address string, team fleet.TeamID) *teamEstimate {
	k := teamKey{address, team}
	f, ok := o.teamEstimates[k]
	if !ok {
		f = &teamEstimate{}
		o.teamEstimates[k] = f
	}
	return f
}

// recordTeamLoad stores the team load that an owner reported with a response.
func (o *owners) recordTeamLoad(address string, team fleet.TeamID, l TeamLoad) {
	o.mu.Lock()
	defer o.mu.Unlock()
	f := o.teamEstimate(address, team)
	f.reported, f.reportedAt = l, time.Now()
	f.othersLoad = max(l.Load-f.inFlight, 0)
}

// unitUtilization is the estimated fraction of the team's units at the owner that are in
// use; at 1 or more a request would have to wait for a unit.
func (o *owners) unitUtilization(w *owner, team fleet.TeamID, now time.Time) float64 {
	f := o.teamEstimate(w.member.PeerAddress, team)
	load := float64(f.inFlight)
	units, known := 0, false
	switch {
	case w.member.Self && o.localTeamLoad != nil:
		here := o.localTeamLoad(team)
		load, units, known = max(load, float64(here.Load)), here.Units, true
	case !f.reportedAt.IsZero() && now.Sub(f.reportedAt) < teamReportTTL:
		age := float64(now.Sub(f.reportedAt)) / float64(loadHalfLife)
		load += float64(f.othersLoad) * math.Exp2(-age)
		units, known = f.reported.Units, true
	case o.heartbeatUnits != nil:
		units, known = o.heartbeatUnits(w.member, team)
	}
	switch {
	case !known:
		return 0
	case units == 0:
		return noUnitsUtilization + load
	default:
		return load / float64(units)
	}
}

// pruneTeamEstimates removes estimates with an expired report and no request in flight.
func (o *owners) pruneTeamEstimates(now time.Time) {
	for k, f := range o.teamEstimates {
		if f.inFlight == 0 && now.Sub(f.reportedAt) > teamReportTTL {
			delete(o.teamEstimates, k)
		}
	}
}
