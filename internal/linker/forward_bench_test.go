package linker_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"github.com/cuminstream/cuminstream/internal/carrier"
	"github.com/cuminstream/cuminstream/pkg/queuer"
)

// smallRequest returns a request like that for a quote: a few headers and a short
// JSON body.
func smallRequest(body []byte) *carrier.Request {
	return &carrier.Request{
		ID: "01938f2e-0000-7000-8000-000000000000", Service: "quotes", Group: "quotes.z1.0", Key: "kumasi-4711", Shard: 17,
		Rank: queuer.Lookup, Idempotent: true, Deadline: time.Now().Add(time.Second), Fingerprint: 1 << 60,
		Method: "POST", Target: "/quotes?from=kumasi&to=tamale", Host: "rates.example.test",
		Header: http.Header{
			"Content-Type": {"application/json"}, "Accept": {"application/json"}, "User-Agent": {"shop/1.0"},
			"Traceparent": {"00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"}, "Accept-Encoding": {"gzip"},
		},
		ContentLength: int64(len(body)), Body: bytes.NewReader(body),
	}
}

var (
	smallBody     = bytes.Repeat([]byte("q"), 200)
	smallResponse = bytes.Repeat([]byte("r"), 600)
)

func answerSmall(_ context.Context, request *carrier.Request) (*carrier.Response, error) {
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return nil, err
	}
	return &carrier.Response{
		Status: http.StatusOK, ContentLength: int64(len(smallResponse)), Body: io.NopCloser(bytes.NewReader(smallResponse)),
		Header: http.Header{"Content-Type": {"application/json"}, "Date": {"Mon, 01 Jan 2024 00:00:00 GMT"}, "Server": {"quotes"}},
	}, nil
}

// operationFunc is an operation that the benchmarks measure.
type operationFunc func(ctx context.Context, request *carrier.Request) (*carrier.Response, error)

func timeOperation(ctx context.Context, t testing.TB, operation operationFunc) time.Duration {
	request := smallRequest(smallBody)
	start := time.Now()
	response, err := operation(ctx, request)
	assert.NilError(t, err)
	count, err := io.Copy(io.Discard, response.Body)
	assert.NilError(t, err)
	assert.Equal(t, count, int64(len(smallResponse)))
	assert.NilError(t, response.Body.Close())
	return time.Since(start)
}

func reportPercentiles(b *testing.B, histogram *hdrhistogram.Histogram) {
	b.ReportMetric(float64(histogram.ValueAtQuantile(50))/1e3, "p50-us")
	b.ReportMetric(float64(histogram.ValueAtQuantile(99))/1e3, "p99-us")
	b.ReportMetric(float64(histogram.ValueAtQuantile(99.9))/1e3, "p99.9-us")
}

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(100, int64(10*time.Second), 3) }

// operations returns a direct call of the handler and a forwarded request.
func operations(b *testing.B) []struct {
	name string
	run  operationFunc
} {
	fixture := newFixture(b, answerSmall).start(b)
	return []struct {
		name string
		run  operationFunc
	}{
		{"direct", answerSmall},
		{"forwarded", func(ctx context.Context, request *carrier.Request) (*carrier.Response, error) {
			return fixture.pool.Forward(ctx, "b", request)
		}},
	}
}

// BenchmarkSmall compares a forwarded request with a direct call, made one after
// another.
func BenchmarkSmall(b *testing.B) {
	for _, operation := range operations(b) {
		b.Run(operation.name, func(b *testing.B) {
			ctx, cancel := context.WithCancel(b.Context())
			defer cancel()
			histogram := newHistogram()
			b.ReportAllocs()
			for b.Loop() {
				_ = histogram.RecordValue(int64(timeOperation(ctx, b, operation.run)))
			}
			reportPercentiles(b, histogram)
		})
	}
}

// BenchmarkPaced starts 2,900 requests/s, the target of the design page, at fixed
// times, whether or not earlier requests have ended (open loop). The figures of
// the direct call show the delay of the timers and of the machine.
func BenchmarkPaced(b *testing.B) {
	const interval = time.Second / 2900
	for _, operation := range operations(b) {
		b.Run(operation.name, func(b *testing.B) {
			ctx, cancel := context.WithCancel(b.Context())
			defer cancel()
			histogram := newHistogram()
			var mutex sync.Mutex
			var group errgroup.Group
			start := time.Now()
			b.ReportAllocs()
			b.ResetTimer()
			for index := range b.N {
				due := start.Add(time.Duration(index) * interval)
				time.Sleep(time.Until(due))
				group.Go(func() error {
					timeOperation(ctx, b, operation.run)
					// Measure from the scheduled time, to include the time spent waiting.
					elapsed := time.Since(due)
					mutex.Lock()
					defer mutex.Unlock()
					return histogram.RecordValue(int64(elapsed))
				})
			}
			assert.NilError(b, group.Wait())
			reportPercentiles(b, histogram)
		})
	}
}
