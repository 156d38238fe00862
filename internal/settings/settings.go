// Package settings reads the settings of a daemon from strict JSON and reports all errors
// in them together.
package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"samphirestile.example/samphirestile/internal/intake"
)

// Settings configures one daemon. Fields with the suffix _ms are in milliseconds.
type Settings struct {
	DaemonID         string `json:"daemon_id"`
	AvailabilityZone string `json:"availability_zone"`
	// ServiceAddress, PeerAddress and OperatorAddress are listen addresses, each an IP
	// address and port.
	ServiceAddress  string `json:"service_address"`
	PeerAddress     string `json:"peer_address"`
	OperatorAddress string `json:"operator_address"`
	// AdvertisePeerAddress is the address at which peers reach this daemon; the default is
	// PeerAddress.
	AdvertisePeerAddress string `json:"advertise_peer_address,omitempty"`
	// CellSecret authenticates the daemons of a cell to each other.
	CellSecret string `json:"cell_secret"`
	// OperatorTokens are the accepted bearer tokens of the operator interface.
	OperatorTokens []string `json:"operator_tokens"`
	// PlatformAddress is the IP address and port of the platform's interface.
	PlatformAddress string `json:"platform_address"`
	// Peers are peer addresses from which the configuration is fetched while the store is
	// unavailable.
	Peers    []string `json:"peers,omitempty"`
	LogLevel string   `json:"log_level,omitempty"`

	// GraceMS is the time between SIGTERM and the handover, in which the load balancer
	// detects that the daemon is not ready.
	GraceMS int64 `json:"grace_ms,omitempty"`
	// StopMS bounds the duration of a planned stop, including the grace time.
	StopMS      int64 `json:"stop_ms,omitempty"`
	LeaseMS     int64 `json:"lease_ms,omitempty"`
	VouchMS     int64 `json:"vouch_ms,omitempty"`
	MarginMS    int64 `json:"margin_ms,omitempty"`
	HeartbeatMS int64 `json:"heartbeat_ms,omitempty"`
	FailureMS   int64 `json:"failure_ms,omitempty"`

	// MemoryMB and FileDescriptors are the limits of the machine; 0 is unknown.
	MemoryMB        int64 `json:"memory_mb,omitempty"`
	FileDescriptors int   `json:"file_descriptors,omitempty"`
	// Intake replaces limits on the input of clients; 0 is the default, which depends on the machine.
	Intake intake.Limits `json:"intake,omitzero"`
}

// Defaults for durations, in milliseconds. The grace time covers two checks of a load
// balancer that probes every 2 s; the stop time covers the grace time and the longest
// default run time of a service.
const (
	defaultGraceMS     = 5_000
	defaultStopMS      = 60_000
	defaultLeaseMS     = 10_000
	defaultVouchMS     = 10_000
	defaultMarginMS    = 2_000
	defaultHeartbeatMS = 1_000
	defaultFailureMS   = 3_000
	maxDurationMS      = 3_600_000
	minSecretLength    = 16
	// maxMemoryMB is 64 TB, and maxFileDescriptors is the largest fs.nr_open of Linux.
	maxMemoryMB        = 64 << 20
	maxFileDescriptors = 1 << 30
)

// Finding describes an invalid value in a settings file.
type Finding struct {
	Path    string
	Value   string
	Allowed string
}

// Error reports all findings in a settings file, or the cause if it cannot be read.
type Error struct {
	File     string
	Findings []Finding
	Cause    error
}

// Error implements error.
func (e *Error) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("settings %s: %v", e.File, e.Cause)
	}
	return FormatFindings(e.File, e.Findings)
}

// FormatFindings returns a message with a line for each finding in a file.
func FormatFindings(file string, findings []Finding) string {
	lines := make([]string, 0, len(findings))
	for _, f := range findings {
		lines = append(lines, fmt.Sprintf("%s: %s is %s; allowed: %s", file, f.Path, f.Value, f.Allowed))
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Load reads and validates a settings file.
func Load(file string) (*Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, &Error{File: file, Cause: err}
	}
	return Parse(file, data)
}

// Parse decodes and validates settings; file is only used in errors.
func Parse(file string, data []byte) (*Settings, error) {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	var s Settings
	if err := dec.Decode(&s); err != nil {
		return nil, &Error{File: file, Cause: decodeError(data, err)}
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return nil, &Error{File: file, Cause: &TrailingDataError{Offset: dec.InputOffset()}}
	}
	s.setDefaults()
	if findings := s.check(); len(findings) > 0 {
		return nil, &Error{File: file, Findings: findings}
	}
	return &s, nil
}

// TrailingDataError reports data after the settings object.
type TrailingDataError struct{ Offset int64 }

func (e *TrailingDataError) Error() string {
	return fmt.Sprintf("data after the settings object at byte %d", e.Offset)
}

// SyntaxError reports a JSON decoding error with its line number.
type SyntaxError struct {
	Line  int
	Cause error
}

func (e *SyntaxError) Error() string { return fmt.Sprintf("line %d: %v", e.Line, e.Cause) }

// Unwrap returns the cause.
func (e *SyntaxError) Unwrap() error { return e.Cause }

func decodeError(data []byte, err error) error {
	var offset int64
	var syntaxErr *json.SyntaxError
	var typeErr *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntaxErr):
		offset = syntaxErr.Offset
	case errors.As(err, &typeErr):
		offset = typeErr.Offset
	default:
		return err
	}
	line := 1 + bytes.Count(data[:min(offset, int64(len(data)))], []byte("\n"))
	return &SyntaxError{Line: line, Cause: err}
}

func (s *Settings) setDefaults() {
	for _, d := range s.durations() {
		if *d.value == 0 {
			*d.value = d.defaultValue
		}
	}
	if s.AdvertisePeerAddress == "" {
		s.AdvertisePeerAddress = s.PeerAddress
	}
	if s.LogLevel == "" {
		s.LogLevel = logrus.InfoLevel.String()
	}
}

type durationField struct {
	path         string
	value        *int64
	defaultValue int64
}

func (s *Settings) durations() []durationField {
	return []durationField{
		{"grace_ms", &s.GraceMS, defaultGraceMS},
		{"stop_ms", &s.StopMS, defaultStopMS},
		{"lease_ms", &s.LeaseMS, defaultLeaseMS},
		{"vouch_ms", &s.VouchMS, defaultVouchMS},
		{"margin_ms", &s.MarginMS, defaultMarginMS},
		{"heartbeat_ms", &s.HeartbeatMS, defaultHeartbeatMS},
		{"failure_ms", &s.FailureMS, defaultFailureMS},
	}
}

func (s *Settings) check() []Finding {
	var findings []Finding
	add := func(path, value, allowed string) {
		findings = append(findings, Finding{Path: path, Value: value, Allowed: allowed})
	}
	if s.DaemonID == "" {
		add("daemon_id", `""`, "a name that is unique in the cell")
	}
	if s.AvailabilityZone == "" {
		add("availability_zone", `""`, "the name of the availability zone")
	}
	findings = append(findings, s.checkAddresses()...)
	if len(s.CellSecret) < minSecretLength {
		add("cell_secret", fmt.Sprintf("%d bytes long", len(s.CellSecret)), fmt.Sprintf("at least %d bytes", minSecretLength))
	}
	if len(s.OperatorTokens) == 0 {
		add("operator_tokens", "[]", "at least one token")
	}
	for i, t := range s.OperatorTokens {
		if len(t) < minSecretLength {
			add(fmt.Sprintf("operator_tokens[%d]", i), fmt.Sprintf("%d bytes long", len(t)), fmt.Sprintf("at least %d bytes", minSecretLength))
		}
	}
	if _, err := logrus.ParseLevel(s.LogLevel); err != nil {
		add("log_level", fmt.Sprintf("%q", s.LogLevel), "debug, info, warning or error")
	}
	for _, d := range s.durations() {
		if *d.value < 0 || *d.value > maxDurationMS {
			add(d.path, fmt.Sprint(*d.value), fmt.Sprintf("1 to %d ms", maxDurationMS))
		}
	}
	if s.MemoryMB < 0 || s.MemoryMB > maxMemoryMB {
		add("memory_mb", fmt.Sprint(s.MemoryMB), fmt.Sprintf("0 to %d", maxMemoryMB))
	}
	if s.FileDescriptors < 0 || s.FileDescriptors > maxFileDescriptors {
		add("file_descriptors", fmt.Sprint(s.FileDescriptors), fmt.Sprintf("0 to %d", maxFileDescriptors))
	}
	for _, f := range s.Intake.Check() {
		add("intake."+f.Path, f.Value, f.Allowed)
	}
	if s.HeartbeatMS >= s.VouchMS {
		add("heartbeat_ms", fmt.Sprint(s.HeartbeatMS), "less than vouch_ms, because otherwise vouches expire before the next heartbeat")
	}
	return findings
}

func (s *Settings) checkAddresses() []Finding {
	var findings []Finding
	used := map[string]string{}
	check := func(path, address string, listens bool) {
		a, err := netip.ParseAddrPort(address)
		if err != nil || a.Port() == 0 {
			findings = append(findings, Finding{Path: path, Value: fmt.Sprintf("%q", address), Allowed: "an IP address and a port other than 0"})
			return
		}
		if !listens {
			return
		}
		if other, ok := used[a.String()]; ok {
			findings = append(findings, Finding{Path: path, Value: fmt.Sprintf("%q", address), Allowed: "an address other than " + other})
		}
		used[a.String()] = path
	}
	check("service_address", s.ServiceAddress, true)
	check("peer_address", s.PeerAddress, true)
	check("operator_address", s.OperatorAddress, true)
	check("advertise_peer_address", s.AdvertisePeerAddress, false)
	check("platform_address", s.PlatformAddress, false)
	for i, p := range s.Peers {
		check(fmt.Sprintf("peers[%d]", i), p, false)
	}
	return findings
}

// Duration converts a duration in milliseconds to a time.Duration.
func Duration(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }
