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
	// maxValue is the largest value in bytes.
	maxValue = 1_000_000

	// pageBytes ends a page of a list or a watch once its values reach it.
	pageBytes = 4_000_000

	// A sequence is the epoch of the sequence, then the number of the write.
	// Both fit into 53 bits, so that every JSON parser reads them exactly.
	sequenceBits = 40
	epochCount   = 1 << 12
)

// Settings are the platform's limits. Rates are calls a second; 0 means no
// limit.
type Settings struct {
	ReadRate  float64
	WriteRate float64
	// VMLag is how far the list of VMs is behind.
	VMLag time.Duration
}

// DefaultSettings are the limits that the design page states.
func DefaultSettings() Settings {
	return Settings{ReadRate: 2000, WriteRate: 500, VMLag: 3 * time.Second}
}

type object struct {
	name     string
	version  string
	value    []byte
	sequence uint64
}

// Platform is the stand-in. It is an http.Handler and safe for use by several
// goroutines.
type Platform struct {
	clock   clocker.Clock
	handler http.Handler

	mutex    sync.Mutex
	settings Settings
	reads    *rate.Limiter
	writes   *rate.Limiter
	objects  map[string]object
	versions uint64 // never restarts, so that no version is used twice
	sequence uint64
	floor    uint64        // watches from below it are refused
	changed  chan struct{} // closed and replaced at each change of objects or outage
	counters Counters
	outage   Outage
	losses   lossPlan
	vms      vmHistory
}

// New returns a platform without objects.
func New(clock clocker.Clock, settings Settings) *Platform {
	platform := &Platform{
		clock:    clock,
		objects:  map[string]object{},
		changed:  make(chan struct{}),
		counters: newCounters(),
		sequence: rand.Uint64N(epochCount) << sequenceBits,
	}
	platform.floor = platform.sequence
	platform.SetSettings(settings)
	router := mux.NewRouter().SkipClean(true)
	platform.routeControl(router.PathPrefix("/control").Subrouter())
	platform.routeProtocol(router)
	platform.handler = router
	return platform
}

// ServeHTTP answers the platform's protocol and the control calls.
func (platform *Platform) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	platform.handler.ServeHTTP(writer, request)
}

// SetSettings replaces the limits.
func (platform *Platform) SetSettings(settings Settings) {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	platform.settings = settings
	platform.reads = limiter(settings.ReadRate)
	platform.writes = limiter(settings.WriteRate)
}

// limiter allows a burst of one second.
func limiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

// RestartSequence begins a new sequence, as a platform does that was replaced.
// Objects and their versions stay.
func (platform *Platform) RestartSequence() {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	epoch := platform.sequence >> sequenceBits
	platform.sequence = ((epoch + 1 + rand.Uint64N(epochCount-1)) % epochCount) << sequenceBits
	platform.floor = platform.sequence
	for _, name := range platform.names("") {
		entry := platform.objects[name]
		platform.sequence++
		entry.sequence = platform.sequence
		platform.objects[name] = entry
	}
	platform.signal()
}

// Compact refuses watches from a sequence before now.
func (platform *Platform) Compact() {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	platform.floor = platform.sequence
}

// signal wakes everything that waits. The mutex must be held.
func (platform *Platform) signal() {
	close(platform.changed)
	platform.changed = make(chan struct{})
}

// names returns the names that begin with prefix, in order. The mutex must be
// held.
func (platform *Platform) names(prefix string) []string {
	var names []string
	for name := range platform.objects {
		if strings.HasPrefix(name, prefix) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

type outcome int

const (
	written outcome = iota
	conflict
)

// condition is what a write requires: the version, or that there is no object.
type condition struct {
	version string
	absent  bool
}

func (platform *Platform) put(name string, value []byte, required condition) (string, outcome) {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	current, exists := platform.objects[name]
	if required.absent == exists || (exists && current.version != required.version) {
		platform.counters.Conflicts++
		return "", conflict
	}
	platform.versions++
	platform.sequence++
	version := strconv.FormatUint(platform.versions, 36) + "v"
	platform.objects[name] = object{name: name, version: version, value: value, sequence: platform.sequence}
	platform.signal()
	return version, written
}

// list returns a page of the objects that begin with prefix, from the name
// onwards.
func (platform *Platform) list(prefix, from string) page {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	result := page{Objects: []entry{}, Sequence: platform.sequence}
	size := 0
	for _, name := range platform.names(prefix) {
		if name < from {
			continue
		}
		if size >= pageBytes {
			result.Next = name
			break
		}
		found := platform.objects[name]
		size += len(found.value)
		result.Objects = append(result.Objects, found.entry())
	}
	return result
}

// changes returns the objects that changed after the sequence, in the order of
// their last change, and the channel that is closed at the next change.
func (platform *Platform) changes(prefix string, after uint64) (result page, gone bool, next <-chan struct{}) {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	if after < platform.floor || after > platform.sequence {
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
		if size >= pageBytes {
			result.Sequence = result.last
			break
		}
		size += len(candidate.value)
		result.last = candidate.sequence
		result.Objects = append(result.Objects, candidate.entry())
	}
	return result, false, platform.changed
}
