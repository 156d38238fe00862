package forward

import (
	"math"
	"time"

	"samphirestile.example/samphirestile/internal/fleet"
)

// TeamLoad is the state of one team at one daemon.
type TeamLoad struct {
	// Units is the part of the team's upper limit that the daemon holds.
	Units int
	// Load counts the team's running and queued requests there.
	Load int
}

type teamKey struct {
	address string
	team    fleet.TeamID
}

// teamEstimate is the state of a team at an owner as seen by this daemon.
type teamEstimate struct {
	// inFlight counts the requests of this daemon at the owner.
	inFlight int
	reported TeamLoad
	// othersLoad is the reported load without the requests of this daemon.
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

// recordTeamLoad takes the state of a team that an owner told.
func (o *owners) recordTeamLoad(address string, team fleet.TeamID, l TeamLoad) {
	o.mu.Lock()
	defer o.mu.Unlock()
	f := o.teamEstimate(address, team)
	f.reported, f.reportedAt = l, time.Now()
	f.othersLoad = max(l.Load-f.inFlight, 0)
}

// unitUtilization is the estimated part of the owner's units of the team in use; 1 or
// more means that a request would wait for a unit.
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

// pruneTeamEstimates forgets figures that say nothing any more.
func (o *owners) pruneTeamEstimates(now time.Time) {
	for k, f := range o.teamEstimates {
		if f.inFlight == 0 && now.Sub(f.reportedAt) > teamReportTTL {
			delete(o.teamEstimates, k)
		}
	}
}
