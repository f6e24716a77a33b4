package platformer

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cuminstream/cuminstream/internal/verifier"
	"github.com/cuminstream/cuminstream/pkg/clocker"
)

// ErrSequenceGone means that the platform cannot continue a watch from the given
// sequence number, because it has restarted the sequence or dropped the changes
// after that number. The caller must list again.
var ErrSequenceGone = errors.New("platform cannot continue the watch from this sequence")

// ErrUnexpectedResponse means that the status or the format of a response is outside
// the protocol. The outcome of a write is then unknown.
var ErrUnexpectedResponse = errors.New("unexpected answer of the platform")

const (
	// MaxValueSize is the largest value that the platform accepts, in bytes.
	MaxValueSize = 1_000_000

	// maxPageSize bounds one response in bytes. A page holds up to 4 MB of values
	// or a single larger one, and base64 adds a third.
	maxPageSize = 8 << 20

	// maxListSize bounds the names and values of one List in bytes. It is within
	// the 256 MB of memory that the control plane may use on a VM.
	maxListSize = 128 << 20

	defaultTimeout = 5 * time.Second
	watchGrace     = 5 * time.Second // added to the wait that a watch requests
	maxIdleConns   = 16
	idleTimeout    = 90 * time.Second
	maxDiscard     = 64 << 10 // bytes of an error response that are read
)

// Client calls the platform over HTTP. It is safe for concurrent use. Its exported
// fields must be set before the first call.
type Client struct {
	baseURL string
	http    *http.Client
	clock   clocker.Clock

	// Timeout bounds each call except Watch, which has its own timeout.
	Timeout time.Duration
}

var _ API = (*Client)(nil)

// NewTransport returns a copy of http.DefaultTransport whose connections do not take a reset for
// the end of a response.
func NewTransport() *http.Transport {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.DialContext = verifier.WrapDial(transport.DialContext)
	return transport
}

// NewClient returns a client of the platform at the base URL, such as
// http://10.0.0.5:7000. If transport is nil, a default transport is used.
func NewClient(baseURL string, clock clocker.Clock, transport http.RoundTripper) (*Client, error) {
	parsed, err := url.Parse(baseURL)
	if err != nil || parsed.Host == "" || (parsed.Scheme != "http" && parsed.Scheme != "https") {
		return nil, fmt.Errorf("platform URL %q is not of the form http://host:port", baseURL)
	}
	if transport == nil {
		transport = &http.Transport{
			DialContext:  verifier.WrapDial((&net.Dialer{}).DialContext),
			MaxIdleConns: maxIdleConns, MaxIdleConnsPerHost: maxIdleConns, IdleConnTimeout: idleTimeout,
		}
	}
	return &Client{
		baseURL: strings.TrimRight(baseURL, "/"),
		clock:   clock,
		http: &http.Client{
			Transport:     &verifier.Transport{OneServer: true, Base: transport},
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
	response, err := client.send(ctx, http.MethodGet, path, nil, nil, client.Timeout)
	if err != nil {
		return Object{}, fmt.Errorf("get %s: %w", name, err)
	}
	version, err := response.version()
	if err != nil {
		return Object{}, fmt.Errorf("get %s: %w", name, err)
	}
	return Object{Name: name, Version: version, Value: response.body}, nil
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
	response, err := client.send(ctx, http.MethodPut, path, header, value, client.Timeout)
	if err != nil {
		return "", fmt.Errorf("put %s: %w", name, err)
	}
	newVersion, err := response.version()
	if err != nil {
		return "", fmt.Errorf("put %s: %w", name, err)
	}
	return newVersion, nil
}

// page is the body of a response to a list or watch.
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

// List returns all objects whose names begin with prefix, and the sequence number
// from which Watch continues. The number is that of the first page, so that the
// watch reports changes made between two pages.
func (client *Client) List(ctx context.Context, prefix string) ([]Object, uint64, error) {
	var objects []Object
	var sequence uint64
	from := ""
	for size := 0; size <= maxListSize; {
		query := url.Values{"prefix": {prefix}}
		if from != "" {
			query.Set("from", from)
		}
		var response page
		if err := client.getJSON(ctx, "/objects?"+query.Encode(), client.Timeout, &response); err != nil {
			return nil, 0, fmt.Errorf("list %s: %w", prefix, err)
		}
		if from == "" {
			sequence = response.Sequence
		}
		for _, object := range response.objects() {
			size += len(object.Name) + len(object.Value)
			objects = append(objects, object)
		}
		if response.Next == "" {
			return objects, sequence, nil
		}
		if response.Next <= from {
			return nil, 0, fmt.Errorf("list %s: pages do not advance: %w", prefix, ErrUnexpectedResponse)
		}
		from = response.Next
	}
	return nil, 0, fmt.Errorf("list %s: more than %d bytes: %w", prefix, maxListSize, ErrUnexpectedResponse)
}

// Watch waits up to timeout for changes after the sequence number. It returns the
// changed objects and the newest sequence number, or ErrSequenceGone if the caller
// must list again.
func (client *Client) Watch(ctx context.Context, prefix string, after uint64, timeout time.Duration) ([]Object, uint64, error) {
	query := url.Values{
		"prefix":  {prefix},
		"after":   {strconv.FormatUint(after, 10)},
		"timeout": {timeout.String()},
	}
	var response page
	if err := client.getJSON(ctx, "/watch?"+query.Encode(), timeout+watchGrace, &response); err != nil {
		return nil, 0, fmt.Errorf("watch %s: %w", prefix, err)
	}
	if response.Sequence < after {
		return nil, 0, fmt.Errorf("watch %s: sequence %d is below %d: %w", prefix, response.Sequence, after, ErrSequenceGone)
	}
	return response.objects(), response.Sequence, nil
}

// VMs returns the running and leaving VMs. The list may be out of date.
func (client *Client) VMs(ctx context.Context) ([]VM, error) {
	var response struct {
		VMs []VM `json:"vms"`
	}
	if err := client.getJSON(ctx, "/vms", client.Timeout, &response); err != nil {
		return nil, fmt.Errorf("list VMs: %w", err)
	}
	return response.VMs, nil
}

// getJSON sends a GET request and decodes the response into target.
func (client *Client) getJSON(ctx context.Context, path string, timeout time.Duration, target any) error {
	response, err := client.send(ctx, http.MethodGet, path, nil, nil, timeout)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(response.body, target); err != nil {
		return fmt.Errorf("%w: %w", ErrUnexpectedResponse, err)
	}
	return nil
}

// apiResponse is a successful response that was read completely.
type apiResponse struct {
	header http.Header
	body   []byte
}

// version returns the ETag without its quotes.
func (response apiResponse) version() (string, error) {
	tag := response.header.Get("ETag")
	if len(tag) < 3 || tag[0] != '"' || tag[len(tag)-1] != '"' {
		return "", fmt.Errorf("%w: ETag %q is not a strong version", ErrUnexpectedResponse, tag)
	}
	return tag[1 : len(tag)-1], nil
}

// send sends a request and reads the whole response.
func (client *Client) send(ctx context.Context, method, path string, header http.Header, body []byte, timeout time.Duration) (apiResponse, error) {
	ctx, cancel := clocker.WithTimeout(ctx, client.clock, timeout)
	defer cancel()
	var reader io.Reader
	if body != nil {
		reader = bytes.NewReader(body)
	}
	request, err := http.NewRequestWithContext(ctx, method, client.baseURL+path, reader)
	if err != nil {
		return apiResponse{}, err
	}
	for key, values := range header {
		request.Header[key] = values
	}
	response, err := client.http.Do(request)
	if err != nil {
		return apiResponse{}, err
	}
	defer response.Body.Close()
	if err := statusError(response.StatusCode); err != nil {
		// The connection can be reused only if the body has been read. An error
		// here has no other effect.
		_, _ = io.CopyN(io.Discard, response.Body, maxDiscard)
		return apiResponse{}, err
	}
	content, err := io.ReadAll(io.LimitReader(response.Body, maxPageSize+1))
	if err != nil {
		return apiResponse{}, err
	}
	if len(content) > maxPageSize {
		return apiResponse{}, fmt.Errorf("%w: more than %d bytes", ErrUnexpectedResponse, maxPageSize)
	}
	return apiResponse{header: response.Header, body: content}, nil
}

// statusError returns the error for a response status, or nil for success.
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

// objectPath returns the URL path of the object. It rejects names with an empty or a
// dot segment, because proxies and servers rewrite such paths.
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
