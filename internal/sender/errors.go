package sender

import "errors"

// errNoRequestID is the cause of an incomplete response if a response on a reused
// connection names no request: it may be a late second response to an earlier one.
var errNoRequestID = errors.New("a response on a reused connection does not name its request")

// errCallerLeft is the cause of a request that was not sent because its caller left.
var errCallerLeft = errors.New("the caller has left")

// NotSentError means that no byte of the request has reached the upstream.
type NotSentError struct {
	Cause error
	// Connected means that there was a connection, which ended before it took any byte of
	// the request. A full upstream may reset a connection that it has just accepted.
	Connected bool
}

func (err *NotSentError) Error() string { return "the request was not sent: " + err.Cause.Error() }

// Unwrap returns the cause.
func (err *NotSentError) Unwrap() error { return err.Cause }

// IncompleteResponseError means that the request may have reached the upstream, but
// no complete response was received.
type IncompleteResponseError struct{ Cause error }

func (err *IncompleteResponseError) Error() string {
	return "no complete response to a sent request: " + err.Cause.Error()
}

// Unwrap returns the cause.
func (err *IncompleteResponseError) Unwrap() error { return err.Cause }
