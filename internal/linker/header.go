package linker

import (
	"bytes"
	"fmt"
	"maps"
	"net/http"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// headerBlock is an encoded http.Header: one line "name:value" for each value, as
// in HTTP/1.1. The receiver converts the block to one string and slices it,
// because decoding a CBOR map took 36 of the 91 allocations of a small request.
type headerBlock []byte

// maxHeaderLines bounds the lines of a received block.
const maxHeaderLines = 4096

// lineBreaks replaces line breaks, which are invalid in header values, by spaces,
// as net/http does.
var lineBreaks = strings.NewReplacer("\n", " ", "\r", " ")

// appendHeader appends the encoded header to the buffer and returns that part of
// the buffer.
func appendHeader(buffer *bytes.Buffer, header http.Header) headerBlock {
	start := buffer.Len()
	for name, values := range header {
		for _, value := range values {
			if strings.ContainsAny(value, "\r\n") {
				value = lineBreaks.Replace(value)
			}
			buffer.WriteString(name)
			buffer.WriteByte(':')
			buffer.WriteString(value)
			buffer.WriteByte('\n')
		}
	}
	return buffer.Bytes()[start:]
}

// appendRequestTrailer is appendHeader for the trailer of a request, without invalid names. To the
// names that a request announces, net/http adds others without a check.
func appendRequestTrailer(buffer *bytes.Buffer, trailer http.Header) headerBlock {
	trailer = maps.Clone(trailer)
	maps.DeleteFunc(trailer, func(name string, _ []string) bool { return !httpguts.ValidHeaderFieldName(name) })
	return appendHeader(buffer, trailer)
}

// header decodes the block. It returns nil only with an error. It does not rely on the sender
// for valid names and values: net/http, from which they come, checks them only in part.
func (block headerBlock) header() (http.Header, error) {
	lines := bytes.Count(block, []byte{'\n'})
	if lines > maxHeaderLines {
		return nil, fmt.Errorf("%w: header of %d lines", errProtocol, lines)
	}
	header := make(http.Header, lines)
	values := make([]string, 0, lines) // shared by the value slices of names with one value
	for text := string(block); text != ""; {
		line, rest, ended := strings.Cut(text, "\n")
		name, value, found := strings.Cut(line, ":")
		if !ended || !found || !httpguts.ValidHeaderFieldName(name) || !httpguts.ValidHeaderFieldValue(value) {
			return nil, fmt.Errorf("%w: malformed header line", errProtocol)
		}
		text = rest
		if known := header[name]; known != nil {
			header[name] = append(known, value)
			continue
		}
		values = append(values, value)
		header[name] = values[len(values)-1 : len(values) : len(values)]
	}
	return header, nil
}

// trailer decodes the block like header, but returns nil for an empty block.
func (block headerBlock) trailer() (http.Header, error) {
	if len(block) == 0 {
		return nil, nil
	}
	return block.header()
}
