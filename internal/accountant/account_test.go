package accountant_test

import (
	"log/slog"
	"net/netip"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cuminstream/cuminstream/internal/accountant"
	"github.com/cuminstream/cuminstream/pkg/clocker"
)

var (
	one = netip.MustParseAddr("192.0.2.1")
	two = netip.MustParseAddr("192.0.2.2")
)

func newAccount(memory int64) (*accountant.Account, *clocker.Fake) {
	clock := clocker.NewFake(time.Unix(1000, 0))
	account := accountant.New(accountant.LimitsFor(memory), clock, slog.New(slog.DiscardHandler))
	accountant.NewMetrics(prometheus.NewRegistry(), account)
	return account, clock
}

func ignore(accountant.Activity) {}

// Guards against an account that can be exceeded by many holders, by one use or by one
// client address, and against small requests that large uploads displace.
func TestBounds(t *testing.T) {
	account, _ := newAccount(256 << 20)
	fill := func(address netip.Addr, use accountant.Use, size int64) (last accountant.Reason, sum int64) {
		for {
			if last = account.NewHolder(address, ignore, nil).Reserve(use, size); last != "" {
				return last, sum
			}
			sum += size
		}
	}
	limits := account.Limits
	reason, large := fill(one, accountant.Requests, 1<<20)
	assert.Equal(t, reason, accountant.ReasonRequests)
	assert.Assert(t, large <= limits.Uses[accountant.Requests]/4*3)
	reason, small := fill(one, accountant.Requests, 1<<10)
	assert.Equal(t, reason, accountant.ReasonRequests)
	assert.Assert(t, large+small > limits.Uses[accountant.Requests]-1<<10)
	reason, _ = fill(one, accountant.Responses, 1<<10)
	assert.Equal(t, reason, accountant.ReasonAddress)
	reason, _ = fill(two, accountant.Responses, 1<<10)
	assert.Equal(t, reason, accountant.ReasonTotal)
}

// Guards against bytes that are reserved and never released: they would refuse everything.
func TestNothingIsLeaked(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		account, _ := newAccount(64 << 20)
		var holders []*accountant.Holder
		for range rapid.IntRange(1, 8).Draw(t, "holders") {
			address := rapid.SampledFrom([]netip.Addr{one, two}).Draw(t, "address")
			holders = append(holders, account.NewHolder(address, ignore, nil))
		}
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			holder := rapid.SampledFrom(holders).Draw(t, "holder")
			use := rapid.SampledFrom([]accountant.Use{accountant.Connections, accountant.Requests, accountant.Responses}).Draw(t, "use")
			bytes := rapid.Int64Range(0, 8<<20).Draw(t, "bytes")
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				holder.Reserve(use, bytes)
			case 1:
				holder.Force(use, bytes)
			case 2:
				holder.Release(use, bytes)
			default:
				holder.Close()
			}
		}
		for _, holder := range holders {
			holder.Close()
			holder.Close()
			holder.Force(accountant.Requests, 1) // its owner has ended
		}
		for _, use := range []accountant.Use{accountant.Connections, accountant.Requests, accountant.Responses} {
			assert.Equal(t, account.Used(use), int64(0))
		}
	})
}

// Guards against the eviction of uploads that progress, of more than is needed, and of
// anything while there is room.
func TestLongestStalledIsEvictedFirst(t *testing.T) {
	account, clock := newAccount(256 << 20)
	const size = 1 << 20
	var evicted []int
	var holders []*accountant.Holder
	add := func() accountant.Reason {
		number := len(holders)
		holder := account.NewHolder(one, func(activity accountant.Activity) {
			assert.Equal(t, activity, accountant.Uploading)
			evicted = append(evicted, number)
			holders[number].Close()
		}, nil)
		holders = append(holders, holder)
		holder.Await(accountant.Uploading)
		clock.Advance(time.Millisecond)
		return holder.Reserve(accountant.Requests, size)
	}
	assert.Equal(t, add(), accountant.Reason(""))
	clock.Advance(time.Minute)
	account.EvictStalled()
	assert.Equal(t, len(evicted), 0, "there is room")
	for reason := add(); reason == ""; {
		reason = add()
	}
	account.EvictStalled()
	assert.Equal(t, len(evicted), 1, "only the first one has stalled for long")
	clock.Advance(2 * time.Second)
	holders[1].Progress()
	for range 4 {
		holders = append(holders, account.NewHolder(one, ignore, nil))
		holders[len(holders)-1].Reserve(accountant.Requests, 100<<10)
		holders[len(holders)-1].Force(accountant.Requests, size)
	}
	account.EvictStalled()
	assert.Assert(t, len(evicted) > 1)
	for i, number := range evicted[1:] {
		assert.Equal(t, number, i+2, "in the order of their last progress")
	}
	assert.Assert(t, account.Used(accountant.Requests) > account.Limits.Uses[accountant.Requests]/2-size)
}

// Guards against memory of the kernel that no bound covers: the connections with most bytes
// are closed.
func TestKernelQueues(t *testing.T) {
	account, _ := newAccount(64 << 20)
	left, smallest := int64(0), 400
	for number := range 400 {
		bytes := int64(number) << 10
		left += bytes
		account.NewHolder(one, func(accountant.Activity) {
			smallest = min(smallest, number)
			left -= bytes
		}, func() int64 { return bytes })
	}
	account.EvictQueued()
	assert.Assert(t, left <= account.Limits.Kernel && left > account.Limits.Kernel/2, "%d", left)
	assert.Assert(t, smallest > 100, "%d", smallest)
}

// Guards against limits that the smallest machine's callers meet under normal load: a VM
// with 144 MB and 3,075 descriptors has room for 1,000 connections.
func TestSmallestMachine(t *testing.T) {
	limits := accountant.LimitsFor(144 << 20)
	assert.Assert(t, limits.Uses[accountant.Connections] >= 1000*12<<10)
	assert.Assert(t, accountant.MaxConnections(3075) >= 1000)
	assert.Assert(t, limits.Uses[accountant.Requests]/4*3 >= 8<<20)
	assert.Assert(t, accountant.RuntimeLimit(144<<20)+limits.Kernel < 144<<20)
}
