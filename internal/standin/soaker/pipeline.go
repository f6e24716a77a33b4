package soaker

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"time"
)

const (
	// pipelineDepth bounds the requests that a pipeline has in progress.
	pipelineDepth = 16
	// sendInterval is the mean time between two requests of a pipeline. It is shorter than
	// the work, so that a pipeline has requests in progress nearly all the time.
	sendInterval = 30 * time.Millisecond
	// shortestWork and longestWork bound the work that a pipeline asks for.
	shortestWork = 60 * time.Millisecond
	longestWork  = 120 * time.Millisecond
	// uploadSize is the size of the body of an upload, in bytes.
	uploadSize = 20_000
)

// pipeline is a caller that keeps its connection until the VM closes it, with up to depth
// requests in progress. With a depth of 1 some of them are uploads, otherwise all are idempotent.
type pipeline struct {
	soak   *soak
	number int
	depth  int
	random *rand.Rand
	count  int
	vm     *VM // of the open connection
}

// pipelined is a request on the connection of a pipeline.
type pipelined struct {
	id   string
	sent time.Time // of its last byte
}

// run sends requests until ctx is done.
func (pipeline *pipeline) run(ctx context.Context) {
	for ctx.Err() == nil {
		vm := pipeline.soak.vms[pipeline.random.IntN(len(pipeline.soak.vms))]
		pipeline.vm = vm
		conn, err := net.DialTimeout("tcp", vm.Front, time.Second)
		if err != nil {
			pipeline.soak.sleep(sendInterval)
			continue
		}
		pipeline.use(ctx, conn)
		_ = conn.Close()
	}
}

// use sends requests on a connection until the VM closes it or ctx is done.
func (pipeline *pipeline) use(ctx context.Context, conn net.Conn) {
	pending := make(chan pipelined, pipeline.depth)
	free := make(chan struct{}, pipeline.depth) // the requests that may still be sent
	for range pipeline.depth {
		free <- struct{}{}
	}
	read := make(chan struct{})
	pipeline.soak.group.Go(func() error {
		defer close(read)
		pipeline.readAll(conn, pending, free)
		return nil
	})
	defer func() {
		close(pending)
		<-read
	}()
	for {
		select {
		case <-ctx.Done():
			return
		case <-read:
			return
		case <-free:
		}
		pipeline.soak.sleep(time.Duration(pipeline.random.Int64N(int64(2 * sendInterval))))
		request := pipelined{id: fmt.Sprintf("p%d-%d", pipeline.number, pipeline.count)}
		pipeline.count++
		err := pipeline.send(conn, &request)
		select {
		case <-read:
			pipeline.recordCut(request, pipeline.depth == 1)
			return
		case pending <- request:
		}
		if err != nil {
			return
		}
	}
}

// send writes a request: an idempotent one with a key, or an upload.
func (pipeline *pipeline) send(conn net.Conn, request *pipelined) error {
	work := (shortestWork + time.Duration(pipeline.random.Int64N(int64(longestWork-shortestWork)))).Milliseconds()
	common := fmt.Sprintf("Host: soak.example\r\nCuminstream-Request-Id: %s\r\nCuminstream-Deadline-Ms: %d\r\n", request.id, timeLimit.Milliseconds())
	head := fmt.Sprintf("GET /keyed/x?work=%d HTTP/1.1\r\n%sCuminstream-Shard-Key: %d\r\n\r\n", work, common, pipeline.random.IntN(keyCount))
	rest := ""
	upload := pipeline.depth == 1 && pipeline.random.IntN(3) == 0
	if upload {
		head = fmt.Sprintf("POST /once/x?work=%d HTTP/1.1\r\n%sContent-Length: %d\r\n\r\n", work, common, uploadSize)
		rest = strings.Repeat("x", uploadSize)
	}
	pipeline.soak.judge.sending(request.id, upload, pipeline.vm)
	_, err := io.WriteString(conn, head+rest[:len(rest)/2])
	if err == nil && upload {
		time.Sleep(5 * time.Millisecond)
		_, err = io.WriteString(conn, rest[len(rest)/2:])
	}
	request.sent = time.Now()
	return err
}

// readAll reads the responses to the pending requests, in order. It returns when the
// connection has ended or pending is closed, and tells the judge which requests have no
// response. Each response frees a place for the next request.
func (pipeline *pipeline) readAll(conn net.Conn, pending <-chan pipelined, free chan<- struct{}) {
	reader := bufio.NewReader(conn)
	for request := range pending {
		err := pipeline.readResponse(conn, reader, request)
		if err == nil {
			free <- struct{}{}
			continue
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, errClosedByVM) {
			pipeline.recordCut(request, pipeline.depth == 1)
		}
		_ = conn.Close()
		for drained := false; !drained; {
			select {
			case next, ok := <-pending:
				if drained = !ok; ok {
					pipeline.recordCut(next, false)
				}
			default:
				drained = true
			}
		}
		return
	}
}

// recordCut tells the judge of a request without a response, unless the soak has ended and
// its processes are being killed.
func (pipeline *pipeline) recordCut(request pipelined, first bool) {
	if pipeline.soak.ctx.Err() == nil {
		pipeline.soak.judge.cut(request.id, request.sent, first)
	}
}

// errClosedByVM means that a complete response closes the connection.
var errClosedByVM = errors.New("the response closes the connection")

func (pipeline *pipeline) readResponse(conn net.Conn, reader *bufio.Reader, request pipelined) error {
	_ = conn.SetReadDeadline(request.sent.Add(timeLimit + time.Second))
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return err
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	pipeline.soak.judge.answered(request.id, response.StatusCode, string(body), 0)
	if response.StatusCode == http.StatusOK {
		pipeline.soak.served.Add(1)
	}
	pipeline.soak.sent.Add(1)
	if response.Close {
		return errClosedByVM
	}
	return nil
}
