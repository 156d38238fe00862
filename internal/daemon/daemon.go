// Package daemon assembles the components of samphirestiled and starts and stops
// them in order.
package daemon

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"samphirestile.example/samphirestile/internal/allotment"
	"samphirestile.example/samphirestile/internal/config"
	"samphirestile.example/samphirestile/internal/dispatch"
	"samphirestile.example/samphirestile/internal/fleet"
	"samphirestile.example/samphirestile/internal/forward"
	"samphirestile.example/samphirestile/internal/gateway"
	"samphirestile.example/samphirestile/internal/idempotency"
	"samphirestile.example/samphirestile/internal/keys"
	"samphirestile.example/samphirestile/internal/membership"
	"samphirestile.example/samphirestile/internal/metrics"
	"samphirestile.example/samphirestile/internal/peerapi"
	"samphirestile.example/samphirestile/internal/peerapi/oas"
	"samphirestile.example/samphirestile/internal/settings"
	"samphirestile.example/samphirestile/internal/store"
	"samphirestile.example/samphirestile/internal/template"
	"samphirestile.example/samphirestile/internal/upstream"
)

const (
	// peerCallTimeout bounds one control message between daemons.
	peerCallTimeout = time.Second
	// renewalsPerLease allows two failed renewals before a lease expires.
	renewalsPerLease = 3
	// seatListsPerLease allows a reclaimer to detect within one lease that a seat is no
	// longer renewed.
	seatListsPerLease = 2
	// peerIdleTimeout is longer than a heartbeat round of eight daemons, so that
	// heartbeats reuse connections.
	peerIdleTimeout = 30 * time.Second
)

// Daemon is one running samphirestiled.
type Daemon struct {
	settings *settings.Settings
	log      *logrus.Logger
	secret   peerapi.Secret
	traffic  *metrics.Traffic

	metrics         *metrics.Registry
	store           *store.HTTPStore
	revoked         *keys.RevokedSet
	config          *config.Manager
	membership      *membership.Membership
	allotments      *allotment.Allotments
	scheduler       *dispatch.Scheduler
	upstream        *upstream.Client
	forwarder       *forward.Forwarder
	forwardServer   *forward.Server
	gateway         *gateway.Gateway
	requestRecorder *requestRecorder
	claimTable      *idempotency.Table
	coordinator     *idempotency.Coordinator
	peerHTTP        *http.Client
	peers           peerClients

	rows       atomic.Pointer[teamRows]
	background sync.WaitGroup
}

// New assembles a daemon; Run starts it.
func New(s *settings.Settings, log *logrus.Logger) (*Daemon, error) {
	d := &Daemon{
		settings: s,
		log:      log,
		secret:   peerapi.Secret(s.CellSecret),
		metrics:  metrics.New(),
		revoked:  keys.NewRevokedSet(),
		upstream: upstream.NewClient(0),
		peers:    peerClients{byAddress: map[string]*oas.Client{}},
	}
	store, err := store.NewHTTP(store.HTTPConfig{URL: "http://" + s.PlatformAddress})
	if err != nil {
		return nil, fmt.Errorf("create store client: %w", err)
	}
	d.store = store
	// The counters include control messages in both directions, with their HTTP headers.
	// Forwarded requests are counted only by the daemon that receives them, because they
	// are sent by the upstream client.
	d.traffic = d.metrics.Traffic("daemon")
	d.peerHTTP = &http.Client{Timeout: peerCallTimeout, Transport: &http.Transport{
		DialContext:     d.traffic.Dial(&net.Dialer{}),
		IdleConnTimeout: peerIdleTimeout,
	}}
	d.buildCoordination()
	d.buildRequestPath()
	return d, nil
}

// buildCoordination builds the components that coordinate with other daemons.
func (d *Daemon) buildCoordination() {
	s := d.settings
	d.config = config.New(config.Config{
		Store:   d.store,
		Hosts:   d.store,
		Render:  template.Render,
		Dial:    func(address string) (config.Peer, error) { return d.peerClient(address) },
		Self:    s.AdvertisePeerAddress,
		Peers:   s.Peers,
		Members: d.memberAddresses,
		Revoked: d.revoked,
		Log:     d.log.WithField("part", "config"),
	})
	d.membership = membership.New(membership.Config{
		Daemon:            s.DaemonID,
		Incarnation:       newIncarnation(),
		PeerAddress:       s.AdvertisePeerAddress,
		Zone:              fleet.AvailabilityZone(s.AvailabilityZone),
		Store:             d.store,
		Config:            d.config,
		Dial:              func(address string) (membership.Peer, error) { return d.peerClient(address) },
		Log:               d.log.WithField("part", "membership"),
		RevokedCount:      d.config.RevokedCount,
		OnPeerState:       d.observeHeartbeat,
		Lease:             settings.Duration(s.LeaseMS),
		VouchLifetime:     settings.Duration(s.VouchMS),
		Margin:            settings.Duration(s.MarginMS),
		HeartbeatInterval: settings.Duration(s.HeartbeatMS),
		FailureTime:       settings.Duration(s.FailureMS),
		RenewalInterval:   settings.Duration(s.LeaseMS) / renewalsPerLease,
		ListInterval:      settings.Duration(s.LeaseMS) / seatListsPerLease,
	})
	d.allotments = allotment.New(allotment.Config{
		Seats:  d.membership,
		Store:  d.store,
		Config: d.config,
		Log:    d.log.WithField("part", "allotment"),
	})
	d.claimTable = idempotency.NewTable(0, nil)
	d.claimTable.RequireSeats(d.holdsSeat)
	d.membership.Attach(d.allotments, &claimTransfer{d})
}

// buildRequestPath builds the components that process a request.
func (d *Daemon) buildRequestPath() {
	d.scheduler = dispatch.New(dispatch.Config{
		Limiter: d.allotments, RemoteFreeUnits: d.remoteFreeUnits, RemoteUnits: d.remoteUnits,
	})
	options := forward.Options{
		Config:         d.config,
		Members:        d.membership,
		Dispatcher:     d.scheduler,
		Upstream:       d.upstream,
		Secret:         d.secret,
		HeartbeatUnits: d.memberUnits,
		LocalTeamLoad:  d.localTeamLoad,
		OnUnreachable:  func(m membership.Member) { d.membership.Probe(m.PeerAddress) },
	}
	d.forwarder = forward.New(options)
	d.forwardServer = forward.NewServer(options, 0)
	d.coordinator = idempotency.NewCoordinator(idempotency.Options{
		Members:      d.membership,
		Table:        d.claimTable,
		Secret:       d.secret,
		HTTPClient:   d.peerHTTP,
		AwaitHistory: true,
		Dial:         func(address string) (idempotency.Peer, error) { return d.peerClient(address) },
	})
	d.requestRecorder = &requestRecorder{log: d.log, scope: d.metrics.Scope()}
	d.gateway = gateway.New(gateway.Options{
		Config:    d.config,
		Verifier:  keys.NewVerifier(d.config, d.revoked),
		Forwarder: d.forwarder,
		Claimer:   d.coordinator,
		Observer:  d.requestRecorder,
	})
}

func newIncarnation() string {
	var b [8]byte
	rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// runInBackground runs f until ctx is cancelled; Run waits for it.
func (d *Daemon) runInBackground(ctx context.Context, f func(context.Context)) {
	d.background.Go(func() { f(ctx) })
}
