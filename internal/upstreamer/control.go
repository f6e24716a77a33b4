package upstreamer

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/cuminstream/cuminstream/internal/configurer"
	"github.com/cuminstream/cuminstream/internal/dispatcher"
)

// maxReplyBytes bounds the size of a reply. The reply to a grant may repeat 16384
// shards.
const maxReplyBytes = 1 << 20

// wireGrant is the JSON format of a grant. TTL is in milliseconds.
type wireGrant struct {
	Group       string   `json:"group"`
	Term        uint64   `json:"term"`
	Seq         uint64   `json:"seq"`
	TTL         int64    `json:"ttl"`
	Stamp       int64    `json:"stamp"`
	Renew       bool     `json:"renew,omitempty"`
	Shards      []uint32 `json:"shards,omitempty"`
	Keys        []string `json:"keys,omitempty"`
	WithoutKeys []string `json:"withoutKeys,omitempty"`
}

// wireReply is the JSON format of the replies to grants and probes.
type wireReply struct {
	Stamp    int64         `json:"stamp"`
	Instance string        `json:"instance"`
	Draining bool          `json:"draining"`
	Running  []wireRunning `json:"running"`
}

// wireRunning is a request that the upstream is running. Left is the time to its
// deadline in milliseconds.
type wireRunning struct {
	Request string `json:"request"`
	Key     string `json:"key"`
	Left    int64  `json:"left"`
}

// controlReply converts the reply.
func (reply wireReply) controlReply() dispatcher.ControlReply {
	result := dispatcher.ControlReply{Timestamp: reply.Stamp, Instance: reply.Instance, Draining: reply.Draining}
	for _, running := range reply.Running {
		result.Running = append(result.Running, dispatcher.RunningRequest{
			ID: running.Request, Key: running.Key, Remaining: time.Duration(running.Left) * time.Millisecond,
		})
	}
	return result
}

// Grant implements dispatcher.UpstreamClient.
func (client *Client) Grant(ctx context.Context, upstream configurer.Upstream, grant dispatcher.Grant) (dispatcher.ControlReply, error) {
	body, err := json.Marshal(wireGrant{
		Group: grant.Group, Term: grant.Term, Seq: grant.Seq, TTL: grant.TTL.Milliseconds(), Stamp: grant.Timestamp,
		Renew: grant.Renew, Shards: grant.Shards, Keys: grant.Keys, WithoutKeys: grant.ExcludedKeys,
	})
	if err != nil {
		return dispatcher.ControlReply{}, fmt.Errorf("encoding a grant: %w", err)
	}
	response, reply, err := client.sendControl(ctx, upstream, http.MethodPut, "/cuminstream/grant", body)
	if err != nil {
		return reply, err
	}
	switch response.StatusCode {
	case http.StatusOK:
		return reply, nil
	case http.StatusConflict:
		return reply, &dispatcher.GrantRefusedError{Reason: dispatcher.Reason(response.Header.Get(headerRefusal))}
	}
	return reply, fmt.Errorf("upstream %s responded to a grant with status %s", upstream.Name, response.Status)
}

// Probe implements dispatcher.UpstreamClient. A response with any HTTP status counts as a
// reply, because the status of a health endpoint is not reliable.
func (client *Client) Probe(ctx context.Context, upstream configurer.Upstream) (dispatcher.ControlReply, error) {
	_, reply, err := client.sendControl(ctx, upstream, http.MethodGet, "/cuminstream/health", nil)
	return reply, err
}

// sendControl sends a request on the control connections and decodes the reply. It
// fails only if no complete response was received.
func (client *Client) sendControl(ctx context.Context, upstream configurer.Upstream, method, path string, body []byte) (*http.Response, dispatcher.ControlReply, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+upstream.Address+path, bytes.NewReader(body))
	if err != nil {
		return nil, dispatcher.ControlReply{}, fmt.Errorf("building a request to upstream %s: %w", upstream.Name, err)
	}
	response, err := client.transportsFor(upstream).control.RoundTrip(request)
	if err != nil {
		return nil, dispatcher.ControlReply{}, fmt.Errorf("sending a control request to upstream %s: %w", upstream.Name, err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	if err != nil {
		return nil, dispatcher.ControlReply{}, fmt.Errorf("reading the response of upstream %s: %w", upstream.Name, err)
	}
	var reply wireReply
	_ = json.Unmarshal(data, &reply) // an upstream that replies in another format is still alive
	return response, reply.controlReply(), nil
}
