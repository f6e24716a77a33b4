package accountant

import (
	"net/netip"
	"sync/atomic"
)

// Activity says what a holder waits for its caller to do.
type Activity int32

// The activities of a holder.
const (
	// None means that the caller holds nothing up.
	None Activity = iota
	// Uploading means that the caller is to send a body.
	Uploading
	// Writing means that the caller is to read a response.
	Writing
)

// Holder is one owner of bytes in an account: a connection, or a request with its response.
// Its owner closes it at its only exit, which releases all that it still holds. A nil Holder
// may hold anything.
type Holder struct {
	onEvict  func(Activity)
	queued   func() int64
	account  *Account
	client   *client
	address  netip.Addr
	held     [useCount]int64 // guarded by the account's mutex, like the fields below
	closed   bool
	next     *Holder
	previous *Holder

	activity atomic.Int32
	progress atomic.Int64 // Unix nanoseconds
}

// NewHolder returns a holder for a caller at the address. onEvict is called when it is to
// give up what it holds, and must not block. queued, if not nil, returns the bytes that the
// kernel holds on the caller's connection.
func (account *Account) NewHolder(address netip.Addr, onEvict func(Activity), queued func() int64) *Holder {
	if account == nil {
		return nil
	}
	holder := &Holder{account: account, address: address, onEvict: onEvict, queued: queued}
	account.mutex.Lock()
	defer account.mutex.Unlock()
	holder.client = account.clients[address]
	if holder.client == nil {
		holder.client = &client{}
		account.clients[address] = holder.client
	}
	holder.client.holders++
	if queued != nil {
		account.open++
	}
	last := account.holders.previous
	holder.previous, holder.next = last, &account.holders
	last.next, account.holders.previous = holder, holder
	return holder
}

// total returns the bytes that it holds. The account's mutex is held.
func (holder *Holder) total() (total int64) {
	for _, bytes := range holder.held {
		total += bytes
	}
	return total
}

// Reserve adds bytes to what it holds. If a bound does not allow that, it changes nothing
// and returns the bound; otherwise it returns "".
func (holder *Holder) Reserve(use Use, bytes int64) Reason {
	reason := holder.TryReserve(use, bytes)
	if reason != "" {
		holder.account.CountRefusal(reason)
	}
	return reason
}

// TryReserve is Reserve for bytes without which nothing is refused: it counts no refusal.
func (holder *Holder) TryReserve(use Use, bytes int64) Reason {
	if holder == nil {
		return ""
	}
	account := holder.account
	account.mutex.Lock()
	defer account.mutex.Unlock()
	large := holder.total()+bytes > smallHolder
	exceeds := func(used, limit int64) bool {
		if large {
			limit -= limit / 4
		}
		return used+bytes > limit
	}
	reason := Reason("")
	switch {
	case exceeds(account.used[use], account.Limits.Uses[use]):
		reason = reasonsOfUses[use]
	case exceeds(account.total, account.Limits.Total):
		reason = ReasonTotal
	case exceeds(holder.client.used, account.Limits.Address):
		reason = ReasonAddress
	}
	if reason != "" {
		return reason
	}
	holder.add(use, bytes)
	return ""
}

// Force adds bytes whatever the bounds are, for what cannot be refused any more.
func (holder *Holder) Force(use Use, bytes int64) {
	if holder == nil {
		return
	}
	holder.account.mutex.Lock()
	defer holder.account.mutex.Unlock()
	holder.add(use, bytes)
}

// Release takes bytes off what it holds.
func (holder *Holder) Release(use Use, bytes int64) {
	if holder == nil {
		return
	}
	holder.account.mutex.Lock()
	defer holder.account.mutex.Unlock()
	holder.add(use, -min(bytes, holder.held[use]))
}

// add changes what it holds. The account's mutex is held.
func (holder *Holder) add(use Use, bytes int64) {
	if holder.closed {
		return
	}
	holder.held[use] += bytes
	holder.client.used += bytes
	holder.account.used[use] += bytes
	holder.account.total += bytes
}

// Close releases all that it holds. Further calls do nothing.
func (holder *Holder) Close() {
	if holder == nil {
		return
	}
	account := holder.account
	account.mutex.Lock()
	defer account.mutex.Unlock()
	if holder.closed {
		return
	}
	for use := range useCount {
		holder.add(use, -holder.held[use])
	}
	holder.closed = true
	holder.previous.next, holder.next.previous = holder.next, holder.previous
	if holder.queued != nil {
		account.open--
	}
	if holder.client.holders--; holder.client.holders == 0 {
		delete(account.clients, holder.address)
	}
}

// Await records that the caller is to do something from now on.
func (holder *Holder) Await(activity Activity) {
	if holder == nil {
		return
	}
	holder.Progress()
	holder.activity.Store(int32(activity))
}

// Progress records that the caller has sent or read something.
func (holder *Holder) Progress() {
	if holder != nil {
		holder.progress.Store(holder.account.Clock.Now().UnixNano())
	}
}

// evict makes its owner give up what it holds.
func (holder *Holder) evict() {
	activity, reason := Activity(holder.activity.Load()), ReasonKernel
	switch activity {
	case Uploading:
		reason = ReasonUpload
	case Writing:
		reason = ReasonUnread
	}
	holder.account.CountEviction(reason)
	holder.onEvict(activity)
}
