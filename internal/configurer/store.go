package configurer

import (
	"slices"
	"sync"
	"sync/atomic"

	"github.com/cuminstream/cuminstream/internal/asserter"
)

// Store holds the newest revision of the document and never goes back to a
// lower one. The zero value is ready for use and holds an empty document of
// revision 0. It is safe for concurrent use.
type Store struct {
	current atomic.Pointer[Document]

	// mutex is held while subscribers run, so that each of them receives the
	// revisions in ascending order.
	mutex       sync.Mutex
	subscribers []*func(*Document)
}

var emptyDocument = &Document{matcher: newMatcher(nil)}

// Document returns the newest document. It is shared and must not be changed.
func (store *Store) Document() *Document {
	if document := store.current.Load(); document != nil {
		return document
	}
	return emptyDocument
}

// Revision returns the revision of the newest document.
func (store *Store) Revision() uint64 { return store.Document().Revision }

// SetIfNewer replaces the document if the revision of the new one is higher, and
// reports whether it did. Every subscriber has returned by then.
func (store *Store) SetIfNewer(document *Document) bool {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	if document.Revision <= store.Revision() {
		return false
	}
	former := store.current.Swap(document)
	asserter.That(former == nil || former.Revision < document.Revision, asserter.RevisionRises,
		"document of revision %d follows one of a higher or equal revision", document.Revision)
	for _, subscriber := range store.subscribers {
		(*subscriber)(document)
	}
	return true
}

// Subscribe calls the function with the current document, if one was set, and then
// with each newer one, one at a time and in ascending order of revisions. The
// function must not call SetIfNewer or Subscribe, which would deadlock. cancel ends
// the subscription.
func (store *Store) Subscribe(function func(*Document)) (cancel func()) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.subscribers = append(store.subscribers, &function)
	if document := store.current.Load(); document != nil {
		function(document)
	}
	return func() {
		store.mutex.Lock()
		defer store.mutex.Unlock()
		store.subscribers = slices.DeleteFunc(store.subscribers, func(other *func(*Document)) bool { return other == &function })
	}
}
