package verifier

import (
	"fmt"
	"net/http"
)

// maxStatus is the largest status that HTTP allows.
const maxStatus = 599

// Status returns an error if the number is not an HTTP status. net/http accepts any three
// digits.
func Status(status int) error {
	if status < http.StatusContinue || status > maxStatus {
		return fmt.Errorf("invalid status %03d", status)
	}
	return nil
}
