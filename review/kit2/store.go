package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// object is an object of the store stand-in as PROTOCOL.md shows it.
type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type metadata struct {
	Name       string   `json:"name"`
	Rev        uint64   `json:"rev"`
	CreatedAt  uint64   `json:"created-at"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type event struct {
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
	kind    string
}

// page is an answer to a list.
type page struct {
	Items   []object `json:"items"`
	HasMore bool     `json:"has-more"`
	At      uint64   `json:"at"`
}

// store is a stand-in for the platform's object store. It loses nothing that it has
// acknowledged, and its responses are linearizable.
type store struct {
	Address string

	mutex   sync.Mutex
	rev     uint64
	kinds   map[string]map[string]object
	history []event
	changed chan struct{} // closed at each change
	down    bool          // answers 503
}

const pageSize = 500

func newStore() *store {
	created := &store{rev: 100, kinds: map[string]map[string]object{}, changed: make(chan struct{})}
	listener := listen()
	created.Address = listener.Addr().String()
	go func() { _ = http.Serve(listener, created) }()
	return created
}

func listen() net.Listener {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fail("listen: %v", err)
	}
	return listener
}

// setDown makes the store answer 503 to each call, or ends that.
func (store *store) setDown(down bool) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.down = down
	store.signal()
}

func (store *store) signal() {
	close(store.changed)
	store.changed = make(chan struct{})
}

// put writes an object without a condition, as the operator and the servers do.
func (store *store) put(kind, name string, spec any) {
	data, err := json.Marshal(spec)
	if err != nil {
		fail("encode %s/%s: %v", kind, name, err)
	}
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.write(kind, object{Metadata: metadata{Name: name}, Spec: data, Status: json.RawMessage("null")})
}

func (store *store) remove(kind, name string) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	if old, ok := store.kinds[kind][name]; ok {
		store.rev++
		old.Metadata.Rev = store.rev
		delete(store.kinds[kind], name)
		store.history = append(store.history, event{Object: old, Deleted: true, kind: kind})
		store.signal()
	}
}

// write stores the object with the next revision. The mutex is held.
func (store *store) write(kind string, written object) object {
	if store.kinds[kind] == nil {
		store.kinds[kind] = map[string]object{}
	}
	old, ok := store.kinds[kind][written.Metadata.Name]
	if ok && string(old.Spec) == string(written.Spec) && string(old.Status) == string(written.Status) {
		return old
	}
	store.rev++
	written.Metadata.Rev, written.Metadata.CreatedAt = store.rev, old.Metadata.CreatedAt
	if !ok {
		written.Metadata.CreatedAt = store.rev
	}
	if written.Metadata.Finalizers == nil {
		written.Metadata.Finalizers = []string{}
	}
	store.kinds[kind][written.Metadata.Name] = written
	store.history = append(store.history, event{Object: written, kind: kind})
	store.signal()
	return written
}

// ServeHTTP implements http.Handler.
func (store *store) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	store.serve(writer, request, func(_ string, found object) object { return found })
}

// serve serves a call. Each object of its answer goes through view.
func (store *store) serve(writer http.ResponseWriter, request *http.Request, view func(kind string, found object) object) {
	body, _ := io.ReadAll(request.Body)
	rest, ok := strings.CutPrefix(request.URL.Path, "/api/objects/")
	kind, name, named := strings.Cut(rest, "/")
	name = strings.TrimSuffix(name, "/status")
	if !ok || kind == "" {
		writer.WriteHeader(http.StatusNotFound)
		return
	}
	time.Sleep(4 * time.Millisecond)
	if request.Method == http.MethodGet && request.URL.Query().Has("watch") {
		store.watch(writer, request, kind, view)
		return
	}
	store.mutex.Lock()
	status, answer := store.call(request, kind, name, named, body)
	store.mutex.Unlock()
	switch found := answer.(type) {
	case object:
		answer = view(kind, found)
	case page:
		for i := range found.Items {
			found.Items[i] = view(kind, found.Items[i])
		}
	}
	respond(writer, status, answer)
}

func respond(writer http.ResponseWriter, status int, answer any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	if answer != nil {
		_ = json.NewEncoder(writer).Encode(answer)
	}
}

// call carries out a call that does not wait. The mutex is held.
func (store *store) call(request *http.Request, kind, name string, named bool, body []byte) (status int, answer any) {
	if store.down {
		return http.StatusServiceUnavailable, nil
	}
	if request.Method == http.MethodGet && !named {
		return store.list(kind, request.URL.Query().Get("after"))
	}
	var sent object
	if len(body) > 0 && json.Unmarshal(body, &sent) != nil {
		return http.StatusBadRequest, nil
	}
	if request.Method == http.MethodPost {
		name = sent.Metadata.Name
	}
	current, exists := store.kinds[kind][name]
	wanted := sent.Metadata.Rev
	if text := request.URL.Query().Get("rev"); text != "" {
		wanted, _ = strconv.ParseUint(text, 10, 64)
	}
	switch {
	case request.Method == http.MethodPost && exists:
		return http.StatusConflict, current
	case request.Method == http.MethodPost:
		return http.StatusCreated, store.write(kind, object{Metadata: metadata{Name: name, Finalizers: sent.Metadata.Finalizers}, Spec: sent.Spec, Status: json.RawMessage("null")})
	case !exists:
		return http.StatusNotFound, nil
	case request.Method == http.MethodGet:
		return http.StatusOK, current
	case wanted != 0 && wanted != current.Metadata.Rev:
		return http.StatusConflict, current
	case request.Method == http.MethodDelete:
		store.rev++
		current.Metadata.Rev = store.rev
		delete(store.kinds[kind], name)
		store.history = append(store.history, event{Object: current, Deleted: true, kind: kind})
		store.signal()
		return http.StatusOK, current
	case request.Method == http.MethodPut && strings.HasSuffix(request.URL.Path, "/status"):
		current.Status = sent.Status
	case request.Method == http.MethodPut:
		current.Spec, current.Metadata.Finalizers = sent.Spec, sent.Metadata.Finalizers
	default:
		return http.StatusMethodNotAllowed, nil
	}
	return http.StatusOK, store.write(kind, current)
}

func (store *store) list(kind, after string) (int, any) {
	names := []string{}
	for name := range store.kinds[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	listed := page{Items: []object{}, At: store.rev, HasMore: len(names) > pageSize}
	for _, name := range names[:min(len(names), pageSize)] {
		listed.Items = append(listed.Items, store.kinds[kind][name])
	}
	return http.StatusOK, listed
}

func (store *store) watch(writer http.ResponseWriter, request *http.Request, kind string, view func(kind string, found object) object) {
	since, _ := strconv.ParseUint(request.URL.Query().Get("watch"), 10, 64)
	waitMs, _ := strconv.Atoi(request.URL.Query().Get("wait-ms"))
	timeout := time.After(time.Duration(waitMs) * time.Millisecond)
	for {
		store.mutex.Lock()
		down, changed, at := store.down, store.changed, store.rev
		events := []event{}
		for _, known := range store.history {
			if known.kind == kind && known.Object.Metadata.Rev > since {
				events = append(events, event{Object: known.Object, Deleted: known.Deleted})
			}
		}
		store.mutex.Unlock()
		if down {
			writer.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		done := false
		if len(events) == 0 {
			select {
			case <-changed:
				continue
			case <-request.Context().Done():
				return
			case <-timeout:
				done = true
			}
		}
		for i := range events {
			events[i].Object = view(kind, events[i].Object)
		}
		if len(events) > 0 || done {
			respond(writer, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
	}
}
