package fronter

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
)

// copyBuffer is the size of the pieces in which a large body is passed on.
const copyBuffer = 32 << 10

// write writes one answer and reports whether it is complete. An answer that is
// not complete must end the connection, so that it does not look complete.
func (conn *connection) write(exchange *exchange, last bool) bool {
	answer := exchange.answer
	if answer.Rest != nil {
		defer func() { _ = answer.Rest.Close() }()
	}
	length := int64(len(answer.Body))
	if answer.Rest != nil {
		length = answer.ContentLength
	}
	chunked := length < 0 && !exchange.old
	buffer := bytes.NewBuffer(make([]byte, 0, 512+len(answer.Body)))
	buffer.WriteString("HTTP/1.1 ")
	buffer.WriteString(strconv.Itoa(answer.Status))
	buffer.WriteByte(' ')
	buffer.WriteString(http.StatusText(answer.Status))
	buffer.WriteString("\r\n")
	for name, values := range answer.Header {
		if name == "Content-Length" {
			continue
		}
		for _, value := range values {
			writeField(buffer, name, value)
		}
	}
	switch {
	case exchange.head:
		if value := answer.Header.Get("Content-Length"); value != "" {
			writeField(buffer, "Content-Length", value)
		}
	case noBody(answer.Status):
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
	_ = conn.net.SetWriteDeadline(conn.server.Clock.Now().Add(writeTimeout))
	if exchange.head || noBody(answer.Status) {
		_, err := conn.net.Write(buffer.Bytes())
		return err == nil
	}
	if answer.Rest == nil {
		buffer.Write(answer.Body)
		_, err := conn.net.Write(buffer.Bytes())
		return err == nil
	}
	return conn.writeRest(buffer, answer, chunked)
}

func writeField(buffer *bytes.Buffer, name, value string) {
	buffer.WriteString(name)
	buffer.WriteString(": ")
	buffer.WriteString(value)
	buffer.WriteString("\r\n")
}

// writeRest passes on a body that is too large to hold.
func (conn *connection) writeRest(head *bytes.Buffer, answer *Response, chunked bool) bool {
	if _, err := conn.net.Write(head.Bytes()); err != nil {
		return false
	}
	body := io.MultiReader(bytes.NewReader(answer.Body), answer.Rest)
	piece := make([]byte, copyBuffer)
	written := int64(0)
	for {
		n, err := body.Read(piece)
		if n > 0 {
			_ = conn.net.SetWriteDeadline(conn.server.Clock.Now().Add(writeTimeout))
			if !conn.writePiece(piece[:n], chunked) {
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
		_, err := conn.net.Write([]byte("0\r\n\r\n"))
		return err == nil
	}
	return answer.ContentLength < 0 || written == answer.ContentLength
}

func (conn *connection) writePiece(piece []byte, chunked bool) bool {
	if chunked {
		framed := append(strconv.AppendInt(nil, int64(len(piece)), 16), "\r\n"...)
		piece = append(append(framed, piece...), "\r\n"...)
	}
	_, err := conn.net.Write(piece)
	return err == nil
}
