package main

import (
	"bytes"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeLatency is the time of an answer, as the sheet of the site gives it.
const storeLatency = 4 * time.Millisecond

// pageLength is the number of objects in one page of a list.
const pageLength = 500

// Store is a stand-in of the platform's metadata store.
type Store struct {
	Record   *Record
	Address  string
	mutex    sync.Mutex
	objects  map[string]map[string]Object
	changes  []change
	revision uint64
	changed  chan struct{} // closed and replaced at each change
}

// Object is an object of the store.
type Object struct {
	Metadata struct {
		Name       string   `json:"name"`
		Revision   uint64   `json:"rev,omitempty"`
		Created    uint64   `json:"created-at,omitempty"`
		Finalizers []string `json:"finalizers,omitempty"`
		Deleting   bool     `json:"deleting,omitempty"`
	} `json:"metadata"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status,omitempty"`
}

type change struct {
	Object  Object `json:"object"`
	Deleted bool   `json:"deleted"`
	kind    string
}

func startStore(record *Record) (*Store, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	store := &Store{Record: record, Address: listener.Addr().String(), objects: map[string]map[string]Object{}, changed: make(chan struct{}), revision: 100}
	go func() { _ = http.Serve(listener, store) }()
	return store, nil
}

// Put writes an object as the operator, a server or another writer does.
func (store *Store) Put(kind, name string, spec, status any) {
	var object Object
	object.Metadata.Name = name
	object.Spec, _ = json.Marshal(spec)
	if status != nil {
		object.Status, _ = json.Marshal(status)
	}
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.write(kind, object, false)
}

// Remove deletes an object.
func (store *Store) Remove(kind, name string) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	if object, ok := store.objects[kind][name]; ok {
		store.write(kind, object, true)
	}
}

// Get returns the spec of an object.
func (store *Store) Get(kind, name string) (spec json.RawMessage, ok bool) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	object, ok := store.objects[kind][name]
	return object.Spec, ok
}

// write records a change and returns the object as it is stored. The mutex is held.
func (store *Store) write(kind string, object Object, deleted bool) Object {
	known, exists := store.objects[kind][object.Metadata.Name]
	if exists && !deleted && bytes.Equal(known.Spec, object.Spec) && bytes.Equal(known.Status, object.Status) {
		return known
	}
	store.revision++
	object.Metadata.Revision = store.revision
	if store.objects[kind] == nil {
		store.objects[kind] = map[string]Object{}
	}
	if deleted {
		delete(store.objects[kind], object.Metadata.Name)
	} else {
		store.objects[kind][object.Metadata.Name] = object
	}
	store.changes = append(store.changes, change{Object: object, Deleted: deleted, kind: kind})
	close(store.changed)
	store.changed = make(chan struct{})
	return object
}

// ServeHTTP implements http.Handler.
func (store *Store) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	time.Sleep(storeLatency)
	kind, name, _ := strings.Cut(strings.TrimPrefix(request.URL.Path, "/api/objects/"), "/")
	query := request.URL.Query()
	switch {
	case request.Method == http.MethodGet && query.Get("watch") != "":
		store.watch(writer, request, kind)
	case request.Method == http.MethodGet && name == "":
		store.list(writer, kind, query.Get("after"))
	case request.Method == http.MethodGet:
		store.mutex.Lock()
		object, ok := store.objects[kind][name]
		store.mutex.Unlock()
		if !ok {
			writer.WriteHeader(http.StatusNotFound)
			return
		}
		answer(writer, http.StatusOK, object)
	default:
		store.change(writer, request, kind, name)
	}
}

func answer(writer http.ResponseWriter, status int, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		status, data = http.StatusInternalServerError, nil
	}
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_, _ = writer.Write(data)
}

func (store *Store) list(writer http.ResponseWriter, kind, after string) {
	store.mutex.Lock()
	items := []Object{}
	for name, object := range store.objects[kind] {
		if name > after {
			items = append(items, object)
		}
	}
	at := store.revision
	store.mutex.Unlock()
	slices.SortFunc(items, func(a, b Object) int { return strings.Compare(a.Metadata.Name, b.Metadata.Name) })
	more := len(items) > pageLength
	answer(writer, http.StatusOK, map[string]any{"items": items[:min(len(items), pageLength)], "has-more": more, "at": at})
}

func (store *Store) watch(writer http.ResponseWriter, request *http.Request, kind string) {
	after, _ := strconv.ParseUint(request.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(request.URL.Query().Get("wait-ms"))
	timer := time.NewTimer(time.Duration(min(wait, 30000)) * time.Millisecond)
	defer timer.Stop()
	for {
		store.mutex.Lock()
		events := []change{}
		for _, change := range store.changes {
			if change.kind == kind && change.Object.Metadata.Revision > after {
				events = append(events, change)
			}
		}
		at, changed := store.revision, store.changed
		store.mutex.Unlock()
		if len(events) > 0 {
			answer(writer, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			answer(writer, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		case <-request.Context().Done():
			return
		}
	}
}

// change handles POST, PUT and DELETE.
func (store *Store) change(writer http.ResponseWriter, request *http.Request, kind, name string) {
	var written Object
	if request.Method != http.MethodDelete {
		if err := json.NewDecoder(request.Body).Decode(&written); err != nil {
			writer.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	if given, err := strconv.ParseUint(request.URL.Query().Get("rev"), 10, 64); err == nil {
		written.Metadata.Revision = given
	}
	name, statusOnly := strings.CutSuffix(name, "/status")
	if name == "" {
		name = written.Metadata.Name
	}
	written.Metadata.Name = name
	store.mutex.Lock()
	defer store.mutex.Unlock()
	known, exists := store.objects[kind][name]
	switch {
	case request.Method == http.MethodPost && exists:
		answer(writer, http.StatusConflict, known)
		return
	case request.Method != http.MethodPost && !exists:
		writer.WriteHeader(http.StatusNotFound)
		return
	case exists && written.Metadata.Revision != 0 && written.Metadata.Revision != known.Metadata.Revision:
		answer(writer, http.StatusConflict, known)
		return
	}
	changed := written
	switch {
	case request.Method == http.MethodDelete:
		changed = known
	case statusOnly:
		changed = known
		changed.Status = written.Status
	case request.Method == http.MethodPut:
		changed = known
		changed.Spec, changed.Metadata.Finalizers = written.Spec, written.Metadata.Finalizers
	}
	if request.Method != http.MethodDelete && strings.HasPrefix(kind, "cuminstream-") {
		store.Record.Linef("store: %s %s/%s %s", request.Method, kind, name, shorten(string(changed.Spec), 160))
	}
	answer(writer, http.StatusOK, store.write(kind, changed, request.Method == http.MethodDelete))
}

func shorten(text string, length int) string {
	if len(text) > length {
		return text[:length] + "..."
	}
	return text
}
