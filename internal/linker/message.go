package linker

import (
	"bytes"
	"errors"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/cuminstream/cuminstream/pkg/answerer"
)

// messageKind says what follows the frame of a message.
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

// frame begins every message on a request link. A message is a CBOR sequence:
// the frame, the typed part of its kind, and then body bytes up to the end of
// the message, which are thereby sent without being encoded again.
type frame struct {
	_        struct{} `cbor:",toarray"`
	Kind     messageKind
	Sequence uint64 // counts the messages of one direction of the link
	Request  uint64 // counts the requests of the link
	Last     bool   // the body bytes of this message are the end of the body
}

// requestHead is the typed part of kindRequestHead.
type requestHead struct {
	ID            string        `cbor:"1,keyasint,omitempty"`
	Service       string        `cbor:"2,keyasint,omitempty"`
	Group         string        `cbor:"3,keyasint,omitempty"`
	Key           string        `cbor:"4,keyasint,omitempty"`
	Shard         uint32        `cbor:"5,keyasint,omitempty"`
	Rank          int           `cbor:"6,keyasint,omitempty"`
	Idempotent    bool          `cbor:"7,keyasint,omitempty"`
	Timeout       time.Duration `cbor:"8,keyasint,omitempty"` // until the deadline; 0 for none
	Fingerprint   uint64        `cbor:"9,keyasint,omitempty"`
	Method        string        `cbor:"10,keyasint,omitempty"`
	Target        string        `cbor:"11,keyasint,omitempty"`
	Host          string        `cbor:"12,keyasint,omitempty"`
	Header        headerBlock   `cbor:"13,keyasint,omitempty"`
	ContentLength int64         `cbor:"14,keyasint,omitempty"`
	HasBody       bool          `cbor:"15,keyasint,omitempty"`
	Trailer       headerBlock   `cbor:"16,keyasint,omitempty"` // only with frame.Last
}

// responseHead is the typed part of kindResponseHead.
type responseHead struct {
	Status        int         `cbor:"1,keyasint,omitempty"`
	Header        headerBlock `cbor:"2,keyasint,omitempty"`
	ContentLength int64       `cbor:"3,keyasint,omitempty"`
	Trailer       headerBlock `cbor:"4,keyasint,omitempty"` // only with frame.Last
}

// bodyEnd is the typed part of kindBodyEnd and kindResponseEnd.
type bodyEnd struct {
	Trailer headerBlock `cbor:"1,keyasint,omitempty"`
	// Aborted is set when the sender stopped because the answer is complete.
	Aborted bool `cbor:"2,keyasint,omitempty"`
}

// failure is the typed part of kindFailure on both kinds of link.
type failure struct {
	Kind       answerer.Kind `cbor:"1,keyasint"`
	Message    string        `cbor:"2,keyasint,omitempty"`
	RetryAfter time.Duration `cbor:"3,keyasint,omitempty"`
}

// closing tells the client that no request after the accepted ones was or will
// be read from this link.
type closing struct {
	Accepted uint64 `cbor:"1,keyasint"`
}

// callFrame begins every message on a control link.
type callFrame struct {
	_    struct{} `cbor:",toarray"`
	Kind messageKind
	ID   uint64
}

// callHead is the typed part of kindCall. The encoded body follows it.
type callHead struct {
	Method              string `cbor:"1,keyasint"`
	TimeoutMilliseconds int64  `cbor:"2,keyasint,omitempty"` // milliseconds until the deadline; 0 for none
}

var (
	encoder = must(cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.UserBufferEncMode())
	// headDecoder bounds what a frame or head of the project's own messages may
	// hold. bodyDecoder accepts the larger collections of control calls.
	headDecoder = must(cbor.DecOptions{MaxNestedLevels: 8, MaxArrayElements: 1024, MaxMapPairs: 1024, DupMapKey: cbor.DupMapKeyEnforcedAPF}.DecMode())
	bodyDecoder = must(cbor.DecOptions{MaxNestedLevels: 16, MaxArrayElements: maxMessage, MaxMapPairs: maxMessage}.DecMode())
)

func must[T any](mode T, err error) T {
	if err != nil {
		panic(fmt.Sprintf("CBOR options are not valid: %v", err))
	}
	return mode
}

// errProtocol marks messages that the protocol does not allow. They close the
// link.
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

// newFailure returns the typed part that carries err to the other side.
func newFailure(err error) failure {
	known := answerer.From(err)
	return failure{Kind: known.Kind, Message: known.Message, RetryAfter: known.RetryAfter}
}

// toError returns the error of the closed list that the failure carries.
func (failure failure) toError() *answerer.Error {
	received := answerer.New(failure.Kind, "%s", failure.Message)
	if failure.RetryAfter > 0 {
		received = received.WithRetryAfter(failure.RetryAfter)
	}
	return received
}
