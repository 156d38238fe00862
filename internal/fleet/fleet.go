// Package fleet holds the domain types that the other packages share.
package fleet

import "time"

// TeamID names a team; it is unique in the cell.
type TeamID string

// ServiceID names a service; it is the first element of a request path.
type ServiceID string

// EndpointID names an endpoint; it is unique in the cell.
type EndpointID string

// HostID names a host of the platform.
type HostID string

// AvailabilityZone names a failure domain that holds racks.
type AvailabilityZone string

// SeatID names a recorded membership of the cell.
type SeatID string

// HostState is what the platform's host list says about a host.
type HostState string

// States of a host in the platform's list.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
	HostGone    HostState = "gone"
)

// Host is a worker machine of the platform.
type Host struct {
	ID    HostID           `json:"id"`
	Zone  AvailabilityZone `json:"availability_zone"`
	Rack  string           `json:"rack"`
	State HostState        `json:"state"`
}

// Endpoint is one instance of a service on a host.
type Endpoint struct {
	ID      EndpointID `json:"id"`
	Service ServiceID  `json:"service"`
	Host    HostID     `json:"host,omitempty"`
	// Address is an IP number and port.
	Address string `json:"address"`
	// Slots is the declared number of requests the endpoint serves at once.
	Slots int `json:"slots"`
	// Connections bounds the open connections to the endpoint.
	Connections int `json:"connections"`
	// Leaving is set when an operator or the platform retires the endpoint.
	Leaving bool `json:"leaving,omitempty"`
}

// Service is a set of endpoints that answer the same requests.
type Service struct {
	ID ServiceID `json:"id"`
	// Open services take requests without a key, on behalf of OpenTeam.
	Open     bool   `json:"open,omitempty"`
	OpenTeam TeamID `json:"open_team,omitempty"`
	// MaxRunTime bounds one exchange with an endpoint.
	MaxRunTime time.Duration `json:"max_run_time"`
	// MaxWait bounds the time in the queue when the caller names no deadline.
	MaxWait time.Duration `json:"max_wait"`
	// MaxBodyBytes bounds a request body; 0 means no bound.
	MaxBodyBytes int64 `json:"max_body_bytes,omitempty"`
}

// Team is a set of callers that share keys, a weight and an upper limit.
type Team struct {
	ID      TeamID `json:"id"`
	Account string `json:"client_account"`
	// Weight is the team's share when the fleet is full; it is relative to other teams.
	Weight float64 `json:"weight"`
	// Limit is the largest number of requests the team may have running in the cell.
	Limit int `json:"limit"`
}

// Key is the stored form of a team's credential.
type Key struct {
	ID   string `json:"id"`
	Team TeamID `json:"team"`
	// Hash is the hex SHA-256 of the secret part.
	Hash    string `json:"hash"`
	Revoked bool   `json:"revoked,omitempty"`
}
