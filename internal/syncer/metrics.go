package syncer

import "github.com/prometheus/client_golang/prometheus"

// Results of merging an object, used as values of the label result.
const (
	adopted   = "adopted"
	pending   = "pending"   // an index with missing bodies
	outdated  = "outdated"  // the store holds the same or a higher revision
	divergent = "divergent" // the store holds another value with the same revision
	invalid   = "invalid"
)

var (
	// MergesTotal counts received objects by the result of merging them.
	MergesTotal = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "cuminstream_sync_merges_total",
		Help: "Objects received from the platform and from peers, by result.",
	}, []string{"result"})

	// WatchFailuresTotal counts failed lists, watches and reads of the platform by
	// prefix.
	WatchFailuresTotal = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "cuminstream_sync_watch_failures_total",
		Help: "Failed lists and watches of the platform, by prefix.",
	}, []string{"prefix"})
)
