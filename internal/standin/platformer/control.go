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

// maxControl bounds the body of a control call in bytes.
const maxControl = 64 << 10

// Counters count what the platform was asked and how it answered.
type Counters struct {
	// Calls counts every call by kind, also calls that were refused. A waiting
	// watch is one call.
	Calls         map[CallKind]uint64 `json:"calls"`
	RateLimited   uint64              `json:"rateLimited"`
	Conflicts     uint64              `json:"conflicts"`
	TooLarge      uint64              `json:"tooLarge"`
	ResponsesLost uint64              `json:"answersLost"`
	OutageCalls   uint64              `json:"outages"` // calls affected by an outage
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

func (platform *Platform) count(kind CallKind) {
	platform.updateCounters(func(counters *Counters) { counters.Calls[kind]++ })
}

func (platform *Platform) updateCounters(change func(*Counters)) {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	change(&platform.counters)
}

// settingsBody is the body of a settings call. Absent fields stay.
type settingsBody struct {
	ReadRate  *float64             `json:"readRate"`
	WriteRate *float64             `json:"writeRate"`
	VMLag     *configurer.Duration `json:"vmLag"`
}

type lossBody struct {
	Count int `json:"count"`
	Every int `json:"every"`
}

func (platform *Platform) routeControl(router *mux.Router) {
	router.HandleFunc("/counters", func(writer http.ResponseWriter, _ *http.Request) {
		answerJSON(writer, platform.Counters())
	}).Methods(http.MethodGet)
	router.HandleFunc("/counters", func(http.ResponseWriter, *http.Request) {
		platform.updateCounters(func(counters *Counters) { *counters = newCounters() })
	}).Methods(http.MethodDelete)
	router.HandleFunc("/outage", control(func(outage Outage) error {
		if err := outage.check(); err != nil {
			return err
		}
		platform.SetOutage(outage)
		return nil
	})).Methods(http.MethodPut)
	router.HandleFunc("/losses", control(func(body lossBody) error {
		platform.LoseNextResponses(body.Count)
		platform.LoseEveryNthResponse(body.Every)
		return nil
	})).Methods(http.MethodPut)
	router.HandleFunc("/settings", control(platform.changeSettings)).Methods(http.MethodPut)
	router.HandleFunc("/vms", control(platform.registerVM)).Methods(http.MethodPut)
	router.HandleFunc("/vms/{name}", func(_ http.ResponseWriter, request *http.Request) {
		platform.RemoveVM(mux.Vars(request)["name"])
	}).Methods(http.MethodDelete)
	router.HandleFunc("/restart", control(func(struct{}) error {
		platform.RestartSequence()
		return nil
	})).Methods(http.MethodPut)
	router.HandleFunc("/compact", control(func(struct{}) error {
		platform.Compact()
		return nil
	})).Methods(http.MethodPut)
}

func (platform *Platform) registerVM(vm platformer.VM) error {
	if vm.Name == "" || vm.Zone == "" {
		return errors.New("name and zone are required")
	}
	platform.SetVM(vm)
	return nil
}

func (platform *Platform) changeSettings(body settingsBody) error {
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

// control decodes the body of a control call and applies it.
func control[T any](apply func(T) error) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		var body T
		decoder := json.NewDecoder(http.MaxBytesReader(writer, request.Body, maxControl))
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
