package breaker

import (
	"fmt"
	"maps"
	"net/http"
	"path"
	"strconv"
	"sync/atomic"
)

// ResetName is the name of a response that is reset while the upstream gets an upload.
const ResetName = "reset"

// Upstream answers a request whose path ends with the number N with the broken response
// Names[N], and others, such as probes, with an empty one. The fields must be set before it
// serves.
type Upstream struct {
	Names []string
	// Lines, if set, returns lines that are added to the head of the response to a request.
	Lines func(request *http.Request) string

	ran atomic.Int32
}

// SampleNames returns the names of some responses of InvalidFields and InvalidStatuses.
func SampleNames() []string {
	names := []string{`"000"`, `"600" without a body`}
	for _, line := range []string{"Content-Length : 4", "Keep Alive: timeout=5", "X\x01: value"} {
		for _, place := range []string{"", ", no other length", " in an interim response", " in the trailer"} {
			names = append(names, fmt.Sprintf("%q%s", line, place))
		}
	}
	return names
}

// Ran returns the number of requests that were answered with a broken response.
func (upstream *Upstream) Ran() int { return int(upstream.ran.Load()) }

func (upstream *Upstream) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	number, err := strconv.Atoi(path.Base(request.URL.Path))
	if err != nil {
		return
	}
	upstream.ran.Add(1)
	lines := ""
	if upstream.Lines != nil {
		lines = upstream.Lines(request)
	}
	if upstream.Names[number] == ResetName {
		if conn, upload, err := http.NewResponseController(writer).Hijack(); err == nil {
			ResetDuringUpload(conn, upload, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n"+lines+"\r\npart")
		}
		return
	}
	responses := InvalidFields(lines)
	maps.Copy(responses, InvalidStatuses(lines))
	responses[upstream.Names[number]].ServeHTTP(writer, request)
}
