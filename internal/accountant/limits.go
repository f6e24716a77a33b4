package accountant

// Use says for what bytes are held.
type Use int

// The uses of bytes.
const (
	// Connections are the buffers, stacks and structures of callers' connections.
	Connections Use = iota
	// Requests are heads by their cost when parsed, and bodies.
	Requests
	// Responses are responses that their callers have not read.
	Responses
	useCount
)

// String returns the name of the use in metrics and log lines.
func (use Use) String() string { return [useCount]string{"connections", "requests", "responses"}[use] }

// Limits bound an account, in bytes.
type Limits struct {
	// Total bounds all uses together, and Uses each of them.
	Total int64
	Uses  [useCount]int64
	// Address bounds what the callers of one client address hold.
	Address int64
	// Kernel bounds what the kernel holds on callers' connections: received and not read,
	// or written and not acknowledged. It is not part of Total.
	Kernel int64
	// Queue is the most that the kernel holds of one connection.
	Queue int64
}

const (
	// accountShare is the part of the machine's memory that the account may hold. The rest
	// is for the program and its state, garbage, and the kernel's buffers.
	accountShare = 0.25
	// kernelShare is the part for the kernel's buffers of callers' connections.
	kernelShare = 0.2
	// runtimeShare is the part that the Go runtime may use. Code and the kernel's buffers
	// are not in it.
	runtimeShare = 0.6
	// defaultMemory applies where the settings do not state the memory of the machine.
	defaultMemory = 256 << 20
	// minMemory keeps the bounds above what a single request needs.
	minMemory = 64 << 20
)

// memoryOr returns the memory of the machine, or the default if it is not known.
func memoryOr(memory int64) int64 {
	if memory <= 0 {
		return defaultMemory
	}
	return max(memory, minMemory)
}

// LimitsFor returns the limits on a machine with the given memory in bytes. The sum of the
// uses exceeds the total, so that a VM whose load is of one kind can use most of it.
func LimitsFor(memory int64) Limits {
	memory = memoryOr(memory)
	total := int64(accountShare * float64(memory))
	return Limits{
		Total: total, Uses: [useCount]int64{Connections: total / 2, Requests: total * 5 / 8, Responses: total * 5 / 8},
		Address: total * 3 / 4, Kernel: int64(kernelShare * float64(memory)),
		Queue: queueFactor * int64(SocketBuffer(memory)),
	}
}

// RuntimeLimit returns the limit for debug.SetMemoryLimit on a machine with the given
// memory.
func RuntimeLimit(memory int64) int64 { return int64(runtimeShare * float64(memoryOr(memory))) }

const (
	// minSocketBuffer and maxSocketBuffer bound the size of a socket's buffers. A buffer of
	// 32 KiB, which the kernel doubles, carries 10 Mbit/s at a round trip of 50 ms.
	minSocketBuffer = 32 << 10
	maxSocketBuffer = 128 << 10
	// socketBufferDivisor is the ratio of the machine's memory to the size of a buffer.
	socketBufferDivisor = 4096
	// queueFactor is the ratio of what the kernel may hold of a connection to the size that
	// is set: the kernel doubles it, and there are two buffers.
	queueFactor = 4
)

// SocketBuffer returns the size to set for the receive buffer and for the send buffer of a
// caller's connection on a machine with the given memory.
func SocketBuffer(memory int64) int {
	return int(min(max(memoryOr(memory)/socketBufferDivisor, minSocketBuffer), maxSocketBuffer))
}

const (
	// fileFDs is the number of descriptors that are reserved for files.
	fileFDs = 200
	// callerFDShare is the part of the other descriptors that callers' connections may
	// take. The rest is for upstreams, other VMs, the store and probes.
	callerFDShare = 0.6
	// defaultConnections applies where the settings do not state the descriptors.
	defaultConnections = 2500
	// minConnections is accepted on any machine.
	minConnections = 16
)

// MaxConnections returns how many callers' connections a process may have with the given
// number of descriptors; 0 means that it is not known.
func MaxConnections(descriptors int) int {
	if descriptors <= 0 {
		return defaultConnections
	}
	return max(int(callerFDShare*float64(descriptors-fileFDs)), minConnections)
}
