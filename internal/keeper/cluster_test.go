package keeper_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cuminstream/cuminstream/internal/keeper"
	"github.com/cuminstream/cuminstream/internal/storer"
	"github.com/cuminstream/cuminstream/pkg/broker"
	"github.com/cuminstream/cuminstream/pkg/clocker"
)

// errCallFailed is the error of calls that an injected fault fails.
var errCallFailed = errors.New("call failed by an injected fault")

// cluster simulates the store and a set of upstreams that check the grants they get,
// and injects faults into the calls of brokers. The mutex guards all of it.
type cluster struct {
	t     *testing.T
	mutex sync.Mutex
	// random decides which calls fail.
	random *rand.Rand

	upstreams map[string]*fakeUpstream // by address
	objects   map[string]storer.Object
	claimed   uint64 // term of the last broker that has written its claim
	era       uint64 // of the store
	revision  uint64
	storeDown bool
	// maxTTL is the longest lifetime of a grant that upstreams accept; 0 for no limit.
	maxTTL time.Duration

	lostAnswerRate float64 // share of calls whose answer is lost
	lateGrantRate  float64 // share of grants that get no answer and take effect seconds later
	// events are the calls so far, to explain a violation.
	events            []event
	violationReported bool
	// fences is the highest fencing token that any upstream got, and holders the
	// upstream that got it, by key.
	fences  [broker.KeyCount]uint64
	holders [broker.KeyCount]string
}

// event is a grant or release call as an upstream received it.
type event struct {
	at       time.Time
	call     string
	term     uint64
	upstream string
	keys     keeper.Range
	fence    uint64
}

// recordEvent adds an event. The mutex is held.
func (cluster *cluster) recordEvent(call string, term uint64, upstream string, keys keeper.Range, fence uint64) {
	cluster.events = append(cluster.events, event{time.Now(), call, term, upstream, keys, fence})
}

// reportViolation fails the test. The first violation is logged with the events of the
// last 20 s that concern its key. The mutex is held.
func (cluster *cluster) reportViolation(key int, format string, args ...any) {
	cluster.t.Errorf("key %d: %s", key, fmt.Sprintf(format, args...))
	if cluster.violationReported {
		return
	}
	cluster.violationReported = true
	for _, event := range cluster.events {
		if event.keys.From <= key && key <= event.keys.To && time.Since(event.at) < 20*time.Second {
			cluster.t.Logf("%v ago: %s, term %d, %s, keys %v, fence %d", time.Since(event.at), event.call, event.term, event.upstream, event.keys, event.fence)
		}
	}
}

// fakeUpstream accepts and checks grants as the upstreams of the platform do.
type fakeUpstream struct {
	info         broker.Upstream
	running      bool
	unreachable  bool
	highestFence [broker.KeyCount]uint64
	expiry       [broker.KeyCount]time.Time
}

func newCluster(t *testing.T, seed uint64) *cluster {
	return &cluster{
		t: t, random: rand.New(rand.NewPCG(seed, 1)),
		upstreams: map[string]*fakeUpstream{}, objects: map[string]storer.Object{},
	}
}

// addUpstream starts an upstream. It replaces one that runs at its address.
func (cluster *cluster) addUpstream(id string, startedAt int64) *fakeUpstream {
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	address := id + ":80"
	if old := cluster.upstreams[address]; old != nil {
		old.running = false
	}
	upstream := &fakeUpstream{running: true, info: broker.Upstream{ID: id, StartedAt: startedAt, Service: "quotes", Address: address, Zone: "a", Slots: 2}}
	cluster.upstreams[address] = upstream
	return upstream
}

// registered returns the upstreams that are running.
func (cluster *cluster) registered() []broker.Upstream {
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	var list []broker.Upstream
	for _, upstream := range cluster.upstreams {
		if upstream.running {
			list = append(list, upstream.info)
		}
	}
	return list
}

// acceptGrant checks a grant and applies it. The mutex is held.
func (cluster *cluster) acceptGrant(upstream *fakeUpstream, grant keeper.Grant, arrived time.Time) error {
	now := time.Now()
	expiry := arrived.Add(time.Duration(float64(grant.TTL) * 1.02)) // a slow clock
	if !upstream.running || !now.Before(expiry) || (cluster.maxTTL > 0 && grant.TTL > cluster.maxTTL) {
		return errCallFailed
	}
	for key := grant.Keys.From; key <= grant.Keys.To; key++ {
		if upstream.highestFence[key] > grant.Fence {
			return keeper.ErrFenced
		}
	}
	var others []*fakeUpstream // that may hold keys
	for _, other := range cluster.upstreams {
		if other != upstream && other.running {
			others = append(others, other)
		}
	}
	for key := grant.Keys.From; key <= grant.Keys.To; key++ {
		for _, other := range others {
			if now.Before(other.expiry[key]) {
				cluster.reportViolation(key, "%s gets fence %d while %s holds it for %v", upstream.info.ID, grant.Fence, other.info.ID, other.expiry[key].Sub(now))
				return errCallFailed
			}
		}
		// A renewal may reach a new incarnation of the upstream before it is registered.
		// That is the same grant again.
		id := upstream.info.ID
		if cluster.holders[key] != id && cluster.fences[key] >= grant.Fence {
			cluster.reportViolation(key, "%s gets fence %d; %s had %d", id, grant.Fence, cluster.holders[key], cluster.fences[key])
			return errCallFailed
		}
		cluster.holders[key], cluster.fences[key] = id, max(cluster.fences[key], grant.Fence)
		upstream.highestFence[key] = max(upstream.highestFence[key], grant.Fence)
		upstream.expiry[key] = expiry
	}
	return nil
}

// fakeGranter makes the calls of one broker to the upstreams.
type fakeGranter struct {
	cluster *cluster
	term    uint64
	// connections are the open ones, by address, with the process at the other end. A call
	// that fails closes its connection.
	connections map[string]*fakeUpstream
}

// waitForCancel waits until the context is done.
func waitForCancel(ctx context.Context) error {
	<-ctx.Done()
	return errCallFailed
}

// connect returns the process of the upstream at the address, over the open connection or a
// new one, which it confirms. The mutex is held, and released during the confirmation.
func (granter fakeGranter) connect(ctx context.Context, address string, confirm func(ctx context.Context) error) (*fakeUpstream, error) {
	cluster := granter.cluster
	upstream := cluster.upstreams[address]
	if upstream != nil && granter.connections[address] != upstream {
		delete(granter.connections, address)
		cluster.mutex.Unlock()
		err := confirm(ctx)
		cluster.mutex.Lock()
		if err != nil {
			return nil, err
		}
		granter.connections[address] = upstream
	}
	if upstream == nil || !upstream.running || upstream.unreachable || ctx.Err() != nil {
		return nil, errCallFailed
	}
	return upstream, nil
}

func (granter fakeGranter) Grant(ctx context.Context, owner keeper.Owner, grant keeper.Grant, confirm func(ctx context.Context) error) (err error) {
	address := owner.Address
	time.Sleep(2 * time.Millisecond)
	cluster := granter.cluster
	cluster.mutex.Lock()
	defer func() {
		if err != nil && !errors.Is(err, keeper.ErrFenced) {
			cluster.mutex.Lock()
			delete(granter.connections, address)
			cluster.mutex.Unlock()
		}
	}()
	draw := cluster.random.Float64()
	upstream, err := granter.connect(ctx, address, confirm)
	if err != nil {
		cluster.mutex.Unlock()
		return waitForCancel(ctx)
	}
	arrived := time.Now()
	if draw < cluster.lateGrantRate {
		cluster.recordEvent("late grant", granter.term, address, grant.Keys, grant.Fence)
		delay := time.Duration(2+10*cluster.random.Float64()) * time.Second
		time.AfterFunc(delay, func() {
			cluster.mutex.Lock()
			defer cluster.mutex.Unlock()
			_ = cluster.acceptGrant(upstream, grant, arrived)
		})
		cluster.mutex.Unlock()
		return waitForCancel(ctx)
	}
	err = cluster.acceptGrant(upstream, grant, arrived)
	lost := draw < cluster.lateGrantRate+cluster.lostAnswerRate
	cluster.recordEvent(fmt.Sprint("grant: ", err, ", answer lost: ", lost), granter.term, address, grant.Keys, grant.Fence)
	cluster.mutex.Unlock()
	if lost {
		return waitForCancel(ctx)
	}
	return err
}

func (granter fakeGranter) Release(ctx context.Context, owner keeper.Owner, keys keeper.Range, fence uint64) (string, error) {
	address := owner.Address
	time.Sleep(20 * time.Millisecond) // running requests end
	cluster := granter.cluster
	cluster.mutex.Lock()
	upstream := cluster.upstreams[address]
	if upstream == nil || !upstream.running || upstream.unreachable || ctx.Err() != nil {
		cluster.mutex.Unlock()
		return "", waitForCancel(ctx)
	}
	for key := keys.From; key <= keys.To; key++ {
		upstream.highestFence[key] = max(upstream.highestFence[key], fence)
		upstream.expiry[key] = time.Time{}
	}
	lost := cluster.random.Float64() < cluster.lostAnswerRate
	cluster.recordEvent(fmt.Sprint("release, answer lost: ", lost), granter.term, address, keys, fence)
	cluster.mutex.Unlock()
	if lost {
		return "", waitForCancel(ctx)
	}
	return "token", nil
}

// fakeStore is the object store. It may be down, and answers may be lost.
type fakeStore struct {
	storer.Store
	cluster *cluster
	cutOff  *atomic.Bool // the broker does not reach the store
}

// begin delays a call and fails it if the store is down.
func (store fakeStore) begin() error {
	time.Sleep(4 * time.Millisecond)
	store.cluster.mutex.Lock()
	defer store.cluster.mutex.Unlock()
	if store.cluster.storeDown || store.cutOff.Load() {
		return errCallFailed
	}
	return nil
}

// failSome returns the object or, at the rate of lost answers, an error. The mutex is
// held.
func (store fakeStore) failSome(object storer.Object) (storer.Object, error) {
	if store.cluster.random.Float64() < store.cluster.lostAnswerRate {
		return storer.Object{}, errCallFailed
	}
	return object, nil
}

func (store fakeStore) Get(_ context.Context, _, name string) (storer.Object, error) {
	if err := store.begin(); err != nil {
		return storer.Object{}, err
	}
	store.cluster.mutex.Lock()
	defer store.cluster.mutex.Unlock()
	object, ok := store.cluster.objects[name]
	if !ok {
		return storer.Object{Era: store.cluster.era}, storer.ErrNotFound
	}
	object.Era = store.cluster.era
	return store.failSome(object)
}

func (store fakeStore) Create(_ context.Context, _, name string, spec any) (storer.Object, error) {
	return store.write(name, 0, spec)
}

func (store fakeStore) Replace(_ context.Context, _, name string, version storer.Version, spec any) (storer.Object, error) {
	store.cluster.mutex.Lock()
	changed := version.Era < store.cluster.era
	store.cluster.mutex.Unlock()
	if changed {
		return storer.Object{}, storer.ErrEraChanged
	}
	object, err := store.write(name, version.Revision, spec)
	if err == nil && object.Era != version.Era {
		err = storer.ErrEraChanged
	}
	return object, err
}

// write writes an object that must have the given revision.
func (store fakeStore) write(name string, revision uint64, spec any) (storer.Object, error) {
	if err := store.begin(); err != nil {
		return storer.Object{}, err
	}
	data, err := json.Marshal(spec)
	if err != nil {
		return storer.Object{}, err
	}
	store.cluster.mutex.Lock()
	defer store.cluster.mutex.Unlock()
	if store.cluster.objects[name].Revision != revision {
		return storer.Object{}, storer.ErrConflict
	}
	store.cluster.revision++
	object := storer.Object{Name: name, Era: store.cluster.era, Revision: store.cluster.revision, Spec: data}
	store.cluster.objects[name] = object
	return store.failSome(object)
}

// fakeAuthority is the authority of one broker.
type fakeAuthority struct {
	cluster      *cluster
	term         uint64
	mutex        sync.Mutex
	era          uint64
	claimedAt    time.Time // in this era
	disputed     bool      // not all VMs have confirmed this broker in this era
	renewUntil   time.Time // until when grants may be renewed; zero for no limit
	relyOnExpiry bool
}

func (authority *fakeAuthority) MayRenew() bool {
	authority.mutex.Lock()
	defer authority.mutex.Unlock()
	return authority.renewUntil.IsZero() || time.Now().Before(authority.renewUntil)
}

func (authority *fakeAuthority) MayRelyOnExpiry() bool { return authority.relyOnExpiry }

// Confirm implements keeper.Authority: no VM and no store confirms a broker that was replaced.
func (authority *fakeAuthority) Confirm(ctx context.Context) error {
	time.Sleep(4 * time.Millisecond)
	authority.cluster.mutex.Lock()
	replaced := authority.cluster.claimed > authority.term
	authority.cluster.mutex.Unlock()
	if replaced {
		return waitForCancel(ctx)
	}
	return nil
}

// Era implements keeper.Authority. The broker writes its claim as soon as it knows the era.
func (authority *fakeAuthority) Era() keeper.EraStatus {
	authority.cluster.mutex.Lock()
	era := authority.cluster.era
	authority.cluster.mutex.Unlock()
	authority.mutex.Lock()
	defer authority.mutex.Unlock()
	if era > authority.era || authority.claimedAt.IsZero() {
		authority.era, authority.claimedAt = era, time.Now()
	}
	return keeper.EraStatus{Era: era, ClaimedAt: authority.claimedAt, Undisputed: !authority.disputed}
}

func (authority *fakeAuthority) stopRenewalsAt(end time.Time) {
	authority.mutex.Lock()
	defer authority.mutex.Unlock()
	authority.renewUntil = end
}

// runningBroker is a process in one term as broker.
type runningBroker struct {
	keeper    *keeper.Keeper
	broker    *broker.Broker
	authority *fakeAuthority
	cutOff    atomic.Bool // from the store
	cancel    context.CancelFunc
	done      chan struct{}
}

// restoredRenewals is how long brokers whose claims were lost in a restore may renew.
const restoredRenewals = 9 * time.Second

// startBroker starts a broker in the given term.
func (cluster *cluster) startBroker(term uint64, staleRenewals time.Duration) *runningBroker {
	ctx, cancel := context.WithCancel(context.Background())
	cluster.mutex.Lock()
	cluster.claimed = max(cluster.claimed, term)
	cluster.mutex.Unlock()
	started := &runningBroker{authority: &fakeAuthority{cluster: cluster, term: term, relyOnExpiry: true}, cancel: cancel, done: make(chan struct{})}
	started.broker = &broker.Broker{Service: "quotes", Clock: clocker.System{}}
	started.keeper = &keeper.Keeper{
		Service: "quotes", BootID: fmt.Sprint("boot", term), Term: term, Clock: clocker.System{}, Store: fakeStore{cluster: cluster, cutOff: &started.cutOff},
		Granter: fakeGranter{cluster, term, map[string]*fakeUpstream{}}, Broker: started.broker, Log: slog.New(slog.DiscardHandler), MaxGrantTTL: 10 * time.Second,
		StaleRenewals: staleRenewals, RestoredRenewals: restoredRenewals, Authority: started.authority,
	}
	started.keeper.Init()
	started.broker.Owners = started.keeper
	started.setUpstreams(cluster.registered())
	go func() {
		defer close(started.done)
		_ = started.keeper.Run(ctx)
	}()
	return started
}

func (running *runningBroker) setUpstreams(list []broker.Upstream) {
	running.broker.SetUpstreams(list)
	running.keeper.SetUpstreams(list)
}

func (running *runningBroker) stop() {
	running.cancel()
	<-running.done
}

// heldFraction returns the fraction of keys that their owners hold, as far as the
// keeper knows.
func (running *runningBroker) heldFraction() float64 {
	count := 0
	for key := 0; key < broker.KeyCount; key += 64 {
		if running.keeper.Owner(key).Held {
			count++
		}
	}
	return float64(count) / (broker.KeyCount / 64)
}
