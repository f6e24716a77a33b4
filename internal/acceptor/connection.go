package acceptor

import (
	"bytes"
	"errors"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/cuminstream/cuminstream/internal/accountant"
)

const (
	// byteCost is the cost of each byte of a head: net/http keeps it as text, and it is
	// copied for the upstream.
	byteCost = 2
	// lineCost is the cost of each line of a head beside its bytes: an entry of the parsed
	// header, and one of its copy for the upstream. Heads of 16,000 bytes with up to 4,000
	// lines took 0.5 to 0.8 MB each.
	lineCost = 200
)

// errOverAccount ends a connection whose head does not fit into the account.
var errOverAccount = errors.New("the account of bytes does not allow the head of this request")

// connection is a connection of a caller.
type connection struct {
	net.Conn
	acceptor *Acceptor
	address  netip.Addr
	holder   *accountant.Holder
	closing  sync.Once

	// readsHead is set while bytes that arrive belong to a head.
	readsHead atomic.Bool
	// headCost is what is reserved for the head that is being read.
	headCost atomic.Int64
	// requests is the number of requests in progress.
	requests atomic.Int32
	// progress is when bytes were last read or written, and blockedSince since when a
	// request waits for its caller, both in Unix nanoseconds; 0 if it does not.
	progress     atomic.Int64
	blockedSince atomic.Int64
	http2        atomic.Bool // the buffers of HTTP/2 are reserved
}

func (conn *connection) now() int64 { return conn.acceptor.Clock.Now().UnixNano() }

func (conn *connection) markProgress() {
	conn.progress.Store(conn.now())
	conn.holder.Progress()
}

// awaitHead records that the next bytes belong to a head.
func (conn *connection) awaitHead() {
	conn.releaseHead()
	conn.readsHead.Store(true)
	conn.holder.Await(accountant.Uploading)
}

// releaseHead releases what was reserved for a head as it arrived.
func (conn *connection) releaseHead() {
	conn.holder.Release(accountant.Requests, conn.headCost.Swap(0))
}

// await records that a request waits for its caller to send or read, until proceed.
func (conn *connection) await(activity accountant.Activity) {
	conn.blockedSince.Store(conn.now())
	conn.holder.Await(activity)
}

func (conn *connection) proceed() {
	conn.blockedSince.Store(0)
	conn.holder.Await(accountant.None)
	conn.markProgress()
}

// evictable reports whether the connection may be closed in favor of another one: no request
// is in progress, or one has waited for its caller for minStall.
func (conn *connection) evictable(now int64) bool {
	blocked := conn.blockedSince.Load()
	return conn.requests.Load() == 0 || (blocked != 0 && now-blocked >= int64(minStall))
}

// Read reserves the cost of a head as it arrives.
func (conn *connection) Read(buffer []byte) (int, error) {
	count, err := conn.Conn.Read(buffer)
	if count > 0 {
		conn.markProgress()
	}
	if count > 0 && conn.readsHead.Load() {
		cost := int64(count)*byteCost + int64(bytes.Count(buffer[:count], []byte("\n")))*lineCost
		if conn.holder.Reserve(accountant.Requests, cost) != "" {
			_ = conn.Close()
			// net/http closes the connection without a response after an error of this type.
			return 0, &net.OpError{Op: "read", Net: "tcp", Err: errOverAccount}
		}
		conn.headCost.Add(cost)
	}
	return count, err
}

// Write records how long the caller takes to read.
func (conn *connection) Write(data []byte) (int, error) {
	conn.await(accountant.Writing)
	defer conn.proceed()
	return conn.Conn.Write(data)
}

// Close releases what the connection holds.
func (conn *connection) Close() error {
	conn.closing.Do(func() {
		conn.holder.Close()
		conn.acceptor.remove(conn)
	})
	return conn.Conn.Close()
}

// SetLinger and CloseWrite are those of the TCP connection, which net/http and the router
// look for.
func (conn *connection) SetLinger(seconds int) error {
	if tcp, ok := conn.Conn.(*net.TCPConn); ok {
		return tcp.SetLinger(seconds)
	}
	return nil
}

// CloseWrite ends the sending side of the connection.
func (conn *connection) CloseWrite() error {
	if tcp, ok := conn.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}
