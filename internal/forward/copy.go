package forward

import (
	"io"
	"net/http"
	"sync"
	"time"

	"samphirestile.example/samphirestile/internal/upstream"
)

const copyBufferBytes = 32 << 10

var copyBuffers = sync.Pool{New: func() any { b := make([]byte, copyBufferBytes); return &b }}

// CopyResponse sends the response to w. An error after the header means that the caller
// must abort the connection, so that the client sees a truncated response. writeTimeout
// limits the duration of a single write.
func CopyResponse(w http.ResponseWriter, resp *upstream.Response, writeTimeout time.Duration) (int64, error) {
	h := w.Header()
	for name, values := range resp.Header {
		h[name] = values
	}
	if _, ok := h["Content-Type"]; !ok {
		// A nil value disables content sniffing in net/http.
		h["Content-Type"] = nil
	}
	for _, name := range resp.TrailerNames {
		h.Add("Trailer", name)
	}
	rc := http.NewResponseController(w)
	w.WriteHeader(resp.Status)
	if resp.Length < 0 {
		if err := rc.Flush(); err != nil {
			return 0, err
		}
	}
	n, err := copyBody(w, rc, resp, writeTimeout)
	if err != nil {
		return n, err
	}
	for name, values := range resp.Trailer() {
		h[name] = values
	}
	return n, nil
}

func copyBody(w io.Writer, rc *http.ResponseController, resp *upstream.Response, writeTimeout time.Duration) (int64, error) {
	buf := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buf)
	var total int64
	for {
		n, readErr := resp.Read(*buf)
		if n > 0 {
			if err := rc.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
				return total, err
			}
			m, err := w.Write((*buf)[:n])
			total += int64(m)
			if err != nil {
				return total, err
			}
			// net/http flushes the last bytes when the handler returns.
			if resp.Length < 0 || total < resp.Length {
				if err := rc.Flush(); err != nil {
					return total, err
				}
			}
		}
		if readErr == io.EOF {
			return total, nil
		}
		if readErr != nil {
			return total, readErr
		}
	}
}
