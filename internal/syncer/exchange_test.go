package syncer_test

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cuminstream/cuminstream/internal/configurer"
	"github.com/cuminstream/cuminstream/internal/syncer"
	"github.com/cuminstream/cuminstream/pkg/clocker"
)

func newStore() *syncer.Store { return syncer.New(nil, clocker.NewFake(time.Unix(0, 0))) }

// pull merges the objects of the peer until the store lacks none. It returns the number
// of exchanges, and how many of them contained the index.
func pull(store, peer *syncer.Store) (rounds, indexes int) {
	const maxRounds = 100
	for rounds = range maxRounds {
		objects := peer.NewerThan(store.Summary())
		if len(objects) == 0 {
			break
		}
		if objects[0].Name == configurer.IndexName {
			indexes++
		}
		store.Merge(objects)
	}
	return rounds, indexes
}

// document returns count bodies of about size bytes and an index of the given revision
// that refers to them.
func document(revision uint64, count, size int) []syncer.Object {
	index := configurer.Index{Revision: revision, WriteID: fmt.Sprint(revision), Sections: map[string]configurer.IndexEntry{}}
	var objects []syncer.Object
	for number := range count {
		body := append(fmt.Appendf(nil, "%d/%d ", revision, number), bytes.Repeat([]byte(" "), size)...)
		name := configurer.BodyName(body)
		index.Sections[fmt.Sprint(number)] = configurer.IndexEntry{Body: name[len(configurer.BodyPrefix):], Revision: revision}
		objects = append(objects, syncer.Object{Name: name, Version: "1", Value: body})
	}
	encoded, _ := json.Marshal(index)
	return append(objects, syncer.Object{Name: configurer.IndexName, Version: fmt.Sprint(revision), Value: encoded})
}

// Guards against a stale peer that reverts objects to a lower revision, and against
// invalid objects from a peer being adopted.
func TestStalePeer(t *testing.T) {
	store, stale := newStore(), newStore()
	stale.Merge([]syncer.Object{{Name: "homes/s", Version: "1", Value: value(1, "a")}})
	store.Merge([]syncer.Object{{Name: "homes/s", Version: "2", Value: value(2, "b")}})
	assert.Equal(t, len(store.Merge(stale.NewerThan(nil))), 0)
	assert.Equal(t, store.Revision("homes/s"), uint64(2))
	rounds, _ := pull(stale, store)
	assert.Equal(t, rounds, 1)
	assert.Equal(t, stale.Digest(), store.Digest())
	for _, object := range []syncer.Object{
		{Name: "homes/s", Value: []byte(`{"revision":`)},
		{Name: "homes/s", Value: []byte(`{"revision":-3}`)},
		{Name: "homes/s", Value: []byte(`{}`)},
		{Name: "other/s", Value: value(9, "a")},
		{Name: configurer.BodyPrefix + "00", Value: value(9, "a")},
		{Name: "homes/s", Value: append(value(9, "a"), bytes.Repeat([]byte(" "), 1_000_000)...)},
	} {
		assert.Equal(t, len(store.Merge([]syncer.Object{object})), 0, object.Name)
	}
}

// Guards against an index that is visible before its bodies, and against a document
// that never arrives because it does not fit into one message.
func TestDocumentLargerThanOneMessage(t *testing.T) {
	store, peer := newStore(), newStore()
	peer.Merge(document(1, 200, 20_000))
	peer.Merge(document(2, 200, 20_000))
	names := []string{}
	store.Subscribe(configurer.IndexName, func(name string) {
		names = append(names, name)
		object, _ := store.Get(name)
		index, err := configurer.DecodeIndex(object.Value)
		assert.NilError(t, err)
		for _, body := range index.BodyNames() {
			_, ok := store.Get(body)
			assert.Assert(t, ok)
		}
	})
	rounds, indexes := pull(store, peer)
	assert.Assert(t, rounds >= 4 && rounds <= 6, rounds)
	assert.Equal(t, indexes, 1, "the index is not sent with each part")
	assert.Equal(t, len(names), 1)
	assert.Equal(t, store.Digest(), peer.Digest())
}

// Guards against a VM that holds a newer index, whose bodies no peer has, and therefore
// never receives the complete older document of its peers.
func TestIndexWithoutBodies(t *testing.T) {
	store, peer := newStore(), newStore()
	large := document(1, 200, 20_000)
	peer.Merge(large)
	newer := document(2, 3, 10)
	store.Merge(newer[3:])
	assert.Equal(t, store.Revision(configurer.IndexName), uint64(0))
	pull(store, peer)
	assert.Equal(t, store.Revision(configurer.IndexName), uint64(1))
	store.Merge(newer[:3])
	assert.Equal(t, store.Revision(configurer.IndexName), uint64(2))
	kept := 0
	for _, body := range large[:200] {
		if _, ok := store.Get(body.Name); ok {
			kept++
		}
	}
	assert.Equal(t, kept, 64, "unused bodies are kept up to a bound")
	for revision := range uint64(100) {
		store.Merge(document(revision+3, 3, 10))
	}
	_, ok := store.Get(document(3, 3, 10)[0].Name)
	assert.Assert(t, !ok, "the oldest unused bodies go first")
}

// Guards against stores that differ after they have exchanged all objects, and against
// a revision that decreases in between. The seeds are fixed.
func TestExchangesConverge(t *testing.T) {
	for _, seed := range []string{"1", "2", "3"} {
		assert.NilError(t, flag.Set("rapid.seed", seed))
		rapid.Check(t, func(rt *rapid.T) {
			stores := make([]*syncer.Store, rapid.IntRange(2, 5).Draw(rt, "stores"))
			newest := map[string]uint64{}
			for number := range stores {
				stores[number] = newStore()
			}
			member := rapid.IntRange(0, len(stores)-1)
			for range rapid.IntRange(1, 40).Draw(rt, "steps") {
				store := stores[member.Draw(rt, "store")]
				before := store.Summary()
				switch revision := rapid.Uint64Range(1, 9).Draw(rt, "revision"); rapid.IntRange(0, 2).Draw(rt, "action") {
				case 0:
					name := rapid.SampledFrom([]string{"homes/a", "groups/a", "assignments/a"}).Draw(rt, "name")
					store.Merge([]syncer.Object{{Name: name, Version: fmt.Sprint(revision), Value: value(revision, "w")}})
					newest[name] = max(newest[name], revision)
				case 1:
					store.Merge(document(revision, 3, 10))
					newest[configurer.IndexName] = max(newest[configurer.IndexName], revision)
				case 2:
					store.Merge(stores[member.Draw(rt, "peer")].NewerThan(store.Summary()))
				}
				for name := range newest {
					assert.Assert(rt, store.Revision(name) >= before[name])
				}
			}
			for range stores {
				for number := range stores {
					pull(stores[number], stores[(number+1)%len(stores)])
				}
			}
			for _, store := range stores {
				assert.Equal(rt, store.Digest(), stores[0].Digest())
				for name, revision := range newest {
					assert.Equal(rt, store.Revision(name), revision, name)
				}
			}
		})
	}
}
