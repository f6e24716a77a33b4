package verifier

import (
	"errors"
	"net/http"
	"net/textproto"
)

const (
	// maxInterimBytes bounds the interim responses to a request. net/http leaves this to a
	// caller that asks for them.
	maxInterimBytes = 64 << 10
	// statusLineBytes is the size of a status line without a reason, with the empty line that
	// ends the header.
	statusLineBytes = len("HTTP/1.1 103 \r\n\r\n")
	// fieldLineBytes is the size of a header line apart from its name and value.
	fieldLineBytes = len(": \r\n")
)

var errInterimBytes = errors.New("the interim responses exceed their size limit")

// interimChecker checks the interim responses to a request.
type interimChecker struct{ bytes int }

// check implements Got1xxResponse of httptrace.ClientTrace.
func (checker *interimChecker) check(_ int, header textproto.MIMEHeader) error {
	checker.bytes += statusLineBytes
	for name, values := range header {
		for _, value := range values {
			checker.bytes += len(name) + len(value) + fieldLineBytes
		}
	}
	if checker.bytes > maxInterimBytes {
		return errInterimBytes
	}
	return FieldNames(http.Header(header))
}
