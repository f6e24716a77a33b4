package accountant

import (
	"fmt"
	"strings"
)

// LimitsPage returns a section in Markdown that states the limits, their values on the
// smallest and on the largest machine, and why callers do not meet them under normal load.
func LimitsPage() string {
	const smallest, largest, smallestFDs, largestFDs = 144 << 20, 536 << 20, 3075, 10250
	small, large := LimitsFor(smallest), LimitsFor(largest)
	var page strings.Builder
	page.WriteString(`## Limits of what callers may hold

They follow from the settings above and have no setting of their own. A machine without ` + "`memory-mb`" + ` counts as one of 256 MB, one without ` + "`max-fds`" + ` has room
for 2,500 connections. What does not fit is refused with 503 and ` + "`Retry-After`" + ` before it is sent to an upstream, or its connection is closed. "Large" is a request
that holds more than 128 KiB with its response: it may use three quarters of a bound, and the rest is kept for smaller ones.

| limit | 144 MB, 3,075 descriptors | 536 MB, 10,250 descriptors | why callers inside the limits do not meet it under normal load |
|---|---|---|---|
`)
	row := func(name string, small, large int64, unit int64, reason string) {
		text := func(value int64) string {
			if unit == 1 {
				return fmt.Sprint(value)
			}
			return fmt.Sprintf("%.1f MiB", float64(value)/float64(unit))
		}
		fmt.Fprintf(&page, "| %s | %s | %s | %s |\n", name, text(small), text(large), reason)
	}
	const mib = 1 << 20
	row("all bytes for callers", small.Total, large.Total, mib, "see the parts; stalled uploads are evicted from five eighths on")
	row("connections, 12 KiB each", small.Uses[Connections], large.Uses[Connections], mib,
		"the deployments of hard-load.md send 23 and 32 requests a second to a VM on average; with a new connection for each and 15 s of idle time these are 480 connections, 5.8 MB")
	row("requests: heads by parsed cost, bodies", small.Uses[Requests], large.Uses[Requests], mib,
		"a head of 1 KB and 20 lines costs 13 KiB, the costliest legal one 0.9 MiB, a body up to twice what has arrived and at most 1 MiB (the rest is streamed): 150 uploads of 60 KB at once")
	row("responses", small.Uses[Responses], large.Uses[Responses], mib,
		"16 KiB are reserved while a request waits, the largest recent response of its route (at most 256 KiB) while it runs: 60 large downloads at once")
	row("one client address", small.Address, large.Address, mib, "a balancer that hides the callers' addresses still has three quarters")
	row("bytes in the kernel on callers' connections", small.Kernel, large.Kernel, mib, "only what callers do not read, or send faster than this VM reads, stays there")
	row("buffer of a socket, each direction", int64(SocketBuffer(smallest)), int64(SocketBuffer(largest)), 1, "in bytes; carries 10 and 40 Mbit/s on one connection at a round trip of 25 ms")
	row("callers' connections by descriptors", int64(MaxConnections(smallestFDs)), int64(MaxConnections(largestFDs)), 1, "three fifths of the descriptors that are not for files; the rest is for upstreams, VMs and the store")
	row("Go runtime", RuntimeLimit(smallest), RuntimeLimit(largest), mib, "the program alone takes 21 MB, and garbage is collected more often near the limit")
	page.WriteString(`
One connection has at most 16 requests in progress, whose heads cost at most 384 KiB together; a further one stays unread until a response has been written. A
streamed upload gives its slot back when less than 16 KiB arrive in a second.
`)
	return page.String()
}
