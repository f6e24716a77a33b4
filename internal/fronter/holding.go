package fronter

import (
	"net"
	"net/netip"

	"github.com/cuminstream/cuminstream/internal/accountant"
	"github.com/cuminstream/cuminstream/internal/peeker"
)

// connectionBytes is what an open connection takes in this process: the read buffer, the
// stack of its goroutine and its structures.
const connectionBytes = 12 << 10

// clientAddress returns the address of the caller without its port, or the zero Addr.
func clientAddress(conn net.Conn) netip.Addr {
	address, err := netip.ParseAddrPort(conn.RemoteAddr().String())
	if err != nil {
		return netip.Addr{}
	}
	return address.Addr().Unmap()
}

// queuedBytes returns the bytes that the kernel holds on the connection.
func (conn *connection) queuedBytes() int64 {
	received, sent := peeker.Queued(conn.netConn)
	return received + sent
}

// newExchange returns the state of a request that is about to be read.
func (conn *connection) newExchange() *exchange {
	exchange := &exchange{}
	exchange.holder = conn.server.Account.NewHolder(conn.address, func(activity accountant.Activity) { conn.evict(exchange, activity) }, nil)
	return exchange
}

// evict ends what a request waits for. An upload that has not reached an upstream gets a
// response; a caller that does not read its responses gets none.
func (conn *connection) evict(exchange *exchange, activity accountant.Activity) {
	if activity != accountant.Uploading {
		conn.abort()
		return
	}
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	if exchange.body != nil {
		exchange.body.evict()
	}
}

// release gives up what a request and its response hold. It is the only exit of a request,
// and may be called again.
func (exchange *exchange) release() {
	if exchange.response != nil && exchange.response.Rest != nil {
		exchange.closeRest()
	}
	exchange.holder.Close()
}

// closeRest closes the rest of the response once. It may be called concurrently.
func (exchange *exchange) closeRest() {
	exchange.restClosed.Do(func() { _ = exchange.response.Rest.Close() })
}

// dropPending releases the pending requests that have a response. The others are released
// when they get one. The mutex is held.
func (conn *connection) dropPending() {
	for _, exchange := range conn.pending {
		if exchange.response != nil {
			exchange.release()
		}
	}
	conn.pending, conn.pendingCost = nil, 0
}
