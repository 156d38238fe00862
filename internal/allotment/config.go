package allotment

import (
	"context"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"samphirestile.example/samphirestile/internal/config"
	"samphirestile.example/samphirestile/internal/fleet"
	"samphirestile.example/samphirestile/internal/membership"
	"samphirestile.example/samphirestile/internal/store"
)

// Defaults of Config.
const (
	// DefaultWriteInterval is the mean time between two store writes of a daemon.
	DefaultWriteInterval = time.Second
	// DefaultWriteBurst lets a daemon acquire its reserves of several teams at start.
	DefaultWriteBurst = 8
	// DefaultIdleTime is how long units stay unused before they are returned to the record.
	DefaultIdleTime = 5 * time.Second
	// DefaultRetryInterval is the time between two attempts to acquire units for queued requests.
	DefaultRetryInterval = 250 * time.Millisecond
	// DefaultCallTimeout bounds one store call.
	DefaultCallTimeout = time.Second
)

// Seats is the part of membership that this package uses; *membership.Membership implements it.
type Seats interface {
	// HeldSeats returns the seats of this daemon that exist in the store.
	HeldSeats() []fleet.SeatID
	// SeatStartPermitted reports whether new work may start under the seat now.
	SeatStartPermitted(seat fleet.SeatID) bool
	// SeatSendPermitted reports whether work admitted under the seat may still be sent.
	SeatSendPermitted(seat fleet.SeatID) bool
	// SeatDeleted reads from the store whether the seat has been deleted.
	SeatDeleted(ctx context.Context, seat fleet.SeatID) (bool, error)
	// StoreReachable reports whether the store responded to the last call.
	StoreReachable() bool
	View() membership.View
	PeerTeamRows() []membership.PeerRows
	SubscribeRows() (changed <-chan struct{}, stop func())
	HeartbeatNow(incarnations ...string)
}

// Config holds the settings and dependencies of Allotments. Zero durations select the defaults.
type Config struct {
	Seats  Seats
	Store  store.Store
	Config config.Source
	Log    logrus.FieldLogger

	WriteInterval time.Duration
	WriteBurst    int
	IdleTime      time.Duration
	RetryInterval time.Duration
	CallTimeout   time.Duration
}

func (c Config) withDefaults() Config {
	set := func(d *time.Duration, def time.Duration) {
		if *d == 0 {
			*d = def
		}
	}
	set(&c.WriteInterval, DefaultWriteInterval)
	set(&c.IdleTime, DefaultIdleTime)
	set(&c.RetryInterval, DefaultRetryInterval)
	set(&c.CallTimeout, DefaultCallTimeout)
	if c.WriteBurst == 0 {
		c.WriteBurst = DefaultWriteBurst
	}
	if c.Log == nil {
		c.Log = logrus.StandardLogger()
	}
	return c
}

// ReclaimError reports that not all entries of a seat could be removed.
type ReclaimError struct {
	Seat  fleet.SeatID
	Cause error
}

func (e *ReclaimError) Error() string {
	return fmt.Sprintf("remove the units of seat %s from the team records: %v", e.Seat, e.Cause)
}

// Unwrap returns the cause.
func (e *ReclaimError) Unwrap() error { return e.Cause }
