package linker

import "time"

// Bounds of the protocol. Both sides of a link use the same values.
const (
	// maxMessage bounds a message after authentication.
	maxMessage = 1 << 20
	// maxChunk bounds the body bytes in one message.
	maxChunk = 64 << 10
	// maxHandshakeMessage bounds a message before authentication, so that a
	// stranger cannot make the process hold more memory than that.
	maxHandshakeMessage = 1 << 10
	// maxNameLength bounds the name of a VM in a handshake.
	maxNameLength = 255
)

// Defaults of the exported fields of Server and Pool.
const (
	defaultHandshakeTimeout     = 2 * time.Second
	defaultShutdownTimeout      = 30 * time.Second
	defaultMaxPendingHandshakes = 128
	defaultMaxLinks             = 8192
	defaultDialTimeout          = 500 * time.Millisecond
	defaultMaxLinksPerPeer      = 1024
	defaultIdleTimeout          = 60 * time.Second
)

const (
	// maxQueuedMessages bounds the messages that wait for a slow control link.
	maxQueuedMessages = 256
	// maxConcurrentCalls bounds the calls of one control link that run at once.
	maxConcurrentCalls = 128
	// controlWriteTimeout ends a control link whose peer accepts no data.
	controlWriteTimeout = 2 * time.Second
	// closingTimeout bounds the wait for the peer's close after a closing
	// message. Closing earlier could reset the link before the message is read.
	closingTimeout = time.Second
	// resetCheckInterval is how often a server that cannot hand a body chunk to
	// its handler checks whether the client has cancelled the request.
	resetCheckInterval = 100 * time.Millisecond
	// deadlineGrace lets the holder's own answer at the deadline arrive before
	// the client gives the link up.
	deadlineGrace = 100 * time.Millisecond
	// unackedTimeout ends a control link whose peer acknowledges no data, for
	// example because its zone is cut off. Request links have no such bound: the
	// kernel also applies it while the peer's window is full, which is how a
	// stalled upload waits.
	unackedTimeout = 3 * time.Second
	minBackoff     = 50 * time.Millisecond
	maxBackoff     = time.Second
)

func orDefault[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}
