package configurer

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"regexp"
	"slices"
)

const (
	// IndexName is the name of the index object. Every change of the document
	// is a conditional update of it, which puts the changes in one order.
	IndexName = "config/index"

	// BodyPrefix is the prefix of the names of section bodies, which are
	// immutable objects.
	BodyPrefix = "config/bodies/"

	// recentWrites is the number of writes that the index lists, so that an
	// editor that lost the response can tell whether its write took effect.
	recentWrites = 32
)

var hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)

// Index lists the sections of the newest revision of the document. It is the value
// of the object config/index.
type Index struct {
	Revision uint64                `json:"revision"`
	WriteID  string                `json:"writeId"`
	Sections map[string]IndexEntry `json:"sections"`
	// Recent holds the newest writes, oldest first.
	Recent []Write `json:"recent,omitempty"`
}

// IndexEntry is the state of one section. An empty body means that the section
// was removed; its revision is kept to detect edits that are based on an older one.
type IndexEntry struct {
	Body     string `json:"body"` // SHA-256 of the section's body, in hexadecimal
	Revision uint64 `json:"revision"`
}

// Write identifies the write that created a revision.
type Write struct {
	Revision uint64 `json:"revision"`
	WriteID  string `json:"writeId"`
}

// DecodeIndex decodes the value of the object config/index. Unknown fields are
// ignored, so that VMs of different program versions can read the same index.
func DecodeIndex(value []byte) (Index, error) {
	var index Index
	if err := json.Unmarshal(value, &index); err != nil {
		return Index{}, fmt.Errorf("%s: %w", IndexName, err)
	}
	for name, entry := range index.Sections {
		if entry.Body != "" && !hashPattern.MatchString(entry.Body) {
			return Index{}, fmt.Errorf("%s: body %.80q of section %q is not a hash", IndexName, entry.Body, name)
		}
	}
	return index, nil
}

// BodyNames returns the sorted names of the body objects that the index refers
// to.
func (index Index) BodyNames() []string {
	names := map[string]struct{}{}
	for _, entry := range index.Sections {
		if entry.Body != "" {
			names[BodyPrefix+entry.Body] = struct{}{}
		}
	}
	return slices.Sorted(maps.Keys(names))
}

// BodyName returns the name of the object that holds the body.
func BodyName(body []byte) string {
	sum := sha256.Sum256(body)
	return BodyPrefix + hex.EncodeToString(sum[:])
}

// withWrite returns the index of the next revision, in which the section has the
// body with the hash.
func (index Index) withWrite(section, body, writeID string) Index {
	next := Index{Revision: index.Revision + 1, WriteID: writeID, Sections: maps.Clone(index.Sections)}
	if next.Sections == nil {
		next.Sections = map[string]IndexEntry{}
	}
	next.Sections[section] = IndexEntry{Body: body, Revision: next.Revision}
	next.Recent = append(slices.Clone(index.Recent), Write{next.Revision, writeID})
	next.Recent = next.Recent[max(0, len(next.Recent)-recentWrites):]
	return next
}

// writeOutcome is what an index shows about a write.
type writeOutcome int

const (
	writeNotApplied writeOutcome = iota
	writeApplied
	writeUnknown // the index no longer lists writes of that revision
)

// outcomeOf reports whether the write that was to create the revision took
// effect.
func (index Index) outcomeOf(revision uint64, writeID string) writeOutcome {
	for _, write := range index.Recent {
		if write.Revision == revision {
			if write.WriteID == writeID {
				return writeApplied
			}
			return writeNotApplied
		}
	}
	if index.Revision < revision {
		return writeNotApplied
	}
	return writeUnknown
}

// withoutSection returns a copy of the index without the section.
func (index Index) withoutSection(section string) Index {
	index.Sections = maps.Clone(index.Sections)
	delete(index.Sections, section)
	return index
}

// decodeSections decodes the sections of the index. body returns the value of a
// body object, or false if it is not available.
func (index Index) decodeSections(body func(name string) ([]byte, bool)) (map[string]Section, error) {
	sections := make(map[string]Section, len(index.Sections))
	var faults Faults
	for name, entry := range index.Sections {
		if entry.Body == "" {
			continue
		}
		value, ok := body(BodyPrefix + entry.Body)
		if !ok {
			return nil, fmt.Errorf("body %s of section %q is not known", entry.Body, name)
		}
		section, err := DecodeSection(name, value)
		var found Faults
		if errors.As(err, &found) {
			faults = append(faults, found...)
		}
		sections[name] = section
	}
	return sections, faults.Err()
}

// AssembleDocument returns the document that the index describes. body returns
// the value of a body object, or false if it is not available.
func AssembleDocument(index Index, body func(name string) ([]byte, bool)) (*Document, error) {
	sections, err := index.decodeSections(body)
	if err != nil {
		return nil, err
	}
	return NewDocument(index.Revision, sections)
}
