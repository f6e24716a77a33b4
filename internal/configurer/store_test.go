package configurer_test

import (
	"testing"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"github.com/cuminstream/cuminstream/internal/configurer"
)

func revision(t *testing.T, number uint64) *configurer.Document {
	document, err := configurer.NewDocument(number, nil)
	assert.NilError(t, err)
	return document
}

// Guards against a store or a subscriber that gets an older revision after a newer
// one when SetIfNewer is called concurrently and in any order.
func TestStoreRevisionNeverDecreases(t *testing.T) {
	var store configurer.Store
	assert.Equal(t, store.Revision(), uint64(0))
	_, ok := store.Document().Match("a.example", "/", "GET")
	assert.Assert(t, !ok)
	last := uint64(0)
	cancel := store.Subscribe(func(document *configurer.Document) {
		assert.Assert(t, document.Revision > last)
		last = document.Revision
	})
	var group errgroup.Group
	for number := range uint64(50) {
		document := revision(t, 50-number)
		group.Go(func() error {
			store.SetIfNewer(document)
			return nil
		})
	}
	assert.NilError(t, group.Wait())
	assert.Equal(t, last, uint64(50))
	assert.Assert(t, !store.SetIfNewer(revision(t, 49)))
	cancel()
	assert.Assert(t, store.SetIfNewer(revision(t, 51)))
	assert.Equal(t, last, uint64(50))
}
