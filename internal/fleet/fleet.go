// Package fleet defines the domain types that the other packages share.
package fleet

import "time"

// TeamID identifies a team; it is unique in the cell.
type TeamID string

// ServiceID identifies a service; it is the first element of a request path.
type ServiceID string

// EndpointID identifies an endpoint; it is unique in the cell.
type EndpointID string

// HostID identifies a host of the platform.
type HostID string

// AvailabilityZone identifies a failure domain that contains racks.
type AvailabilityZone string

// SeatID identifies a seat, the recorded membership of a daemon in the cell.
type SeatID string

// HostState is the state of a host in the platform's host list.
type HostState string

// Values of HostState.
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
	// Address is an IP address and port.
	Address string `json:"address"`
	// Slots is the declared number of requests that the endpoint serves concurrently.
	Slots int `json:"slots"`
	// Connections limits the open connections to the endpoint.
	Connections int `json:"connections"`
	// Leaving is set while an operator or the platform retires the endpoint.
	Leaving bool `json:"leaving,omitempty"`
}

// Service is a set of endpoints that serve the same requests.
type Service struct {
	ID ServiceID `json:"id"`
	// Open services accept requests without a key on behalf of OpenTeam.
	Open     bool   `json:"open,omitempty"`
	OpenTeam TeamID `json:"open_team,omitempty"`
	// MaxRunTime limits one exchange with an endpoint.
	MaxRunTime time.Duration `json:"max_run_time"`
	// MaxWait limits the time in the queue if the caller sets no deadline.
	MaxWait time.Duration `json:"max_wait"`
	// MaxBodyBytes limits a request body; 0 means no limit.
	MaxBodyBytes int64 `json:"max_body_bytes,omitempty"`
}

// Team is a set of callers that share keys, a weight and an upper limit.
type Team struct {
	ID      TeamID `json:"id"`
	Account string `json:"client_account"`
	// Weight is the team's share, relative to other teams, when the fleet is at capacity.
	Weight float64 `json:"weight"`
	// Limit is the maximum number of requests that the team may have running in the cell.
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
