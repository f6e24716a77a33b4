package courier

import "sync"

// The buffers of bodies have sizes that double, and a last one that finds out whether a body
// of maxBufferedBody goes on. They are reused: growing a body to 1 MiB would otherwise leave
// as much garbage, and an upload that is refused or evicted all of it.
const (
	firstBuffer     = 4 << 10
	lastBuffer      = maxBufferedBody + firstBuffer
	bodyBufferSizes = 9 // 4 KiB to 512 KiB, and lastBuffer
)

var bodyBuffers [bodyBufferSizes]sync.Pool

// bodyBufferSize returns the size of the buffers of an index.
func bodyBufferSize(index int) int {
	if index == bodyBufferSizes-1 {
		return lastBuffer
	}
	return firstBuffer << index
}

// takeBodyBuffer returns an empty buffer.
func takeBodyBuffer(index int) []byte {
	if buffer, ok := bodyBuffers[index].Get().(*[]byte); ok {
		return *buffer
	}
	return make([]byte, 0, bodyBufferSize(index))
}

// giveBodyBuffer takes back a buffer that nobody else uses.
func giveBodyBuffer(buffer []byte) {
	buffer = buffer[:0]
	for index := range bodyBufferSizes {
		if cap(buffer) == bodyBufferSize(index) {
			bodyBuffers[index].Put(&buffer)
		}
	}
}
