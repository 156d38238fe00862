package store

import (
	"errors"
	"testing"
)

// Guards against an answer that is taken for "not applied" without the code that
// says so.
func FuzzAnswer(f *testing.F) {
	f.Add(200, []byte(`{"version":3}`))
	f.Add(409, []byte(`{"code":"conflict","current":3}`))
	f.Add(503, []byte(`{"code":"unavailable"} `))
	f.Fuzz(func(t *testing.T, status int, body []byte) {
		var reply VersionReply
		err := (&response{status: status, body: body}).decode(&reply)
		var fault *faultError
		if errors.As(err, &fault) && (faultStatus[status] == "" || faultStatus[status] != fault.fault.Code) {
			t.Fatalf("status %d with code %q taken as without effect", status, fault.fault.Code)
		}
		if err == nil && status != 200 {
			t.Fatalf("status %d taken as success", status)
		}
	})
}
