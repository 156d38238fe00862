package membership

import (
	"context"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"samphirestile.example/samphirestile/internal/config"
	"samphirestile.example/samphirestile/internal/fleet"
	"samphirestile.example/samphirestile/internal/peerapi/oas"
	"samphirestile.example/samphirestile/internal/store"
)

// Defaults of the durations in Config.
const (
	DefaultLease             = 10 * time.Second
	DefaultVouchLifetime     = 10 * time.Second
	DefaultMargin            = 2 * time.Second
	DefaultHeartbeatInterval = time.Second
	DefaultFailureTime       = 3 * time.Second
	// DefaultRenewalInterval tolerates one lost renewal within the lease.
	DefaultRenewalInterval = 4 * time.Second
	// DefaultListInterval bounds how long a seat that sends no heartbeat stays undiscovered.
	// The list is the largest control message, so it is read rarely.
	DefaultListInterval = 10 * time.Second
)

// Peer is the part of the peer client that membership uses; *oas.Client implements it.
type Peer interface {
	Heartbeat(ctx context.Context, request *oas.Heartbeat) (*oas.HeartbeatReply, error)
	Consent(ctx context.Context, request *oas.ConsentRequest) (*oas.ConsentReply, error)
	Handover(ctx context.Context, request *oas.Handover) (*oas.HandoverReply, error)
}

// Allotments is the part of package allotment that transfers units with a seat.
// Membership calls it without holding its own lock.
type Allotments interface {
	// ExportSeat stops the use of the seat's units and returns them with the units still in use.
	ExportSeat(seat fleet.SeatID) (units, running []oas.TeamUnits)
	// SeatRunning returns the units of an exported seat that are still in use.
	SeatRunning(seat fleet.SeatID) []oas.TeamUnits
	// ImportSeat takes over the units of a seat. The running ones stay reserved until
	// UpdateRunning lowers them or the reservation expires.
	ImportSeat(seat fleet.SeatID, units, running []oas.TeamUnits, reservation time.Duration)
	// UpdateRunning lowers the units of an imported seat that its previous holder still uses.
	UpdateRunning(seat fleet.SeatID, running []oas.TeamUnits)
	// ReclaimSeat removes the seat's entries from all team records of the store.
	ReclaimSeat(ctx context.Context, seat fleet.SeatID) error
	// TeamRows returns the units, running and queued requests of each team on this daemon.
	TeamRows() []oas.TeamRow
}

// Claims transfers idempotency claims with a seat.
type Claims interface {
	ExportClaims(seat fleet.SeatID) []oas.Claim
	ImportClaims(seat fleet.SeatID, claims []oas.Claim)
	// FinishExport reports the result of an export: the successor at peerAddress has the
	// claims, or no daemon has taken them if peerAddress is empty. leaving is set when
	// this daemon stops.
	FinishExport(peerAddress string, leaving bool)
}

// Config holds the settings and dependencies of Membership. Zero durations select the defaults.
type Config struct {
	Daemon      string
	Incarnation string
	PeerAddress string
	Zone        fleet.AvailabilityZone
	// Host is the platform's ID of the host that runs this daemon; it may be empty.
	Host fleet.HostID

	Store store.Store
	// Hosts is optional. The seats of a daemon whose host it reports as gone are reclaimed without consent.
	Hosts  store.HostLister
	Config config.Source
	Dial   func(address string) (Peer, error)
	Log    logrus.FieldLogger

	// RevokedCount is the number of revoked keys that this daemon has received; it is optional.
	RevokedCount func() int
	// OnPeerState is called with the state of each peer after an exchange; it is optional,
	// runs under no lock and must not block.
	OnPeerState func(state *oas.Heartbeat)

	// Lease is how long a confirmed renewal permits new work under a seat, counted from
	// the sending of the renewal.
	Lease time.Duration
	// VouchLifetime is how long a vouch permits new work under a seat. It must be the same
	// on all daemons, because a holder and its voters each count with their own setting.
	VouchLifetime time.Duration
	// Margin is added to Lease and VouchLifetime before a reclaim and a consent to it. It
	// must be above 0 for the argument in the package documentation to hold.
	Margin time.Duration
	// HeartbeatInterval is the interval of heartbeats and of the checks for due renewals,
	// lists and reclaims; it also limits one call to the store or to a peer.
	HeartbeatInterval time.Duration
	// FailureTime limits how long failed heartbeats are repeated before a peer becomes inactive.
	FailureTime time.Duration
	// RenewalInterval is the time between two renewals of a seat's record.
	RenewalInterval time.Duration
	// ListInterval is the time between two reads of all seat records in a small cell, and
	// the minimum time between two reads of the host list.
	ListInterval time.Duration
}

// rejectedDesigns enables designs that were rejected, so that tests can show how they fail.
type rejectedDesigns struct {
	// stopAtLeaseEnd ignores vouches: the permission to start work ends with the store lease.
	stopAtLeaseEnd bool
	// timeoutReclaim reclaims a seat without consent and without the run-time wait.
	timeoutReclaim bool
}

func (c Config) withDefaults() Config {
	set := func(d *time.Duration, def time.Duration) {
		if *d == 0 {
			*d = def
		}
	}
	set(&c.Lease, DefaultLease)
	set(&c.VouchLifetime, DefaultVouchLifetime)
	set(&c.Margin, DefaultMargin)
	set(&c.HeartbeatInterval, DefaultHeartbeatInterval)
	set(&c.FailureTime, DefaultFailureTime)
	set(&c.RenewalInterval, DefaultRenewalInterval)
	set(&c.ListInterval, DefaultListInterval)
	if c.Log == nil {
		c.Log = logrus.StandardLogger()
	}
	return c
}

// SeatError reports an operation on a seat that this daemon cannot perform.
type SeatError struct {
	Seat   fleet.SeatID
	Reason string
	// Unknown is set if no such seat is recorded.
	Unknown bool
}

func (e *SeatError) Error() string { return fmt.Sprintf("seat %s: %s", e.Seat, e.Reason) }

// HandoverError reports seats whose handover was not confirmed.
type HandoverError struct {
	Seats []fleet.SeatID
	Cause error
}

func (e *HandoverError) Error() string {
	return fmt.Sprintf("handover of seats %v not confirmed: %v", e.Seats, e.Cause)
}

// Unwrap returns the cause.
func (e *HandoverError) Unwrap() error { return e.Cause }
