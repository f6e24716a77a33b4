package breaker

import (
	"io"
	"net/http"
)

// Response is the text of a broken response.
type Response struct {
	Text string
	// Closes means that the server closes the connection after it, because the body has no
	// other end.
	Closes bool
}

// ServeHTTP implements http.Handler. Unless the response closes the connection, it waits
// until the client does.
func (response Response) ServeHTTP(writer http.ResponseWriter, _ *http.Request) {
	conn, _, err := http.NewResponseController(writer).Hijack()
	if err != nil {
		return
	}
	_, err = io.WriteString(conn, response.Text)
	if err == nil && !response.Closes {
		_, _ = io.Copy(io.Discard, conn)
	}
	_ = conn.Close()
}
