package platformer_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cuminstream/cuminstream/internal/platformer"
	"github.com/cuminstream/cuminstream/internal/standin/breaker"
	"github.com/cuminstream/cuminstream/pkg/clocker"
)

// Guards against a broken response that counts as one of the platform: what it says may not
// be the platform's.
func TestInvalidFields(t *testing.T) {
	for name, broken := range breaker.InvalidFields("ETag: \"1\"\r\n") {
		server := httptest.NewServer(broken)
		reader, err := platformer.NewClient(server.URL, clocker.System{}, nil)
		assert.NilError(t, err)
		_, err = reader.Get(t.Context(), "a")
		assert.Check(t, err != nil, "%s: read", name)
		writer, err := platformer.NewClient(server.URL, clocker.System{}, nil)
		assert.NilError(t, err)
		_, err = writer.Put(t.Context(), "a", []byte("x"), "")
		assert.Check(t, err != nil, "%s: written", name)
		server.CloseClientConnections()
		server.Close()
	}
}

// Guards against a part of a response without a length that counts as the whole, because the
// write of the value has taken the reset from the kernel.
func TestResetDuringPut(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		conn, buffered, err := http.NewResponseController(writer).Hijack()
		assert.Check(t, err)
		breaker.ResetDuringUpload(conn, buffered, "HTTP/1.1 200 OK\r\nETag: \"1\"\r\n\r\npart")
	}))
	defer server.Close()
	client, err := platformer.NewClient(server.URL, clocker.System{}, nil)
	assert.NilError(t, err)
	for range 60 {
		_, err := client.Put(t.Context(), "a", make([]byte, platformer.MaxValueSize), "")
		assert.Check(t, err != nil, "written")
	}
}
