package bench

import (
	"bytes"
	"strings"
	"testing"
)

// Guards against a revert that is not counted, and a daemon without an answer that is taken for one.
func TestRevertsAreCounted(t *testing.T) {
	f := &revisions{shown: make([]int64, 2)}
	f.note(0, 5)
	f.note(0, 0)
	f.note(0, 6)
	f.note(1, 5)
	f.note(1, 0)
	if f.reverted() != 0 {
		t.Errorf("%d reverts without one", f.reverted())
	}
	f.note(0, 5)
	if f.reverted() != 1 {
		t.Errorf("%d reverts, want 1", f.reverted())
	}
}

// Guards against a missed target that is not reported, and a met one that is.
func TestMissedTargetsAreReported(t *testing.T) {
	var out, notes bytes.Buffer
	err := report([]Metric{
		{"limit.overshoot_max", 1, "requests"}, {"burst.busy_percent", 94, "percent"},
		{"share.error_max_percent", 4, "percent"}, {"path.requests_per_core_second", 1, "requests/s"},
	}, &out, &notes)
	if err != nil || strings.Count(out.String(), "\n") != 4 {
		t.Errorf("%v\n%s", err, &out)
	}
	if n := notes.String(); strings.Count(n, "missed") != 2 || !strings.Contains(n, "limit.overshoot_max") || !strings.Contains(n, "burst.busy_percent") {
		t.Errorf("notes %q", n)
	}
}
