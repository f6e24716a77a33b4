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

// Guards against answers outside the protocol that are taken for a success or
// for a definite refusal.
func TestAnswersOutsideTheProtocol(t *testing.T) {
	var serve http.HandlerFunc
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) { serve(writer, request) }))
	defer server.Close()
	client, err := platformer.NewClient(server.URL, clocker.System{}, nil)
	assert.NilError(t, err)
	for name, answer := range map[string]http.HandlerFunc{
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
		serve = answer
		_, err := client.Get(t.Context(), "a")
		assert.Assert(t, errors.Is(err, platformer.ErrUnexpectedResponse), name)
		if name != "endless" {
			_, err = client.Put(t.Context(), "a", []byte("x"), "")
			assert.Assert(t, errors.Is(err, platformer.ErrUnexpectedResponse), name)
		}
	}
	serve = func(writer http.ResponseWriter, _ *http.Request) {
		_, _ = writer.Write([]byte(`{"sequence":3,"next":"a"}`))
	}
	_, _, err = client.List(t.Context(), "")
	assert.Assert(t, errors.Is(err, platformer.ErrUnexpectedResponse))
	_, _, err = client.Watch(t.Context(), "", 4, time.Second)
	assert.Assert(t, errors.Is(err, platformer.ErrSequenceGone))
}

// Guards against names that a server or proxy would rewrite to another object.
func TestNamesWithDotSegments(t *testing.T) {
	client, err := platformer.NewClient("http://127.0.0.1:1", clocker.System{}, nil)
	assert.NilError(t, err)
	for _, name := range []string{"", "a//b", "../a", "a/./b", "a/"} {
		_, err := client.Get(t.Context(), name)
		assert.ErrorContains(t, err, "segment", name)
	}
}
