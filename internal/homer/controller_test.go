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

// fakeObjects is an object store in memory. All objects share one version.
type fakeObjects struct {
	values  map[string][]byte
	version int
}

func (objects *fakeObjects) Get(name string) (platformer.Object, bool) {
	value, ok := objects.values[name]
	return platformer.Object{Name: name, Value: value, Version: fmt.Sprint(objects.version)}, ok
}

func (objects *fakeObjects) Put(_ context.Context, name string, value []byte, version string) (string, error) {
	if _, exists := objects.values[name]; exists != (version != "") || exists && version != fmt.Sprint(objects.version) {
		return "", platformer.ErrConflict
	}
	objects.version++
	objects.values[name] = value
	return fmt.Sprint(objects.version), nil
}

// fakeGroups stands in for the groups of which a VM is a candidate.
type fakeGroups struct {
	held       map[string]bool
	drainFails bool
	moves      map[uint32]string // of the last DrainShards
	resumed    int               // number of calls to ResumeShards
}

func (groups *fakeGroups) Holds(group string) bool { return groups.held[group] }
func (groups *fakeGroups) ResumeShards(string)     { groups.resumed++ }

func (groups *fakeGroups) DrainShards(_ context.Context, _ string, moves map[uint32]string) error {
	groups.moves = moves
	if groups.drainFails {
		return errors.New("the receiving group has no holder")
	}
	return nil
}

// newService returns a service with one upstream of two slots in each zone.
func newService(zones ...string) configurer.Service {
	service := configurer.Service{Name: "quotes", Shards: 256}
	for _, zone := range zones {
		service.Upstreams = append(service.Upstreams, configurer.Upstream{Name: "q-" + zone, Zone: zone, Slots: 2})
	}
	return service
}

func newController(objects *fakeObjects, groups *fakeGroups, document *configurer.Document) *Controller {
	clock := clocker.NewFake(time.Unix(0, 0))
	return &Controller{
		Clock: clock, Objects: objects, Groups: groups, Position: func() int { return 0 }, Recorder: timeliner.New(clock, "vm"),
		Document: func() *configurer.Document { return document }, missingSince: map[string]time.Time{},
	}
}

// shardsByGroup returns the number of shards of each group in the stored shard map.
func shardsByGroup(t *testing.T, objects *fakeObjects) map[string]int {
	t.Helper()
	shardMap, err := locator.ParseShardMap(objects.values[ObjectName("quotes")])
	assert.NilError(t, err)
	counts := map[string]int{}
	for _, group := range shardMap.Shards {
		counts[shardMap.Groups[group]]++
	}
	return counts
}

// Guards against shards that stay with a group that has no upstreams any more, and against a
// new group that receives no shards.
func TestShardsFollowGroupsOfDocument(t *testing.T) {
	objects := &fakeObjects{values: map[string][]byte{}}
	groups := &fakeGroups{held: map[string]bool{"quotes.a.0": true, "quotes.b.0": true}}
	document := &configurer.Document{Sections: map[string]configurer.Section{"s": {Services: []configurer.Service{newService("a", "b")}}}}
	controller := newController(objects, groups, document)
	controller.checkServices(t.Context())
	assert.DeepEqual(t, shardsByGroup(t, objects), map[string]int{"quotes.a.0": 128, "quotes.b.0": 128})

	document.Sections["s"].Services[0] = newService("b", "c")
	for range 20 {
		controller.checkServices(t.Context())
	}
	assert.Equal(t, shardsByGroup(t, objects)["quotes.a.0"], 0)
	assert.Assert(t, min(shardsByGroup(t, objects)["quotes.b.0"], shardsByGroup(t, objects)["quotes.c.0"]) >= 102)

	groups.held["quotes.c.0"] = true
	document.Sections["s"].Services[0] = newService("b", "c", "d")
	for range 20 {
		controller.checkServices(t.Context())
	}
	for group, count := range shardsByGroup(t, objects) {
		assert.Assert(t, count >= 68 && count <= 107, "%s has %d of 256 shards", group, count)
	}
	version := objects.version
	controller.checkServices(t.Context())
	assert.Equal(t, objects.version, version, "shards moved although the groups did not change")
}

// Guards against a VM that moves shards of a group that it does not hold.
func TestOnlyHolderMovesShards(t *testing.T) {
	objects := &fakeObjects{values: map[string][]byte{}}
	document := &configurer.Document{Sections: map[string]configurer.Section{"s": {Services: []configurer.Service{newService("a", "b")}}}}
	controller := newController(objects, &fakeGroups{held: map[string]bool{}}, document)
	controller.checkServices(t.Context())
	document.Sections["s"].Services[0] = newService("b")
	controller.checkServices(t.Context())
	assert.DeepEqual(t, shardsByGroup(t, objects), map[string]int{"quotes.a.0": 128, "quotes.b.0": 128})
}

// Guards against a shard map that changes although the request IDs did not reach the
// receiving group, and against shards that are not served again after such a failure.
func TestShardMapIsUnchangedWhenDrainFails(t *testing.T) {
	objects := &fakeObjects{values: map[string][]byte{}}
	groups := &fakeGroups{held: map[string]bool{"quotes.a.0": true}, drainFails: true}
	current := InitialShardMap(newService("a"))
	value, err := json.Marshal(current)
	assert.NilError(t, err)
	objects.values[ObjectName("quotes")] = value
	controller := newController(objects, groups, &configurer.Document{})
	target, needed := targetShardMap(newService("a", "b"), current)
	assert.Assert(t, needed)
	moves := nextMoves(current, target, "quotes.a.0")
	assert.Equal(t, len(moves), maxMovesPerStep)
	assert.Assert(t, controller.moveShards(t.Context(), current, target, "quotes.a.0", moves, "0") != nil)
	assert.DeepEqual(t, shardsByGroup(t, objects), map[string]int{"quotes.a.0": 256})
	assert.Equal(t, groups.resumed, 1)
}
