package edger

import (
	"time"

	"github.com/cuminstream/cuminstream/internal/storer"
	"github.com/cuminstream/cuminstream/pkg/matcher"
)

// changePause is the wait after changes, so that those in quick succession take
// one call.
const changePause = 100 * time.Millisecond

func (edge *Edge) follower(kind string, listed func([]storer.Object), changed func(storer.Change), contact func(time.Time, bool)) *storer.Follower {
	return &storer.Follower{
		Store: edge.Store, Kind: kind, Clock: edge.Clock, Log: edge.Log, Listed: listed, Changed: changed, Contact: contact,
		Poll: edge.allocator.ShouldPoll, Pause: func() time.Duration { return changePause },
	}
}

func (edge *Edge) listConfig(objects []storer.Object) {
	for _, object := range objects {
		edge.applyConfig(object)
	}
}

func (edge *Edge) changeConfig(change storer.Change) {
	if !change.Deleted {
		edge.applyConfig(change.Object)
	}
}

// applyConfig puts a configuration into force. One that cannot be read leaves
// the last good one in force.
func (edge *Edge) applyConfig(object storer.Object) {
	if object.Name != edge.NameConfig {
		return
	}
	document, err := edge.DecodeConfig(object.Spec)
	if err != nil {
		edge.Log.Warn("configuration is not usable; the last good one stays in force", "revision", object.Revision, "error", err.Error())
		return
	}
	edge.allocator.AddServices(document)
	if edge.courier.SetTable(matcher.New(document)) {
		edge.Log.Info("configuration in force", "version", document.Version, "revision", object.Revision,
			"routes", len(document.Routes), "services", len(document.Services))
	}
}
