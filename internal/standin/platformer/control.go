package platformer

import (
	"encoding/json"
	"errors"
	"maps"
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"github.com/cuminstream/cuminstream/internal/configurer"
	"github.com/cuminstream/cuminstream/internal/platformer"
)

// maxControlBodySize is the largest body of a control call in bytes.
const maxControlBodySize = 64 << 10

// Counters holds the number of calls received and of failures returned.
type Counters struct {
	// Calls counts all calls by kind, including refused ones. A watch counts as
	// one call, however long it waits.
	Calls         map[CallKind]uint64 `json:"calls"`
	RateLimited   uint64              `json:"rateLimited"`
	Conflicts     uint64              `json:"conflicts"`
	TooLarge      uint64              `json:"tooLarge"`
	ResponsesLost uint64              `json:"answersLost"`
	OutageCalls   uint64              `json:"outages"` // calls affected by an outage; a waiting watch may count several times
}

func newCounters() Counters { return Counters{Calls: map[CallKind]uint64{}} }

// Counters returns a copy of the counters.
func (platform *Platform) Counters() Counters {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	counters := platform.counters
	counters.Calls = maps.Clone(counters.Calls)
	return counters
}

func (platform *Platform) countCall(kind CallKind) {
	platform.updateCounters(func(counters *Counters) { counters.Calls[kind]++ })
}

// updateCounters calls update with the counters while it holds the mutex.
func (platform *Platform) updateCounters(update func(*Counters)) {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	update(&platform.counters)
}

// settingsBody is the body of a settings call. Absent fields leave their setting
// unchanged.
type settingsBody struct {
	ReadRate  *float64             `json:"readRate"`
	WriteRate *float64             `json:"writeRate"`
	VMLag     *configurer.Duration `json:"vmLag"`
}

// lossesBody is the body of a losses call. An absent field is 0 and ends that
// kind of loss.
type lossesBody struct {
	Count int `json:"count"`
	Every int `json:"every"`
}

func (platform *Platform) registerControlRoutes(router *mux.Router) {
	router.HandleFunc("/counters", func(writer http.ResponseWriter, _ *http.Request) {
		writeJSON(writer, platform.Counters())
	}).Methods(http.MethodGet)
	router.HandleFunc("/counters", func(http.ResponseWriter, *http.Request) {
		platform.updateCounters(func(counters *Counters) { *counters = newCounters() })
	}).Methods(http.MethodDelete)
	router.HandleFunc("/outage", controlHandler(func(outage Outage) error {
		if err := outage.validate(); err != nil {
			return err
		}
		platform.SetOutage(outage)
		return nil
	})).Methods(http.MethodPut)
	router.HandleFunc("/losses", controlHandler(func(body lossesBody) error {
		platform.LoseNextResponses(body.Count)
		platform.LoseEveryNthResponse(body.Every)
		return nil
	})).Methods(http.MethodPut)
	router.HandleFunc("/settings", controlHandler(platform.handleSettings)).Methods(http.MethodPut)
	router.HandleFunc("/vms", controlHandler(platform.handleSetVM)).Methods(http.MethodPut)
	router.HandleFunc("/vms/{name}", func(_ http.ResponseWriter, request *http.Request) {
		platform.RemoveVM(mux.Vars(request)["name"])
	}).Methods(http.MethodDelete)
	router.HandleFunc("/restart", controlHandler(func(struct{}) error {
		platform.RestartSequence()
		return nil
	})).Methods(http.MethodPut)
	router.HandleFunc("/compact", controlHandler(func(struct{}) error {
		platform.Compact()
		return nil
	})).Methods(http.MethodPut)
}

func (platform *Platform) handleSetVM(vm platformer.VM) error {
	if vm.Name == "" || vm.Zone == "" {
		return errors.New("name and zone are required")
	}
	platform.SetVM(vm)
	return nil
}

func (platform *Platform) handleSettings(body settingsBody) error {
	platform.mutex.Lock()
	settings := platform.settings
	platform.mutex.Unlock()
	if body.ReadRate != nil {
		settings.ReadRate = *body.ReadRate
	}
	if body.WriteRate != nil {
		settings.WriteRate = *body.WriteRate
	}
	if body.VMLag != nil {
		settings.VMLag = time.Duration(*body.VMLag)
	}
	platform.SetSettings(settings)
	return nil
}

// controlHandler returns a handler that decodes the JSON body, refuses unknown
// fields and passes the result to apply. Any error results in status 400.
func controlHandler[T any](apply func(T) error) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		var body T
		decoder := json.NewDecoder(http.MaxBytesReader(writer, request.Body, maxControlBodySize))
		decoder.DisallowUnknownFields()
		err := decoder.Decode(&body)
		if err == nil {
			err = apply(body)
		}
		if err != nil {
			http.Error(writer, err.Error(), http.StatusBadRequest)
		}
	}
}
