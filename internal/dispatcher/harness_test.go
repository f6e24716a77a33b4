package dispatcher_test

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cuminstream/cuminstream/internal/carrier"
	"github.com/cuminstream/cuminstream/internal/configurer"
	"github.com/cuminstream/cuminstream/internal/dispatcher"
	"github.com/cuminstream/cuminstream/internal/replicator"
	standin "github.com/cuminstream/cuminstream/internal/standin/upstreamer"
	"github.com/cuminstream/cuminstream/internal/timeliner"
	"github.com/cuminstream/cuminstream/internal/upstreamer"
	"github.com/cuminstream/cuminstream/pkg/answerer"
	"github.com/cuminstream/cuminstream/pkg/clocker"
	"github.com/cuminstream/cuminstream/pkg/queuer"
	"github.com/cuminstream/cuminstream/pkg/sharder"
)

const testShards = 16

// harness runs a dispatcher with the upstream client and stand-ins of upstreams
// over in-memory connections. It runs inside a synctest bubble, so that time is
// virtual.
type harness struct {
	t             testing.TB
	clock         clocker.System
	dispatcher    *dispatcher.Dispatcher
	client        *upstreamer.Client
	timeline      *timeliner.Recorder
	lease         *lease
	persist       atomic.Pointer[func(replicator.Assignment) error]
	currentHolder atomic.Pointer[dispatcher.Dispatcher] // to which a former holder reports outcomes
	service       configurer.Service
	document      configurer.Document

	mutex      sync.Mutex
	nodes      map[string]*node
	terminated []*standin.Upstream // stand-ins whose process has ended
	servers    sync.WaitGroup
}

// node is a stand-in and the listener at its address.
type node struct {
	upstream *standin.Upstream
	listener *pipeListener // closed once the process has ended
}

// lease is a replicator.Lease that stores the copied entries and can be made to
// expire or fail.
type lease struct {
	mutex   sync.Mutex
	term    uint64
	expired bool
	onCopy  func(replicator.Entries) error
	copies  []replicator.Entries
	onValid func()
}

func (lease *lease) Term() uint64 { return lease.term }

func (lease *lease) Valid() (time.Time, bool) {
	lease.mutex.Lock()
	defer lease.mutex.Unlock()
	if lease.onValid != nil {
		lease.onValid()
	}
	return time.Time{}, !lease.expired
}

func (lease *lease) Replicate(_ context.Context, entries replicator.Entries) error {
	lease.mutex.Lock()
	defer lease.mutex.Unlock()
	if lease.onCopy != nil {
		if err := lease.onCopy(entries); err != nil {
			return err
		}
	}
	lease.copies = append(lease.copies, entries)
	return nil
}

func (lease *lease) withLock(change func()) {
	lease.mutex.Lock()
	defer lease.mutex.Unlock()
	change()
}

// pipeListener is a net.Listener for in-memory connections.
type pipeListener struct {
	accepted chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

func (listener *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-listener.accepted:
		return conn, nil
	case <-listener.closed:
		return nil, net.ErrClosed
	}
}

func (listener *pipeListener) Close() error {
	listener.once.Do(func() { close(listener.closed) })
	return nil
}

func (listener *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// runHarness runs the test on a harness with the named upstreams, which have
// two slots each.
func runHarness(t *testing.T, checks bool, names []string, test func(*testing.T, *harness)) {
	synctest.Test(t, func(t *testing.T) {
		harness := newHarness(t, checks, names)
		defer harness.close()
		harness.beginTerm(harness.lease, replicator.State{})
		test(t, harness)
	})
}

func newHarness(t testing.TB, checks bool, names []string) *harness {
	harness := &harness{t: t, nodes: map[string]*node{}, lease: &lease{term: 1}}
	harness.client = upstreamer.New(harness.clock)
	harness.client.Dial = harness.dial
	harness.timeline = timeliner.New(harness.clock, "vm")
	harness.dispatcher = &dispatcher.Dispatcher{
		Group: "quotes.a.0", Clock: harness.clock, UpstreamClient: harness.client, Timeline: harness.timeline,
		Persist: func(_ context.Context, assignment replicator.Assignment) error {
			if persist := harness.persist.Load(); persist != nil {
				return (*persist)(assignment)
			}
			return nil
		},
	}
	harness.dispatcher.ReportOutcomes = harness.mergeOutcomes
	harness.service = configurer.Service{Name: "quotes", Shards: testShards, ChecksGrants: checks}
	for _, name := range names {
		harness.service.Upstreams = append(harness.service.Upstreams,
			configurer.Upstream{Name: name, Zone: "a", Address: name + ":80", Slots: 2, Connections: 10})
		harness.startNode(name)
	}
	harness.applyConfig()
	harness.dispatcher.SetHomeShards(allShards())
	return harness
}

func allShards() []uint32 {
	shards := make([]uint32, testShards)
	for shard := range shards {
		shards[shard] = uint32(shard)
	}
	return shards
}

func (harness *harness) mergeOutcomes(ctx context.Context, entries replicator.Entries) error {
	if holder := harness.currentHolder.Load(); holder != nil {
		return holder.MergeOutcomes(ctx, entries)
	}
	return errors.New("no holder is known")
}

func (harness *harness) applyConfig() {
	specs := harness.service.Groups()
	harness.dispatcher.Update(specs[0], harness.service, harness.document)
}

func (harness *harness) beginTerm(lease *lease, state replicator.State) {
	harness.lease = lease
	assert.NilError(harness.t, harness.dispatcher.Begin(context.Background(), lease, state))
	harness.sleep(100 * time.Millisecond)
}

func (harness *harness) startNode(name string) {
	harness.mutex.Lock()
	defer harness.mutex.Unlock()
	upstream := standin.New(standin.Settings{
		Name: name, Slots: 2, Connections: 20, ChecksGrants: harness.service.ChecksGrants,
		Lookup: 5 * time.Millisecond, Transaction: 20 * time.Millisecond, Upload: 50 * time.Millisecond,
	}, harness.clock)
	upstream.Crash = func() { harness.killNode(name) }
	listener := &pipeListener{accepted: make(chan net.Conn), closed: make(chan struct{})}
	server := upstream.Server()
	harness.servers.Go(func() { _ = server.Serve(listener) })
	harness.nodes[name] = &node{upstream: upstream, listener: listener}
}

// killNode ends the upstream's process.
func (harness *harness) killNode(name string) {
	harness.mutex.Lock()
	killed := harness.nodes[name]
	harness.mutex.Unlock()
	killed.upstream.Close()
}

func (harness *harness) restartNode(name string) {
	harness.mutex.Lock()
	harness.terminated = append(harness.terminated, harness.nodes[name].upstream)
	harness.mutex.Unlock()
	harness.startNode(name)
}

func (harness *harness) dial(ctx context.Context, _, address string) (net.Conn, error) {
	harness.mutex.Lock()
	listener := harness.nodes[address[:len(address)-len(":80")]].listener
	harness.mutex.Unlock()
	ours, theirs := net.Pipe()
	select {
	case listener.accepted <- theirs:
		return ours, nil
	case <-listener.closed:
		return nil, syscall.ECONNREFUSED
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (harness *harness) close() {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for _, node := range harness.nodes {
		node.upstream.UpdateBehavior(func(behavior *standin.Behavior) { behavior.Frozen = false })
	}
	assert.NilError(harness.t, harness.dispatcher.Run(ctx))
	harness.client.Close()
	for name := range harness.nodes {
		harness.killNode(name)
	}
	harness.servers.Wait()
	harness.sleep(time.Minute) // until the stand-ins have ended their requests
}

func (harness *harness) sleep(d time.Duration) {
	_ = clocker.Sleep(context.Background(), harness.clock, d)
}

func (harness *harness) request(id, key string, rank queuer.Rank) *carrier.Request {
	return &carrier.Request{
		ID: id, Service: "quotes", Group: "quotes.a.0", Key: key, Shard: sharder.ShardOf(key, testShards), Rank: rank,
		Idempotent: rank == queuer.Lookup, Deadline: harness.clock.Now().Add(5 * time.Second),
		Fingerprint: sharder.Hash(id), Method: http.MethodPost, Target: "/x", Host: "h", Header: http.Header{},
	}
}

// outcome is the result of one request as its caller sees it.
type outcome struct {
	upstream string
	status   int
	kind     answerer.Kind
	err      error
}

func (harness *harness) send(request *carrier.Request) outcome {
	return sendTo(harness.dispatcher, request)
}

func sendTo(handler carrier.Handler, request *carrier.Request) outcome {
	response, err := handler.Handle(context.Background(), request)
	if err != nil {
		return outcome{kind: answerer.From(err).Kind, err: err}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return outcome{kind: answerer.From(err).Kind, err: err}
	}
	var answer standin.ResponseBody
	if err := json.Unmarshal(data, &answer); err != nil {
		return outcome{kind: answerer.Internal, err: err}
	}
	if answer.Request != request.ID {
		return outcome{kind: answerer.Internal, err: fmt.Errorf("answer to %s instead of %s", answer.Request, request.ID)}
	}
	return outcome{upstream: answer.Upstream, status: response.Status}
}

// sendAsync sends the request from another goroutine, and returns once all
// goroutines of the bubble are blocked.
func (harness *harness) sendAsync(request *carrier.Request) <-chan outcome {
	result := make(chan outcome, 1)
	go func() { result <- harness.send(request) }()
	synctest.Wait()
	return result
}

// keyOf returns a key that is assigned to the upstream.
func (harness *harness) keyOf(name string) string {
	for n := range 10000 {
		if key := fmt.Sprintf("key-%d", n); harness.dispatcher.Owner(key) == name {
			return key
		}
	}
	harness.t.Fatalf("no key belongs to %s", name)
	return ""
}

// upstreamRecord is a record with the name of its upstream.
type upstreamRecord struct {
	standin.Record
	upstream string
}

// upstreamRecords returns the records of all stand-ins, including those whose
// process has ended, sorted by time. Of records with the same time, the ends of
// requests come first.
func (harness *harness) upstreamRecords() []upstreamRecord {
	harness.mutex.Lock()
	defer harness.mutex.Unlock()
	var records []upstreamRecord
	upstreams := slices.Clone(harness.terminated)
	for _, node := range harness.nodes {
		upstreams = append(upstreams, node.upstream)
	}
	for _, upstream := range upstreams {
		for _, record := range upstream.Records() {
			records = append(records, upstreamRecord{record, upstream.Name()})
		}
	}
	slices.SortStableFunc(records, func(a, b upstreamRecord) int {
		started := func(record upstreamRecord) int {
			if record.Kind == standin.Started {
				return 1
			}
			return 0
		}
		return cmp.Or(a.Time.Compare(b.Time), started(a)-started(b))
	})
	return records
}

func (harness *harness) records() []standin.Record {
	var records []standin.Record
	for _, record := range harness.upstreamRecords() {
		records = append(records, record.Record)
	}
	return records
}

func (harness *harness) startCount(id string) int {
	return standin.CountByRequest(harness.records(), standin.Started)[id]
}

func (harness *harness) setFrozen(name string, frozen bool) {
	harness.nodes[name].upstream.UpdateBehavior(func(behavior *standin.Behavior) { behavior.Frozen = frozen })
}

func (harness *harness) countEvents(kind string) int {
	count := 0
	for _, event := range harness.timeline.Events(timeliner.Filter{}) {
		if event.Kind == kind {
			count++
		}
	}
	return count
}

func (harness *harness) upstreamStatus(name string) dispatcher.UpstreamStatus {
	for _, status := range harness.dispatcher.Status().Upstreams {
		if status.Name == name {
			return status
		}
	}
	return dispatcher.UpstreamStatus{}
}

// successor returns a second dispatcher of the same group.
func (harness *harness) successor() *dispatcher.Dispatcher {
	successor := &dispatcher.Dispatcher{
		Group: "quotes.a.0", Clock: harness.clock, UpstreamClient: harness.client, Timeline: harness.timeline,
		ReportOutcomes: harness.mergeOutcomes,
	}
	successor.Update(harness.service.Groups()[0], harness.service, harness.document)
	return successor
}

func (harness *harness) stopDispatcher(stopped *dispatcher.Dispatcher) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	assert.NilError(harness.t, stopped.Run(ctx))
}

func usedSlots(of *dispatcher.Dispatcher, upstream string) int {
	for _, status := range of.Status().Upstreams {
		if status.Name == upstream {
			return status.UsedSlots
		}
	}
	return -1
}
