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

// Headers of the protocol.
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

// endToEnd returns a copy of the header without the fields that concern one
// connection only.
func endToEnd(header http.Header) http.Header {
	result := header.Clone()
	if result == nil {
		result = http.Header{}
	}
	for _, named := range header["Connection"] {
		for name := range strings.SplitSeq(named, ",") {
			result.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		result.Del(name)
	}
	return result
}

// upgrades reports whether the request asks for another protocol.
func upgrades(request *carrier.Request) bool {
	return request.Method == http.MethodConnect || request.Header.Get("Upgrade") != "" ||
		httpguts.HeaderValuesContainsToken(request.Header["Connection"], "upgrade")
}

// outgoing returns the header of the request to the upstream.
func outgoing(request *carrier.Request, term uint64, left time.Duration) http.Header {
	header := endToEnd(request.Header)
	for name := range header {
		if strings.HasPrefix(name, headerPrefix) {
			header.Del(name)
		}
	}
	if httpguts.HeaderValuesContainsToken(request.Header["Te"], "trailers") {
		header.Set("Te", "trailers")
	}
	hideIdempotencyKey(header)
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = nil // net/http would add its own
	}
	header.Set(headerGroup, request.Group)
	header.Set(headerTerm, strconv.FormatUint(term, 10))
	header.Set(headerShard, strconv.FormatUint(uint64(request.Shard), 10))
	header.Set(headerKey, url.PathEscape(request.Key))
	header.Set(headerRank, request.Rank.String())
	header.Set(headerTimeout, strconv.FormatInt(left.Milliseconds(), 10))
	if request.ID != "" {
		header.Set(headerRequestID, request.ID)
	}
	return header
}

// hideIdempotencyKey spells the names in lower case. net/http repeats a request
// by itself if it finds them in their canonical spelling.
func hideIdempotencyKey(header http.Header) {
	for _, name := range []string{"Idempotency-Key", "X-Idempotency-Key"} {
		if values, ok := header[name]; ok {
			delete(header, name)
			header[strings.ToLower(name)] = values
		}
	}
}
