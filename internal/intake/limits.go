// Package intake bounds what clients can make a process hold before their input is a request: connections, bytes of
// heads and bodies, header lines, and input without progress. The decisions are pure; conn.go and handler.go apply them
// to the listeners of net/http servers.
package intake

import (
	"fmt"
	"time"

	"golang.org/x/sys/unix"
)

// Limits bound the input of clients over all listeners of a process.
type Limits struct {
	// BufferBytes is the budget for heads and bodies in flight, each counted at what it costs in memory.
	BufferBytes int64 `json:"buffer_bytes"`
	// HeadBytes, HeadLines and EmptyLines bound the head of one request and the empty lines before it. HeadLines 0 is as
	// many as fit.
	HeadBytes  int `json:"head_bytes"`
	HeadLines  int `json:"head_lines"`
	EmptyLines int `json:"empty_lines"`
	// Connections and ConnectionsPerAddress bound the open connections at all listeners.
	Connections           int `json:"connections"`
	ConnectionsPerAddress int `json:"connections_per_address"`
	// BodyIdleMS is the time without progress after which a body is given up.
	BodyIdleMS int64 `json:"body_idle_ms"`
}

const (
	// defaultMemory and defaultDescriptors stand for a machine whose settings name none.
	defaultMemory      = 1 << 30
	defaultDescriptors = 4096
	// bufferFraction leaves three quarters of the memory to the rest of the process and to garbage.
	bufferFraction = 4
	// DefaultHeadBytes is the largest head of the platform's clients.
	DefaultHeadBytes = 16 << 10
	// headSlack is accepted beyond the limit on a head, as net/http does: what counts as its size differs among clients.
	headSlack = 4 << 10
	// minLineBytes is the shortest header line: a name of one byte, a colon and a line feed.
	minLineBytes      = 3
	defaultEmptyLines = 8
	// defaultBodyIdle is the platform's idle time.
	defaultBodyIdle = 15 * time.Second

	minMemory      = 16 << 20
	minDescriptors = 64
	maxDescriptors = 1 << 20
	minHeadBytes   = 1 << 10
	maxHeadBytes   = 1 << 20
	maxBodyIdleMS  = 3_600_000
)

// Descriptors returns the limit on the descriptors of the process, or 0 if it is unknown.
func Descriptors() int {
	var l unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &l) != nil {
		return 0
	}
	return int(min(l.Cur, maxDescriptors))
}

// DefaultLimits derives the limits from the memory and the descriptors of the machine; 0 stands for unknown.
func DefaultLimits(memory int64, descriptors int) Limits {
	if memory <= 0 {
		memory = defaultMemory
	}
	if descriptors <= 0 {
		descriptors = defaultDescriptors
	}
	// The other half of the descriptors is for connections that the process opens itself.
	connections := max(descriptors, minDescriptors) / 2
	return Limits{
		BufferBytes: max(memory, minMemory) / bufferFraction,
		HeadBytes:   DefaultHeadBytes, EmptyLines: defaultEmptyLines,
		// A balancer may hold the connections of all clients, so one address may have most of them.
		Connections: connections, ConnectionsPerAddress: connections * 3 / 4,
		BodyIdleMS: defaultBodyIdle.Milliseconds(),
	}
}

// Override returns l with the values of o that are not 0.
func (l Limits) Override(o Limits) Limits {
	pick(&l.BufferBytes, o.BufferBytes)
	pick(&l.HeadBytes, o.HeadBytes)
	pick(&l.HeadLines, o.HeadLines)
	pick(&l.EmptyLines, o.EmptyLines)
	pick(&l.Connections, o.Connections)
	pick(&l.ConnectionsPerAddress, o.ConnectionsPerAddress)
	pick(&l.BodyIdleMS, o.BodyIdleMS)
	l.ConnectionsPerAddress = min(l.ConnectionsPerAddress, l.Connections)
	return l
}

// ForHead returns the limits for heads of at most n bytes, 0 for HeadBytes. Unless HeadLines is set, the lines refuse no
// head of that size, whatever its form.
func (l Limits) ForHead(n int) Limits {
	pick(&l.HeadBytes, n)
	if l.HeadLines == 0 {
		l.HeadLines = (l.HeadBytes + headSlack) / minLineBytes
	}
	return l
}

func pick[T int | int64](to *T, from T) {
	if from != 0 {
		*to = from
	}
}

// BodyIdle is BodyIdleMS as a duration.
func (l Limits) BodyIdle() time.Duration { return time.Duration(l.BodyIdleMS) * time.Millisecond }

// Finding is a limit out of range; Path is its name in the settings.
type Finding struct{ Path, Value, Allowed string }

// Check returns the values of an override that are out of range; 0 stands for the default.
func (l Limits) Check() []Finding {
	var out []Finding
	check := func(path string, v, low, high int64) {
		if v != 0 && (v < low || v > high) {
			out = append(out, Finding{path, fmt.Sprint(v), fmt.Sprintf("0 for the default, or %d to %d", low, high)})
		}
	}
	check("buffer_bytes", l.BufferBytes, minMemory/bufferFraction, 1<<40)
	check("head_bytes", int64(l.HeadBytes), minHeadBytes, maxHeadBytes)
	check("head_lines", int64(l.HeadLines), 16, maxHeadBytes)
	check("empty_lines", int64(l.EmptyLines), 1, 1<<10)
	check("connections", int64(l.Connections), 16, 1<<20)
	check("connections_per_address", int64(l.ConnectionsPerAddress), 1, 1<<20)
	check("body_idle_ms", l.BodyIdleMS, 1, maxBodyIdleMS)
	if l.Connections != 0 && l.ConnectionsPerAddress > l.Connections {
		out = append(out, Finding{"connections_per_address", fmt.Sprint(l.ConnectionsPerAddress), fmt.Sprintf("at most connections, %d", l.Connections)})
	}
	return out
}
