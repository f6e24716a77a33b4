package measurer

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/cuminstream/cuminstream/pkg/answerer"
	"github.com/cuminstream/cuminstream/pkg/clocker"
)

var clock = clocker.System{}

// target sends one request and returns "" when it was done, or the reason why
// it was not.
type target interface {
	send(ctx context.Context, arrival arrival) string
}

// maxInFlight bounds the open loop's requests, so that a policy without
// admission does not exhaust the machine.
const maxInFlight = 20_000

// sendAll sends the arrivals at their times and waits for all answers.
func sendAll(ctx context.Context, target target, list []arrival, phases []phase, tallies *tallies) {
	var (
		group    errgroup.Group
		inFlight atomic.Int64
	)
	started := clock.Now()
	for _, arrival := range list {
		if wait := arrival.at - clock.Now().Sub(started); wait > 0 {
			if clocker.Sleep(ctx, clock, wait) != nil {
				break
			}
		}
		phase := phaseOf(phases, arrival.at)
		if inFlight.Load() >= maxInFlight {
			tallies.count(phase, arrival.rank, "sender full", 0)
			continue
		}
		inFlight.Add(1)
		group.Go(func() error {
			defer inFlight.Add(-1)
			due := started.Add(arrival.at)
			sending, cancel := context.WithDeadline(ctx, due.Add(works[arrival.rank].timeout))
			defer cancel()
			result := target.send(sending, arrival)
			tallies.count(phase, arrival.rank, result, clock.Now().Sub(due))
			return nil
		})
	}
	_ = group.Wait()
}

func phaseOf(phases []phase, at time.Duration) string {
	for _, phase := range phases {
		if at -= phase.duration; at < 0 {
			return phase.name
		}
	}
	return phases[len(phases)-1].name
}

// balancer sends through the entry VMs in turn.
type balancer struct {
	addresses []string
	client    *http.Client
	next      atomic.Uint64
}

func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4096, MaxIdleConns: 0, IdleConnTimeout: time.Minute}}
}

func (balancer *balancer) send(ctx context.Context, arrival arrival) string {
	address := balancer.addresses[balancer.next.Add(1)%uint64(len(balancer.addresses))]
	return call(ctx, balancer.client, "http://"+address, arrival)
}

// call makes one request and reads the whole answer.
func call(ctx context.Context, client *http.Client, base string, arrival arrival) string {
	work := works[arrival.rank]
	var body io.Reader
	if work.body > 0 {
		body = bytes.NewReader(make([]byte, work.body))
	}
	request, err := http.NewRequestWithContext(ctx, work.method, base+"/mixed/"+arrival.key, body)
	if err != nil {
		return "invalid"
	}
	request.Header.Set("Cuminstream-Request-Id", arrival.id)
	request.Header.Set("Cuminstream-Rank", work.rank.String())
	request.Header.Set("Cuminstream-Timeout", strconv.FormatInt(work.timeout.Milliseconds(), 10))
	response, err := client.Do(request)
	if err != nil {
		return failure(err)
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return failure(err)
	}
	if response.StatusCode == http.StatusOK {
		return ""
	}
	if result := response.Header.Get(answerer.HeaderResult); result != "" {
		return result
	}
	return "status " + strconv.Itoa(response.StatusCode)
}

func failure(err error) string {
	if errors.Is(err, context.DeadlineExceeded) {
		return "late"
	}
	return "connection lost"
}
