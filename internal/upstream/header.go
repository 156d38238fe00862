package upstream

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopHeaders are hop-by-hop headers, which are never forwarded (RFC 9110, section 7.6.1).
var hopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// internalPrefix is the prefix of the names of headers that only daemons set.
const internalPrefix = "Samphirestile-"

// StripHopByHop removes the hop-by-hop headers, including those listed in Connection.
func StripHopByHop(h http.Header) {
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			if name = textproto.TrimString(name); name != "" {
				h.Del(name)
			}
		}
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
}

// StripInternalHeaders removes the headers that only daemons set.
func StripInternalHeaders(h http.Header) {
	for name := range h {
		if len(name) >= len(internalPrefix) && strings.EqualFold(name[:len(internalPrefix)], internalPrefix) {
			delete(h, name)
		}
	}
}
