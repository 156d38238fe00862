package cli

import "testing"

// Guards against settings that are accepted although they are out of range.
func FuzzReadSettings(f *testing.F) {
	f.Add([]byte(`{"server": "192.0.2.1:1", "token": "t", "operator": "o", "timeout_ms": 100}`))
	f.Add([]byte(`{"timeout_ms": 99999999999} {}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := readSettings(data)
		if err == nil && (s.TimeoutMS < 0 || s.TimeoutMS > 3_600_000) {
			t.Fatalf("timeout of %d ms accepted", s.TimeoutMS)
		}
	})
}
