package demonstrator

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/cuminstream/cuminstream/pkg/clocker"
)

// prober sends a quote for each of a few keys again and again and measures for
// how long each key went without an answer.
type prober struct {
	balancer *balancer
	keys     []string

	mutex  sync.Mutex
	gaps   map[string]time.Duration // longest since the last reset
	sent   int
	failed map[string]int // by result
	// samples are the texts of some refusals.
	samples []string
	wrong   []string
}

const (
	maxSamples    = 5
	probeInterval = 20 * time.Millisecond
	probeTimeout  = "1500" // milliseconds
)

// run probes until ctx is done.
func (prober *prober) run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, key := range prober.keys {
		group.Go(func() error {
			prober.follow(ctx, key)
			return nil
		})
	}
	return group.Wait()
}

func (prober *prober) follow(ctx context.Context, key string) {
	last := clock.Now()
	for ctx.Err() == nil {
		began := clock.Now()
		header := http.Header{"Cuminstream-Timeout": {probeTimeout}}
		answer, err := prober.balancer.send(ctx, http.MethodGet, "/quotes/"+key, header, nil)
		if ctx.Err() != nil {
			return
		}
		ok := err == nil && answer.status == http.StatusOK
		if ok && !rightAnswer(answer, key) {
			prober.fault("key %s got the answer %q", key, answer.body)
		}
		prober.count(key, answer, err, clock.Now().Sub(last))
		if ok {
			last = clock.Now()
		}
		_ = clocker.Sleep(ctx, clock, probeInterval-clock.Now().Sub(began))
	}
}

func (prober *prober) count(key string, answer reply, err error, gap time.Duration) {
	prober.mutex.Lock()
	defer prober.mutex.Unlock()
	prober.sent++
	prober.gaps[key] = max(prober.gaps[key], gap)
	switch {
	case err != nil:
		prober.failed["connection lost"]++
	case answer.status != http.StatusOK:
		prober.failed[string(answer.result)]++
		if len(prober.samples) < maxSamples {
			prober.samples = append(prober.samples, strings.TrimSpace(string(answer.body)))
		}
	}
}

func (prober *prober) fault(format string, args ...any) {
	prober.mutex.Lock()
	defer prober.mutex.Unlock()
	prober.wrong = append(prober.wrong, fmt.Sprintf(format, args...))
}

// reset returns the longest gap of all keys, and the number of keys that had
// one of more than notable, and starts anew.
func (prober *prober) reset() (longest time.Duration, affected int) {
	prober.mutex.Lock()
	defer prober.mutex.Unlock()
	for _, gap := range prober.gaps {
		longest = max(longest, gap)
		if gap > notableGap {
			affected++
		}
	}
	prober.gaps = map[string]time.Duration{}
	return longest, affected
}

// notableGap is the shortest time without an answer that counts as unavailable.
const notableGap = 150 * time.Millisecond
