package limiter

import (
	"errors"
	"io"
	"math"
)

// ErrExceeded is returned by reads beyond the limit.
var ErrExceeded = errors.New("the message exceeds its size limit")

// Unlimited is the value of Reader.Remaining for no limit.
const Unlimited int64 = math.MaxInt64

// Reader reads from Source until Remaining bytes have been read, and then fails with
// ErrExceeded. Remaining may be set between two reads.
type Reader struct {
	Source    io.Reader
	Remaining int64
}

// Read implements io.Reader.
func (reader *Reader) Read(data []byte) (int, error) {
	if reader.Remaining <= 0 {
		return 0, ErrExceeded
	}
	if int64(len(data)) > reader.Remaining {
		data = data[:reader.Remaining]
	}
	n, err := reader.Source.Read(data)
	if reader.Remaining != Unlimited {
		reader.Remaining -= int64(n)
	}
	return n, err
}
