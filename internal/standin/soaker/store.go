package soaker

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Store is a stand-in of the platform's object store.
type Store struct {
	mutex    sync.Mutex
	objects  map[string]map[string]*object // by kind and name
	changes  []change
	revision uint64
	era      uint64        // rises with each restore
	down     bool          // all calls are refused
	changed  chan struct{} // closed and replaced at each change
}

type object struct {
	Metadata struct {
		Name     string `json:"name"`
		Revision uint64 `json:"rev"`
	} `json:"metadata"`
	Spec json.RawMessage `json:"spec"`
}

type change struct {
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
	kind    string
	at      uint64
	written time.Time
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{objects: map[string]map[string]*object{}, changed: make(chan struct{})}
}

// Put writes an object as the operator or an upstream does.
func (store *Store) Put(kind, name string, spec any) error {
	data, err := json.Marshal(spec)
	if err != nil {
		return err
	}
	store.mutex.Lock()
	defer store.mutex.Unlock()
	written := object{Spec: data}
	written.Metadata.Name = name
	store.write(kind, &written, false)
	return nil
}

// Remove deletes an object.
func (store *Store) Remove(kind, name string) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	if known := store.objects[kind][name]; known != nil {
		removed := *known // a list may still be encoding the object
		store.write(kind, &removed, true)
	}
}

// write records a change. The mutex is held.
func (store *Store) write(kind string, written *object, deleted bool) {
	store.revision++
	written.Metadata.Revision = store.revision
	made := change{Object: *written, Deleted: deleted, kind: kind, at: store.revision, written: time.Now()}
	store.apply(made)
	store.changes = append(store.changes, made)
	store.wakeWatches()
}

// apply changes the objects. The mutex is held.
func (store *Store) apply(made change) {
	if store.objects[made.kind] == nil {
		store.objects[made.kind] = map[string]*object{}
	}
	if made.Deleted {
		delete(store.objects[made.kind], made.Object.Metadata.Name)
	} else {
		store.objects[made.kind][made.Object.Metadata.Name] = &made.Object
	}
}

// wakeWatches lets watches look at the state of the store. The mutex is held.
func (store *Store) wakeWatches() {
	close(store.changed)
	store.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (store *Store) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	store.mutex.Lock()
	era, down := store.era, store.down
	store.mutex.Unlock()
	setEra(writer, era)
	if down {
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	kind, name, _ := strings.Cut(strings.TrimPrefix(request.URL.Path, "/api/objects/"), "/")
	switch {
	case request.Method == http.MethodGet && request.URL.Query().Get("watch") != "":
		store.watch(writer, request, kind)
	case request.Method == http.MethodGet && name == "":
		store.list(writer, kind)
	case request.Method == http.MethodGet:
		store.mutex.Lock()
		known := store.objects[kind][name]
		setEra(writer, store.era)
		store.mutex.Unlock()
		if known == nil {
			writer.WriteHeader(http.StatusNotFound)
			return
		}
		answer(writer, http.StatusOK, known)
	case request.Method == http.MethodPost, request.Method == http.MethodPut:
		store.change(writer, request, kind)
	default:
		writer.WriteHeader(http.StatusMethodNotAllowed)
	}
}

func answer(writer http.ResponseWriter, status int, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		status, data = http.StatusInternalServerError, nil
	}
	writer.WriteHeader(status)
	_, _ = writer.Write(data) // the caller may have left
}

func (store *Store) list(writer http.ResponseWriter, kind string) {
	store.mutex.Lock()
	items := make([]*object, 0, len(store.objects[kind]))
	for _, item := range store.objects[kind] {
		items = append(items, item)
	}
	at := store.revision
	setEra(writer, store.era)
	store.mutex.Unlock()
	slices.SortFunc(items, func(a, b *object) int { return strings.Compare(a.Metadata.Name, b.Metadata.Name) })
	answer(writer, http.StatusOK, map[string]any{"items": items, "has-more": false, "at": at})
}

func (store *Store) watch(writer http.ResponseWriter, request *http.Request, kind string) {
	after, _ := strconv.ParseUint(request.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(request.URL.Query().Get("wait-ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for waiting := true; waiting; {
		store.mutex.Lock()
		events := []change{}
		for _, change := range store.changes {
			if change.kind == kind && change.at > after {
				events = append(events, change)
			}
		}
		at, changed := store.revision, store.changed
		setEra(writer, store.era)
		store.mutex.Unlock()
		if after > at {
			writer.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 {
			answer(writer, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		case <-request.Context().Done():
			return
		}
	}
	answer(writer, http.StatusOK, map[string]any{"events": []change{}, "at": after})
}

func (store *Store) change(writer http.ResponseWriter, request *http.Request, kind string) {
	var written object
	if err := json.NewDecoder(request.Body).Decode(&written); err != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	store.mutex.Lock()
	defer store.mutex.Unlock()
	setEra(writer, store.era)
	known := store.objects[kind][written.Metadata.Name]
	create := request.Method == http.MethodPost
	switch {
	case create && known != nil, !create && known != nil && written.Metadata.Revision != known.Metadata.Revision:
		answer(writer, http.StatusConflict, known)
	case !create && known == nil:
		writer.WriteHeader(http.StatusNotFound)
	default:
		store.write(kind, &written, false)
		answer(writer, http.StatusOK, written)
	}
}
