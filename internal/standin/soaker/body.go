package soaker

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
)

// largeSizes are the sizes of large responses, in bytes. Entry VMs stream them.
var largeSizes = []int{300 << 10, 1 << 20, 4 << 20}

// sizeOf returns the size of the response that a request asks for in its query, or 0.
func sizeOf(request *http.Request) int {
	size, err := strconv.Atoi(request.URL.Query().Get("size"))
	if err != nil {
		return 0
	}
	return size
}

// responseBody returns the body of the response to a request: its ID, repeated up to the
// given size.
func responseBody(id string, size int) string {
	return id + strings.Repeat(id, size/len(id))
}

// writeBody writes a complete response in the framing that the request asks for: until the
// connection closes, in chunks, or with a length. The caller may have left.
func writeBody(writer http.ResponseWriter, request *http.Request, body string) {
	switch request.URL.Query().Get("framing") {
	case "close":
		conn, _, err := http.NewResponseController(writer).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		_, _ = fmt.Fprint(conn, "HTTP/1.1 200 OK\r\n")
		_ = writer.Header().Write(conn)
		_, _ = fmt.Fprint(conn, "Connection: close\r\n\r\n", body)
	case "chunked":
		writer.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(writer).Flush()
		_, _ = writer.Write([]byte(body))
	default:
		writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = writer.Write([]byte(body))
	}
}
