package daemon

import (
	"context"
	"slices"
	"time"

	"samphirestile.example/samphirestile/internal/config"
	"samphirestile.example/samphirestile/internal/fleet"
	"samphirestile.example/samphirestile/internal/membership"
	"samphirestile.example/samphirestile/internal/ownership"
	"samphirestile.example/samphirestile/internal/peerapi/oas"
	"samphirestile.example/samphirestile/internal/settings"
)

const (
	readinessCheck = 100 * time.Millisecond
	seatFetchRetry = time.Second
)

// followOwnership tells the scheduler which endpoints this daemon owns, after
// each change of the configuration or the view.
func (d *Daemon) followOwnership(ctx context.Context) {
	configChanged, stopConfig := d.config.Subscribe()
	defer stopConfig()
	viewChanged, stopView := d.membership.Subscribe()
	defer stopView()
	known := map[fleet.ServiceID]fleet.Service{}
	for {
		if snapshot := d.config.Current(); snapshot != nil {
			d.applyOwnership(snapshot, known)
		}
		select {
		case <-ctx.Done():
			return
		case <-configChanged:
		case <-viewChanged:
		}
	}
}

// applyOwnership updates the scheduler. known holds the services that the
// scheduler was told of, so that a removed service loses its endpoints.
func (d *Daemon) applyOwnership(snapshot *config.Snapshot, known map[fleet.ServiceID]fleet.Service) {
	d.scheduler.SetTeams(snapshot.Teams)
	owned := ownedEndpoints(snapshot, d.membership.View())
	for id, service := range snapshot.Services {
		known[id] = service
		d.scheduler.SetEndpoints(service, owned[id])
	}
	for id, service := range known {
		if _, ok := snapshot.Services[id]; !ok {
			d.scheduler.SetEndpoints(service, nil)
			delete(known, id)
		}
	}
}

func ownedEndpoints(snapshot *config.Snapshot, view membership.View) map[fleet.ServiceID][]fleet.Endpoint {
	self := map[fleet.SeatID]bool{}
	for _, m := range view.Members {
		if m.Self {
			self[m.Seat] = true
		}
	}
	owned := map[fleet.ServiceID][]fleet.Endpoint{}
	for id, seat := range ownership.Assign(snapshot.Endpoints, view.Members) {
		if self[seat] {
			e := snapshot.Endpoints[id]
			owned[e.Service] = append(owned[e.Service], e)
		}
	}
	return owned
}

// followReadiness makes the daemon ready once it has a configuration and knows
// the cell, and stops taking requests while it is isolated.
func (d *Daemon) followReadiness(ctx context.Context) {
	ticker := time.NewTicker(readinessCheck)
	defer ticker.Stop()
	wasReady := false
	for {
		isolated := d.isolated()
		ready := d.config.Current() != nil && d.hasActiveMember()
		if ready && !wasReady {
			wasReady = true
			d.gateway.SetReady(true)
			d.log.Info("daemon is ready")
		}
		d.gateway.SetAccepting(wasReady && !isolated)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (d *Daemon) hasActiveMember() bool {
	return slices.ContainsFunc(d.membership.View().Members, func(m membership.Member) bool { return m.Active })
}

// isolated reports that neither the store nor any other recorded daemon answered
// within the failure time. Such a daemon could not learn of a revoked key.
func (d *Daemon) isolated() bool {
	others := slices.ContainsFunc(d.membership.View().Members, func(m membership.Member) bool { return !m.Self })
	return others && time.Since(d.membership.LastContact()) > settings.Duration(d.settings.FailureMS)
}

// memberAddresses returns the peer addresses of other daemons.
func (d *Daemon) memberAddresses() []string {
	var out []string
	for _, m := range d.membership.View().Members {
		if !m.Self && !slices.Contains(out, m.PeerAddress) {
			out = append(out, m.PeerAddress)
		}
	}
	return out
}

// observePeer passes the configuration state of a peer on after a heartbeat.
func (d *Daemon) observePeer(state *oas.Heartbeat) {
	d.config.Observe(state.PeerAddress, uint64(state.Revision), state.StoreVisible, state.Revoked.Or(0))
}

// learnSeatsFromPeers asks the configured peers for seats while the store has
// given none, so that a daemon can start during an outage of the store.
func (d *Daemon) learnSeatsFromPeers(ctx context.Context) {
	for !d.hasActiveMember() {
		for _, address := range d.settings.Peers {
			d.fetchSeats(ctx, address)
		}
		d.sleep(ctx, seatFetchRetry)
		if ctx.Err() != nil {
			return
		}
	}
}

func (d *Daemon) fetchSeats(ctx context.Context, address string) {
	if address == d.settings.AdvertisePeerAddress {
		return
	}
	client, err := d.dialPeer(address)
	if err != nil {
		return
	}
	snapshot, err := client.Snapshot(ctx)
	if err != nil {
		d.log.WithError(err).WithField("peer", address).Debug("peer gave no snapshot")
		return
	}
	d.membership.MergeSeats(snapshot.Seats)
}
