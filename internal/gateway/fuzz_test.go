package gateway

import (
	"bufio"
	"bytes"
	"net/http"
	"testing"
)

func FuzzAmbiguousFraming(f *testing.F) {
	f.Add([]byte("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n"))
	f.Add([]byte("POST / HTTP/1.1\nHost: x\ncontent-length :5\nTRANSFER-ENCODING:chunked\n\n"))
	f.Fuzz(func(t *testing.T, head []byte) {
		r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(head)))
		if err != nil || len(r.TransferEncoding) == 0 {
			return
		}
		// A request that net/http accepts as chunked must not have an undetected Content-Length.
		end := bytes.Index(head, []byte("\n\n"))
		if e := bytes.Index(head, []byte("\n\r\n")); end < 0 || e >= 0 && e < end {
			end = e
		}
		if bytes.Contains(bytes.ToLower(head[:max(end, 0)]), []byte("\ncontent-length:")) && !ambiguousFraming(head) {
			t.Fatalf("ambiguous framing not detected in %q", head)
		}
	})
}

func FuzzStatusOf(f *testing.F) {
	f.Add([]byte("HTTP/1.1 431 Request Header Fields Too Large\r\n"))
	f.Fuzz(func(t *testing.T, p []byte) {
		if s := statusOf(p); s < 400 || s > 599 {
			t.Fatalf("status %d of %q", s, p)
		}
	})
}

func FuzzReadDirectives(f *testing.F) {
	f.Add("POST", "true", "urgent", "100", "key")
	f.Fuzz(func(t *testing.T, method, idempotent, priority, deadline, key string) {
		h := http.Header{"Samphirestile-Idempotent": {idempotent}, "Samphirestile-Priority": {priority}, "Samphirestile-Deadline-Ms": {deadline}, "Idempotency-Key": {key}}
		d, p := readDirectives(&http.Request{Method: method, Header: h})
		if p == nil && (d.wait <= 0 || d.wait > maxDeadline || d.idempotent != (idempotent == "true") || d.key == "" || !d.urgent) {
			t.Fatalf("%v gave %+v", h, d)
		}
	})
}
