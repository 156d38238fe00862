package process

import (
	"encoding/json"
	"fmt"

	"samphirestile.example/samphirestile/internal/emulator/endpoint"
)

// Timing holds the durations in the daemon's settings, in milliseconds.
type Timing struct {
	GraceMS     int `json:"grace_ms,omitempty"`
	LeaseMS     int `json:"lease_ms,omitempty"`
	VouchMS     int `json:"vouch_ms,omitempty"`
	MarginMS    int `json:"margin_ms,omitempty"`
	HeartbeatMS int `json:"heartbeat_ms,omitempty"`
	FailureMS   int `json:"failure_ms,omitempty"`
}

// ShortTiming returns one fifth of the durations in docs/design.md, so that a test that
// waits for a reclaim takes only seconds.
func ShortTiming() Timing {
	return Timing{GraceMS: 300, LeaseMS: 2000, VouchMS: 2000, MarginMS: 400, HeartbeatMS: 200, FailureMS: 600}
}

// settings is the content of a daemon's settings file.
type settings struct {
	DaemonID             string   `json:"daemon_id"`
	AvailabilityZone     string   `json:"availability_zone"`
	ServiceAddress       string   `json:"service_address"`
	PeerAddress          string   `json:"peer_address"`
	AdvertisePeerAddress string   `json:"advertise_peer_address"`
	OperatorAddress      string   `json:"operator_address"`
	CellSecret           string   `json:"cell_secret"`
	OperatorTokens       []string `json:"operator_tokens"`
	PlatformAddress      string   `json:"platform_address"`
	Peers                []string `json:"peers"`
	LogLevel             string   `json:"log_level"`
	MemoryMB             int      `json:"memory_mb,omitempty"`
	FileDescriptors      int      `json:"file_descriptors,omitempty"`
	Timing
}

// Service describes one service and its endpoints.
type Service struct {
	ID string
	// Endpoints is the number of endpoint processes.
	Endpoints int
	// Slots is the number of slots that is configured for each endpoint.
	Slots int
	// Connections is the number of connections that is configured for each endpoint.
	Connections  int
	MaxRunTimeMS int
	MaxWaitMS    int
	MaxBodyBytes int64
	// OpenTeam makes the service open to callers without a key, on behalf of this team.
	OpenTeam string
	// Behaviour holds the emulator settings of the endpoints.
	Behaviour endpoint.Settings
}

// Team describes one team.
type Team struct {
	ID      string
	Account string
	Weight  float64
	Limit   int
}

// Defaults of Service fields; slots and connections are those of docs/design.md.
const (
	defaultSlots        = 8
	defaultConnections  = 64
	defaultMaxRunTimeMS = 2000
	defaultMaxWaitMS    = 1000
)

func (s Service) withDefaults() Service {
	s.Slots = orDefault(s.Slots, defaultSlots)
	s.Connections = orDefault(s.Connections, defaultConnections)
	s.MaxRunTimeMS = orDefault(s.MaxRunTimeMS, defaultMaxRunTimeMS)
	s.MaxWaitMS = orDefault(s.MaxWaitMS, defaultMaxWaitMS)
	return s
}

func orDefault(n, d int) int {
	if n == 0 {
		return d
	}
	return n
}

// EncodingError reports a value that cannot be encoded as JSON.
type EncodingError struct {
	What  string
	Cause error
}

func (e *EncodingError) Error() string { return fmt.Sprintf("encode %s: %v", e.What, e.Cause) }

// Unwrap returns the cause.
func (e *EncodingError) Unwrap() error { return e.Cause }

func encode(what string, v any) ([]byte, error) {
	raw, err := json.Marshal(v)
	if err != nil {
		return nil, &EncodingError{What: what, Cause: err}
	}
	return raw, nil
}
