package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/pprof"
	"time"

	"github.com/gorilla/mux"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/cuminstream/cuminstream/internal/linker"
	"github.com/cuminstream/cuminstream/internal/timeliner"
)

// Control calls between VMs.
const (
	callStatus   = "status"
	callTimeline = "timeline"
	callOwner    = "owner"
)

// peerTimeout bounds the wait for the answers of other VMs.
const peerTimeout = time.Second

// Server serves the operators' endpoints and the control calls behind them. Its
// exported fields are set before Register and Handler are called.
type Server struct {
	VM     string        // name of this VM
	Status func() Status // returns the status of this VM
	// Owners returns the owners of a key in one service, or in all of them when
	// service is empty.
	Owners   func(service, key string) ([]Owner, error)
	Peers    func() []string // names of the other VMs
	Ready    func() bool
	Recorder *timeliner.Recorder
	Caller   linker.Caller
	Gatherer prometheus.Gatherer
}

// Register installs the handlers of control calls from other VMs.
func (server *Server) Register(registrar linker.Registrar) {
	registrar.Handle(callStatus, func(context.Context, string, func(any) error) (any, error) {
		return encodeJSON(server.Status())
	})
	registrar.Handle(callTimeline, func(_ context.Context, _ string, decode func(any) error) (any, error) {
		var filter timeliner.Filter
		if err := decode(&filter); err != nil {
			return nil, fmt.Errorf("decode a timeline filter: %w", err)
		}
		return encodeJSON(newestEvents(server.Recorder.Events(filter)))
	})
	registrar.Handle(callOwner, func(_ context.Context, _ string, decode func(any) error) (any, error) {
		var query Owner
		if err := decode(&query); err != nil {
			return nil, fmt.Errorf("decode an owner query: %w", err)
		}
		owners, err := server.Owners(query.Service, query.Key)
		if err != nil {
			return nil, err
		}
		return encodeJSON(owners[0])
	})
}

// maxEventsPerVM keeps the answer of one VM within the message size of links.
const maxEventsPerVM = 2000

// newestEvents returns the last maxEventsPerVM events.
func newestEvents(events []timeliner.Event) []timeliner.Event {
	if len(events) > maxEventsPerVM {
		return events[len(events)-maxEventsPerVM:]
	}
	return events
}

// Handler returns the HTTP handler for the operators' listener.
func (server *Server) Handler() http.Handler {
	routes := mux.NewRouter()
	routes.HandleFunc("/livez", func(writer http.ResponseWriter, _ *http.Request) { writer.WriteHeader(http.StatusOK) })
	routes.HandleFunc("/readyz", server.serveReady)
	routes.HandleFunc("/status", server.serveStatus).Methods(http.MethodGet)
	routes.HandleFunc("/owner", server.serveOwner).Methods(http.MethodGet)
	routes.HandleFunc("/timeline", server.serveTimeline).Methods(http.MethodGet)
	routes.Handle("/metrics", promhttp.HandlerFor(server.Gatherer, promhttp.HandlerOpts{}))
	routes.HandleFunc("/debug/pprof/cmdline", pprof.Cmdline)
	routes.HandleFunc("/debug/pprof/profile", pprof.Profile)
	routes.HandleFunc("/debug/pprof/symbol", pprof.Symbol)
	routes.HandleFunc("/debug/pprof/trace", pprof.Trace)
	routes.PathPrefix("/debug/pprof/").HandlerFunc(pprof.Index)
	return routes
}

func (server *Server) serveReady(writer http.ResponseWriter, _ *http.Request) {
	if !server.Ready() {
		http.Error(writer, "not ready", http.StatusServiceUnavailable)
		return
	}
	writer.WriteHeader(http.StatusOK)
}

// serveStatus responds with the status of this VM, or of all VMs with scope=fleet.
func (server *Server) serveStatus(writer http.ResponseWriter, request *http.Request) {
	if request.URL.Query().Get("scope") != "fleet" {
		respond(writer, server.Status())
		return
	}
	statuses, unreachable := gather[Status](request.Context(), server, callStatus, nil)
	respond(writer, Fleet{VMs: append([]Status{server.Status()}, statuses...), Unreachable: unreachable})
}

// serveTimeline responds with the filtered events of this VM, or of all VMs with
// scope=fleet.
func (server *Server) serveTimeline(writer http.ResponseWriter, request *http.Request) {
	filter, err := parseFilter(request)
	if err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	localEvents := newestEvents(server.Recorder.Events(filter))
	if request.URL.Query().Get("scope") != "fleet" {
		respond(writer, Timeline{Events: localEvents})
		return
	}
	lists, unreachable := gather[[]timeliner.Event](request.Context(), server, callTimeline, filter)
	respond(writer, Timeline{Events: timeliner.Merge(append(lists, localEvents)...), Unreachable: unreachable})
}

func parseFilter(request *http.Request) (timeliner.Filter, error) {
	query := request.URL.Query()
	filter := timeliner.Filter{
		Key: query.Get("key"), Request: query.Get("request"), Upstream: query.Get("upstream"), Group: query.Get("group"),
	}
	for name, field := range map[string]*time.Time{"from": &filter.From, "to": &filter.To} {
		text := query.Get(name)
		if text == "" {
			continue
		}
		parsed, err := time.Parse(time.RFC3339Nano, text)
		if err != nil {
			return filter, fmt.Errorf("parameter %s: %q is not a time such as 2026-01-02T15:04:05Z", name, text)
		}
		*field = parsed
	}
	return filter, nil
}

// serveOwner responds with the owners of a key. It queries the holder of the key's
// group, because only the holder knows the upstream.
func (server *Server) serveOwner(writer http.ResponseWriter, request *http.Request) {
	service, key := request.URL.Query().Get("service"), request.URL.Query().Get("key")
	if key == "" {
		http.Error(writer, "parameter key is required", http.StatusBadRequest)
		return
	}
	owners, err := server.Owners(service, key)
	if err != nil {
		http.Error(writer, err.Error(), http.StatusNotFound)
		return
	}
	for index, owner := range owners {
		if owner.Holder != "" && owner.Holder != server.VM {
			owners[index] = server.askHolder(request.Context(), owner)
		}
	}
	respond(writer, owners)
}

// askHolder returns the holder's answer, or the given one if the call to the
// holder fails.
func (server *Server) askHolder(ctx context.Context, owner Owner) Owner {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var encoded []byte
	if err := server.Caller.Call(ctx, owner.Holder, callOwner, owner, &encoded); err != nil {
		return owner
	}
	var answer Owner
	if json.Unmarshal(encoded, &answer) != nil {
		return owner
	}
	return answer
}

func respond(writer http.ResponseWriter, value any) {
	writer.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(writer)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(value)
}
