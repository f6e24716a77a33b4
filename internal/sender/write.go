package sender

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// requestHead returns the request line and the header fields in wire format. length
// is that of the body, or negative for a chunked body.
func requestHead(request *Request, length int64) *bytes.Buffer {
	buffer := bytes.NewBuffer(make([]byte, 0, 1024))
	buffer.WriteString(request.Method)
	buffer.WriteByte(' ')
	buffer.WriteString(request.Target)
	buffer.WriteString(" HTTP/1.1\r\nHost: ")
	buffer.WriteString(request.Host)
	buffer.WriteString("\r\n")
	for name, values := range request.Header {
		for _, value := range values {
			buffer.WriteString(name)
			buffer.WriteString(": ")
			buffer.WriteString(value)
			buffer.WriteString("\r\n")
		}
	}
	switch {
	case length < 0:
		buffer.WriteString("Transfer-Encoding: chunked\r\n")
	case length > 0 || (request.Method != http.MethodGet && request.Method != http.MethodHead):
		buffer.WriteString("Content-Length: ")
		buffer.WriteString(strconv.FormatInt(length, 10))
		buffer.WriteString("\r\n")
	}
	buffer.WriteString("\r\n")
	return buffer
}

// inlineBody is the largest body that is copied behind the head and written with it.
const inlineBody = 4 << 10

func writeBuffered(conn *connection, request *Request) error {
	buffer := requestHead(request, int64(len(request.Body)))
	if len(request.Body) <= inlineBody {
		buffer.Write(request.Body)
		_, err := conn.Write(buffer.Bytes())
		return err
	}
	// A large body is not copied. Only a net.TCPConn itself writes both with one call, so
	// the bytes are counted here.
	count, err := (&net.Buffers{buffer.Bytes(), request.Body}).WriteTo(conn.NetConn())
	conn.written.Add(count)
	return err
}

// streamBufferSize is the size of the buffer through which a body is streamed.
const streamBufferSize = 32 << 10

// writeStream writes the body that is read from the request's Stream. Closing the
// connection is the only way to stop it early. It closes the connection if the Stream
// fails, so that the upstream does not wait for the rest of the body.
func writeStream(conn net.Conn, request *Request) (err error) {
	stream := &failingReader{Reader: request.Stream}
	defer func() {
		if stream.failed {
			_ = conn.Close()
		}
	}()
	buffer := make([]byte, streamBufferSize)
	if request.ContentLength >= 0 {
		_, err := io.CopyBuffer(struct{ io.Writer }{conn}, io.LimitReader(stream, request.ContentLength), buffer)
		return err
	}
	for {
		n, err := stream.Read(buffer)
		if n > 0 {
			chunk := append(strconv.AppendInt(nil, int64(n), 16), "\r\n"...)
			chunk = append(append(chunk, buffer[:n]...), "\r\n"...)
			if _, err := conn.Write(chunk); err != nil {
				return err
			}
		}
		switch err {
		case nil:
		case io.EOF:
			_, err := conn.Write([]byte("0\r\n\r\n"))
			return err
		default:
			return err
		}
	}
}

// failingReader records whether its Reader has failed before its end.
type failingReader struct {
	io.Reader
	failed bool
}

func (reader *failingReader) Read(data []byte) (int, error) {
	n, err := reader.Reader.Read(data)
	reader.failed = reader.failed || (err != nil && err != io.EOF)
	return n, err
}

// parseIdleTimeout returns how long a connection may be idle after a response with
// this header.
func parseIdleTimeout(header http.Header) time.Duration {
	for field := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") && seconds >= 0 {
			return time.Duration(idleTimeoutShare * float64(seconds) * float64(time.Second))
		}
	}
	return defaultIdleTimeout
}
