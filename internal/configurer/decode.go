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
	// maxSection bounds the body of a section in bytes: the platform accepts
	// no larger value.
	maxSection = 1_000_000

	// maxDecodeFaults bounds the faults that one decoding reports.
	maxDecodeFaults = 100
)

// requiredFields names the fields whose absence cannot be told from their zero
// value afterwards and whose zero value would be a guess about the work.
var requiredFields = map[reflect.Type][]string{
	reflect.TypeFor[Service]():    {"rank"},
	reflect.TypeFor[RankPolicy](): {"rank"},
}

var durationType = reflect.TypeFor[Duration]()

// DecodeSection decodes the JSON body of a section. It refuses unknown,
// repeated and null fields, names in other case, values of the wrong type or
// unit, and trailing data. The error is of type Faults and lists all that was
// found.
func DecodeSection(name string, body []byte) (Section, error) {
	var section Section
	decoder := &strictDecoder{section: name, body: body, json: json.NewDecoder(bytes.NewReader(body))}
	decoder.json.UseNumber()
	decoder.document(reflect.ValueOf(&section).Elem())
	if err := decoder.faults.Err(); err != nil {
		return Section{}, err
	}
	return section, nil
}

// strictDecoder walks the JSON tokens and the Go type side by side, so that
// every fault is reported with the path of its field. encoding/json reports
// unknown fields without a path, and ignores repeated ones.
type strictDecoder struct {
	section string
	body    []byte
	json    *json.Decoder
	faults  Faults
}

// errStop ends the decoding after a fault that makes the rest unreadable.
var errStop = errors.New("stop")

func (decoder *strictDecoder) fault(path, format string, args ...any) error {
	decoder.faults.add(decoder.section, path, format, args...)
	if len(decoder.faults) >= maxDecodeFaults {
		return errStop
	}
	return nil
}

func (decoder *strictDecoder) document(into reflect.Value) {
	if len(decoder.body) > maxSection {
		_ = decoder.fault("", "%d bytes are more than the limit of %d", len(decoder.body), maxSection)
		return
	}
	if !utf8.Valid(decoder.body) {
		_ = decoder.fault("", "text is not valid UTF-8")
		return
	}
	if decoder.value("", into) != nil {
		return
	}
	if _, err := decoder.json.Token(); !errors.Is(err, io.EOF) {
		_ = decoder.fault("", "data follows the section at %s", decoder.position())
	}
}

// position returns the line and column of the next token.
func (decoder *strictDecoder) position() string {
	read := decoder.body[:min(int(decoder.json.InputOffset()), len(decoder.body))]
	line := bytes.Count(read, []byte("\n")) + 1
	column := len(read) - bytes.LastIndexByte(read, '\n')
	return fmt.Sprintf("line %d, column %d", line, column)
}

func (decoder *strictDecoder) syntax(path string, err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		_ = decoder.fault(path, "text ends in the middle of a value")
	} else {
		_ = decoder.fault(path, "invalid JSON at %s: %v", decoder.position(), err)
	}
	return errStop
}

func (decoder *strictDecoder) value(path string, into reflect.Value) error {
	_, custom := into.Addr().Interface().(json.Unmarshaler)
	_, text := into.Addr().Interface().(interface{ UnmarshalText([]byte) error })
	switch kind := into.Kind(); {
	case custom || text:
		return decoder.leaf(path, into)
	case kind == reflect.Pointer:
		into.Set(reflect.New(into.Type().Elem()))
		return decoder.value(path, into.Elem())
	case kind == reflect.Struct:
		return decoder.object(path, into)
	case kind == reflect.Slice:
		return decoder.array(path, into)
	default:
		return decoder.leaf(path, into)
	}
}

// leaf decodes one value without fields of its own.
func (decoder *strictDecoder) leaf(path string, into reflect.Value) error {
	var raw json.RawMessage
	if err := decoder.json.Decode(&raw); err != nil {
		return decoder.syntax(path, err)
	}
	if string(raw) == "null" {
		return decoder.fault(path, "null is not a value; leave the field out instead")
	}
	err := json.Unmarshal(raw, into.Addr().Interface())
	var mismatch *json.UnmarshalTypeError
	switch {
	case err == nil:
		return nil
	case into.Type() != durationType && errors.As(err, &mismatch):
		return decoder.fault(path, "%s is not %s", shorten(raw), describe(into.Type()))
	default:
		return decoder.fault(path, "%s", strings.TrimPrefix(err.Error(), "json: "))
	}
}

// open reads the delimiter that begins an object or array. It reports a fault
// and consumes the value when another kind of value is found.
func (decoder *strictDecoder) open(path string, delimiter json.Delim, wanted reflect.Type) (bool, error) {
	start, err := decoder.json.Token()
	if err != nil {
		return false, decoder.syntax(path, err)
	}
	if start == delimiter {
		return true, nil
	}
	if err := decoder.skipRest(start); err != nil {
		return false, decoder.syntax(path, err)
	}
	return false, decoder.fault(path, "value is not %s", describe(wanted))
}

// skipRest consumes the rest of the value that begins with the token.
func (decoder *strictDecoder) skipRest(start json.Token) error {
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

func (decoder *strictDecoder) object(path string, into reflect.Value) error {
	opened, err := decoder.open(path, '{', into.Type())
	if err != nil || !opened {
		return err
	}
	fields := fieldsOf(into.Type())
	var seen []string
	for decoder.json.More() {
		token, err := decoder.json.Token()
		if err != nil {
			return decoder.syntax(path, err)
		}
		name := token.(string) // the decoder accepts nothing else as a key
		if err := decoder.field(path, name, fields, slices.Contains(seen, name), into); err != nil {
			return err
		}
		seen = append(seen, name)
	}
	if _, err := decoder.json.Token(); err != nil {
		return decoder.syntax(path, err)
	}
	for _, name := range requiredFields[into.Type()] {
		if !slices.Contains(seen, name) {
			if err := decoder.fault(join(path, name), "field is required"); err != nil {
				return err
			}
		}
	}
	return nil
}

func (decoder *strictDecoder) field(path, name string, fields map[string]int, repeated bool, into reflect.Value) error {
	index, known := fields[name]
	if known && !repeated {
		return decoder.value(join(path, name), into.Field(index))
	}
	var skipped json.RawMessage
	if err := decoder.json.Decode(&skipped); err != nil {
		return decoder.syntax(join(path, name), err)
	}
	if repeated {
		return decoder.fault(join(path, name), "field occurs twice")
	}
	return decoder.fault(join(path, name), "field does not exist; the fields here are %s", strings.Join(fieldNames(into.Type()), ", "))
}

func (decoder *strictDecoder) array(path string, into reflect.Value) error {
	opened, err := decoder.open(path, '[', into.Type())
	if err != nil || !opened {
		return err
	}
	for index := 0; decoder.json.More(); index++ {
		item := reflect.New(into.Type().Elem()).Elem()
		if err := decoder.value(fmt.Sprintf("%s[%d]", path, index), item); err != nil {
			return err
		}
		into.Set(reflect.Append(into, item))
	}
	if _, err := decoder.json.Token(); err != nil {
		return decoder.syntax(path, err)
	}
	return nil
}

func fieldsOf(structure reflect.Type) map[string]int {
	fields := map[string]int{}
	for index, name := range fieldNames(structure) {
		fields[name] = index
	}
	return fields
}

func fieldNames(structure reflect.Type) []string {
	names := make([]string, structure.NumField())
	for index := range names {
		names[index], _, _ = strings.Cut(structure.Field(index).Tag.Get("json"), ",")
	}
	return names
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func describe(wanted reflect.Type) string {
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

// shorten keeps a value readable in an error.
func shorten(raw []byte) string {
	const longest = 40
	if len(raw) <= longest {
		return string(raw)
	}
	return string(bytes.ToValidUTF8(raw[:longest], nil)) + "..."
}
