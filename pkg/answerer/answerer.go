package answerer

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Kind is an error kind of the closed list.
type Kind string

// The closed list of error kinds.
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

// Headers of an answer that cuminstream itself gives.
const (
	HeaderResult = "Cuminstream-Result"
	HeaderNotRun = "Cuminstream-Not-Run"
)

// Response is what a caller receives for an error kind.
type Response struct {
	Status    int
	NotRun    bool
	Retryable bool
	Meaning   string
}

var table = map[Kind]Response{
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

// Kinds returns the closed list in its documented order.
func Kinds() []Kind {
	return []Kind{
		Malformed, UnknownService, NotRunOverloaded, NotRunUnavailable, NotRunDeadline, NotRunShed, NotRunStopping,
		SuspectRefused, DuplicateInProgress, DuplicateDone, OutcomeUnknown, UpstreamFailed, CutBody, TooLarge,
		Unauthenticated, Internal,
	}
}

// Response returns the table's answer for the kind. A kind outside the list gets
// the answer of Internal.
func (kind Kind) Response() Response {
	answer, ok := table[kind]
	if !ok {
		return table[Internal]
	}
	return answer
}

// Error is an error of the closed list.
type Error struct {
	Kind       Kind
	Message    string
	RetryAfter time.Duration
	Cause      error
}

// New returns an error of the kind. %w verbs in format keep causes for errors.Is.
func New(kind Kind, format string, args ...any) *Error {
	wrapped := fmt.Errorf(format, args...)
	return &Error{Kind: kind, Message: wrapped.Error(), Cause: wrapped}
}

// WithRetryAfter returns a copy of the error that tells the caller when to
// repeat the request.
func (err *Error) WithRetryAfter(wait time.Duration) *Error {
	changed := *err
	changed.RetryAfter = wait
	return &changed
}

// Error returns the kind and the message.
func (err *Error) Error() string { return string(err.Kind) + ": " + err.Message }

// Unwrap returns the cause.
func (err *Error) Unwrap() error { return err.Cause }

// From returns err as an error of the closed list. Errors of other types become
// Internal.
func From(err error) *Error {
	var known *Error
	if errors.As(err, &known) {
		return known
	}
	return New(Internal, "%w", err)
}
