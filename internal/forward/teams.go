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
	est, ok := o.teamEstimates[k]
	if !ok {
		est = &teamEstimate{}
		o.teamEstimates[k] = est
	}
	return est
}

// recordTeamLoad stores the team load that an owner reported with a response.
func (o *owners) recordTeamLoad(address string, team fleet.TeamID, l TeamLoad) {
	o.mu.Lock()
	defer o.mu.Unlock()
	est := o.teamEstimate(address, team)
	est.reported, est.reportedAt = l, time.Now()
	est.othersLoad = max(l.Load-est.inFlight, 0)
}

// unitUtilization is the estimated fraction of the team's units at the owner that are in
// use; at 1 or more a request would have to wait for a unit. It is 0 if the number of units
// is unknown, and at least noUnitsUtilization if the owner has none.
func (o *owners) unitUtilization(target *owner, team fleet.TeamID, now time.Time) float64 {
	est := o.teamEstimate(target.member.PeerAddress, team)
	load := float64(est.inFlight)
	units, known := 0, false
	switch {
	case target.member.Self && o.localTeamLoad != nil:
		here := o.localTeamLoad(team)
		load, units, known = max(load, float64(here.Load)), here.Units, true
	case !est.reportedAt.IsZero() && now.Sub(est.reportedAt) < teamReportTTL:
		halfLives := float64(now.Sub(est.reportedAt)) / float64(loadHalfLife)
		load += float64(est.othersLoad) * math.Exp2(-halfLives)
		units, known = est.reported.Units, true
	case o.heartbeatUnits != nil:
		units, known = o.heartbeatUnits(target.member, team)
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
	for k, est := range o.teamEstimates {
		if est.inFlight == 0 && now.Sub(est.reportedAt) > teamReportTTL {
			delete(o.teamEstimates, k)
		}
	}
}
