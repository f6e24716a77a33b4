package demonstrator

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"

	"github.com/cuminstream/cuminstream/pkg/answerer"
)

// balancer spreads requests over the entry VMs, as the platform's balancer
// does. A VM that refuses connections is skipped.
type balancer struct {
	addresses []string
	client    *http.Client
	next      atomic.Uint64
}

// reply is what a caller got.
type reply struct {
	status int
	result answerer.Kind
	notRun bool
	body   []byte
}

// maxReply bounds the bytes that the demo reads of an answer.
const maxReply = 1 << 20

// send sends the request through the next VM that accepts connections.
func (balancer *balancer) send(ctx context.Context, method, path string, header http.Header, body func() io.Reader) (reply, error) {
	var err error
	for range balancer.addresses {
		address := balancer.addresses[balancer.next.Add(1)%uint64(len(balancer.addresses))]
		var answer reply
		answer, err = balancer.once(ctx, "http://"+address+path, method, header, body)
		if err == nil || !refusedConnection(err) {
			return answer, err
		}
	}
	return reply{}, err
}

func refusedConnection(err error) bool {
	var operation *net.OpError
	return errors.Is(err, syscall.ECONNREFUSED) && errors.As(err, &operation) && operation.Op == "dial"
}

func (balancer *balancer) once(ctx context.Context, url, method string, header http.Header, body func() io.Reader) (reply, error) {
	var reader io.Reader
	if body != nil {
		reader = body()
	}
	request, err := http.NewRequestWithContext(ctx, method, url, reader)
	if err != nil {
		return reply{}, fmt.Errorf("request: %w", err)
	}
	for name, values := range header {
		request.Header[name] = values
	}
	response, err := balancer.client.Do(request)
	if err != nil {
		return reply{}, err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxReply))
	if err != nil {
		return reply{}, fmt.Errorf("answer was cut: %w", err)
	}
	return reply{
		status: response.StatusCode, body: content,
		result: answerer.Kind(response.Header.Get(answerer.HeaderResult)),
		notRun: response.Header.Get(answerer.HeaderNotRun) == "true",
	}, nil
}
