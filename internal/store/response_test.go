package store

import (
	"errors"
	"testing"
)

// Guards against a response that is interpreted as a failure without effect although its
// fault code does not match its status.
func FuzzDecodeResponse(f *testing.F) {
	f.Add(200, []byte(`{"version":3}`))
	f.Add(409, []byte(`{"code":"conflict","current":3}`))
	f.Add(503, []byte(`{"code":"unavailable"} `))
	f.Fuzz(func(t *testing.T, status int, body []byte) {
		var reply VersionReply
		err := (&response{status: status, body: body}).decode(&reply)
		var fault *faultError
		if errors.As(err, &fault) && (faultStatus[status] == "" || faultStatus[status] != fault.fault.Code) {
			t.Fatalf("status %d with code %q interpreted as without effect", status, fault.fault.Code)
		}
		if err == nil && status != 200 {
			t.Fatalf("status %d interpreted as success", status)
		}
	})
}
