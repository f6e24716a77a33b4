package fronter

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strconv"

	"github.com/cuminstream/cuminstream/internal/accountant"
)

// headerCapacity fits the header of most responses.
const headerCapacity = 512

// inlineBody is the largest body that is copied behind the header and written with it.
const inlineBody = 4 << 10

// copyBufferSize is the size of the blocks in which a large body is written.
const copyBufferSize = 32 << 10

// writeResponse writes one response and reports whether it was written completely.
// After an incomplete one the connection must be closed, because the caller could
// otherwise take the truncated response for a complete one.
func (conn *connection) writeResponse(exchange *exchange, last bool) bool {
	response := exchange.response
	exchange.holder.Await(accountant.Writing)
	length := int64(len(response.Body))
	if response.Rest != nil {
		length = response.ContentLength
	}
	chunked := length < 0 && !exchange.http10
	inline := response.Rest == nil && len(response.Body) <= inlineBody
	size := headerCapacity
	if inline {
		size += len(response.Body)
	}
	buffer := bytes.NewBuffer(make([]byte, 0, size))
	buffer.WriteString("HTTP/1.1 ")
	buffer.WriteString(strconv.Itoa(response.Status))
	buffer.WriteByte(' ')
	buffer.WriteString(http.StatusText(response.Status))
	buffer.WriteString("\r\n")
	for name, values := range response.Header {
		if name == "Content-Length" {
			continue
		}
		for _, value := range values {
			writeField(buffer, name, value)
		}
	}
	switch {
	case exchange.isHead:
		if value := response.Header.Get("Content-Length"); value != "" {
			writeField(buffer, "Content-Length", value)
		}
	case forbidsBody(response.Status):
	case chunked:
		writeField(buffer, "Transfer-Encoding", "chunked")
	case length >= 0:
		writeField(buffer, "Content-Length", strconv.FormatInt(length, 10))
	default:
		last = true
	}
	if value := exchange.connectionHeader(last); value != "" {
		writeField(buffer, "Connection", value)
	}
	buffer.WriteString("\r\n")
	_ = conn.netConn.SetWriteDeadline(conn.server.Clock.Now().Add(writeTimeout))
	if exchange.isHead || forbidsBody(response.Status) {
		_, err := conn.netConn.Write(buffer.Bytes())
		return err == nil
	}
	if inline {
		buffer.Write(response.Body)
		_, err := conn.netConn.Write(buffer.Bytes())
		return err == nil
	}
	if response.Rest == nil {
		return conn.writeLarge(buffer.Bytes(), exchange)
	}
	return conn.writeRest(buffer, exchange, chunked)
}

// writeLarge writes the header and the buffered body without a copy, in pieces that show
// that the caller reads.
func (conn *connection) writeLarge(header []byte, exchange *exchange) bool {
	body := exchange.response.Body
	pieces := net.Buffers{header, nil}
	for len(body) > 0 {
		size := min(len(body), copyBufferSize)
		pieces[len(pieces)-1] = body[:size]
		if _, err := pieces.WriteTo(conn.netConn); err != nil {
			return false
		}
		exchange.holder.Progress()
		body, pieces = body[size:], net.Buffers{nil}
	}
	return true
}

func writeField(buffer *bytes.Buffer, name, value string) {
	buffer.WriteString(name)
	buffer.WriteString(": ")
	buffer.WriteString(value)
	buffer.WriteString("\r\n")
}

// writeRest writes the buffered header and a body that is too large to buffer. The body is
// read off the upstream's connection while the caller reads what came before.
func (conn *connection) writeRest(header *bytes.Buffer, exchange *exchange, chunked bool) bool {
	response := exchange.response
	spool := newSpool(exchange)
	conn.server.group.Go(func() error {
		spool.fill()
		return nil
	})
	defer spool.stop()
	if _, err := conn.netConn.Write(header.Bytes()); err != nil {
		return false
	}
	written := int64(0)
	for body := response.Body; len(body) > 0; body = body[min(len(body), copyBufferSize):] {
		if !conn.writeBlock(exchange, body[:min(len(body), copyBufferSize)], chunked) {
			return false
		}
	}
	written += int64(len(response.Body))
	for {
		block, err := spool.next()
		if err == io.EOF {
			break
		}
		if err != nil || !conn.writeBlock(exchange, block, chunked) {
			return false
		}
		written += int64(len(block))
	}
	if chunked {
		_, err := conn.netConn.Write([]byte("0\r\n\r\n"))
		return err == nil
	}
	return response.ContentLength < 0 || written == response.ContentLength
}

// writeBlock writes one block of a body.
func (conn *connection) writeBlock(exchange *exchange, block []byte, chunked bool) bool {
	_ = conn.netConn.SetWriteDeadline(conn.server.Clock.Now().Add(writeTimeout))
	pieces := net.Buffers{block}
	if chunked {
		pieces = net.Buffers{append(strconv.AppendInt(nil, int64(len(block)), 16), "\r\n"...), block, []byte("\r\n")}
	}
	_, err := pieces.WriteTo(conn.netConn)
	exchange.holder.Progress()
	return err == nil
}
