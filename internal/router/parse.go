package router

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cuminstream/cuminstream/internal/carrier"
	"github.com/cuminstream/cuminstream/internal/configurer"
	"github.com/cuminstream/cuminstream/internal/verifier"
	"github.com/cuminstream/cuminstream/pkg/answerer"
	"github.com/cuminstream/cuminstream/pkg/queuer"
)

// Headers that callers set.
const (
	headerKey        = "Cuminstream-Key"
	headerRank       = "Cuminstream-Rank"
	headerTimeout    = "Cuminstream-Timeout"     // milliseconds
	headerRetryAfter = "Cuminstream-Retry-After" // milliseconds
	headerRequestID  = "Cuminstream-Request-Id"
)

const (
	maxBufferedBody = 64 << 10 // bytes; a larger body is streamed
	maxKey          = 1024     // bytes
	maxRequestID    = 128      // bytes
)

// parse builds the request according to the rules of its service. The request is nil
// if no service matches.
func (router *Router) parse(incoming *http.Request, now time.Time) (*carrier.Request, *answerer.Error) {
	match, ok := router.Matcher.Match(incoming.Host, incoming.URL.Path, incoming.Method)
	if !ok && !router.Matcher.HasDocument() {
		return nil, answerer.New(answerer.NotRunUnavailable, "the routing document is not known on this VM yet")
	}
	if !ok {
		return nil, answerer.New(answerer.UnknownService, "no service matches host %q and path %q", incoming.Host, incoming.URL.Path)
	}
	request := &carrier.Request{
		ID:            incoming.Header.Get(headerRequestID),
		Service:       match.Service.Name,
		Rank:          match.Rank,
		Idempotent:    match.Idempotent,
		Method:        incoming.Method,
		Target:        incoming.URL.RequestURI(),
		Host:          incoming.Host,
		Header:        incoming.Header,
		ContentLength: incoming.ContentLength,
		Trailer:       incoming.Trailer,
		Deadline:      now.Add(match.Timeout),
	}
	for _, step := range []func(*http.Request, *configurer.Match, *carrier.Request) *answerer.Error{
		checkProtocol, checkTrailer, readKey, readRank, readID,
	} {
		if err := step(incoming, match, request); err != nil {
			return request, err
		}
	}
	if err := readTimeout(incoming, now, request); err != nil {
		return request, err
	}
	if err := readBody(incoming, match, request); err != nil {
		return request, err
	}
	return request, router.locate(request)
}

// locate sets the request's shard and group.
func (router *Router) locate(request *carrier.Request) *answerer.Error {
	location, ok := router.Locator.Locate(request.Service, request.Key)
	if !ok {
		return answerer.New(answerer.NotRunUnavailable, "the homes of service %q are not known on this VM yet", request.Service)
	}
	request.Shard, request.Group = location.Shard, location.Group
	return nil
}

func checkProtocol(incoming *http.Request, _ *configurer.Match, _ *carrier.Request) *answerer.Error {
	if incoming.Header.Get("Upgrade") != "" || incoming.Method == http.MethodConnect {
		return answerer.New(answerer.Malformed, "protocol upgrades are not supported")
	}
	return nil
}

// checkTrailer refuses announced names that net/http does not send.
func checkTrailer(incoming *http.Request, _ *configurer.Match, _ *carrier.Request) *answerer.Error {
	if err := verifier.FieldNames(incoming.Trailer); err != nil {
		return answerer.New(answerer.Malformed, "the announced trailer: %w", err)
	}
	return nil
}

func readKey(incoming *http.Request, match *configurer.Match, request *carrier.Request) *answerer.Error {
	source := match.Service.Key
	switch {
	case source.Header != "":
		request.Key = incoming.Header.Get(source.Header)
	case source.Query != "":
		request.Key = incoming.URL.Query().Get(source.Query)
	case source.PathSegment > 0:
		request.Key = pathSegment(incoming.URL.Path, source.PathSegment)
	default:
		request.Key = incoming.Header.Get(headerKey)
	}
	if request.Key == "" {
		return answerer.New(answerer.Malformed, "the request has no key; service %q takes it from %s", match.Service.Name, describeKeySource(source))
	}
	if len(request.Key) > maxKey {
		return answerer.New(answerer.Malformed, "the key has %d bytes; at most %d are accepted", len(request.Key), maxKey)
	}
	return nil
}

// pathSegment returns the n-th segment of the path, counted from 1.
func pathSegment(path string, n int) string {
	rest := strings.TrimPrefix(path, "/")
	for ; n > 1; n-- {
		_, after, found := strings.Cut(rest, "/")
		if !found {
			return ""
		}
		rest = after
	}
	first, _, _ := strings.Cut(rest, "/")
	return first
}

// describeKeySource names the source of the key for an error message.
func describeKeySource(source configurer.KeySource) string {
	switch {
	case source.Header != "":
		return "the header " + source.Header
	case source.Query != "":
		return "the query parameter " + source.Query
	case source.PathSegment > 0:
		return "path segment " + strconv.Itoa(source.PathSegment)
	default:
		return "the header " + headerKey
	}
}

// readRank reads the rank that the caller requests. It can make the request less
// urgent than the service's rank, but not more.
func readRank(incoming *http.Request, _ *configurer.Match, request *carrier.Request) *answerer.Error {
	name := incoming.Header.Get(headerRank)
	if name == "" {
		return nil
	}
	rank, err := queuer.ParseRank(name)
	if err != nil {
		return answerer.New(answerer.Malformed, "header %s: %w", headerRank, err)
	}
	request.Rank = max(request.Rank, rank)
	return nil
}

func readID(_ *http.Request, _ *configurer.Match, request *carrier.Request) *answerer.Error {
	if request.ID == "" {
		if request.Idempotent {
			return nil
		}
		return answerer.New(answerer.Malformed, "a non-idempotent request needs the header %s", headerRequestID)
	}
	if len(request.ID) > maxRequestID {
		return answerer.New(answerer.Malformed, "header %s has %d bytes; at most %d are accepted", headerRequestID, len(request.ID), maxRequestID)
	}
	for _, char := range []byte(request.ID) {
		if char <= ' ' || char > '~' {
			return answerer.New(answerer.Malformed, "header %s may hold visible ASCII characters only", headerRequestID)
		}
	}
	return nil
}

// readTimeout reads the timeout that the caller requests. It can shorten the
// service's timeout, but not extend it.
func readTimeout(incoming *http.Request, now time.Time, request *carrier.Request) *answerer.Error {
	text := incoming.Header.Get(headerTimeout)
	if text == "" {
		return nil
	}
	millis, err := strconv.ParseUint(text, 10, 31)
	if err != nil || millis == 0 {
		return answerer.New(answerer.Malformed, "header %s: %q is not a number of milliseconds above 0", headerTimeout, text)
	}
	deadline := now.Add(time.Duration(millis) * time.Millisecond)
	if deadline.Before(request.Deadline) {
		request.Deadline = deadline
	}
	return nil
}

// readBody buffers a short body, so that it can be sent again and its content is part
// of the fingerprint. A longer one is streamed, with the service's limit enforced if
// its length is not known in advance.
func readBody(incoming *http.Request, match *configurer.Match, request *carrier.Request) *answerer.Error {
	limit := match.MaxBody
	if request.ContentLength > limit {
		return answerer.New(answerer.TooLarge, "the body has %d bytes; service %q accepts %d", request.ContentLength, match.Service.Name, limit)
	}
	hash := xxhash.New()
	for _, part := range []string{request.Service, request.Method, request.Target} {
		_, _ = hash.WriteString(part)
		_, _ = hash.Write([]byte{0})
	}
	defer func() { request.Fingerprint = hash.Sum64() }()
	if incoming.Body == nil || incoming.Body == http.NoBody {
		return nil
	}
	if request.ContentLength > maxBufferedBody {
		_, _ = hash.WriteString(strconv.FormatInt(request.ContentLength, 10))
		request.Body = incoming.Body
		return nil
	}
	prefix, err := io.ReadAll(io.LimitReader(incoming.Body, maxBufferedBody+1))
	if refused := (*answerer.Error)(nil); errors.As(err, &refused) {
		return refused
	}
	if err != nil {
		return answerer.New(answerer.Malformed, "the body could not be read: %w", err)
	}
	_, _ = hash.Write(prefix)
	if len(prefix) <= maxBufferedBody {
		request.Body = bytes.NewReader(prefix)
		if len(incoming.Trailer) == 0 {
			request.ContentLength = int64(len(prefix))
		}
		return nil
	}
	request.Body = &limitedBody{reader: io.MultiReader(bytes.NewReader(prefix), incoming.Body), remaining: limit}
	return nil
}

// errBodyTooLarge is returned when a streamed body exceeds the service's limit.
var errBodyTooLarge = errors.New("the body is larger than the service accepts")

// limitedBody fails once more than remaining bytes were read.
type limitedBody struct {
	reader    io.Reader
	remaining int64
}

func (body *limitedBody) Read(buffer []byte) (int, error) {
	count, err := body.reader.Read(buffer)
	body.remaining -= int64(count)
	if body.remaining < 0 {
		return 0, errBodyTooLarge
	}
	return count, err
}
