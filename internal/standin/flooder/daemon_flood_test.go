package flooder_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/cuminstream/cuminstream/internal/standin/flooder"
	"github.com/cuminstream/cuminstream/internal/standin/upstreamer"
)

// Guards against heads of legal size that cost many times their size when parsed.
func TestDaemonHeadsOfManyLines(t *testing.T) {
	for name, line := range map[string]func(int) string{
		"one name":   func(int) string { return "a:" },
		"many names": func(number int) string { return fmt.Sprintf("%x:", number) },
		"malformed":  func(number int) string { return map[bool]string{true: "a", false: "b:"}[number > 3000] },
	} {
		t.Run(name, func(t *testing.T) {
			floodDaemon(t, maxFDs, flooder.Crowd{Callers: crowdSize, Addresses: clientCount, Player: flooder.Heads(flooder.HeadOfLines(headBytes, line))})
		})
	}
}

// Guards against bodies that are held without bound because they stop one byte short. The
// small ones are buffered, the large ones are sent on as they arrive.
func TestDaemonBodiesThatStopOneByteShort(t *testing.T) {
	for name, length := range map[string]int{"buffered": 64 << 10, "streamed": bodyBytes} {
		t.Run(name, func(t *testing.T) {
			floodDaemon(t, maxFDs, flooder.Crowd{Callers: crowdSize, Addresses: clientCount, Player: flooder.SizedBody(length, 4<<10)})
		})
	}
}

// Guards against chunked bodies that are held without bound because they have no end.
func TestDaemonChunkedBodiesWithoutEnd(t *testing.T) {
	for name, body := range map[string]struct{ length, chunk int }{"64 KiB": {bodyBytes - 1, 64 << 10}, "1 byte": {bodyBytes / 4, 1}} {
		t.Run(name, func(t *testing.T) {
			floodDaemon(t, maxFDs, flooder.Crowd{Callers: crowdSize, Addresses: clientCount, Player: flooder.ChunkedBody(body.length, body.chunk)})
		})
	}
}

// Guards against connections without a bound.
func TestDaemonConnectionsWithinDescriptors(t *testing.T) {
	floodDaemon(t, 500, flooder.Crowd{Callers: crowdSize, Addresses: clientCount, Player: flooder.Silent()})
}

// Guards against responses that are held without bound because nobody reads them.
func TestDaemonResponsesThatNobodyReads(t *testing.T) {
	request := fmt.Sprintf("GET %s HTTP/1.1\r\nHost: %s\r\n%s: %d\r\n\r\n", flooder.Path, flooder.Host, upstreamer.HeaderResponseBytes, 200<<10)
	unread := func(ctx context.Context, conn net.Conn) {
		for range 16 {
			if _, err := io.WriteString(conn, request); err != nil {
				return
			}
		}
		<-ctx.Done()
	}
	floodDaemon(t, maxFDs, flooder.Crowd{Callers: crowdSize, Addresses: clientCount, ReceiveBuffer: 4 << 10, Player: unread})
}

// Guards against a VM that keeps the bytes of a faulty upstream that sends no end of a
// response. Heads of 256 KiB with a name on each line took 159 to 173 MB.
func TestDaemonResponsesWithoutEnd(t *testing.T) {
	for name, player := range endlessCrowds() {
		t.Run(name, func(t *testing.T) {
			upstream := flooder.NewUpstream(time.Millisecond, 64)
			floodStarted(t, startDaemon(t, maxFDs, 64, upstream), maxFDs, flooder.Crowd{Callers: crowdSize, Addresses: clientCount, ReceiveBuffer: 4 << 10, Player: player})
		})
	}
}
