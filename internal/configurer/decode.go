package configurer

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"reflect"
	"slices"
	"strings"
	"unicode/utf8"
)

const (
	// maxSection is the maximum size of a section body in bytes. The platform
	// accepts no larger value.
	maxSection = 1_000_000

	// maxDecodeFaults is the number of faults after which decoding stops.
	maxDecodeFaults = 100
)

// requiredFields lists the fields that must be present: after decoding, an absent
// rank would look like the zero value, which is a valid rank that the author may
// not have meant.
var requiredFields = map[reflect.Type][]string{
	reflect.TypeFor[Service]():    {"rank"},
	reflect.TypeFor[RankPolicy](): {"rank"},
}

var durationType = reflect.TypeFor[Duration]()

// DecodeSection decodes the JSON body of a section. It refuses unknown,
// repeated and null fields, names in other case, values of the wrong type or
// unit, and trailing data. The error is of type Faults and lists every
// fault found.
func DecodeSection(name string, body []byte) (Section, error) {
	var section Section
	decoder := &strictDecoder{section: name, body: body, json: json.NewDecoder(bytes.NewReader(body))}
	decoder.json.UseNumber()
	decoder.decodeSection(reflect.ValueOf(&section).Elem())
	if err := decoder.faults.Err(); err != nil {
		return Section{}, err
	}
	return section, nil
}

// strictDecoder reads the JSON tokens and the Go type in parallel, so that every
// fault is reported with the path of its field. encoding/json reports unknown
// fields without a path and accepts repeated ones.
type strictDecoder struct {
	section string
	body    []byte
	json    *json.Decoder
	faults  Faults
}

// errStopDecoding ends decoding after a syntax error, or after maxDecodeFaults
// faults.
var errStopDecoding = errors.New("stop")

// addFault records a fault. It returns errStopDecoding at the limit of faults.
func (decoder *strictDecoder) addFault(path, format string, args ...any) error {
	decoder.faults.add(decoder.section, path, format, args...)
	if len(decoder.faults) >= maxDecodeFaults {
		return errStopDecoding
	}
	return nil
}

// decodeSection decodes the whole body and checks its size and encoding.
func (decoder *strictDecoder) decodeSection(into reflect.Value) {
	if len(decoder.body) > maxSection {
		_ = decoder.addFault("", "%d bytes are more than the limit of %d", len(decoder.body), maxSection)
		return
	}
	if !utf8.Valid(decoder.body) {
		_ = decoder.addFault("", "text is not valid UTF-8")
		return
	}
	if decoder.decodeValue("", into) != nil {
		return
	}
	if _, err := decoder.json.Token(); !errors.Is(err, io.EOF) {
		_ = decoder.addFault("", "data follows the section at %s", decoder.position())
	}
}

// position returns the line and column that the decoder has reached.
func (decoder *strictDecoder) position() string {
	read := decoder.body[:min(int(decoder.json.InputOffset()), len(decoder.body))]
	line := bytes.Count(read, []byte("\n")) + 1
	column := len(read) - bytes.LastIndexByte(read, '\n')
	return fmt.Sprintf("line %d, column %d", line, column)
}

// addSyntaxFault records a fault for an error of the JSON decoder. It always
// returns errStopDecoding, because the text after the error cannot be read.
func (decoder *strictDecoder) addSyntaxFault(path string, err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		_ = decoder.addFault(path, "text ends in the middle of a value")
	} else {
		_ = decoder.addFault(path, "invalid JSON at %s: %v", decoder.position(), err)
	}
	return errStopDecoding
}

func (decoder *strictDecoder) decodeValue(path string, into reflect.Value) error {
	_, custom := into.Addr().Interface().(json.Unmarshaler)
	_, text := into.Addr().Interface().(interface{ UnmarshalText([]byte) error })
	switch kind := into.Kind(); {
	case custom || text:
		return decoder.decodeLeaf(path, into)
	case kind == reflect.Pointer:
		into.Set(reflect.New(into.Type().Elem()))
		return decoder.decodeValue(path, into.Elem())
	case kind == reflect.Struct:
		return decoder.decodeObject(path, into)
	case kind == reflect.Slice:
		return decoder.decodeArray(path, into)
	default:
		return decoder.decodeLeaf(path, into)
	}
}

// decodeLeaf decodes a scalar, or a value of a type with its own unmarshaler.
func (decoder *strictDecoder) decodeLeaf(path string, into reflect.Value) error {
	var raw json.RawMessage
	if err := decoder.json.Decode(&raw); err != nil {
		return decoder.addSyntaxFault(path, err)
	}
	if string(raw) == "null" {
		return decoder.addFault(path, "null is not a value; leave the field out instead")
	}
	err := json.Unmarshal(raw, into.Addr().Interface())
	var mismatch *json.UnmarshalTypeError
	switch {
	case err == nil:
		return nil
	case into.Type() != durationType && errors.As(err, &mismatch):
		return decoder.addFault(path, "%s is not %s", truncate(raw), describeType(into.Type()))
	default:
		return decoder.addFault(path, "%s", strings.TrimPrefix(err.Error(), "json: "))
	}
}

// readDelimiter reads the delimiter that begins an object or array. If the value
// is of another kind, it consumes the value, records a fault and returns false.
func (decoder *strictDecoder) readDelimiter(path string, delimiter json.Delim, wanted reflect.Type) (bool, error) {
	start, err := decoder.json.Token()
	if err != nil {
		return false, decoder.addSyntaxFault(path, err)
	}
	if start == delimiter {
		return true, nil
	}
	if err := decoder.skipValue(start); err != nil {
		return false, decoder.addSyntaxFault(path, err)
	}
	return false, decoder.addFault(path, "value is not %s", describeType(wanted))
}

// skipValue consumes the rest of the value that begins with the token.
func (decoder *strictDecoder) skipValue(start json.Token) error {
	depth := 0
	for token := start; ; {
		switch token {
		case json.Delim('{'), json.Delim('['):
			depth++
		case json.Delim('}'), json.Delim(']'):
			depth--
		}
		if depth == 0 {
			return nil
		}
		next, err := decoder.json.Token()
		if err != nil {
			return err
		}
		token = next
	}
}

func (decoder *strictDecoder) decodeObject(path string, into reflect.Value) error {
	opened, err := decoder.readDelimiter(path, '{', into.Type())
	if err != nil || !opened {
		return err
	}
	fields := fieldIndexes(into.Type())
	var seen []string
	for decoder.json.More() {
		token, err := decoder.json.Token()
		if err != nil {
			return decoder.addSyntaxFault(path, err)
		}
		name := token.(string) // json.Decoder accepts no other type of key
		if err := decoder.decodeField(path, name, fields, slices.Contains(seen, name), into); err != nil {
			return err
		}
		seen = append(seen, name)
	}
	if _, err := decoder.json.Token(); err != nil {
		return decoder.addSyntaxFault(path, err)
	}
	for _, name := range requiredFields[into.Type()] {
		if !slices.Contains(seen, name) {
			if err := decoder.addFault(joinPath(path, name), "field is required"); err != nil {
				return err
			}
		}
	}
	return nil
}

// decodeField decodes the field with the name into the struct. The value of an
// unknown or repeated field is skipped and recorded as a fault.
func (decoder *strictDecoder) decodeField(path, name string, fields map[string]int, repeated bool, into reflect.Value) error {
	index, known := fields[name]
	if known && !repeated {
		return decoder.decodeValue(joinPath(path, name), into.Field(index))
	}
	var skipped json.RawMessage
	if err := decoder.json.Decode(&skipped); err != nil {
		return decoder.addSyntaxFault(joinPath(path, name), err)
	}
	if repeated {
		return decoder.addFault(joinPath(path, name), "field occurs twice")
	}
	return decoder.addFault(joinPath(path, name), "field does not exist; the fields here are %s", strings.Join(fieldNames(into.Type()), ", "))
}

func (decoder *strictDecoder) decodeArray(path string, into reflect.Value) error {
	opened, err := decoder.readDelimiter(path, '[', into.Type())
	if err != nil || !opened {
		return err
	}
	for index := 0; decoder.json.More(); index++ {
		item := reflect.New(into.Type().Elem()).Elem()
		if err := decoder.decodeValue(fmt.Sprintf("%s[%d]", path, index), item); err != nil {
			return err
		}
		into.Set(reflect.Append(into, item))
	}
	if _, err := decoder.json.Token(); err != nil {
		return decoder.addSyntaxFault(path, err)
	}
	return nil
}

// fieldIndexes maps the JSON names of a struct's fields to their indexes.
func fieldIndexes(structType reflect.Type) map[string]int {
	fields := map[string]int{}
	for index, name := range fieldNames(structType) {
		fields[name] = index
	}
	return fields
}

func fieldNames(structType reflect.Type) []string {
	names := make([]string, structType.NumField())
	for index := range names {
		names[index], _, _ = strings.Cut(structType.Field(index).Tag.Get("json"), ",")
	}
	return names
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func describeType(wanted reflect.Type) string {
	switch wanted.Kind() {
	case reflect.Struct, reflect.Map:
		return "an object"
	case reflect.Slice:
		return "an array"
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Int, reflect.Int64:
		return "a whole number"
	default:
		return "a number"
	}
}

// truncate shortens a value for an error message.
func truncate(raw []byte) string {
	const maxBytes = 40
	if len(raw) <= maxBytes {
		return string(raw)
	}
	return string(bytes.ToValidUTF8(raw[:maxBytes], nil)) + "..."
}
