package answerer

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Kind identifies an error that a caller can receive. Its value is sent in the
// Cuminstream-Result header.
type Kind string

// The error kinds. The list is closed: a caller receives no other kind.
const (
	Malformed           Kind = "malformed"
	UnknownService      Kind = "unknownService"
	NotRunOverloaded    Kind = "notRunOverloaded"
	NotRunUnavailable   Kind = "notRunUnavailable"
	NotRunDeadline      Kind = "notRunDeadline"
	NotRunShed          Kind = "notRunShed"
	NotRunStopping      Kind = "notRunStopping"
	SuspectRefused      Kind = "suspectRefused"
	DuplicateInProgress Kind = "duplicateInProgress"
	DuplicateDone       Kind = "duplicateDone"
	OutcomeUnknown      Kind = "outcomeUnknown"
	UpstreamFailed      Kind = "upstreamFailed"
	CutBody             Kind = "cutBody"
	TooLarge            Kind = "tooLarge"
	Unauthenticated     Kind = "unauthenticated"
	Internal            Kind = "internal"
)

// Response headers. HeaderResult carries the error kind, or "done" if an upstream has
// responded. HeaderNotRun is "true" for kinds whose requests did not run, and only for
// these.
const (
	HeaderResult = "Cuminstream-Result"
	HeaderNotRun = "Cuminstream-Not-Run"
)

// Response is what a caller receives for an error kind.
type Response struct {
	Status int
	// NotRun reports that the request is known not to have run.
	NotRun bool
	// Retryable reports that repeating the request may succeed.
	Retryable bool
	// Meaning explains the kind in the documentation.
	Meaning string
}

var responses = map[Kind]Response{
	Malformed:           {http.StatusBadRequest, false, false, "the request is not valid; it was not sent to an upstream"},
	UnknownService:      {http.StatusNotFound, false, false, "no service of the routing document matches the request"},
	NotRunOverloaded:    {http.StatusTooManyRequests, true, true, "refused by admission; the request did not run"},
	NotRunUnavailable:   {http.StatusServiceUnavailable, true, true, "no owner of the key can be reached; the request did not run"},
	NotRunDeadline:      {http.StatusServiceUnavailable, true, true, "the deadline passed before the request was sent to an upstream"},
	NotRunShed:          {http.StatusServiceUnavailable, true, true, "the upstream refused the request before it started it"},
	NotRunStopping:      {http.StatusServiceUnavailable, true, true, "the VM is stopping; the request did not run"},
	SuspectRefused:      {http.StatusUnprocessableEntity, false, false, "upstreams were lost while they ran this request; it is refused"},
	DuplicateInProgress: {http.StatusConflict, false, true, "a request with this ID is still running"},
	DuplicateDone:       {http.StatusConflict, false, false, "a request with this ID has already run"},
	OutcomeUnknown:      {http.StatusBadGateway, false, false, "the request may have run; it is not run again"},
	UpstreamFailed:      {http.StatusBadGateway, false, true, "the upstream failed while it ran an idempotent request"},
	CutBody:             {http.StatusBadGateway, false, false, "the answer ended early; the connection is aborted"},
	TooLarge:            {http.StatusRequestEntityTooLarge, false, false, "the request is larger than the service allows"},
	Unauthenticated:     {http.StatusUnauthorized, false, false, "the peer did not prove knowledge of the shared key"},
	Internal:            {http.StatusInternalServerError, false, false, "a fault in cuminstream; the outcome is unknown"},
}

// Kinds returns all error kinds in the order in which they are documented.
func Kinds() []Kind {
	return []Kind{
		Malformed, UnknownService, NotRunOverloaded, NotRunUnavailable, NotRunDeadline, NotRunShed, NotRunStopping,
		SuspectRefused, DuplicateInProgress, DuplicateDone, OutcomeUnknown, UpstreamFailed, CutBody, TooLarge,
		Unauthenticated, Internal,
	}
}

// Response returns the response for the kind. For a kind that is not in the list, it
// returns the response for Internal.
func (kind Kind) Response() Response {
	response, ok := responses[kind]
	if !ok {
		return responses[Internal]
	}
	return response
}

// Error is an error that is reported to a caller.
type Error struct {
	Kind    Kind
	Message string
	// RetryAfter is the time after which the caller should repeat the request. 0 means
	// that it is not known.
	RetryAfter time.Duration
	Cause      error
}

// New returns an error of the given kind with a formatted message. Errors formatted with
// %w can be matched with errors.Is and errors.As.
func New(kind Kind, format string, args ...any) *Error {
	cause := fmt.Errorf(format, args...)
	return &Error{Kind: kind, Message: cause.Error(), Cause: cause}
}

// WithRetryAfter returns a copy of the error that tells the caller to repeat the request
// after wait.
func (err *Error) WithRetryAfter(wait time.Duration) *Error {
	copied := *err
	copied.RetryAfter = wait
	return &copied
}

// Error returns the kind followed by the message.
func (err *Error) Error() string { return string(err.Kind) + ": " + err.Message }

// Unwrap returns the cause.
func (err *Error) Unwrap() error { return err.Cause }

// From returns the *Error that err is or wraps. Any other error is wrapped as Internal.
func From(err error) *Error {
	var known *Error
	if errors.As(err, &known) {
		return known
	}
	return New(Internal, "%w", err)
}
