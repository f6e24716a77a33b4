package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// object is an object of the platform's metadata store.
type object struct {
	Metadata struct {
		Name       string   `json:"name"`
		Rev        uint64   `json:"rev"`
		CreatedAt  uint64   `json:"created-at"`
		Finalizers []string `json:"finalizers"`
		Deleting   bool     `json:"deleting"`
	} `json:"metadata"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

type event struct {
	kind    string
	rev     uint64
	object  object
	deleted bool
}

// content is what a backup copy of the store holds.
type content struct {
	rev     uint64
	objects map[string]map[string]object
	events  []event
}

// Store is a stand-in for the platform's metadata store (PROTOCOL, "The platform's metadata
// store"; request-demands, Store-Era).
type Store struct {
	Addr string

	mutex   sync.Mutex
	content content
	floor   uint64 // watches from before it get 410
	era     uint64
	down    bool
	changed chan struct{}
	server  *http.Server
}

// NewStore starts a store on a free loopback port.
func NewStore() *Store {
	store := &Store{content: content{rev: 10, objects: map[string]map[string]object{}}, floor: 10, era: 1, changed: make(chan struct{})}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	store.Addr = listener.Addr().String()
	store.server = &http.Server{Handler: store}
	go func() { _ = store.server.Serve(listener) }()
	return store
}

func (store *Store) signal() {
	close(store.changed)
	store.changed = make(chan struct{})
}

// Copy returns a backup copy of the current content.
func (store *Store) Copy() content {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	copied := content{rev: store.content.rev, objects: map[string]map[string]object{}, events: append([]event(nil), store.content.events...)}
	for kind, objects := range store.content.objects {
		copied.objects[kind] = map[string]object{}
		for name, object := range objects {
			copied.objects[kind][name] = object
		}
	}
	return copied
}

// SetDown makes the store refuse all calls, or serve again.
func (store *Store) SetDown(down bool) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.down = down
	store.signal()
}

// Restore replaces the content by that of a copy and begins a new era.
func (store *Store) Restore(copied content) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.content = copied
	store.era++
	store.signal()
}

// Close ends the store.
func (store *Store) Close() { _ = store.server.Close() }

// Put writes an object as the operator and the servers do, without a condition.
func (store *Store) Put(kind, name string, spec any) {
	data, err := json.Marshal(spec)
	must(err)
	store.mutex.Lock()
	defer store.mutex.Unlock()
	if store.down {
		return
	}
	current, ok := store.content.objects[kind][name]
	if ok && bytes.Equal(current.Spec, data) {
		return
	}
	if !ok {
		current.Metadata.Name, current.Metadata.Finalizers = name, []string{}
	}
	current.Spec = data
	store.write(kind, current, !ok)
}

// Remove removes an object, as the platform does when a server is silent.
func (store *Store) Remove(kind, name string) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.remove(kind, name)
}

func (store *Store) remove(kind, name string) {
	current, ok := store.content.objects[kind][name]
	if !ok {
		return
	}
	store.content.rev++
	current.Metadata.Rev = store.content.rev
	delete(store.content.objects[kind], name)
	store.content.events = append(store.content.events, event{kind, store.content.rev, current, true})
	store.signal()
}

// write stores the object under the next revision. The mutex is held.
func (store *Store) write(kind string, changed object, created bool) object {
	store.content.rev++
	changed.Metadata.Rev = store.content.rev
	if created {
		changed.Metadata.CreatedAt = store.content.rev
	}
	if store.content.objects[kind] == nil {
		store.content.objects[kind] = map[string]object{}
	}
	store.content.objects[kind][changed.Metadata.Name] = changed
	store.content.events = append(store.content.events, event{kind, store.content.rev, changed, false})
	store.signal()
	return changed
}

func (store *Store) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	store.mutex.Lock()
	defer store.mutex.Unlock()
	writer.Header().Set("Store-Era", strconv.FormatUint(store.era, 10))
	if store.down {
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	kind, name, _ := strings.Cut(strings.TrimPrefix(request.URL.Path, "/api/objects/"), "/")
	name, isStatus := strings.CutSuffix(name, "/status")
	query := request.URL.Query()
	answer := func(status int, value any) {
		writer.Header().Set("Content-Type", "application/json")
		writer.WriteHeader(status)
		_ = json.NewEncoder(writer).Encode(value)
	}
	current, exists := store.content.objects[kind][name]
	var sent object
	if len(body) > 0 && json.Unmarshal(body, &sent) != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	condition := sent.Metadata.Rev
	if value := query.Get("rev"); value != "" {
		condition, _ = strconv.ParseUint(value, 10, 64)
	}
	switch {
	case request.Method == http.MethodGet && name == "" && query.Has("watch"):
		store.watch(writer, request, kind, answer)
	case request.Method == http.MethodGet && name == "":
		store.list(kind, query.Get("after"), answer)
	case request.Method == http.MethodPost:
		name = sent.Metadata.Name
		if current, exists = store.content.objects[kind][name]; exists {
			answer(http.StatusConflict, current)
			return
		}
		if sent.Metadata.Finalizers == nil {
			sent.Metadata.Finalizers = []string{}
		}
		sent.Status = nil
		answer(http.StatusCreated, store.write(kind, sent, true))
	case !exists:
		writer.WriteHeader(http.StatusNotFound)
	case condition != 0 && condition != current.Metadata.Rev:
		answer(http.StatusConflict, current)
	case request.Method == http.MethodGet:
		answer(http.StatusOK, current)
	case request.Method == http.MethodPut:
		changed := current
		if isStatus {
			changed.Status = sent.Status
		} else {
			changed.Spec = sent.Spec
		}
		if !bytes.Equal(changed.Spec, current.Spec) || !bytes.Equal(changed.Status, current.Status) {
			changed = store.write(kind, changed, false)
		}
		answer(http.StatusOK, changed)
	case request.Method == http.MethodDelete:
		store.remove(kind, name)
		answer(http.StatusOK, current)
	default:
		writer.WriteHeader(http.StatusMethodNotAllowed)
	}
}

const pageSize = 500

func (store *Store) list(kind, after string, answer func(int, any)) {
	names := []string{}
	for name := range store.content.objects[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	more := len(names) > pageSize
	items := []object{}
	for _, name := range names[:min(len(names), pageSize)] {
		items = append(items, store.content.objects[kind][name])
	}
	answer(http.StatusOK, map[string]any{"items": items, "has-more": more, "at": store.content.rev})
}

// watch waits for events. It releases the mutex while it waits.
func (store *Store) watch(writer http.ResponseWriter, request *http.Request, kind string, answer func(int, any)) {
	after, _ := strconv.ParseUint(request.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(request.URL.Query().Get("wait-ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	era := store.era
	for expired := false; ; {
		if store.down || store.era != era {
			panic(http.ErrAbortHandler) // the deferred unlock runs; the watch is cut off
		}
		if after < store.floor || after > store.content.rev {
			writer.WriteHeader(http.StatusGone)
			return
		}
		events := []map[string]any{}
		for _, event := range store.content.events {
			if event.kind == kind && event.rev > after {
				events = append(events, map[string]any{"object": event.object, "deleted": event.deleted})
			}
		}
		if len(events) > 0 || expired {
			answer(http.StatusOK, map[string]any{"events": events, "at": store.content.rev})
			return
		}
		changed := store.changed
		store.mutex.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-request.Context().Done():
		}
		store.mutex.Lock()
		if request.Context().Err() != nil {
			return
		}
	}
}
