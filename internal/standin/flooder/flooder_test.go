package flooder_test

import (
	"fmt"
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

// Connections were bounded by a constant, whatever the machine allows.
func TestConnectionsWithinDescriptors(t *testing.T) {
	flood(t, flooder.Options{MaxFDs: 500, Work: 50 * time.Millisecond, Slots: 4}, flooder.Crowd{Callers: crowdSize, Addresses: clientCount, Player: flooder.Silent()})
}
