package verifier

import (
	"io"
	"net/http"
)

// Response returns an error if the status or a field name in the head of the response is
// invalid. Otherwise it makes the body fail at its end if a field name in the trailer is.
func Response(response *http.Response) error {
	if err := Status(response.StatusCode); err != nil {
		return err
	}
	if err := FieldNames(response.Header); err != nil {
		return err
	}
	if err := FieldNames(response.Trailer); err != nil { // the names that the head announces
		return err
	}
	response.Body = &responseBody{ReadCloser: response.Body, response: response}
	return nil
}

// responseBody checks the trailer at the end of the body.
type responseBody struct {
	io.ReadCloser
	response *http.Response
}

func (body *responseBody) Read(buffer []byte) (int, error) {
	count, err := body.ReadCloser.Read(buffer)
	if err == io.EOF {
		if invalid := FieldNames(body.response.Trailer); invalid != nil {
			err = invalid
		}
	}
	return count, err
}
