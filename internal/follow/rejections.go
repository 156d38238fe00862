package follow

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"samphirestile.example/samphirestile/internal/monotonic"
)

const (
	// rejectionWindow is the time in which one record is reported at most once. Records are
	// read again every other second, and other writers may rewrite theirs as often.
	rejectionWindow = 10 * time.Minute
	// maxRejections is the number of records that are reported in one window.
	maxRejections = 20
	// maxRejectionBytes bounds the key and the error of a report.
	maxRejectionBytes = 300
)

// Rejections logs the records that cannot be used, with a bounded number of lines however many
// there are and however often they are read. Its methods may be called concurrently.
type Rejections struct {
	log logrus.FieldLogger

	mu       sync.Mutex
	began    monotonic.Time
	reported map[string]bool
	// full is set once the window has no room for further records.
	full bool
}

// NewRejections returns an empty Rejections.
func NewRejections(log logrus.FieldLogger) *Rejections { return &Rejections{log: log} }

// Report logs that the record of a key is not used.
func (r *Rejections) Report(key string, cause error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now := monotonic.Now(); r.reported == nil || now.Sub(r.began) > rejectionWindow {
		r.began, r.reported, r.full = now, map[string]bool{}, false
	}
	key = key[:min(len(key), maxRejectionBytes)]
	if r.reported[key] {
		return
	}
	if len(r.reported) >= maxRejections {
		if !r.full {
			r.full = true
			r.log.WithField("key", key).Warn("too many invalid records; no further ones are logged for a while")
		}
		return
	}
	r.reported[key] = true
	message := cause.Error()
	r.log.WithFields(logrus.Fields{"key": key, logrus.ErrorKey: message[:min(len(message), maxRejectionBytes)]}).Warn("invalid record is not used")
}
