package timeliner

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cuminstream/cuminstream/pkg/clocker"
)

// maxEvents bounds the events that a process keeps. At the bound, the oldest
// quarter is dropped.
const maxEvents = 8192

// Event is a state change in one process. Fields that do not apply are empty.
type Event struct {
	Time     time.Time `json:"time"`
	VM       string    `json:"vm"`
	Sequence uint64    `json:"sequence"` // order within the process
	Kind     string    `json:"kind"`     // camelCase, such as "leaseAcquired"
	Group    string    `json:"group,omitempty"`
	Term     uint64    `json:"term,omitempty"`
	Upstream string    `json:"upstream,omitempty"`
	Key      string    `json:"key,omitempty"`
	Request  string    `json:"request,omitempty"`
	Detail   string    `json:"detail,omitempty"`
}

// Recorder keeps the newest events of a process. It is safe for concurrent use.
// Record on a nil Recorder does nothing.
type Recorder struct {
	clock    clocker.Clock
	vm       string
	mutex    sync.Mutex
	sequence uint64
	events   []Event
}

// New returns a recorder for the VM with the given name.
func New(clock clocker.Clock, vm string) *Recorder {
	return &Recorder{clock: clock, vm: vm}
}

// Record adds the event and sets its time, VM and sequence.
func (recorder *Recorder) Record(event Event) {
	if recorder == nil {
		return
	}
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	recorder.sequence++
	event.Time = recorder.clock.Now()
	event.VM = recorder.vm
	event.Sequence = recorder.sequence
	if len(recorder.events) >= maxEvents {
		recorder.events = slices.Delete(recorder.events, 0, maxEvents/4)
	}
	recorder.events = append(recorder.events, event)
}

// Events returns a copy of the events that match the filter, oldest first.
func (recorder *Recorder) Events(filter Filter) []Event {
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	var matching []Event
	for _, event := range recorder.events {
		if filter.Matches(event) {
			matching = append(matching, event)
		}
	}
	return matching
}

// Filter selects events. Empty fields match everything. VMs send it to each other,
// encoded under the names of its fields.
type Filter struct {
	Key      string
	Request  string
	Upstream string
	Group    string
	From     time.Time
	To       time.Time
}

// Matches reports whether the event matches the filter.
func (filter Filter) Matches(event Event) bool {
	matches := func(wanted, value string) bool { return wanted == "" || wanted == value }
	if !filter.From.IsZero() && event.Time.Before(filter.From) {
		return false
	}
	if !filter.To.IsZero() && event.Time.After(filter.To) {
		return false
	}
	return matches(filter.Key, event.Key) && matches(filter.Request, event.Request) &&
		matches(filter.Upstream, event.Upstream) && matches(filter.Group, event.Group)
}

// Merge returns the events of several processes sorted by time, then by VM and
// sequence. Events of one process keep their order unless its clock steps back.
func Merge(lists ...[]Event) []Event {
	merged := slices.Concat(lists...)
	slices.SortStableFunc(merged, func(a, b Event) int {
		if order := a.Time.Compare(b.Time); order != 0 {
			return order
		}
		if order := strings.Compare(a.VM, b.VM); order != 0 {
			return order
		}
		return int(a.Sequence) - int(b.Sequence)
	})
	return merged
}
