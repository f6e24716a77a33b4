package flooder

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/url"
	"strings"
	"sync/atomic"

	"golang.org/x/sync/errgroup"
)

// requestStart returns the request line and the fields that each request needs.
func requestStart(method, path string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n", method, path, Host)
}

// HeadOfLines returns a head of at most size bytes that consists of the given lines. The
// line of a number may depend on the number, so that each name is a different one.
func HeadOfLines(size int, line func(number int) string) []byte {
	head := []byte(requestStart("GET", Path))
	for number := 0; ; number++ {
		next := line(number) + "\r\n"
		if len(head)+len(next)+len("\r\n") > size {
			return append(head, "\r\n"...)
		}
		head = append(head, next...)
	}
}

// Heads sends the head over and over without waiting for the responses, which it discards.
func Heads(head []byte) Player {
	return func(_ context.Context, conn net.Conn) {
		var group errgroup.Group
		group.Go(func() error {
			_, err := io.Copy(io.Discard, conn)
			_ = conn.Close() // ends the writes
			return err
		})
		for {
			if _, err := conn.Write(head); err != nil {
				break
			}
		}
		_ = conn.Close()
		_ = group.Wait() // the error is that of the closed connection
	}
}

// SizedBody sends a request that states a body of the given length, sends all but its last
// byte in pieces, and keeps the connection open.
func SizedBody(length, piece int) Player {
	head := requestStart("POST", Path) + fmt.Sprintf("Content-Length: %d\r\n\r\n", length)
	return func(_ context.Context, conn net.Conn) {
		sendAndHold(conn, head, make([]byte, piece), length-1)
	}
}

// ChunkedBody sends a request with a chunked body of the given length in chunks of the
// given size, without the last chunk, and keeps the connection open.
func ChunkedBody(length, chunk int) Player {
	head := requestStart("POST", Path) + "Transfer-Encoding: chunked\r\n\r\n"
	framed := fmt.Sprintf("%x\r\n%s\r\n", chunk, strings.Repeat("x", chunk))
	// Very small chunks are sent many at a time, as a fast caller's kernel does.
	block := bytes.Repeat([]byte(framed), max(1, chunkBlock/len(framed)))
	total := (length + chunk - 1) / chunk * len(framed)
	return func(_ context.Context, conn net.Conn) {
		sendAndHold(conn, head, block, total)
	}
}

// chunkBlock is the number of bytes of small chunks that are written at once.
const chunkBlock = 4 << 10

// sendAndHold writes the head and total bytes in blocks, and waits until the process closes
// the connection.
func sendAndHold(conn net.Conn, head string, block []byte, total int) {
	if _, err := io.WriteString(conn, head); err != nil {
		return
	}
	for total > 0 {
		n, err := conn.Write(block[:min(len(block), total)])
		if err != nil {
			return
		}
		total -= n
	}
	_, _ = io.Copy(io.Discard, conn) // ends with the connection
}

// Unread sends requests for large responses and reads none of them.
func Unread(requests, responseBytes int) Player {
	request := requestStart("GET", fmt.Sprintf("%s?size=%d", Path, responseBytes)) + "\r\n"
	return func(ctx context.Context, conn net.Conn) {
		for range requests {
			if _, err := io.WriteString(conn, request); err != nil {
				return
			}
		}
		<-ctx.Done()
	}
}

// Endless sends a request that gets a response without end, of the next of the given forms, and
// reads it until the connection ends, or nothing of it.
func Endless(reads bool, forms ...string) Player {
	var played atomic.Uint64
	return func(ctx context.Context, conn net.Conn) {
		form := forms[played.Add(1)%uint64(len(forms))]
		if _, err := io.WriteString(conn, requestStart("GET", Path+"?endless="+url.QueryEscape(form))+"\r\n"); err != nil {
			return
		}
		if !reads {
			<-ctx.Done()
			return
		}
		_, _ = io.Copy(io.Discard, conn) // ends with the connection
	}
}

// Silent sends the beginning of a head and keeps the connection open.
func Silent() Player {
	return func(_ context.Context, conn net.Conn) {
		sendAndHold(conn, requestStart("GET", Path), nil, 0)
	}
}
