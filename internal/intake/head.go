package intake

// Reason is why input is refused; it is a tag of the metrics.
type Reason string

// Reasons of refusals.
const (
	ReasonHeadBytes   Reason = "head_bytes"
	ReasonHeadLines   Reason = "head_lines"
	ReasonEmptyLines  Reason = "empty_lines"
	ReasonBuffer      Reason = "buffer"
	ReasonShed        Reason = "shed"
	ReasonConnections Reason = "connections"
	ReasonAddress     Reason = "connections_per_address"
	ReasonBodyIdle    Reason = "body_idle"
)

// HeadScanner counts the bytes and lines of a request head as it arrives. It keeps none of them.
type HeadScanner struct {
	bytes, lines, empty, lineBytes int
	done                           bool
}

// Reset prepares for the next head.
func (s *HeadScanner) Reset() { *s = HeadScanner{} }

// Scan takes the next bytes of the connection. Bytes after the end of the head are ignored. It returns how many bytes
// and lines belong to the head, and the reason if a limit is exceeded.
func (s *HeadScanner) Scan(p []byte, l Limits) (headBytes, headLines int, refused Reason) {
	beforeBytes, beforeLines := s.bytes, s.lines
	for _, c := range p {
		if s.done {
			break
		}
		s.bytes++
		switch {
		case c == '\n' && s.lineBytes == 0:
			if s.lines > 0 {
				s.done = true
				break
			}
			s.empty++
			if s.empty > l.EmptyLines {
				return s.bytes - beforeBytes, s.lines - beforeLines, ReasonEmptyLines
			}
		case c == '\n':
			s.lines++
			s.lineBytes = 0
			// The request line is not a header line.
			if s.lines > l.HeadLines+1 {
				return s.bytes - beforeBytes, s.lines - beforeLines, ReasonHeadLines
			}
		case c != '\r':
			s.lineBytes++
		}
		if s.bytes > l.HeadBytes+headSlack {
			return s.bytes - beforeBytes, s.lines - beforeLines, ReasonHeadBytes
		}
	}
	return s.bytes - beforeBytes, s.lines - beforeLines, ""
}

// Done reports whether the head has ended.
func (s *HeadScanner) Done() bool { return s.done }
