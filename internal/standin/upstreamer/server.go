package upstreamer

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"

	"github.com/alecthomas/kong"
	"golang.org/x/net/netutil"

	"github.com/cuminstream/cuminstream/pkg/clocker"
)

// Listen opens the listener, after which Address returns its address. The
// listener limits the number of open connections.
func (upstream *Upstream) Listen() (net.Listener, error) {
	listener, err := net.Listen("tcp", upstream.settings.Listen)
	if err != nil {
		return nil, fmt.Errorf("listen for upstream %s: %w", upstream.settings.Name, err)
	}
	upstream.mutex.Lock()
	upstream.address = listener.Addr().String()
	upstream.mutex.Unlock()
	return netutil.LimitListener(listener, upstream.settings.Connections), nil
}

// Serve handles requests until Close is called, after which it returns nil.
func (upstream *Upstream) Serve(listener net.Listener) error {
	if err := upstream.Server().Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve upstream %s: %w", upstream.settings.Name, err)
	}
	return nil
}

// Server returns the HTTP server that Close shuts down. Tests use it to serve
// their own listener.
func (upstream *Upstream) Server() *http.Server {
	upstream.mutex.Lock()
	defer upstream.mutex.Unlock()
	if upstream.server == nil {
		upstream.server = &http.Server{Handler: upstream}
	}
	return upstream.server
}

// Address returns the address of the listener as host:port.
func (upstream *Upstream) Address() string {
	upstream.mutex.Lock()
	defer upstream.mutex.Unlock()
	return upstream.address
}

// Close closes the listener and all connections immediately, like an exit of the
// process.
func (upstream *Upstream) Close() {
	upstream.mutex.Lock()
	server := upstream.server
	upstream.mutex.Unlock()
	if server != nil {
		_ = server.Close()
	}
}

// addControlRoutes adds the routes below /control, by which tests inspect and
// change the stand-in. They respond while it is frozen, too.
func (upstream *Upstream) addControlRoutes() {
	control := upstream.router.PathPrefix("/control").Subrouter()
	control.HandleFunc("/record", func(writer http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(writer).Encode(upstream.Records())
	}).Methods(http.MethodGet)
	control.HandleFunc("/highest", func(writer http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(writer).Encode(upstream.PeakRunning())
	}).Methods(http.MethodGet)
	control.HandleFunc("/crash", func(http.ResponseWriter, *http.Request) { upstream.Crash() }).Methods(http.MethodPost)
	control.HandleFunc("/behavior", upstream.putBehavior).Methods(http.MethodPut)
}

// putBehavior handles PUT /control/behavior. It changes the fields that the body
// contains and leaves the others.
func (upstream *Upstream) putBehavior(writer http.ResponseWriter, request *http.Request) {
	var err error
	upstream.UpdateBehavior(func(behavior *Behavior) {
		updated := *behavior
		if err = json.NewDecoder(request.Body).Decode(&updated); err == nil {
			*behavior = updated
		}
	})
	if err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
	}
}

// crashStatus is the exit status after a crash that a test requested.
const crashStatus = 3

// Main is the entry point of the program standin-upstream. It prints the listen
// address to standard output.
func Main() {
	var settings Settings
	parser := kong.Parse(&settings, kong.Name("standin-upstream"),
		kong.Description("A stand-in for an upstream, for tests, demo and measurements."))
	upstream := New(settings, clocker.System{})
	upstream.Crash = func() { os.Exit(crashStatus) }
	if settings.RecordFile != "" {
		file, err := os.OpenFile(settings.RecordFile, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
		parser.FatalIfErrorf(err)
		upstream.RecordWriter = file
	}
	listener, err := upstream.Listen()
	parser.FatalIfErrorf(err)
	fmt.Println(upstream.Address())
	parser.FatalIfErrorf(upstream.Serve(listener))
}
