package configurer

import (
	"context"
	"strconv"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/cuminstream/cuminstream/internal/platformer"
	"github.com/cuminstream/cuminstream/internal/timeliner"
)

var (
	// AppliedRevision is the newest revision that this process has applied.
	AppliedRevision = prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "cuminstream_config_revision",
		Help: "Revision of the routing document in force at this process.",
	})

	// UnusableRevisions counts failed attempts to apply a newer revision.
	UnusableRevisions = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "cuminstream_config_unusable_total",
		Help: "Accepted revisions of the routing document that this process could not apply; the former one stays in force.",
	})
)

// ObjectSource provides the index and the section bodies to a Follower.
type ObjectSource interface {
	Get(name string) (platformer.Object, bool)
	Subscribe(prefix string, function func(name string)) (cancel func())
}

// Follower updates a Store with the newest document that its objects contain.
type Follower struct {
	Objects  ObjectSource
	Store    *Store
	Recorder *timeliner.Recorder // may be nil
}

// Run applies the document that is known at the start immediately, and then each
// newer one, until ctx is done.
func (follower *Follower) Run(ctx context.Context) error {
	changed := make(chan struct{}, 1)
	cancel := follower.Objects.Subscribe(IndexName, func(string) {
		select {
		case changed <- struct{}{}:
		default: // a refresh is already pending
		}
	})
	defer cancel()
	for {
		follower.Refresh()
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}

// Refresh applies the newest document if its revision is higher than that of the
// store. If the document cannot be applied, the store keeps the former one.
func (follower *Follower) Refresh() {
	object, ok := follower.Objects.Get(IndexName)
	if !ok {
		return
	}
	index, err := DecodeIndex(object.Value)
	if err == nil && index.Revision <= follower.Store.Revision() {
		return
	}
	var document *Document
	if err == nil {
		document, err = AssembleDocument(index, func(name string) ([]byte, bool) {
			body, ok := follower.Objects.Get(name)
			return body.Value, ok
		})
	}
	if err != nil {
		UnusableRevisions.Inc()
		follower.Recorder.Record(timeliner.Event{Kind: "configUnusable", Detail: err.Error()})
		return
	}
	if follower.Store.SetIfNewer(document) {
		AppliedRevision.Set(float64(document.Revision))
		follower.Recorder.Record(timeliner.Event{Kind: "configApplied", Detail: "revision " + strconv.FormatUint(document.Revision, 10)})
	}
}
