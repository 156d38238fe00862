package worker

import (
	"fmt"
	"net/netip"
	"strings"
)

const (
	// MaxResource bounds each dimension of a worker's capacity and of a task's need: a million
	// cores, or a petabyte. The sums over all workers and tasks of a deployment stay within int64.
	MaxResource = 1_000_000_000
	// maxNameBytes bounds IDs, services, zones and labels, which are parts of keys of the store.
	maxNameBytes = 256
	maxLabels    = 64
	// shownBytes is how much of an invalid value an error shows.
	shownBytes = 64
)

// InvalidError reports an entry that describes no usable worker.
type InvalidError struct{ Reason string }

func (e *InvalidError) Error() string { return "invalid worker: " + e.Reason }

func invalid(format string, args ...any) error { return &InvalidError{fmt.Sprintf(format, args...)} }

// shorten returns the start of a value for an error message.
func shorten(s string) string { return s[:min(len(s), shownBytes)] }

// Validate returns an *InvalidError for a worker that must not be used: a name that cannot be part
// of a key or of a request header, an address that is not an IP address with a port, or a capacity
// outside of 0 to MaxResource.
func (w Worker) Validate() error {
	switch {
	case !validName(string(w.ID)) || strings.HasPrefix(string(w.ID), "/"):
		// Keys with a slash in place of an ID are used by other records, for example the heartbeat of
		// the digest.
		return invalid("ID %q", shorten(string(w.ID)))
	case !validName(string(w.Service)):
		return invalid("service %q", shorten(string(w.Service)))
	case len(w.AvailabilityZone) > maxNameBytes:
		return invalid("availability zone of %d bytes", len(w.AvailabilityZone))
	case len(w.Labels) > maxLabels:
		return invalid("%d labels", len(w.Labels))
	case !w.Capacity.InRange():
		return invalid("capacity %+v", w.Capacity)
	}
	for _, l := range w.Labels {
		if len(l) > maxNameBytes {
			return invalid("label of %d bytes", len(l))
		}
	}
	return validateAddress(w.Address)
}

// validName reports whether a name is short and has neither spaces nor control characters.
func validName(name string) bool {
	if name == "" || len(name) > maxNameBytes {
		return false
	}
	return !strings.ContainsFunc(name, func(r rune) bool { return r <= ' ' || r == 0x7f })
}

// validateAddress accepts only IP addresses: a name would be resolved for each connection, and
// any other text would change the URL of the commands.
func validateAddress(address string) error {
	a, err := netip.ParseAddrPort(address)
	if err != nil || a.Port() == 0 || a.Addr().Zone() != "" || a.Addr().IsUnspecified() || a.Addr().IsMulticast() {
		return invalid("address %q", shorten(address))
	}
	return nil
}

// InRange reports whether each dimension is 0 to MaxResource.
func (r Resources) InRange() bool {
	for _, n := range [...]int64{r.CPU, r.MemMB, r.GPU} {
		if n < 0 || n > MaxResource {
			return false
		}
	}
	return true
}

// Limited returns r with each dimension limited to 0 to MaxResource.
func (r Resources) Limited() Resources {
	limit := func(n int64) int64 { return min(max(n, 0), MaxResource) }
	return Resources{limit(r.CPU), limit(r.MemMB), limit(r.GPU)}
}
