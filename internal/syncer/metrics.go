package syncer

import "github.com/prometheus/client_golang/prometheus"

// The results of merging an object.
const (
	adopted   = "adopted"
	pending   = "pending"   // an index whose bodies are not all known
	outdated  = "outdated"  // the same or a newer revision is known
	divergent = "divergent" // another value of the known revision
	invalid   = "invalid"
)

var (
	// MergesTotal counts merged objects.
	MergesTotal = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "cuminstream_sync_merges_total",
		Help: "Objects received from the platform and from peers, by result.",
	}, []string{"result"})

	// WatchFailuresTotal counts failed lists, watches and reads of the platform.
	WatchFailuresTotal = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "cuminstream_sync_watch_failures_total",
		Help: "Failed lists and watches of the platform, by prefix.",
	}, []string{"prefix"})
)
