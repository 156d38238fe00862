// Package logging writes JSON log lines without blocking the caller and limits their rate.
package logging

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// queueLines is the maximum number of lines that wait for the output.
	queueLines = 2048
	// DefaultLinesPerSecond limits the log rate of one process. A daemon that owns several busy shards
	// starts about 400 runs per second, with two lines each.
	DefaultLinesPerSecond = 2000
	rateWindow            = time.Second
	closeTimeout          = 500 * time.Millisecond
)

// Writer writes lines in the background. It drops lines that exceed the rate limit or do not
// fit into the queue.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}

	mu              sync.Mutex
	linesPerSecond  int
	windowStart     time.Time
	writtenInWindow int
	closed          bool
}

// NewWriter returns a writer that writes at most linesPerSecond lines per second to out.
func NewWriter(out io.Writer, linesPerSecond int) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, queueLines), done: make(chan struct{}), linesPerSecond: linesPerSecond}
	go w.run()
	return w
}

// Write implements io.Writer; it never blocks and always reports success.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if now := time.Now(); now.Sub(w.windowStart) >= rateWindow {
		w.windowStart, w.writtenInWindow = now, 0
	}
	if w.closed || w.writtenInWindow >= w.linesPerSecond {
		w.dropped.Add(1)
		return len(line), nil
	}
	w.writtenInWindow++
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped so far.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

func (w *Writer) run() {
	defer close(w.done)
	var reported int64
	for line := range w.lines {
		if n := w.dropped.Load(); n != reported {
			fmt.Fprintf(w.out, "{\"level\":\"warning\",\"msg\":\"log lines dropped\",\"total\":%d}\n", n) //nolint:errcheck // nowhere to report it
			reported = n
		}
		_, _ = w.out.Write(line) // a failing log output must not stop the service
	}
}

// Close writes the queued lines and returns after at most closeTimeout.
func (w *Writer) Close() {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.lines)
	}
	w.mu.Unlock()
	select {
	case <-w.done:
	case <-time.After(closeTimeout):
	}
}

// New returns a logger that writes JSON lines to w.
func New(w io.Writer, level logrus.Level) *logrus.Logger {
	log := logrus.New()
	log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: "2006-01-02T15:04:05.000Z07:00"})
	log.SetOutput(w)
	log.SetLevel(level)
	return log
}
