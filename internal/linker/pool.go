package linker

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/coder/websocket"
	"golang.org/x/sync/errgroup"

	"github.com/cuminstream/cuminstream/pkg/answerer"
	"github.com/cuminstream/cuminstream/pkg/clocker"
)

// Pool holds the links from the local VM to others: one control link for each VM
// that is called, and one request link for each request forwarded at the same
// time. The exported fields must be set before its first use.
type Pool struct {
	// VM is the name of the local VM.
	VM string
	// SharedKey is the key that all VMs of the system share.
	SharedKey []byte
	// Directory looks up the addresses of the other VMs.
	Directory Directory
	// LocalServer handles calls and requests for the local VM without a link.
	LocalServer *Server
	// Clock defaults to clocker.System.
	Clock clocker.Clock
	// Metrics may be shared with the Server.
	Metrics *Metrics

	// DialTimeout bounds the time to connect, with the handshake.
	DialTimeout time.Duration
	// IdleTimeout is how long an unused link is kept.
	IdleTimeout time.Duration
	// MaxLinksPerPeer bounds the request links to one VM.
	MaxLinksPerPeer int

	once       sync.Once
	goroutines errgroup.Group

	mutex  sync.Mutex
	closed bool
	peers  map[string]*peer
}

var _ Caller = (*Pool)(nil)

// errPoolClosed is the cause of failures after the context of Run is done.
var errPoolClosed = errors.New("the VM is stopping")

func (pool *Pool) init() {
	pool.once.Do(func() {
		if pool.Clock == nil {
			pool.Clock = clocker.System{}
		}
		if pool.Metrics == nil {
			pool.Metrics = NewMetrics()
		}
		pool.DialTimeout = orDefault(pool.DialTimeout, defaultDialTimeout)
		pool.IdleTimeout = orDefault(pool.IdleTimeout, defaultIdleTimeout)
		pool.MaxLinksPerPeer = orDefault(pool.MaxLinksPerPeer, defaultMaxLinksPerPeer)
		pool.peers = map[string]*peer{}
	})
}

// Run closes links that have been idle for IdleTimeout, until ctx is done. It
// then closes all links, which fails the calls and requests that still use them.
func (pool *Pool) Run(ctx context.Context) error {
	pool.init()
	ticker := pool.Clock.NewTicker(pool.IdleTimeout / 2)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C():
			for _, peer := range pool.allPeers() {
				peer.closeUnusedSince(pool.Clock.Now().Add(-pool.IdleTimeout))
			}
		case <-ctx.Done():
			pool.mutex.Lock()
			pool.closed = true
			pool.mutex.Unlock()
			for _, peer := range pool.allPeers() {
				peer.closeAll()
			}
			return pool.goroutines.Wait()
		}
	}
}

func (pool *Pool) allPeers() []*peer {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	peers := make([]*peer, 0, len(pool.peers))
	for _, peer := range pool.peers {
		peers = append(peers, peer)
	}
	return peers
}

// Drop closes all links to the VM, which fails the calls and requests that use
// them. It is for callers that learn of the loss of a VM before TCP detects it.
func (pool *Pool) Drop(vm string) {
	pool.mutex.Lock()
	known := pool.peers[vm]
	pool.mutex.Unlock()
	if known != nil {
		known.closeAll()
	}
}

// start runs function in a goroutine that Run waits for.
func (pool *Pool) start(function func()) error {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	if pool.closed {
		return errPoolClosed
	}
	pool.goroutines.Go(func() error {
		function()
		return nil
	})
	return nil
}

// peer returns the peer of the VM. It fails if the Directory has no address for it.
func (pool *Pool) peer(vm string) (*peer, error) {
	pool.init()
	address, ok := pool.Directory.LinkAddress(vm)
	if !ok {
		return nil, fmt.Errorf("VM %q is not known", vm)
	}
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	if pool.closed {
		return nil, errPoolClosed
	}
	known := pool.peers[vm]
	if known == nil {
		known = &peer{pool: pool, name: vm, links: map[*requestClient]struct{}{}}
		pool.peers[vm] = known
	}
	known.setAddress(address)
	return known, nil
}

// peer holds the links to one VM. The mutex of the pool must be locked before that
// of a peer.
type peer struct {
	pool *Pool
	name string

	mutex               sync.Mutex
	address             string
	consecutiveFailures int // of dials
	retryAt             time.Time
	lastError           error
	control             *callClient
	controlDialed       chan struct{} // closed when the dial of the control link ends
	idle                []*requestClient
	links               map[*requestClient]struct{} // all request links
	dialing             int
}

// setAddress sets the address of the VM. If it has changed, the control link and
// the idle links to the former address are closed.
func (peer *peer) setAddress(address string) {
	peer.mutex.Lock()
	defer peer.mutex.Unlock()
	if peer.address == address {
		return
	}
	if peer.address != "" {
		peer.closeOldestIdle(0)
		if peer.control != nil {
			peer.control.connection.abort()
			peer.control = nil
		}
	}
	peer.address = address
	peer.consecutiveFailures, peer.retryAt, peer.lastError = 0, time.Time{}, nil
}

// closeOldestIdle closes all idle links except the keep ones that became idle
// last. The caller holds the mutex.
func (peer *peer) closeOldestIdle(keep int) {
	count := max(len(peer.idle)-keep, 0)
	for _, link := range peer.idle[:count] {
		delete(peer.links, link)
		link.close()
	}
	peer.idle = slices.Delete(peer.idle, 0, count)
}

func (peer *peer) closeUnusedSince(before time.Time) {
	peer.mutex.Lock()
	defer peer.mutex.Unlock()
	kept := 0
	for kept < len(peer.idle) && peer.idle[len(peer.idle)-1-kept].idleSince.After(before) {
		kept++
	}
	peer.closeOldestIdle(kept)
	if peer.control != nil && peer.control.unusedSince(before) {
		peer.control.connection.abort()
		peer.control = nil
	}
}

func (peer *peer) closeAll() {
	peer.mutex.Lock()
	defer peer.mutex.Unlock()
	peer.closeOldestIdle(0)
	for link := range peer.links {
		link.connection.abort()
	}
	if peer.control != nil {
		peer.control.connection.abort()
	}
}

// checkBackoff fails until the backoff after a failed dial has passed, so that
// requests for an unreachable VM fail immediately. The caller holds the mutex.
func (peer *peer) checkBackoff() error {
	if peer.pool.Clock.Now().Before(peer.retryAt) {
		return fmt.Errorf("VM %q was unreachable moments ago: %w", peer.name, peer.lastError)
	}
	return nil
}

// recordDial records the result of a dial for checkBackoff.
func (peer *peer) recordDial(err error) {
	peer.mutex.Lock()
	defer peer.mutex.Unlock()
	if err == nil {
		peer.consecutiveFailures, peer.retryAt, peer.lastError = 0, time.Time{}, nil
		return
	}
	backoff := min(minBackoff<<min(peer.consecutiveFailures, 10), maxBackoff)
	peer.consecutiveFailures++
	peer.retryAt = peer.pool.Clock.Now().Add(jitter(backoff))
	peer.lastError = err
}

// jitter returns a random duration between half of d and d.
func jitter(d time.Duration) time.Duration {
	var bytes [8]byte
	_, _ = rand.Read(bytes[:])
	return d/2 + time.Duration(binary.BigEndian.Uint64(bytes[:])%uint64(d/2+1))
}

// dial connects to the peer and records the result for the backoff.
func (peer *peer) dial(ctx context.Context, kind linkKind) (*connection, error) {
	pool := peer.pool
	peer.mutex.Lock()
	address := peer.address
	peer.mutex.Unlock()
	dialContext, cancel := clocker.WithTimeout(ctx, pool.Clock, pool.DialTimeout)
	defer cancel()
	connection, err := pool.connect(dialContext, peer.name, address, kind)
	result := "connected"
	if err != nil {
		result = "failed"
	}
	pool.Metrics.handshakes.WithLabelValues("connecting", result).Inc()
	if err != nil && ctx.Err() != nil {
		return nil, err // cancelled by the caller, so not a failure of the peer
	}
	peer.recordDial(err)
	return connection, err
}

func (pool *Pool) connect(ctx context.Context, vm, address string, kind linkKind) (*connection, error) {
	var counted *countingConn
	transport := &http.Transport{
		DisableKeepAlives: true,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := newDialer().DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			counted = &countingConn{Conn: conn}
			return counted, nil
		},
	}
	socket, _, err := websocket.Dial(ctx, "ws://"+address+"/", &websocket.DialOptions{
		HTTPClient: &http.Client{Transport: transport}, CompressionMode: websocket.CompressionDisabled,
	})
	if err != nil {
		return nil, err
	}
	connection := newConnection(socket, counted)
	socket.SetReadLimit(maxHandshakeMessage)
	if err := clientHandshake(ctx, connection, pool.SharedKey, pool.VM, vm, kind); err != nil {
		_ = socket.CloseNow()
		return nil, err
	}
	socket.SetReadLimit(maxMessage)
	connection.finishHandshake(pool.Metrics)
	return connection, nil
}

// linkError returns the error of a call or request whose link failed. delivered is
// set if the peer may have received it.
func linkError(delivered, idempotent bool, format string, args ...any) *answerer.Error {
	switch {
	case !delivered:
		return answerer.New(answerer.NotRunUnavailable, format, args...)
	case idempotent:
		return answerer.New(answerer.UpstreamFailed, format, args...)
	default:
		return answerer.New(answerer.OutcomeUnknown, format, args...)
	}
}
