package homer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cuminstream/cuminstream/internal/configurer"
	"github.com/cuminstream/cuminstream/internal/locator"
	"github.com/cuminstream/cuminstream/internal/platformer"
	"github.com/cuminstream/cuminstream/internal/timeliner"
	"github.com/cuminstream/cuminstream/pkg/clocker"
)

// objects is a fake of the object store.
type objects struct {
	values  map[string][]byte
	version int
}

func (objects *objects) Get(name string) (platformer.Object, bool) {
	value, ok := objects.values[name]
	return platformer.Object{Name: name, Value: value, Version: fmt.Sprint(objects.version)}, ok
}

func (objects *objects) Put(_ context.Context, name string, value []byte, version string) (string, error) {
	if _, exists := objects.values[name]; exists != (version != "") || exists && version != fmt.Sprint(objects.version) {
		return "", platformer.ErrConflict
	}
	objects.version++
	objects.values[name] = value
	return fmt.Sprint(objects.version), nil
}

// groups is a fake of the groups that a VM serves.
type groups struct {
	held      map[string]bool
	fails     bool
	withdrawn map[uint32]string
	resumed   int
}

func (groups *groups) Holds(group string) bool { return groups.held[group] }
func (groups *groups) ResumeShards(string)     { groups.resumed++ }

func (groups *groups) DrainShards(_ context.Context, _ string, moves map[uint32]string) error {
	groups.withdrawn = moves
	if groups.fails {
		return errors.New("the receiving group has no holder")
	}
	return nil
}

func service(zones ...string) configurer.Service {
	made := configurer.Service{Name: "quotes", Shards: 256}
	for _, zone := range zones {
		made.Upstreams = append(made.Upstreams, configurer.Upstream{Name: "q-" + zone, Zone: zone, Slots: 2})
	}
	return made
}

func newHomer(store *objects, served *groups, document *configurer.Document) *Controller {
	clock := clocker.NewFake(time.Unix(0, 0))
	return &Controller{
		Clock: clock, Objects: store, Groups: served, Position: func() int { return 0 }, Recorder: timeliner.New(clock, "vm"),
		Document: func() *configurer.Document { return document }, since: map[string]time.Time{},
	}
}

func counts(t *testing.T, store *objects) map[string]int {
	t.Helper()
	homes, err := locator.ParseShardMap(store.values[ObjectName("quotes")])
	assert.NilError(t, err)
	count := map[string]int{}
	for _, group := range homes.Shards {
		count[homes.Groups[group]]++
	}
	return count
}

// Guards against shards that stay with a group without upstreams, and against a
// new group that never receives any.
func TestShardsFollowTheGroupsOfTheDocument(t *testing.T) {
	store := &objects{values: map[string][]byte{}}
	served := &groups{held: map[string]bool{"quotes.a.0": true, "quotes.b.0": true}}
	document := &configurer.Document{Sections: map[string]configurer.Section{"s": {Services: []configurer.Service{service("a", "b")}}}}
	homer := newHomer(store, served, document)
	homer.checkAll(t.Context())
	assert.DeepEqual(t, counts(t, store), map[string]int{"quotes.a.0": 128, "quotes.b.0": 128})

	document.Sections["s"].Services[0] = service("b", "c")
	for range 20 {
		homer.checkAll(t.Context())
	}
	assert.Equal(t, counts(t, store)["quotes.a.0"], 0)
	assert.Assert(t, min(counts(t, store)["quotes.b.0"], counts(t, store)["quotes.c.0"]) >= 102)

	served.held["quotes.c.0"] = true
	document.Sections["s"].Services[0] = service("b", "c", "d")
	for range 20 {
		homer.checkAll(t.Context())
	}
	for group, count := range counts(t, store) {
		assert.Assert(t, count >= 68 && count <= 107, "%s has %d of 256 shards", group, count)
	}
	moves := store.version
	homer.checkAll(t.Context())
	assert.Equal(t, store.version, moves, "shards moved without a change of the groups")
}

// Guards against shards that another VM's group would have to give away.
func TestOnlyTheHolderGivesShardsAway(t *testing.T) {
	store := &objects{values: map[string][]byte{}}
	document := &configurer.Document{Sections: map[string]configurer.Section{"s": {Services: []configurer.Service{service("a", "b")}}}}
	homer := newHomer(store, &groups{held: map[string]bool{}}, document)
	homer.checkAll(t.Context())
	document.Sections["s"].Services[0] = service("b")
	homer.checkAll(t.Context())
	assert.DeepEqual(t, counts(t, store), map[string]int{"quotes.a.0": 128, "quotes.b.0": 128})
}

// Guards against homes that change although the request IDs did not reach the
// receiving group, and against shards that stay withdrawn after that.
func TestHomesStayWhenTheWithdrawalFails(t *testing.T) {
	store := &objects{values: map[string][]byte{}}
	served := &groups{held: map[string]bool{"quotes.a.0": true}, fails: true}
	homes := InitialShardMap(service("a"))
	value, err := json.Marshal(homes)
	assert.NilError(t, err)
	store.values[ObjectName("quotes")] = value
	homer := newHomer(store, served, &configurer.Document{})
	next, changed := target(service("a", "b"), homes)
	assert.Assert(t, changed)
	moves := movesOf(homes, next, "quotes.a.0")
	assert.Equal(t, len(moves), maxMoves)
	assert.Assert(t, homer.giveAway(t.Context(), homes, next, "quotes.a.0", moves, "0") != nil)
	assert.DeepEqual(t, counts(t, store), map[string]int{"quotes.a.0": 256})
	assert.Equal(t, served.resumed, 1)
}
