package edger

import (
	"slices"
	"time"

	"github.com/cuminstream/cuminstream/internal/storer"
)

// changeBatchDelay is the delay before the next watch after changes, so that changes
// in quick succession are fetched with one call. startBatchDelay replaces it until there
// are brokers: while the whole system starts, upstreams register one after the other.
const (
	changeBatchDelay = 100 * time.Millisecond
	startBatchDelay  = 500 * time.Millisecond
)

func (edge *Edge) newFollower(kind string, onList func([]storer.Object), onChanges func([]storer.Change), onResponse func(time.Time, bool)) *storer.Follower {
	return &storer.Follower{
		Store: edge.Store, Kind: kind, Clock: edge.Clock, Log: edge.Log, OnList: onList, OnChanges: onChanges, OnResponse: onResponse,
		ShouldPoll: edge.allocator.ShouldPoll, WatchDelay: edge.watchDelay,
	}
}

func (edge *Edge) watchDelay() time.Duration {
	if edge.allocator.HasClaims() {
		return changeBatchDelay
	}
	return startBatchDelay
}

// handleConfigList applies the configuration from a list of its kind.
func (edge *Edge) handleConfigList(objects []storer.Object) {
	if !slices.ContainsFunc(objects, func(object storer.Object) bool { return object.Name == edge.NameConfig }) {
		edge.configs.clearStored()
	}
	for _, object := range objects {
		edge.applyConfig(object)
	}
}

// handleConfigChanges applies changed configurations. A deletion leaves the current one
// in force.
func (edge *Edge) handleConfigChanges(changes []storer.Change) {
	for _, change := range changes {
		if !change.Deleted {
			edge.applyConfig(change.Object)
		}
	}
}

// applyConfig decodes a configuration and puts it into force. If it is invalid, the
// previous one stays in force.
func (edge *Edge) applyConfig(object storer.Object) {
	if object.Name != edge.NameConfig {
		return
	}
	config, err := edge.DecodeConfig(object.Spec)
	if err != nil {
		edge.Log.Warn("configuration is not usable; the last good one stays in force", "revision", object.Revision, "error", err.Error())
		return
	}
	edge.configs.recordStored(object, config.Version)
	edge.putIntoForce(config, "revision", object.Revision)
}
