package edger

import (
	"sync"

	"github.com/cuminstream/cuminstream/internal/allocator"
	"github.com/cuminstream/cuminstream/internal/storer"
	"github.com/cuminstream/cuminstream/pkg/matcher"
)

// configHistory knows the newest configuration that this VM has received, and the one
// that the store has. After the store was restored from an old copy, the latter may be
// older until the operator writes the newest one again.
type configHistory struct {
	mutex         sync.Mutex
	version       uint64 // of the newest one
	spec          []byte
	stored        storer.Version // of the object that was read last
	storedVersion uint64         // the version of the configuration in it
}

// recordStored records a configuration that was read from the store.
func (history *configHistory) recordStored(object storer.Object, version uint64) {
	history.mutex.Lock()
	defer history.mutex.Unlock()
	if object.Version().After(history.stored) || history.storedVersion == 0 {
		history.stored, history.storedVersion = object.Version(), version
	}
	history.record(object.Spec, version)
}

// clearStored records that the store has no configuration.
func (history *configHistory) clearStored() {
	history.mutex.Lock()
	defer history.mutex.Unlock()
	history.storedVersion = 0
}

// record records a configuration. The mutex is held.
func (history *configHistory) record(spec []byte, version uint64) {
	if version > history.version || history.spec == nil {
		history.version, history.spec = version, spec
	}
}

var _ allocator.ConfigSource = (*Edge)(nil)

// ConfigVersion implements allocator.ConfigSource.
func (edge *Edge) ConfigVersion() uint64 {
	edge.configs.mutex.Lock()
	defer edge.configs.mutex.Unlock()
	return edge.configs.version
}

// LostConfig implements allocator.ConfigSource.
func (edge *Edge) LostConfig() []byte {
	edge.configs.mutex.Lock()
	defer edge.configs.mutex.Unlock()
	if edge.configs.storedVersion >= edge.configs.version {
		return nil
	}
	return edge.configs.spec
}

// OfferConfig implements allocator.ConfigSource.
func (edge *Edge) OfferConfig(spec []byte) {
	config, err := edge.DecodeConfig(spec)
	if err != nil {
		edge.Log.Warn("configuration of another VM is not usable", "error", err.Error())
		return
	}
	edge.configs.mutex.Lock()
	edge.configs.record(spec, config.Version)
	edge.configs.mutex.Unlock()
	edge.putIntoForce(config, "source", "another VM")
}

// putIntoForce puts a configuration into force unless a newer one is. The attributes are
// added to the log line.
func (edge *Edge) putIntoForce(config *matcher.Config, attributes ...any) {
	edge.allocator.AddServices(config)
	if !edge.courier.SetTable(matcher.New(config)) {
		return
	}
	for _, fault := range config.Faults {
		edge.Log.Warn("an entry of the configuration is not usable; the others are in force", "version", config.Version, "error", fault.Error())
	}
	edge.Log.Info("configuration in force", append([]any{"version", config.Version, "routes", len(config.Routes), "services", len(config.Services)}, attributes...)...)
}
