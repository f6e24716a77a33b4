package verifier

import (
	"errors"
	"fmt"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// ErrFieldName is wrapped by the errors of headers with an invalid field name.
var ErrFieldName = errors.New("invalid field name in a header")

// FieldNames returns an error if a name in the header is not a token. net/http keeps names
// with spaces in responses, such as "Content-Length ", and ignores them where it looks for the
// length of the body.
func FieldNames(header http.Header) error {
	for name := range header {
		if !httpguts.ValidHeaderFieldName(name) {
			return fmt.Errorf("%w: %.64q", ErrFieldName, name)
		}
	}
	return nil
}
