package flooder_test

import (
	"bufio"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cuminstream/cuminstream/internal/standin/flooder"
)

// Each crowd made a process exceed the memory or the descriptors of its machine. The limits
// are those of the smallest machine of docs/design/hard-load.md: 144 MB and 3,075
// descriptors, 200 of them for files; the test of the descriptors has fewer of them, so that
// a small crowd exceeds them.
const (
	memoryMB     = 144
	maxFDs       = 3075
	fileFDs      = 200
	crowdSize    = 400
	clientCount  = 40
	crowdTime    = 6 * time.Second
	afterwards   = 30 * time.Second
	headBytes    = 16_000
	bodyBytes    = 1 << 20
	routeTimeout = 4 * time.Second
)

var usual = flooder.Options{MaxFDs: maxFDs, Work: 50 * time.Millisecond, Slots: 4}

// flood plays a crowd and checks that the process stays alive and inside its limits, and
// that one ordinary request is served afterwards.
func flood(t *testing.T, options flooder.Options, crowd flooder.Crowd) {
	options.Folder, options.MemoryMB, options.RouteTimeout = t.TempDir(), memoryMB, routeTimeout
	edge, err := flooder.StartEdge(t.Context(), options)
	assert.NilError(t, err)
	defer func() { assert.Check(t, edge.Stop()) }()
	crowd.Address = edge.Address
	assert.NilError(t, crowd.Run(t.Context(), crowdTime))
	peak := edge.Peak()
	t.Logf("peak: %v", peak)
	assert.Check(t, edge.Alive(), "the process has ended")
	assert.Check(t, peak.ResidentBytes+peak.QueuedBytes <= memoryMB<<20, "the machine has %d MB: %v", memoryMB, peak)
	assert.Check(t, peak.Descriptors <= options.MaxFDs && peak.Sockets <= options.MaxFDs-fileFDs, "the machine has %d descriptors, %d of them for files: %v", options.MaxFDs, fileFDs, peak)
	assert.Check(t, edge.Ask(t.Context(), afterwards))
}

// 400 connections that send heads of 16,000 bytes took 1.1 to 1.5 GB.
func TestHeadsOfManyLines(t *testing.T) {
	for name, line := range map[string]func(int) string{
		"one name":   func(int) string { return "a:" },
		"many names": func(number int) string { return fmt.Sprintf("%x:", number) },
		"malformed":  func(number int) string { return map[bool]string{true: "a", false: "b:"}[number > 3000] },
	} {
		t.Run(name, func(t *testing.T) {
			flood(t, usual, flooder.Crowd{Callers: crowdSize, Addresses: clientCount, Player: flooder.Heads(flooder.HeadOfLines(headBytes, line))})
		})
	}
}

// Bodies of 1 MiB of which the last byte is missing took 0.8 to 0.9 GB.
func TestBodiesThatStopOneByteShort(t *testing.T) {
	for name, piece := range map[string]int{"whole": bodyBytes, "in pieces": 4 << 10} {
		t.Run(name, func(t *testing.T) {
			flood(t, usual, flooder.Crowd{Callers: crowdSize, Addresses: clientCount, Player: flooder.SizedBody(bodyBytes, piece)})
		})
	}
}

// Chunked bodies without a last chunk took 0.2 to 0.5 GB.
func TestChunkedBodiesWithoutEnd(t *testing.T) {
	for name, body := range map[string]struct{ length, chunk int }{"64 KiB": {bodyBytes - 1, 64 << 10}, "1 byte": {bodyBytes / 4, 1}} {
		t.Run(name, func(t *testing.T) {
			flood(t, usual, flooder.Crowd{Callers: crowdSize, Addresses: clientCount, Player: flooder.ChunkedBody(body.length, body.chunk)})
		})
	}
}

// Pipelined responses that nobody reads stay in memory until they are written.
func TestResponsesThatNobodyReads(t *testing.T) {
	fast := flooder.Options{MaxFDs: maxFDs, Work: time.Millisecond, Slots: 64}
	flood(t, fast, flooder.Crowd{Callers: crowdSize, Addresses: clientCount, ReceiveBuffer: 4 << 10, Player: flooder.Unread(16, 200<<10)})
}

// endlessCrowds are crowds that get responses without end from a faulty server.
func endlessCrowds() map[string]flooder.Player {
	heads, bodies := slices.Sorted(maps.Keys(flooder.EndlessHeads())), slices.Sorted(maps.Keys(flooder.EndlessBodies()))
	return map[string]flooder.Player{
		"heads": flooder.Endless(true, heads...), "many header names": flooder.Endless(true, flooder.ManyHeaderNames),
		"bodies, read": flooder.Endless(true, bodies...), "bodies, unread": flooder.Endless(false, bodies...),
	}
}

// Guards against a VM that keeps the bytes of a faulty server that sends no end of a response.
func TestResponsesWithoutEnd(t *testing.T) {
	fast := flooder.Options{MaxFDs: maxFDs, Work: time.Millisecond, Slots: 64}
	for name, player := range endlessCrowds() {
		t.Run(name, func(t *testing.T) {
			flood(t, fast, flooder.Crowd{Callers: crowdSize, Addresses: clientCount, ReceiveBuffer: 4 << 10, Player: player})
		})
	}
}

// Connections were bounded by a constant, whatever the machine allows.
func TestConnectionsWithinDescriptors(t *testing.T) {
	flood(t, flooder.Options{MaxFDs: 500, Work: 50 * time.Millisecond, Slots: 4}, flooder.Crowd{Callers: crowdSize, Addresses: clientCount, Player: flooder.Silent()})
}

// Guards against limits that a caller inside the limits of the configuration meets when it is
// alone: a head of many lines, and the largest body, whose rest is streamed.
func TestSingleRequestsWithinTheLimits(t *testing.T) {
	edge, err := flooder.StartEdge(t.Context(), flooder.Options{
		Folder: t.TempDir(), MemoryMB: memoryMB, MaxFDs: maxFDs, RouteTimeout: 20 * time.Second, Work: time.Millisecond, Slots: 4,
	})
	assert.NilError(t, err)
	defer func() { assert.Check(t, edge.Stop()) }()
	for name, request := range map[string]struct {
		head string
		body int
	}{
		"lines of one name":   {head: string(flooder.HeadOfLines(headBytes, func(int) string { return "a:" }))},
		"lines of many names": {head: string(flooder.HeadOfLines(headBytes, func(number int) string { return fmt.Sprintf("%x:", number) }))},
		"largest body":        {head: fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n\r\n", flooder.Path, flooder.Host, 64<<20), body: 64 << 20},
	} {
		conn, err := net.Dial("tcp", edge.Address)
		assert.NilError(t, err)
		_, err = conn.Write(append([]byte(request.head), make([]byte, request.body)...))
		assert.Check(t, err, name)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if assert.Check(t, err, name) {
			assert.Check(t, response.StatusCode == http.StatusOK, "%s: %s", name, response.Status)
		}
		assert.NilError(t, conn.Close())
	}
}
