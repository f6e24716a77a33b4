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

// bench runs a dispatcher, the adapter and stand-ins over connections in
// memory, inside a synctest bubble: time is virtual.
type bench struct {
	t          testing.TB
	clock      clocker.System
	dispatcher *dispatcher.Dispatcher
	client     *upstreamer.Client
	timeline   *timeliner.Recorder
	lease      *lease
	persist    atomic.Pointer[func(replicator.Assignment) error]
	report     atomic.Pointer[dispatcher.Dispatcher] // present holder, for the former one
	service    configurer.Service
	document   configurer.Document

	mutex   sync.Mutex
	nodes   map[string]*node
	retired []*standin.Upstream // stand-ins whose process has ended
	served  sync.WaitGroup
}

// node is the network address of a stand-in.
type node struct {
	stand    *standin.Upstream
	listener *pipeListener // nil while the process does not run
}

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

func (lease *lease) set(change func()) {
	lease.mutex.Lock()
	defer lease.mutex.Unlock()
	change()
}

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

// run runs the test on a bench with the named upstreams of two slots each.
func run(t *testing.T, checks bool, names []string, test func(*testing.T, *bench)) {
	synctest.Test(t, func(t *testing.T) {
		bench := newBench(t, checks, names)
		defer bench.close()
		bench.begin(bench.lease, replicator.State{})
		test(t, bench)
	})
}

func newBench(t testing.TB, checks bool, names []string) *bench {
	bench := &bench{t: t, nodes: map[string]*node{}, lease: &lease{term: 1}}
	bench.client = upstreamer.New(bench.clock)
	bench.client.Dial = bench.dial
	bench.timeline = timeliner.New(bench.clock, "vm")
	bench.dispatcher = &dispatcher.Dispatcher{
		Group: "quotes.a.0", Clock: bench.clock, UpstreamClient: bench.client, Timeline: bench.timeline,
		Persist: func(_ context.Context, assignment replicator.Assignment) error {
			if persist := bench.persist.Load(); persist != nil {
				return (*persist)(assignment)
			}
			return nil
		},
	}
	bench.dispatcher.ReportOutcomes = bench.reportTo
	bench.service = configurer.Service{Name: "quotes", Shards: testShards, ChecksGrants: checks}
	for _, name := range names {
		bench.service.Upstreams = append(bench.service.Upstreams,
			configurer.Upstream{Name: name, Zone: "a", Address: name + ":80", Slots: 2, Connections: 10})
		bench.startNode(name)
	}
	bench.update()
	bench.dispatcher.SetHomeShards(allShards())
	return bench
}

func allShards() []uint32 {
	shards := make([]uint32, testShards)
	for shard := range shards {
		shards[shard] = uint32(shard)
	}
	return shards
}

func (bench *bench) reportTo(ctx context.Context, entries replicator.Entries) error {
	if holder := bench.report.Load(); holder != nil {
		return holder.MergeOutcomes(ctx, entries)
	}
	return errors.New("no holder is known")
}

func (bench *bench) update() {
	specs := bench.service.Groups()
	bench.dispatcher.Update(specs[0], bench.service, bench.document)
}

func (bench *bench) begin(lease *lease, state replicator.State) {
	bench.lease = lease
	assert.NilError(bench.t, bench.dispatcher.Begin(context.Background(), lease, state))
	bench.sleep(100 * time.Millisecond)
}

func (bench *bench) startNode(name string) {
	bench.mutex.Lock()
	defer bench.mutex.Unlock()
	stand := standin.New(standin.Settings{
		Name: name, Slots: 2, Connections: 20, ChecksGrants: bench.service.ChecksGrants,
		Lookup: 5 * time.Millisecond, Transaction: 20 * time.Millisecond, Upload: 50 * time.Millisecond,
	}, bench.clock)
	stand.Crash = func() { bench.kill(name) }
	listener := &pipeListener{accepted: make(chan net.Conn), closed: make(chan struct{})}
	server := stand.Server()
	bench.served.Go(func() { _ = server.Serve(listener) })
	bench.nodes[name] = &node{stand: stand, listener: listener}
}

// kill ends the upstream's process.
func (bench *bench) kill(name string) {
	bench.mutex.Lock()
	killed := bench.nodes[name]
	bench.mutex.Unlock()
	killed.stand.Close()
}

func (bench *bench) restart(name string) {
	bench.mutex.Lock()
	bench.retired = append(bench.retired, bench.nodes[name].stand)
	bench.mutex.Unlock()
	bench.startNode(name)
}

func (bench *bench) dial(ctx context.Context, _, address string) (net.Conn, error) {
	bench.mutex.Lock()
	listener := bench.nodes[address[:len(address)-len(":80")]].listener
	bench.mutex.Unlock()
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

func (bench *bench) close() {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for _, node := range bench.nodes {
		node.stand.Change(func(behavior *standin.Behavior) { behavior.Frozen = false })
	}
	assert.NilError(bench.t, bench.dispatcher.Run(ctx))
	bench.client.Close()
	for name := range bench.nodes {
		bench.kill(name)
	}
	bench.served.Wait()
	bench.sleep(time.Minute) // for the work that the stand-ins have not ended
}

func (bench *bench) sleep(d time.Duration) {
	_ = clocker.Sleep(context.Background(), bench.clock, d)
}

func (bench *bench) request(id, key string, rank queuer.Rank) *carrier.Request {
	return &carrier.Request{
		ID: id, Service: "quotes", Group: "quotes.a.0", Key: key, Shard: sharder.ShardOf(key, testShards), Rank: rank,
		Idempotent: rank == queuer.Lookup, Deadline: bench.clock.Now().Add(5 * time.Second),
		Fingerprint: sharder.Hash(id), Method: http.MethodPost, Target: "/x", Host: "h", Header: http.Header{},
	}
}

// outcome is the end of one request as its caller sees it.
type outcome struct {
	upstream string
	status   int
	kind     answerer.Kind
	err      error
}

func (bench *bench) send(request *carrier.Request) outcome { return sendTo(bench.dispatcher, request) }

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
	var answer standin.Answer
	if err := json.Unmarshal(data, &answer); err != nil {
		return outcome{kind: answerer.Internal, err: err}
	}
	if answer.Request != request.ID {
		return outcome{kind: answerer.Internal, err: fmt.Errorf("answer to %s instead of %s", answer.Request, request.ID)}
	}
	return outcome{upstream: answer.Upstream, status: response.Status}
}

// async sends the request from another goroutine.
func (bench *bench) async(request *carrier.Request) <-chan outcome {
	result := make(chan outcome, 1)
	go func() { result <- bench.send(request) }()
	synctest.Wait()
	return result
}

// keyOf returns a key that the upstream owns.
func (bench *bench) keyOf(name string) string {
	for n := range 10000 {
		if key := fmt.Sprintf("key-%d", n); bench.dispatcher.Owner(key) == name {
			return key
		}
	}
	bench.t.Fatalf("no key belongs to %s", name)
	return ""
}

// ownedRecord is a record with the name of its upstream.
type ownedRecord struct {
	standin.Record
	upstream string
}

// ownerRecords returns the records of all stand-ins, including those whose
// process has ended, in the order of time. Of records with the same time, ends
// come first.
func (bench *bench) ownerRecords() []ownedRecord {
	bench.mutex.Lock()
	defer bench.mutex.Unlock()
	var records []ownedRecord
	stands := slices.Clone(bench.retired)
	for _, node := range bench.nodes {
		stands = append(stands, node.stand)
	}
	for _, stand := range stands {
		for _, record := range stand.Records() {
			records = append(records, ownedRecord{record, stand.Name()})
		}
	}
	slices.SortStableFunc(records, func(a, b ownedRecord) int {
		started := func(record ownedRecord) int {
			if record.Kind == standin.Started {
				return 1
			}
			return 0
		}
		return cmp.Or(a.Time.Compare(b.Time), started(a)-started(b))
	})
	return records
}

func (bench *bench) records() []standin.Record {
	var records []standin.Record
	for _, record := range bench.ownerRecords() {
		records = append(records, record.Record)
	}
	return records
}

func (bench *bench) starts(id string) int {
	return standin.Counts(bench.records(), standin.Started)[id]
}

func (bench *bench) freeze(name string, frozen bool) {
	bench.nodes[name].stand.Change(func(behavior *standin.Behavior) { behavior.Frozen = frozen })
}

func (bench *bench) events(kind string) int {
	count := 0
	for _, event := range bench.timeline.Events(timeliner.Filter{}) {
		if event.Kind == kind {
			count++
		}
	}
	return count
}

func (bench *bench) upstream(name string) dispatcher.UpstreamStatus {
	for _, status := range bench.dispatcher.Status().Upstreams {
		if status.Name == name {
			return status
		}
	}
	return dispatcher.UpstreamStatus{}
}

// successor returns a second dispatcher of the same group.
func (bench *bench) successor() *dispatcher.Dispatcher {
	successor := &dispatcher.Dispatcher{
		Group: "quotes.a.0", Clock: bench.clock, UpstreamClient: bench.client, Timeline: bench.timeline,
		ReportOutcomes: bench.reportTo,
	}
	successor.Update(bench.service.Groups()[0], bench.service, bench.document)
	return successor
}

func (bench *bench) end(ended *dispatcher.Dispatcher) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	assert.NilError(bench.t, ended.Run(ctx))
}

func taken(of *dispatcher.Dispatcher, upstream string) int {
	for _, status := range of.Status().Upstreams {
		if status.Name == upstream {
			return status.UsedSlots
		}
	}
	return -1
}
