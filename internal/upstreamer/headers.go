package upstreamer

import (
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"golang.org/x/net/http/httpguts"

	"github.com/cuminstream/cuminstream/internal/carrier"
)

// Headers of the upstream protocol.
const (
	headerPrefix    = "Cuminstream-"
	headerGroup     = "Cuminstream-Group"
	headerTerm      = "Cuminstream-Term"
	headerShard     = "Cuminstream-Shard"
	headerKey       = "Cuminstream-Key"
	headerRank      = "Cuminstream-Rank"
	headerTimeout   = "Cuminstream-Timeout"
	headerRequestID = "Cuminstream-Request-Id"
	headerRefusal   = "Cuminstream-Refusal"
)

var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Expect",
}

// endToEnd returns a copy of the header without its hop-by-hop fields.
func endToEnd(header http.Header) http.Header {
	result := header.Clone()
	if result == nil {
		result = http.Header{}
	}
	for _, list := range header["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			result.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		result.Del(name)
	}
	return result
}

// requestsUpgrade reports whether the request asks for a protocol upgrade or a
// tunnel.
func requestsUpgrade(request *carrier.Request) bool {
	return request.Method == http.MethodConnect || request.Header.Get("Upgrade") != "" ||
		httpguts.HeaderValuesContainsToken(request.Header["Connection"], "upgrade")
}

// requestHeader returns the header of the request to the upstream. Fields of the
// protocol that the caller has set are removed.
func requestHeader(request *carrier.Request, term uint64, remaining time.Duration) http.Header {
	header := endToEnd(request.Header)
	for name := range header {
		if strings.HasPrefix(name, headerPrefix) {
			header.Del(name)
		}
	}
	if httpguts.HeaderValuesContainsToken(request.Header["Te"], "trailers") {
		header.Set("Te", "trailers")
	}
	lowercaseIdempotencyKeys(header)
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = nil // otherwise net/http adds its own
	}
	header.Set(headerGroup, request.Group)
	header.Set(headerTerm, strconv.FormatUint(term, 10))
	header.Set(headerShard, strconv.FormatUint(uint64(request.Shard), 10))
	header.Set(headerKey, url.PathEscape(request.Key))
	header.Set(headerRank, request.Rank.String())
	header.Set(headerTimeout, strconv.FormatInt(remaining.Milliseconds(), 10))
	if request.ID != "" {
		header.Set(headerRequestID, request.ID)
	}
	return header
}

// lowercaseIdempotencyKeys changes the names of the idempotency headers to lower
// case. net/http retries a request if it finds them in their canonical form.
func lowercaseIdempotencyKeys(header http.Header) {
	for _, name := range []string{"Idempotency-Key", "X-Idempotency-Key"} {
		if values, ok := header[name]; ok {
			delete(header, name)
			header[strings.ToLower(name)] = values
		}
	}
}
