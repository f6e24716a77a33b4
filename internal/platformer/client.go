package platformer

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cuminstream/cuminstream/pkg/clocker"
)

// ErrSequenceGone means that the platform cannot continue a watch from the
// given sequence: it restarted its sequence or dropped the changes after it.
// The caller must list again.
var ErrSequenceGone = errors.New("platform cannot continue the watch from this sequence")

// ErrUnexpectedResponse is the platform's answer with a status or a format outside the
// protocol. The outcome of a write is then unknown.
var ErrUnexpectedResponse = errors.New("unexpected answer of the platform")

const (
	// MaxValueSize is the largest value that the platform accepts, in bytes.
	MaxValueSize = 1_000_000

	// maxPage bounds one answer. A page holds up to 4 MB of values or a single
	// larger one, and base64 adds a third.
	maxPage = 8 << 20

	// maxList bounds the values of one List in bytes, within the 256 MB that
	// control may cost a node.
	maxList = 128 << 20

	defaultTimeout = 5 * time.Second
	watchGrace     = 5 * time.Second // beyond the wait that the platform was asked for
	maxIdle        = 16
	idleTimeout    = 90 * time.Second
	drainLimit     = 64 << 10
)

// Client calls the platform over HTTP. It is safe for use by several
// goroutines. Its fields must be set before the first call.
type Client struct {
	base  string
	http  *http.Client
	clock clocker.Clock

	// Timeout bounds each call. A watch gets this time and its own wait.
	Timeout time.Duration
}

var _ API = (*Client)(nil)

// NewClient returns a client of the platform at the base URL, such as
// http://10.0.0.5:7000. transport may be nil.
func NewClient(base string, clock clocker.Clock, transport http.RoundTripper) (*Client, error) {
	parsed, err := url.Parse(base)
	if err != nil || parsed.Host == "" || (parsed.Scheme != "http" && parsed.Scheme != "https") {
		return nil, fmt.Errorf("platform URL %q is not of the form http://host:port", base)
	}
	if transport == nil {
		transport = &http.Transport{MaxIdleConns: maxIdle, MaxIdleConnsPerHost: maxIdle, IdleConnTimeout: idleTimeout}
	}
	return &Client{
		base:  strings.TrimRight(base, "/"),
		clock: clock,
		http: &http.Client{
			Transport:     transport,
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
		Timeout: defaultTimeout,
	}, nil
}

// Get returns the object, or ErrNotFound.
func (client *Client) Get(ctx context.Context, name string) (Object, error) {
	path, err := objectPath(name)
	if err != nil {
		return Object{}, err
	}
	answer, err := client.call(ctx, http.MethodGet, path, nil, nil, client.Timeout)
	if err != nil {
		return Object{}, fmt.Errorf("get %s: %w", name, err)
	}
	version, err := answer.version()
	if err != nil {
		return Object{}, fmt.Errorf("get %s: %w", name, err)
	}
	return Object{Name: name, Version: version, Value: answer.body}, nil
}

// Put writes the value if the object still has the given version and returns
// the new version. An empty version means that the object must not exist yet.
func (client *Client) Put(ctx context.Context, name string, value []byte, version string) (string, error) {
	path, err := objectPath(name)
	if err != nil {
		return "", err
	}
	if len(value) > MaxValueSize {
		return "", fmt.Errorf("put %s: %d bytes: %w", name, len(value), ErrTooLarge)
	}
	header := http.Header{"Content-Type": {"application/octet-stream"}}
	if version == "" {
		header.Set("If-None-Match", "*")
	} else {
		header.Set("If-Match", `"`+version+`"`)
	}
	answer, err := client.call(ctx, http.MethodPut, path, header, value, client.Timeout)
	if err != nil {
		return "", fmt.Errorf("put %s: %w", name, err)
	}
	written, err := answer.version()
	if err != nil {
		return "", fmt.Errorf("put %s: %w", name, err)
	}
	return written, nil
}

// page is the body of a list or watch answer.
type page struct {
	Objects []struct {
		Name    string `json:"name"`
		Version string `json:"version"`
		Value   []byte `json:"value"`
	} `json:"objects"`
	Sequence uint64 `json:"sequence"`
	Next     string `json:"next"`
}

func (page page) objects() []Object {
	objects := make([]Object, len(page.Objects))
	for index, entry := range page.Objects {
		objects[index] = Object{Name: entry.Name, Version: entry.Version, Value: entry.Value}
	}
	return objects
}

// List returns all objects whose name begins with prefix, and the sequence from
// which Watch continues. The sequence is that of the first page, so that a
// change between two pages is reported by the watch.
func (client *Client) List(ctx context.Context, prefix string) ([]Object, uint64, error) {
	var objects []Object
	var sequence uint64
	from := ""
	for size := 0; size <= maxList; {
		query := url.Values{"prefix": {prefix}}
		if from != "" {
			query.Set("from", from)
		}
		var got page
		if err := client.read(ctx, "/objects?"+query.Encode(), client.Timeout, &got); err != nil {
			return nil, 0, fmt.Errorf("list %s: %w", prefix, err)
		}
		if from == "" {
			sequence = got.Sequence
		}
		for _, object := range got.objects() {
			size += len(object.Name) + len(object.Value)
			objects = append(objects, object)
		}
		if got.Next == "" {
			return objects, sequence, nil
		}
		if got.Next <= from {
			return nil, 0, fmt.Errorf("list %s: pages do not advance: %w", prefix, ErrUnexpectedResponse)
		}
		from = got.Next
	}
	return nil, 0, fmt.Errorf("list %s: more than %d bytes: %w", prefix, maxList, ErrUnexpectedResponse)
}

// Watch waits for changes after the sequence, at most for timeout, and returns
// the changed objects and the newest sequence. It returns ErrSequenceGone when
// the caller must list again.
func (client *Client) Watch(ctx context.Context, prefix string, after uint64, timeout time.Duration) ([]Object, uint64, error) {
	query := url.Values{
		"prefix":  {prefix},
		"after":   {strconv.FormatUint(after, 10)},
		"timeout": {timeout.String()},
	}
	var got page
	if err := client.read(ctx, "/watch?"+query.Encode(), timeout+watchGrace, &got); err != nil {
		return nil, 0, fmt.Errorf("watch %s: %w", prefix, err)
	}
	if got.Sequence < after {
		return nil, 0, fmt.Errorf("watch %s: sequence %d is below %d: %w", prefix, got.Sequence, after, ErrSequenceGone)
	}
	return got.objects(), got.Sequence, nil
}

// VMs returns the lagging list of live and leaving VMs.
func (client *Client) VMs(ctx context.Context) ([]VM, error) {
	var got struct {
		VMs []VM `json:"vms"`
	}
	if err := client.read(ctx, "/vms", client.Timeout, &got); err != nil {
		return nil, fmt.Errorf("list VMs: %w", err)
	}
	return got.VMs, nil
}

func (client *Client) read(ctx context.Context, path string, timeout time.Duration, into any) error {
	answer, err := client.call(ctx, http.MethodGet, path, nil, nil, timeout)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(answer.body, into); err != nil {
		return fmt.Errorf("%w: %w", ErrUnexpectedResponse, err)
	}
	return nil
}

type answer struct {
	header http.Header
	body   []byte
}

// version returns the ETag without its quotes.
func (answer answer) version() (string, error) {
	tag := answer.header.Get("ETag")
	if len(tag) < 3 || tag[0] != '"' || tag[len(tag)-1] != '"' {
		return "", fmt.Errorf("%w: ETag %q is not a strong version", ErrUnexpectedResponse, tag)
	}
	return tag[1 : len(tag)-1], nil
}

func (client *Client) call(ctx context.Context, method, path string, header http.Header, body []byte, timeout time.Duration) (answer, error) {
	ctx, cancel := clocker.WithTimeout(ctx, client.clock, timeout)
	defer cancel()
	var reader io.Reader
	if body != nil {
		reader = bytes.NewReader(body)
	}
	request, err := http.NewRequestWithContext(ctx, method, client.base+path, reader)
	if err != nil {
		return answer{}, err
	}
	for key, values := range header {
		request.Header[key] = values
	}
	response, err := client.http.Do(request)
	if err != nil {
		return answer{}, err
	}
	defer response.Body.Close()
	if err := statusError(response.StatusCode); err != nil {
		// Lets the connection be used again. An error here costs only that.
		_, _ = io.CopyN(io.Discard, response.Body, drainLimit)
		return answer{}, err
	}
	content, err := io.ReadAll(io.LimitReader(response.Body, maxPage+1))
	if err != nil {
		return answer{}, err
	}
	if len(content) > maxPage {
		return answer{}, fmt.Errorf("%w: more than %d bytes", ErrUnexpectedResponse, maxPage)
	}
	return answer{header: response.Header, body: content}, nil
}

func statusError(status int) error {
	switch status {
	case http.StatusOK, http.StatusCreated:
		return nil
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusPreconditionFailed:
		return ErrConflict
	case http.StatusRequestEntityTooLarge:
		return ErrTooLarge
	case http.StatusTooManyRequests:
		return ErrRateLimited
	case http.StatusGone:
		return ErrSequenceGone
	default:
		return fmt.Errorf("%w: status %d", ErrUnexpectedResponse, status)
	}
}

// objectPath returns the URL path of the object. Names with an empty or a dot
// segment are refused, because proxies and servers rewrite such paths.
func objectPath(name string) (string, error) {
	segments := strings.Split(name, "/")
	for index, segment := range segments {
		if segment == "" || segment == "." || segment == ".." {
			return "", fmt.Errorf("object name %q has an empty or a dot segment", name)
		}
		segments[index] = url.PathEscape(segment)
	}
	return "/objects/" + strings.Join(segments, "/"), nil
}
