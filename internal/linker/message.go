package linker

import (
	"bytes"
	"errors"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/cuminstream/cuminstream/pkg/answerer"
)

// messageKind tells which payload follows the frame of a message.
type messageKind uint8

const (
	kindRequestHead messageKind = iota + 1
	kindBodyChunk
	kindBodyEnd
	kindResponseHead
	kindResponseEnd
	kindFailure
	kindClosing
	kindCall
	kindAnswer
	kindCancel
)

// frame starts every message on a request link. A message consists of the frame
// and the payload of its kind as a CBOR sequence, followed to the end of the
// message by body bytes, which are not encoded.
type frame struct {
	_        struct{} `cbor:",toarray"`
	Kind     messageKind
	Sequence uint64 // number of the message in its direction of the link
	Request  uint64 // number of the request on the link
	Last     bool   // the body ends with this message
}

// requestHead is the payload of kindRequestHead.
type requestHead struct {
	ID            string        `cbor:"1,keyasint,omitempty"`
	Service       string        `cbor:"2,keyasint,omitempty"`
	Group         string        `cbor:"3,keyasint,omitempty"`
	Key           string        `cbor:"4,keyasint,omitempty"`
	Shard         uint32        `cbor:"5,keyasint,omitempty"`
	Rank          int           `cbor:"6,keyasint,omitempty"`
	Idempotent    bool          `cbor:"7,keyasint,omitempty"`
	Timeout       time.Duration `cbor:"8,keyasint,omitempty"` // time until the deadline; 0 for none
	Fingerprint   uint64        `cbor:"9,keyasint,omitempty"`
	Method        string        `cbor:"10,keyasint,omitempty"`
	Target        string        `cbor:"11,keyasint,omitempty"`
	Host          string        `cbor:"12,keyasint,omitempty"`
	Header        headerBlock   `cbor:"13,keyasint,omitempty"`
	ContentLength int64         `cbor:"14,keyasint,omitempty"`
	HasBody       bool          `cbor:"15,keyasint,omitempty"`
	Trailer       headerBlock   `cbor:"16,keyasint,omitempty"` // only with frame.Last
}

// responseHead is the payload of kindResponseHead.
type responseHead struct {
	Status        int         `cbor:"1,keyasint,omitempty"`
	Header        headerBlock `cbor:"2,keyasint,omitempty"`
	ContentLength int64       `cbor:"3,keyasint,omitempty"`
	Trailer       headerBlock `cbor:"4,keyasint,omitempty"` // only with frame.Last
}

// bodyEnd is the payload of kindBodyEnd and kindResponseEnd.
type bodyEnd struct {
	Trailer headerBlock `cbor:"1,keyasint,omitempty"`
	// Aborted is set when the client stopped sending the body because the
	// response was complete.
	Aborted bool `cbor:"2,keyasint,omitempty"`
}

// failure is the payload of kindFailure on both kinds of link.
type failure struct {
	Kind       answerer.Kind `cbor:"1,keyasint"`
	Message    string        `cbor:"2,keyasint,omitempty"`
	RetryAfter time.Duration `cbor:"3,keyasint,omitempty"`
}

// closing is the payload of kindClosing. It tells the client that the server has
// accepted and will accept no request on this link after the first Accepted ones.
type closing struct {
	Accepted uint64 `cbor:"1,keyasint"`
}

// callFrame starts every message on a control link.
type callFrame struct {
	_    struct{} `cbor:",toarray"`
	Kind messageKind
	ID   uint64
}

// callHead is the payload of kindCall. The body of the call follows it, encoded
// as CBOR.
type callHead struct {
	Method              string `cbor:"1,keyasint"`
	TimeoutMilliseconds int64  `cbor:"2,keyasint,omitempty"` // until the deadline; 0 for none
}

var (
	encoder = must(cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.UserBufferEncMode())
	// headDecoder decodes frames and payloads, whose collections are small.
	// bodyDecoder accepts the larger collections in the bodies of control calls.
	headDecoder = must(cbor.DecOptions{MaxNestedLevels: 8, MaxArrayElements: 1024, MaxMapPairs: 1024, DupMapKey: cbor.DupMapKeyEnforcedAPF}.DecMode())
	bodyDecoder = must(cbor.DecOptions{MaxNestedLevels: 16, MaxArrayElements: maxMessage, MaxMapPairs: maxMessage}.DecMode())
)

func must[T any](mode T, err error) T {
	if err != nil {
		panic(fmt.Sprintf("CBOR options are not valid: %v", err))
	}
	return mode
}

// errProtocol is wrapped by the errors of messages that violate the protocol. Such
// a message closes the link.
var errProtocol = errors.New("link protocol violation")

// encode appends the items to the buffer as a CBOR sequence.
func encode(buffer *bytes.Buffer, items ...any) error {
	for _, item := range items {
		if err := encoder.MarshalToBuffer(item, buffer); err != nil {
			return fmt.Errorf("encode %T: %w", item, err)
		}
	}
	return nil
}

// decodeFirst decodes the first item of data and returns the bytes after it.
func decodeFirst(data []byte, item any) ([]byte, error) {
	rest, err := headDecoder.UnmarshalFirst(data, item)
	if err != nil {
		return nil, fmt.Errorf("%w: decode %T: %w", errProtocol, item, err)
	}
	return rest, nil
}

// newFailure returns the payload that transfers err to the other side.
func newFailure(err error) failure {
	known := answerer.From(err)
	return failure{Kind: known.Kind, Message: known.Message, RetryAfter: known.RetryAfter}
}

// toError returns the error that the failure transfers.
func (failure failure) toError() *answerer.Error {
	received := answerer.New(failure.Kind, "%s", failure.Message)
	if failure.RetryAfter > 0 {
		received = received.WithRetryAfter(failure.RetryAfter)
	}
	return received
}
