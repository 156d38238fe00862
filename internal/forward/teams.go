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

// teamFigure is the state of a team at an owner as seen by this daemon.
type teamFigure struct {
	// inFlight counts the requests of this daemon at the owner.
	inFlight int
	reported TeamLoad
	// others is the reported load without the requests of this daemon.
	others int
	at     time.Time
}

func (o *owners) teamFigure(address string, team fleet.TeamID) *teamFigure {
	k := teamKey{address, team}
	f, ok := o.teams[k]
	if !ok {
		f = &teamFigure{}
		o.teams[k] = f
	}
	return f
}

// reportTeam takes the state of a team that an owner told.
func (o *owners) reportTeam(address string, team fleet.TeamID, l TeamLoad) {
	o.mu.Lock()
	defer o.mu.Unlock()
	f := o.teamFigure(address, team)
	f.reported, f.at = l, time.Now()
	f.others = max(l.Load-f.inFlight, 0)
}

// teamUse is the estimated part of the owner's units of the team in use; 1 or
// more means that a request would wait for a unit.
func (o *owners) teamUse(w *owner, team fleet.TeamID, now time.Time) float64 {
	f := o.teamFigure(w.member.PeerAddress, team)
	load := float64(f.inFlight)
	units, known := 0, false
	switch {
	case w.member.Self && o.usage != nil:
		here := o.usage(team)
		load, units, known = max(load, float64(here.Load)), here.Units, true
	case !f.at.IsZero() && now.Sub(f.at) < teamLifetime:
		age := float64(now.Sub(f.at)) / float64(loadHalfLife)
		load += float64(f.others) * math.Exp2(-age)
		units, known = f.reported.Units, true
	case o.heartbeatUnits != nil:
		units, known = o.heartbeatUnits(w.member, team)
	}
	switch {
	case !known:
		return 0
	case units == 0:
		return noUnits + load
	default:
		return load / float64(units)
	}
}

// dropTeams forgets figures that say nothing any more.
func (o *owners) dropTeams(now time.Time) {
	for k, f := range o.teams {
		if f.inFlight == 0 && now.Sub(f.at) > teamLifetime {
			delete(o.teams, k)
		}
	}
}
