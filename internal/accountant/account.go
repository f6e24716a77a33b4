package accountant

import (
	"cmp"
	"context"
	"log/slog"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cuminstream/cuminstream/pkg/clocker"
)

// Reason says which bound a refusal or an eviction is due to.
type Reason string

// The reasons of refusals and evictions.
const (
	ReasonTotal       Reason = "total"
	ReasonConnections Reason = "connections"
	ReasonRequests    Reason = "requests"
	ReasonResponses   Reason = "responses"
	ReasonAddress     Reason = "address"
	ReasonDescriptors Reason = "descriptors"
	ReasonKernel      Reason = "kernel"
	ReasonIdle        Reason = "idle connection"
	ReasonUpload      Reason = "stalled upload"
	ReasonUnread      Reason = "unread response"
)

// reasonsOfUses are the reasons for the bounds of the uses.
var reasonsOfUses = [useCount]Reason{ReasonConnections, ReasonRequests, ReasonResponses}

const (
	// smallHolder is the size up to which a holder may use a whole bound. The last quarter
	// of each bound is kept for such holders, so that large uploads do not displace
	// ordinary requests.
	smallHolder = 128 << 10
	// evictInterval is the interval between checks whether to evict.
	evictInterval = 100 * time.Millisecond
	// sampleInterval is the interval between samples of the kernel's bytes, which take two
	// system calls for each connection.
	sampleInterval = 500 * time.Millisecond
	// minStall is the time without progress after which a holder may be evicted. A caller
	// that is slow but sends or reads something each second stays.
	minStall = time.Second
	// reportInterval is the interval between log lines on refusals and evictions.
	reportInterval = 5 * time.Second
)

// Account holds the bytes of a VM. The exported fields must be set before its first use. It
// is safe for concurrent use.
type Account struct {
	Limits Limits
	Clock  clocker.Clock
	Log    *slog.Logger
	// Metrics may be nil.
	Metrics *Metrics

	mutex   sync.Mutex
	total   int64
	used    [useCount]int64
	kernel  int64 // the last sample
	clients map[netip.Addr]*client
	// holders is the head of a circular list of the holders that are not closed. A list
	// costs less than a map for each request.
	holders  Holder
	open     int // number of holders with a Queued function
	refused  map[Reason]int
	evicted  map[Reason]int
	reported time.Time
}

// client is what the holders of one client address hold together.
type client struct {
	used    int64
	holders int
}

// New returns an account.
func New(limits Limits, clock clocker.Clock, log *slog.Logger) *Account {
	account := &Account{Limits: limits, Clock: clock, Log: log, clients: map[netip.Addr]*client{}, refused: map[Reason]int{}, evicted: map[Reason]int{}}
	account.holders.next, account.holders.previous = &account.holders, &account.holders
	return account
}

// Used returns the bytes that are held for a use.
func (account *Account) Used(use Use) int64 {
	account.mutex.Lock()
	defer account.mutex.Unlock()
	return account.used[use]
}

// Kernel returns the last sample of the kernel's bytes.
func (account *Account) Kernel() int64 {
	account.mutex.Lock()
	defer account.mutex.Unlock()
	return account.kernel
}

// CountRefusal records a refusal that another component has decided.
func (account *Account) CountRefusal(reason Reason) {
	if account == nil {
		return
	}
	account.mutex.Lock()
	defer account.mutex.Unlock()
	account.refused[reason]++
	account.Metrics.countRefusal(reason)
}

// CountEviction records an eviction that another component has decided.
func (account *Account) CountEviction(reason Reason) {
	if account == nil {
		return
	}
	account.mutex.Lock()
	defer account.mutex.Unlock()
	account.evicted[reason]++
	account.Metrics.countEviction(reason)
}

// Run evicts and reports until ctx is done.
func (account *Account) Run(ctx context.Context) error {
	ticker := account.Clock.NewTicker(evictInterval)
	defer ticker.Stop()
	sampled := account.Clock.Now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C():
			account.EvictStalled()
			if now := account.Clock.Now(); now.Sub(sampled) >= sampleInterval {
				sampled = now
				account.EvictQueued()
			}
			account.report()
		}
	}
}

// nearlyFull reports whether so much of a bound is used that stalled holders are evicted. It
// does so before large holders are refused.
func nearlyFull(used, limit int64) bool { return used > limit/8*5 }

// EvictStalled evicts the holders that have made no progress for the longest time while a
// bound is nearly full, until half of it is free.
func (account *Account) EvictStalled() {
	now := account.Clock.Now()
	account.mutex.Lock()
	total, uses := nearlyFull(account.total, account.Limits.Total), [useCount]bool{}
	short := total
	for use := range useCount {
		uses[use] = nearlyFull(account.used[use], account.Limits.Uses[use])
		short = short || uses[use]
	}
	addresses := map[*client]bool{}
	for _, client := range account.clients {
		if nearlyFull(client.used, account.Limits.Address) {
			addresses[client] = true
			short = true
		}
	}
	if !short {
		account.mutex.Unlock()
		return
	}
	var stalled []*Holder
	for holder := account.holders.next; holder != &account.holders; holder = holder.next {
		if holder.activity.Load() != int32(None) && now.UnixNano()-holder.progress.Load() >= int64(minStall) {
			stalled = append(stalled, holder)
		}
	}
	slices.SortFunc(stalled, func(a, b *Holder) int { return cmp.Compare(a.progress.Load(), b.progress.Load()) })
	// What the evicted ones hold is released when their goroutines have ended.
	left, leftUses, leftClients := account.total, account.used, map[*client]int64{}
	var evicted []*Holder
	for _, holder := range stalled {
		needed := total && left > account.Limits.Total/2
		for use := range useCount {
			needed = needed || (uses[use] && holder.held[use] > 0 && leftUses[use] > account.Limits.Uses[use]/2)
		}
		needed = needed || (addresses[holder.client] && holder.client.used-leftClients[holder.client] > account.Limits.Address/2)
		if !needed {
			continue
		}
		evicted = append(evicted, holder)
		left -= holder.total()
		leftClients[holder.client] += holder.total()
		for use := range useCount {
			leftUses[use] -= holder.held[use]
		}
	}
	account.mutex.Unlock()
	for _, holder := range evicted {
		holder.evict()
	}
}

// EvictQueued samples the bytes that the kernel holds on callers' connections, if these are
// so many that they can exceed the bound, and closes those with most bytes if they do.
func (account *Account) EvictQueued() {
	account.mutex.Lock()
	if int64(account.open)*account.Limits.Queue <= account.Limits.Kernel {
		account.kernel = 0
		account.mutex.Unlock()
		return
	}
	var connections []*Holder
	for holder := account.holders.next; holder != &account.holders; holder = holder.next {
		if holder.queued != nil {
			connections = append(connections, holder)
		}
	}
	account.mutex.Unlock()
	type sample struct {
		holder *Holder
		bytes  int64
	}
	var samples []sample
	kernel := int64(0)
	for _, holder := range connections {
		if bytes := holder.queued(); bytes > 0 {
			samples = append(samples, sample{holder, bytes})
			kernel += bytes
		}
	}
	account.mutex.Lock()
	account.kernel = kernel
	account.mutex.Unlock()
	if kernel <= account.Limits.Kernel {
		return
	}
	slices.SortFunc(samples, func(a, b sample) int { return cmp.Compare(b.bytes, a.bytes) })
	for _, sample := range samples {
		if kernel <= account.Limits.Kernel/4*3 {
			break
		}
		kernel -= sample.bytes
		sample.holder.evict()
	}
}

// report logs the refusals and evictions since the last report.
func (account *Account) report() {
	now := account.Clock.Now()
	account.mutex.Lock()
	defer account.mutex.Unlock()
	if len(account.refused)+len(account.evicted) == 0 || now.Sub(account.reported) < reportInterval {
		return
	}
	account.Log.Warn("the account of bytes is short", "refused", account.refused, "evicted", account.evicted,
		"connectionBytes", account.used[Connections], "requestBytes", account.used[Requests], "responseBytes", account.used[Responses],
		"kernelBytes", account.kernel, "limitBytes", account.Limits.Total)
	account.refused, account.evicted, account.reported = map[Reason]int{}, map[Reason]int{}, now
}
