package fronter

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"

	"golang.org/x/net/http/httpguts"

	"github.com/cuminstream/cuminstream/internal/accountant"
	"github.com/cuminstream/cuminstream/internal/limiter"
)

var (
	errNoHost  = errors.New("the request has no host")
	errField   = errors.New("a field name of the request's header is not a token")
	errVersion = errors.New("the request's protocol is not HTTP/1.0 or HTTP/1.1")
)

// validateRequest makes the checks that http.ReadRequest leaves to its caller.
func validateRequest(message *http.Request) error {
	switch {
	case message.ProtoMajor != 1:
		return errVersion
	case message.Host == "" && message.ProtoAtLeast(1, 1):
		return errNoHost
	}
	for name := range message.Header {
		// net/http keeps names such as "X ", with a space before the colon.
		if !httpguts.ValidHeaderFieldName(name) {
			return errField
		}
	}
	return nil
}

const (
	// headCost is what a request takes apart from its head: goroutine, timers and
	// structures.
	headCost = 6 << 10
	// headByteCost is the number of copies of each byte of a head: the read buffer, the
	// strings of the parsed header, and the head for the upstream, whose buffer doubles.
	headByteCost = 4
	// headLineCost is what a line takes beyond its bytes. A head of 16,000 bytes with 3,250
	// names keeps 456 KB as parsed header and its copy for the upstream, and allocates 584 KB;
	// one with 5,325 lines of one name keeps 204 KB and allocates 491 KB.
	headLineCost = 160
	// maxPipelinedCost bounds the heads of one connection's requests in progress by cost.
	// Usual heads cost less than 24 KiB, so that maxPipelined requests fit.
	maxPipelinedCost = 384 << 10
)

var (
	// errAccountShort is the cause of a refusal because the account has no room.
	errAccountShort = errors.New("the account of bytes has no room for the request")
	errNoColon      = errors.New("a line of the request's header has no field name")
)

// shortRetryAfter is the Retry-After value, in seconds, while the account is short. Stalled
// uploads are evicted after a second.
const shortRetryAfter = "0.500"

// admitRequest reads the head of a request into the connection's buffer and reserves what it
// costs when it is parsed. The head is still in the buffer then.
func (conn *connection) admitRequest(limits Limits) (*exchange, error) {
	exchange := conn.newExchange()
	size, lines, err := conn.bufferHead(limits)
	if err != nil {
		return exchange, err
	}
	exchange.headCost = headCost + int64(size)*headByteCost + int64(lines)*headLineCost
	conn.mutex.Lock()
	for len(conn.pending) > 0 && conn.pendingCost+exchange.headCost > maxPipelinedCost && !conn.broken {
		conn.pendingShrunk.Wait()
	}
	conn.mutex.Unlock()
	if exchange.holder.Reserve(accountant.Requests, exchange.headCost) != "" {
		return exchange, errAccountShort
	}
	return exchange, nil
}

// bufferHead reads until the whole head is in the connection's buffer, and returns its size
// and number of lines. It fails at the first line that has no field name, because the
// parser allocates for all lines in its buffer before it looks at them.
func (conn *connection) bufferHead(limits Limits) (size, lines int, err error) {
	for {
		buffered, _ := conn.reader.Peek(conn.reader.Buffered()) // cannot fail: these bytes are there
		for {
			end := bytes.IndexByte(buffered[size:], '\n')
			if end < 0 {
				break
			}
			line := bytes.TrimSuffix(buffered[size:size+end], []byte{'\r'})
			size += end + 1
			lines++
			switch {
			case len(line) == 0: // the parser rejects an empty request line
				return size, lines, nil
			case lines > 1 && line[0] != ' ' && line[0] != '\t' && bytes.IndexByte(line, ':') < 1:
				return size, lines, errNoColon
			}
		}
		if len(buffered) == conn.reader.Size() {
			if err := conn.growReader(limits); err != nil {
				return size, lines, err
			}
		}
		if _, err := conn.reader.Peek(len(buffered) + 1); err != nil {
			return size, lines, err
		}
	}
}

// growReader replaces the reader by one that has room for the largest head. It is replaced
// again by shrinkReader.
func (conn *connection) growReader(limits Limits) error {
	size := int(limits.HeaderBytes) + maxRequestLine + readBufferSize
	if conn.reader.Size() >= size {
		return limiter.ErrExceeded
	}
	if conn.holder.Reserve(accountant.Requests, int64(size)) != "" {
		return errAccountShort
	}
	conn.replaceReader(size)
	return nil
}

// shrinkReader replaces a large reader by a usual one, if that has room for what has been
// read. The previous body has been read.
func (conn *connection) shrinkReader() {
	if conn.reader.Size() > readBufferSize && conn.reader.Buffered() < readBufferSize {
		conn.holder.Release(accountant.Requests, int64(conn.reader.Size()))
		conn.replaceReader(readBufferSize)
	}
}

// replaceReader replaces the reader by one with a buffer of the given size.
func (conn *connection) replaceReader(size int) {
	rest := make([]byte, conn.reader.Buffered())
	_, _ = io.ReadFull(conn.reader, rest) // cannot fail: these bytes are in the buffer
	conn.reader = bufio.NewReaderSize(io.MultiReader(bytes.NewReader(rest), conn.limited), size)
}
