package platformer

import (
	"cmp"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"golang.org/x/time/rate"

	"github.com/cuminstream/cuminstream/pkg/clocker"
)

const (
	// maxValueSize is the largest size of an object's value in bytes.
	maxValueSize = 1_000_000

	// pageSizeLimit is the total size of values, in bytes, at which a page of a
	// list or a watch ends. The value that reaches it is still included.
	pageSizeLimit = 4_000_000

	// A sequence number consists of an epoch in its upper bits and the number of
	// the write in its lower bits. Together they fit into 53 bits, because JSON
	// parsers that use float64 lose precision above that.
	writeNumberBits = 40
	epochCount      = 1 << 12
)

// Settings holds the limits of the platform. Rates are in calls per second; 0
// means no limit.
type Settings struct {
	ReadRate  float64
	WriteRate float64
	// VMLag is the delay after which a change appears in the list of VMs.
	VMLag time.Duration
}

// DefaultSettings returns the limits stated in docs/platform-protocol.md.
func DefaultSettings() Settings {
	return Settings{ReadRate: 2000, WriteRate: 500, VMLag: 3 * time.Second}
}

// object is a stored object with the sequence number of its last change.
type object struct {
	name     string
	version  string
	value    []byte
	sequence uint64
}

// Platform is an http.Handler that serves the platform protocol from memory. It is
// safe for concurrent use.
type Platform struct {
	clock   clocker.Clock
	handler http.Handler

	mutex            sync.Mutex
	settings         Settings
	reads            *rate.Limiter
	writes           *rate.Limiter
	objects          map[string]object
	lastVersion      uint64 // not reset by RestartSequence, so that no version is used twice
	sequence         uint64
	minWatchSequence uint64        // watches after a lower sequence number are refused
	changed          chan struct{} // closed and replaced when objects or the outage change
	counters         Counters
	outage           Outage
	losses           responseLossPlan
	vms              vmHistory
}

// New returns a Platform without objects. Its sequence starts in a random epoch.
func New(clock clocker.Clock, settings Settings) *Platform {
	platform := &Platform{
		clock:    clock,
		objects:  map[string]object{},
		changed:  make(chan struct{}),
		counters: newCounters(),
		sequence: rand.Uint64N(epochCount) << writeNumberBits,
	}
	platform.minWatchSequence = platform.sequence
	platform.SetSettings(settings)
	router := mux.NewRouter().SkipClean(true)
	platform.registerControlRoutes(router.PathPrefix("/control").Subrouter())
	platform.registerProtocolRoutes(router)
	platform.handler = router
	return platform
}

// ServeHTTP serves the platform protocol and the control calls.
func (platform *Platform) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	platform.handler.ServeHTTP(writer, request)
}

// SetSettings replaces the limits and resets the rate limiters.
func (platform *Platform) SetSettings(settings Settings) {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	platform.settings = settings
	platform.reads = newLimiter(settings.ReadRate)
	platform.writes = newLimiter(settings.WriteRate)
}

// newLimiter returns a rate limiter whose burst is the number of calls allowed in
// one second, at least 1.
func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

// RestartSequence moves the sequence to a different epoch, as happens when the
// platform is replaced. Objects keep their versions and get new sequence numbers.
func (platform *Platform) RestartSequence() {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	epoch := platform.sequence >> writeNumberBits
	platform.sequence = ((epoch + 1 + rand.Uint64N(epochCount-1)) % epochCount) << writeNumberBits
	platform.minWatchSequence = platform.sequence
	for _, name := range platform.sortedNames("") {
		updated := platform.objects[name]
		platform.sequence++
		updated.sequence = platform.sequence
		platform.objects[name] = updated
	}
	platform.notifyChanged()
}

// Compact makes the platform refuse watches after a sequence number below the
// current one.
func (platform *Platform) Compact() {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	platform.minWatchSequence = platform.sequence
}

// notifyChanged wakes all waiting watches and calls held by an outage. The mutex
// must be held.
func (platform *Platform) notifyChanged() {
	close(platform.changed)
	platform.changed = make(chan struct{})
}

// sortedNames returns the names of all objects that begin with prefix, in order.
// The mutex must be held.
func (platform *Platform) sortedNames(prefix string) []string {
	var names []string
	for name := range platform.objects {
		if strings.HasPrefix(name, prefix) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// putResult tells whether put stored the value or its condition did not hold.
type putResult int

const (
	written putResult = iota
	conflict
)

// precondition is the requirement of a write: that the object has the version, or
// that it does not exist.
type precondition struct {
	version string
	absent  bool
}

// put stores the value if the condition holds and returns the new version.
func (platform *Platform) put(name string, value []byte, condition precondition) (string, putResult) {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	current, exists := platform.objects[name]
	if condition.absent == exists || (exists && current.version != condition.version) {
		platform.counters.Conflicts++
		return "", conflict
	}
	platform.lastVersion++
	platform.sequence++
	version := strconv.FormatUint(platform.lastVersion, 36) + "v"
	platform.objects[name] = object{name: name, version: version, value: value, sequence: platform.sequence}
	platform.notifyChanged()
	return version, written
}

// list returns a page of the objects whose names begin with prefix, starting at
// the name from.
func (platform *Platform) list(prefix, from string) page {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	result := page{Objects: []entry{}, Sequence: platform.sequence}
	size := 0
	for _, name := range platform.sortedNames(prefix) {
		if name < from {
			continue
		}
		if size >= pageSizeLimit {
			result.Next = name
			break
		}
		found := platform.objects[name]
		size += len(found.value)
		result.Objects = append(result.Objects, found.entry())
	}
	return result
}

// changes returns a page of the objects that changed after the sequence number, in
// the order of their last change, and a channel that is closed at the next change.
// cannotResume reports that the platform has no history from that number on: it was
// compacted, or it belongs to another epoch.
func (platform *Platform) changes(prefix string, after uint64) (result page, cannotResume bool, next <-chan struct{}) {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	if after < platform.minWatchSequence || after > platform.sequence {
		return page{}, true, nil
	}
	var found []object
	for _, candidate := range platform.objects {
		if candidate.sequence > after && strings.HasPrefix(candidate.name, prefix) {
			found = append(found, candidate)
		}
	}
	slices.SortFunc(found, func(a, b object) int { return cmp.Compare(a.sequence, b.sequence) })
	result = page{Objects: []entry{}, Sequence: platform.sequence}
	size := 0
	for _, candidate := range found {
		if size >= pageSizeLimit {
			result.Sequence = result.lastSequence
			break
		}
		size += len(candidate.value)
		result.lastSequence = candidate.sequence
		result.Objects = append(result.Objects, candidate.entry())
	}
	return result, false, platform.changed
}
