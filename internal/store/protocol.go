package store

import (
	"fmt"

	"samphirestile.example/samphirestile/internal/fleet"
)

// The platform protocol. Every call is a POST with a JSON body; keys and values are
// base64-encoded, so they may contain any byte.
//
//	path             request       response
//	/v1/kv/get       GetRequest    KVRecord
//	/v1/kv/list      ListRequest   ListReply
//	/v1/kv/put       PutRequest    VersionReply
//	/v1/kv/delete    DeleteRequest VersionReply
//	/v1/kv/watch     WatchRequest  WatchReply
//	/v1/lease/grant  GrantRequest  GrantReply
//	/v1/lease/renew  RenewRequest  Empty
//	/v1/hosts/list   Empty         HostsReply, with an ETag; If-None-Match gives 304
//	/v1/hosts/drain  HostRequest   Empty
//	/v1/hosts/reboot HostRequest   Empty
//
// A failed call returns a Fault: calls with 404 not_found, 409 conflict, 410 compacted,
// 400 bad_request, 413 too_large or 503 unavailable were not applied. The outcome of a
// write with any other status is unknown.
const (
	PathGet    = "/v1/kv/get"
	PathList   = "/v1/kv/list"
	PathPut    = "/v1/kv/put"
	PathDelete = "/v1/kv/delete"
	PathWatch  = "/v1/kv/watch"
	PathGrant  = "/v1/lease/grant"
	PathRenew  = "/v1/lease/renew"
	PathHosts  = "/v1/hosts/list"
	PathDrain  = "/v1/hosts/drain"
	PathReboot = "/v1/hosts/reboot"
)

// Limits of the platform, in bytes.
const (
	MaxValueBytes = 1 << 20
	MaxKeyBytes   = 8 << 10
)

// Codes of a Fault.
const (
	FaultNotFound    = "not_found"
	FaultConflict    = "conflict"
	FaultCompacted   = "compacted"
	FaultBadRequest  = "bad_request"
	FaultTooLarge    = "too_large"
	FaultUnavailable = "unavailable"
)

// Empty is a message without content.
type Empty struct{}

// KVRecord is a record with the revision of its last write.
type KVRecord struct {
	Key     []byte `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"version"`
	Deleted bool   `json:"deleted,omitempty"`
}

// GetRequest reads one record.
type GetRequest struct {
	Key []byte `json:"key"`
}

// ListRequest reads all records with a prefix.
type ListRequest struct {
	Prefix []byte `json:"prefix"`
}

// ListReply holds the records in key order and the revision at which they were read.
type ListReply struct {
	Records  []KVRecord `json:"records"`
	Revision uint64     `json:"revision"`
}

// PutRequest writes a value if the key's version is Expect; 0 means that the key must
// not exist.
type PutRequest struct {
	Key    []byte `json:"key"`
	Value  []byte `json:"value"`
	Expect uint64 `json:"expect"`
	Lease  uint64 `json:"lease,omitempty"`
}

// DeleteRequest deletes a key if its version is Expect.
type DeleteRequest struct {
	Key    []byte `json:"key"`
	Expect uint64 `json:"expect"`
}

// VersionReply holds the revision of an applied write.
type VersionReply struct {
	Version uint64 `json:"version"`
}

// WatchRequest waits up to WaitMS milliseconds for changes after a revision.
type WatchRequest struct {
	Prefix []byte `json:"prefix"`
	After  uint64 `json:"after"`
	WaitMS int64  `json:"wait_ms"`
}

// WatchReply holds the changes in order and the revision to continue from.
type WatchReply struct {
	Events   []KVRecord `json:"events"`
	Revision uint64     `json:"revision"`
}

// GrantRequest creates a lease of TTLMS milliseconds.
type GrantRequest struct {
	TTLMS int64 `json:"ttl_ms"`
}

// GrantReply holds the ID of a new lease.
type GrantReply struct {
	Lease uint64 `json:"lease"`
}

// RenewRequest renews a lease.
type RenewRequest struct {
	Lease uint64 `json:"lease"`
}

// HostsReply is the platform's list of hosts.
type HostsReply struct {
	Hosts []fleet.Host `json:"hosts"`
}

// HostRequest names the host of a command.
type HostRequest struct {
	Host fleet.HostID `json:"host"`
}

// Fault is the body of a failed call.
type Fault struct {
	Code    string `json:"code"`
	Detail  string `json:"detail,omitempty"`
	Current uint64 `json:"current,omitempty"`
}

// TooLargeError reports a key or value above the platform's limit; nothing was sent.
type TooLargeError struct {
	Key   string
	Field string
	Bytes int
	Limit int
}

func (e *TooLargeError) Error() string {
	return fmt.Sprintf("store: %s of %.64q has %d bytes, the limit is %d", e.Field, e.Key, e.Bytes, e.Limit)
}

// RejectedError reports a call that the platform rejected as malformed; it had no effect.
type RejectedError struct {
	Status int
	Code   string
	Detail string
}

func (e *RejectedError) Error() string {
	return fmt.Sprintf("store: call rejected with status %d %s: %s", e.Status, e.Code, e.Detail)
}

// ResponseError reports a response that violates the protocol.
type ResponseError struct {
	Status int
	Cause  error
}

func (e *ResponseError) Error() string {
	return fmt.Sprintf("store: malformed response with status %d: %v", e.Status, e.Cause)
}

// Unwrap returns the cause.
func (e *ResponseError) Unwrap() error { return e.Cause }

// StatusError reports a response with a status that the protocol does not define.
type StatusError struct{ Status int }

func (e *StatusError) Error() string { return fmt.Sprintf("store: unexpected status %d", e.Status) }
