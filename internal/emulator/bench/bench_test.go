package bench

import (
	"bytes"
	"strings"
	"testing"
)

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
