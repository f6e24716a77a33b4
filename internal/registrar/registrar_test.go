package registrar_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cuminstream/cuminstream/internal/registrar"
	"github.com/cuminstream/cuminstream/internal/storer"
	"github.com/cuminstream/cuminstream/pkg/broker"
	"github.com/cuminstream/cuminstream/pkg/clocker"
)

func decode(object storer.Object) (registrar.Entry, error) {
	entry := registrar.Entry{Upstream: broker.Upstream{ID: object.Name}}
	if string(object.Spec) == "rubbish" {
		return entry, errors.New("rubbish")
	}
	return entry, json.Unmarshal(object.Spec, &entry)
}

func object(name, spec string) storer.Object {
	return storer.Object{Name: name, Spec: json.RawMessage(spec)}
}

func newRegistrar() (*registrar.Registrar, func() []string) {
	var mutex sync.Mutex
	var last []string
	created := &registrar.Registrar{
		Clock: clocker.System{}, Log: slog.New(slog.DiscardHandler), Decode: decode,
		OnChange: func(list []broker.Upstream) {
			mutex.Lock()
			defer mutex.Unlock()
			last = nil
			for _, upstream := range list {
				last = append(last, upstream.ID)
			}
		},
	}
	return created, func() []string {
		mutex.Lock()
		defer mutex.Unlock()
		return last
	}
}

// Changes that arrive together must be reported as one: a report costs time in proportion
// to the length of the list, and during the start of a large site there are as many
// changes as entries.
func TestChangesAreReportedTogether(t *testing.T) {
	created, _ := newRegistrar()
	created.HandleList(nil)
	reports := 0
	created.OnChange = func([]broker.Upstream) { reports++ }
	var changes []storer.Change
	for i := range 500 {
		changes = append(changes, storer.Change{Object: object(fmt.Sprint(i), `{"Slots":1}`)})
	}
	created.HandleChanges(changes)
	assert.Equal(t, reports, 1)
	created.HandleChanges(changes)
	assert.Equal(t, reports, 1, "nothing has changed")
}

// An entry that cannot be decoded, perhaps of another writer, is ignored. The other
// entries stay, and so does the last valid entry of the same name.
func TestUndecodableEntry(t *testing.T) {
	created, last := newRegistrar()
	created.HandleList([]storer.Object{object("a", `{"Slots":1}`), object("b", `rubbish`)})
	assert.DeepEqual(t, last(), []string{"a"})
	created.HandleChanges([]storer.Change{{Object: object("a", "rubbish")}})
	assert.DeepEqual(t, last(), []string{"a"})
	created.HandleChanges([]storer.Change{{Object: object("a", ""), Deleted: true}})
	assert.Equal(t, len(last()), 0)
}

// Upstreams whose entries lapsed during an outage of the store are kept for about two
// seconds after it, and removed if the entries have not returned by then.
func TestLapsedEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		created, last := newRegistrar()
		created.HandleList([]storer.Object{object("a", `{"Slots":1}`), object("b", `{"Slots":1}`)})
		time.Sleep(10 * time.Second)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		defer func() {
			cancel()
			<-done
		}()
		go func() {
			defer close(done)
			assert.Check(t, created.Run(ctx))
		}()
		created.HandleResponse(time.Now(), true)
		created.HandleList(nil)
		assert.DeepEqual(t, last(), []string{"a", "b"})
		time.Sleep(time.Second)
		created.HandleChanges([]storer.Change{{Object: object("b", `{"Slots":1}`)}})
		time.Sleep(1500 * time.Millisecond)
		assert.DeepEqual(t, last(), []string{"b"})
	})
}

// Without an outage, an upstream whose entry is deleted is removed at once.
func TestRemovedEntry(t *testing.T) {
	created, last := newRegistrar()
	created.HandleList([]storer.Object{object("a", `{"Slots":1}`), object("b", `{"Slots":1}`)})
	created.HandleChanges([]storer.Change{{Object: object("a", ""), Deleted: true}})
	assert.DeepEqual(t, last(), []string{"b"})
}

// A check-in that the store carries out late must not undo a later one: a draining
// upstream got new requests until its next check-in (review/5), and an upstream that had
// left would come back.
func TestLateCheckIn(t *testing.T) {
	ready := func(startedAt, sequence int) storer.Change {
		return storer.Change{Object: object("a", fmt.Sprintf(`{"StartedAt":%d,"Sequence":%d}`, startedAt, sequence))}
	}
	draining := func(startedAt, sequence int) storer.Change {
		return storer.Change{Object: object("a", fmt.Sprintf(`{"StartedAt":%d,"Sequence":%d,"Draining":true}`, startedAt, sequence))}
	}
	gone := storer.Change{Object: object("a", ""), Deleted: true}
	for name, test := range map[string]struct {
		changes []storer.Change
		want    string
	}{
		"draining after ready":                 {[]storer.Change{ready(100, 4), draining(100, 7)}, "a 100 draining"},
		"earlier sequence":                     {[]storer.Change{ready(100, 4), draining(100, 7), ready(100, 6)}, "a 100 draining"},
		"same sequence":                        {[]storer.Change{ready(100, 4), draining(100, 4)}, "a 100 draining"},
		"restart counts anew":                  {[]storer.Change{draining(100, 7), ready(200, 1)}, "a 200"},
		"former process":                       {[]storer.Change{ready(200, 1), ready(100, 9)}, "a 200"},
		"former process, listed twice":         {[]storer.Change{ready(200, 1), ready(100, 9), ready(100, 9)}, "a 200"},
		"clock set back before a restart":      {[]storer.Change{draining(200, 9), ready(100, 1), ready(100, 2)}, "a 100"},
		"late check-in after the removal":      {[]storer.Change{ready(100, 4), draining(100, 7), gone, ready(100, 6)}, ""},
		"next check-in after the removal":      {[]storer.Change{ready(100, 4), gone, ready(100, 5)}, "a 100"},
		"next check-in after a late one":       {[]storer.Change{draining(100, 7), ready(100, 6), draining(100, 8)}, "a 100 draining"},
		"late check-in after a later removal":  {[]storer.Change{draining(100, 7), gone, ready(100, 6), gone, ready(100, 5)}, ""},
		"restart after the removal":            {[]storer.Change{draining(100, 7), gone, ready(200, 1)}, "a 200"},
		"late check-in of a removed successor": {[]storer.Change{ready(100, 7), ready(200, 3), gone, ready(200, 2)}, ""},
	} {
		created, _ := newRegistrar()
		created.HandleList(nil)
		last := ""
		created.OnChange = func(list []broker.Upstream) {
			last = ""
			for _, upstream := range list {
				last = fmt.Sprint(upstream.ID, " ", upstream.StartedAt)
				if upstream.Draining {
					last += " draining"
				}
			}
		}
		for _, change := range test.changes {
			created.HandleChanges([]storer.Change{change})
		}
		assert.Check(t, last == test.want, "%s: %q", name, last)
	}
}

// Guards against an upstream that has ended and gets requests and keys again because a
// restored store still has its entry.
func TestRestoredEntryOfARemovedUpstream(t *testing.T) {
	created, last := newRegistrar()
	entry := object("a", `{"StartedAt":100,"Sequence":7}`)
	created.HandleList([]storer.Object{entry})
	created.HandleChanges([]storer.Change{{Object: object("a", ""), Deleted: true}})
	entry.Era = 1
	created.HandleList([]storer.Object{entry})
	assert.Equal(t, len(last()), 0)
	entry.Spec = json.RawMessage(`{"StartedAt":100,"Sequence":8}`)
	created.HandleChanges([]storer.Change{{Object: entry}})
	assert.DeepEqual(t, last(), []string{"a"})
}

// An upstream whose entry was removed long ago must not be remembered for ever.
func TestRemovedUpstreamsAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		created, last := newRegistrar()
		created.HandleList([]storer.Object{object("a", `{"StartedAt":100,"Sequence":7}`)})
		created.HandleChanges([]storer.Change{{Object: object("a", ""), Deleted: true}})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			assert.Check(t, created.Run(ctx))
		}()
		time.Sleep(61 * time.Second)
		cancel()
		<-done
		created.HandleChanges([]storer.Change{{Object: object("a", `{"StartedAt":100,"Sequence":6}`)}})
		assert.DeepEqual(t, last(), []string{"a"})
	})
}
