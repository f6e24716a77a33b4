package linker

import "time"

// Bounds of the protocol. Both sides of a link use the same values.
const (
	// maxMessage bounds a message after authentication.
	maxMessage = 1 << 20
	// maxChunk bounds the body bytes in one message.
	maxChunk = 64 << 10
	// maxHandshakeMessage bounds a message before authentication, so that an
	// unauthenticated client cannot make the process hold larger ones.
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
	// maxQueuedMessages bounds the messages queued for a slow control link.
	maxQueuedMessages = 256
	// maxConcurrentCalls bounds the calls that one control link runs at once.
	maxConcurrentCalls = 128
	// controlWriteTimeout ends a control link whose peer reads no data.
	controlWriteTimeout = 2 * time.Second
	// closingTimeout is how long a server waits, after its closing message, for
	// the client to close the link. If the server closed it earlier, the link
	// could be reset before the client has read the message.
	closingTimeout = time.Second
	// resetCheckInterval is how often a server checks for a cancelled request
	// while the handler does not read the body and chunks back up.
	resetCheckInterval = 100 * time.Millisecond
	// deadlineGrace is how long after the deadline the client closes the link,
	// so that the answer which the other VM sends at the deadline still arrives.
	deadlineGrace = 100 * time.Millisecond
	// unackedTimeout ends a control link whose peer acknowledges no data, for
	// example because its zone is unreachable. Request links have no such bound:
	// the kernel would apply it also while the peer's receive window is full, and
	// so end a stalled upload.
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
