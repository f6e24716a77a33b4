package platformer_test

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cuminstream/cuminstream/internal/platformer"
	"github.com/cuminstream/cuminstream/pkg/clocker"
)

// Guards against a response outside the protocol that is treated as a success or as a
// definite refusal.
func TestUnexpectedResponses(t *testing.T) {
	var handler http.HandlerFunc
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) { handler(writer, request) }))
	defer server.Close()
	client, err := platformer.NewClient(server.URL, clocker.System{}, nil)
	assert.NilError(t, err)
	for name, response := range map[string]http.HandlerFunc{
		"no ETag":   func(writer http.ResponseWriter, _ *http.Request) { writer.WriteHeader(http.StatusOK) },
		"weak ETag": func(writer http.ResponseWriter, _ *http.Request) { writer.Header().Set("ETag", `W/"1"`) },
		"redirect": func(writer http.ResponseWriter, _ *http.Request) {
			writer.Header().Set("Location", "/elsewhere")
			writer.WriteHeader(http.StatusFound)
		},
		"unavailable": func(writer http.ResponseWriter, _ *http.Request) { writer.WriteHeader(http.StatusServiceUnavailable) },
		"endless": func(writer http.ResponseWriter, _ *http.Request) {
			writer.Header().Set("ETag", `"1"`)
			for chunk := make([]byte, 1<<20); ; {
				if _, err := writer.Write(chunk); err != nil {
					return
				}
			}
		},
	} {
		handler = response
		_, err := client.Get(t.Context(), "a")
		assert.Assert(t, errors.Is(err, platformer.ErrUnexpectedResponse), name)
		if name != "endless" {
			_, err = client.Put(t.Context(), "a", []byte("x"), "")
			assert.Assert(t, errors.Is(err, platformer.ErrUnexpectedResponse), name)
		}
	}
	handler = func(writer http.ResponseWriter, _ *http.Request) {
		_, _ = writer.Write([]byte(`{"sequence":3,"next":"a"}`))
	}
	_, _, err = client.List(t.Context(), "")
	assert.Assert(t, errors.Is(err, platformer.ErrUnexpectedResponse))
	_, _, err = client.Watch(t.Context(), "", 4, time.Second)
	assert.Assert(t, errors.Is(err, platformer.ErrSequenceGone))
}

// Guards against object names that a server or proxy rewrites to the name of another
// object.
func TestNamesWithDotSegments(t *testing.T) {
	client, err := platformer.NewClient("http://127.0.0.1:1", clocker.System{}, nil)
	assert.NilError(t, err)
	for _, name := range []string{"", "a//b", "../a", "a/./b", "a/"} {
		_, err := client.Get(t.Context(), name)
		assert.ErrorContains(t, err, "segment", name)
	}
}
