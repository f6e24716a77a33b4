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

// newHolder returns the holder of one request of the connection and its response.
func (conn *connection) newHolder() *accountant.Holder {
	return conn.server.Account.NewHolder(conn.address, conn.evict, nil)
}

// evict ends what a request of the connection waits for. An upload that has not reached an
// upstream gets a response; a caller that does not read its responses gets none.
func (conn *connection) evict(activity accountant.Activity) {
	if activity != accountant.Uploading {
		conn.abort()
		return
	}
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	for _, exchange := range conn.pending {
		// At most one body of a connection is being read.
		if exchange.body != nil && exchange.response == nil {
			exchange.body.evict()
		}
	}
}

// release gives up what a request and its response hold. It is the only exit of a request,
// and may be called again.
func (exchange *exchange) release() {
	if response := exchange.response; response != nil && response.Rest != nil {
		_ = response.Rest.Close()
	}
	exchange.holder.Close()
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
