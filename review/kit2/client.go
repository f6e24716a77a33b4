package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// answer is what a client got for one request.
type answer struct {
	id       string
	sent     time.Time
	got      time.Time
	status   int // 0 if there was no complete answer
	head     []string
	body     string
	err      error
	badBytes string // a line of the head that is no header field
}

func (answer answer) header(name string) string {
	for _, line := range answer.head {
		field, value, _ := strings.Cut(line, ":")
		if strings.EqualFold(field, name) {
			return strings.TrimSpace(value)
		}
	}
	return ""
}

var lastID atomic.Uint64

func newID() string { return fmt.Sprintf("%08x%08x", time.Now().Unix(), lastID.Add(1)) }

// request is what a client sends.
type request struct {
	method, path, host string
	headers            []string
	body               string
	limit              time.Duration
}

// exchange sends a request on the connection and reads its answer.
func exchange(conn net.Conn, reader *bufio.Reader, request request) answer {
	result := answer{id: newID()}
	var head strings.Builder
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\nCuminstream-Request-Id: %s\r\nCuminstream-Deadline-Ms: %d\r\n", request.method, request.path, request.host, result.id, request.limit.Milliseconds())
	for _, line := range request.headers {
		head.WriteString(line + "\r\n")
	}
	if request.method != http.MethodGet {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(request.body))
	}
	head.WriteString("\r\n" + request.body)
	result.sent = time.Now()
	_ = conn.SetDeadline(result.sent.Add(request.limit + 500*time.Millisecond))
	if _, result.err = conn.Write([]byte(head.String())); result.err == nil {
		result.err = result.read(reader)
	}
	result.got = time.Now()
	return result
}

// send opens a connection for one request.
func send(address string, request request) answer {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return answer{id: newID(), sent: time.Now(), got: time.Now(), err: err}
	}
	defer func() { _ = conn.Close() }()
	return exchange(conn, bufio.NewReader(conn), request)
}

// isToken reports whether the text is a field name of HTTP/1.1 (RFC 9110, 5.6.2).
func isToken(text string) bool {
	for _, char := range []byte(text) {
		letter := char >= 'a' && char <= 'z' || char >= 'A' && char <= 'Z' || char >= '0' && char <= '9'
		if !letter && !strings.ContainsRune("!#$%&'*+-.^_`|~", rune(char)) {
			return false
		}
	}
	return text != ""
}

func (answer *answer) read(reader *bufio.Reader) error {
	status, err := readLine(reader)
	if err != nil {
		return err
	}
	parts := strings.SplitN(status, " ", 3)
	if len(parts) < 2 || parts[0] != "HTTP/1.1" {
		answer.badBytes = status
		return errors.New("no status line")
	}
	code, err := strconv.Atoi(parts[1])
	if err != nil || len(parts[1]) != 3 {
		answer.badBytes = status
		return errors.New("no status")
	}
	length, chunked := -1, false
	for {
		line, err := readLine(reader)
		if err != nil {
			return err
		}
		if line == "" {
			break
		}
		answer.head = append(answer.head, line)
		name, value, ok := strings.Cut(line, ":")
		if !ok || !isToken(name) {
			answer.badBytes = line
		}
		switch value = strings.TrimSpace(value); {
		case strings.EqualFold(name, "Content-Length"):
			if length, err = strconv.Atoi(value); err != nil {
				return err
			}
		case strings.EqualFold(name, "Transfer-Encoding"):
			chunked = true
		}
	}
	if chunked {
		return errors.New("chunked answers are not expected here")
	}
	if length < 0 {
		return errors.New("no length")
	}
	body := make([]byte, length)
	if _, err := io.ReadFull(reader, body); err != nil {
		return err
	}
	answer.status, answer.body = code, string(body)
	return nil
}

func readLine(reader *bufio.Reader) (string, error) {
	line, err := reader.ReadString('\n')
	return strings.TrimRight(line, "\r\n"), err
}
