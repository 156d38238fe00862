package bench

import (
	"bytes"
	"strings"
	"testing"
)

// Guards against a revert that is not counted, and a daemon that does not respond being
// counted as a revert.
func TestRevertsAreCounted(t *testing.T) {
	tracker := &revisionTracker{latest: make([]int64, 2)}
	tracker.observe(0, 5)
	tracker.observe(0, 0)
	tracker.observe(0, 6)
	tracker.observe(1, 5)
	tracker.observe(1, 0)
	if tracker.revertCount() != 0 {
		t.Errorf("%d reverts counted before the first one, want 0", tracker.revertCount())
	}
	tracker.observe(0, 5)
	if tracker.revertCount() != 1 {
		t.Errorf("%d reverts counted, want 1", tracker.revertCount())
	}
}

// Guards against a missed target that is not reported, and a met one that is reported.
func TestMissedTargetsAreReported(t *testing.T) {
	var out, diagnostics bytes.Buffer
	err := report([]Metric{
		{"limit.overshoot_max", 1, "requests"}, {"burst.busy_percent", 94, "percent"},
		{"share.error_max_percent", 4, "percent"}, {"path.requests_per_core_second", 1, "requests/s"},
	}, &out, &diagnostics)
	if err != nil || strings.Count(out.String(), "\n") != 4 {
		t.Errorf("report: %v; want four lines in the output:\n%s", err, &out)
	}
	if n := diagnostics.String(); strings.Count(n, "missed") != 2 || !strings.Contains(n, "limit.overshoot_max") || !strings.Contains(n, "burst.busy_percent") {
		t.Errorf("diagnostics %q, want one line each for limit.overshoot_max and burst.busy_percent", n)
	}
}
