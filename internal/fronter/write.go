package fronter

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
)

// headerCapacity fits the header of most responses.
const headerCapacity = 512

// copyBufferSize is the buffer size for streaming a large body.
const copyBufferSize = 32 << 10

// writeResponse writes one response and reports whether it was written completely.
// After an incomplete one the connection must be closed, because the caller could
// otherwise take the truncated response for a complete one.
func (conn *connection) writeResponse(exchange *exchange, last bool) bool {
	response := exchange.response
	if response.Rest != nil {
		defer func() { _ = response.Rest.Close() }()
	}
	length := int64(len(response.Body))
	if response.Rest != nil {
		length = response.ContentLength
	}
	chunked := length < 0 && !exchange.http10
	size := headerCapacity
	if response.Rest == nil {
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
	if response.Rest == nil {
		buffer.Write(response.Body)
		_, err := conn.netConn.Write(buffer.Bytes())
		return err == nil
	}
	return conn.writeRest(buffer, response, chunked)
}

func writeField(buffer *bytes.Buffer, name, value string) {
	buffer.WriteString(name)
	buffer.WriteString(": ")
	buffer.WriteString(value)
	buffer.WriteString("\r\n")
}

// writeRest writes the buffered header and streams a body that is too large to
// buffer.
func (conn *connection) writeRest(header *bytes.Buffer, response *Response, chunked bool) bool {
	if _, err := conn.netConn.Write(header.Bytes()); err != nil {
		return false
	}
	body := io.MultiReader(bytes.NewReader(response.Body), response.Rest)
	block := make([]byte, copyBufferSize)
	written := int64(0)
	for {
		n, err := body.Read(block)
		if n > 0 {
			_ = conn.netConn.SetWriteDeadline(conn.server.Clock.Now().Add(writeTimeout))
			if !conn.writeBlock(block[:n], chunked) {
				return false
			}
			written += int64(n)
		}
		if err == io.EOF {
			break
		}
		if err != nil {
			return false
		}
	}
	if chunked {
		_, err := conn.netConn.Write([]byte("0\r\n\r\n"))
		return err == nil
	}
	return response.ContentLength < 0 || written == response.ContentLength
}

func (conn *connection) writeBlock(block []byte, chunked bool) bool {
	if chunked {
		framed := append(strconv.AppendInt(nil, int64(len(block)), 16), "\r\n"...)
		block = append(append(framed, block...), "\r\n"...)
	}
	_, err := conn.netConn.Write(block)
	return err == nil
}
