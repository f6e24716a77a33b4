package fronter

import (
	"net/http"
	"strings"
)

// hopByHopHeaders are the headers that apply to a single connection and must not be
// forwarded.
var hopByHopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Proxy-Authenticate", "Proxy-Authorization"}

// WithoutHopByHop returns a copy of the header without the hop-by-hop fields and
// those that the Connection header names.
func WithoutHopByHop(header http.Header) http.Header {
	kept := make(http.Header, len(header)+2)
	for name, values := range header {
		kept[name] = values
	}
	for _, value := range header["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			kept.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		delete(kept, name)
	}
	return kept
}
