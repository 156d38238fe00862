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
	readinessInterval = 100 * time.Millisecond
	// peerFetchInterval is the delay between two rounds of requests to the peers at startup.
	peerFetchInterval = time.Second
)

// trackOwnership updates the endpoints that this daemon owns in the scheduler after
// each change of the configuration or the view.
func (d *Daemon) trackOwnership(ctx context.Context) {
	configChanged, stopConfig := d.config.Subscribe()
	defer stopConfig()
	viewChanged, stopView := d.membership.Subscribe()
	defer stopView()
	registered := map[fleet.ServiceID]fleet.Service{}
	for {
		if snapshot := d.config.Current(); snapshot != nil {
			d.applyOwnership(snapshot, registered)
		}
		select {
		case <-ctx.Done():
			return
		case <-configChanged:
		case <-viewChanged:
		}
	}
}

// applyOwnership updates the scheduler. registered holds the services that the
// scheduler has, so that the endpoints of a removed service are removed as well.
func (d *Daemon) applyOwnership(snapshot *config.Snapshot, registered map[fleet.ServiceID]fleet.Service) {
	d.scheduler.SetTeams(snapshot.Teams)
	owned := ownedEndpoints(snapshot, d.membership.View())
	for id, service := range snapshot.Services {
		registered[id] = service
		d.scheduler.SetEndpoints(service, owned[id])
	}
	for id, service := range registered {
		if _, ok := snapshot.Services[id]; !ok {
			d.scheduler.SetEndpoints(service, nil)
			delete(registered, id)
		}
	}
}

func ownedEndpoints(snapshot *config.Snapshot, view membership.View) map[fleet.ServiceID][]fleet.Endpoint {
	ownSeats := map[fleet.SeatID]bool{}
	for _, m := range view.Members {
		if m.Self {
			ownSeats[m.Seat] = true
		}
	}
	owned := map[fleet.ServiceID][]fleet.Endpoint{}
	for id, seat := range ownership.Assign(snapshot.Endpoints, view.Members) {
		if ownSeats[seat] {
			e := snapshot.Endpoints[id]
			owned[e.Service] = append(owned[e.Service], e)
		}
	}
	return owned
}

// trackReadiness marks the daemon ready once it has a configuration and its view
// contains an active member, and rejects requests while the daemon is isolated.
func (d *Daemon) trackReadiness(ctx context.Context) {
	ticker := time.NewTicker(readinessInterval)
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

// isolated reports whether neither the store nor any other recorded daemon responded
// within the failure time. Such a daemon would miss the revocation of a key.
func (d *Daemon) isolated() bool {
	others := slices.ContainsFunc(d.membership.View().Members, func(m membership.Member) bool { return !m.Self })
	return others && time.Since(d.membership.LastContact()) > settings.Duration(d.settings.FailureMS)
}

// memberAddresses returns the peer addresses of other daemons.
func (d *Daemon) memberAddresses() []string {
	var addresses []string
	for _, m := range d.membership.View().Members {
		if !m.Self && !slices.Contains(addresses, m.PeerAddress) {
			addresses = append(addresses, m.PeerAddress)
		}
	}
	return addresses
}

// observeHeartbeat passes the configuration state in a peer's heartbeat to the
// configuration manager.
func (d *Daemon) observeHeartbeat(h *oas.Heartbeat) {
	d.config.Observe(h.PeerAddress, uint64(h.Revision), h.StoreVisible, h.Revoked.Or(0))
}

// loadSeatsFromPeers fetches the seats from the configured peers until an active
// member is known, so that a daemon can start during an outage of the store.
func (d *Daemon) loadSeatsFromPeers(ctx context.Context) {
	for !d.hasActiveMember() {
		for _, address := range d.settings.Peers {
			d.fetchSeats(ctx, address)
		}
		d.sleep(ctx, peerFetchInterval)
		if ctx.Err() != nil {
			return
		}
	}
}

func (d *Daemon) fetchSeats(ctx context.Context, address string) {
	if address == d.settings.AdvertisePeerAddress {
		return
	}
	client, err := d.peerClient(address)
	if err != nil {
		return
	}
	snapshot, err := client.Snapshot(ctx)
	if err != nil {
		d.log.WithError(err).WithField("peer", address).Debug("cannot fetch snapshot from peer")
		return
	}
	d.membership.MergeSeats(snapshot.Seats)
}
