package configurer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/google/uuid"

	"github.com/cuminstream/cuminstream/internal/platformer"
	"github.com/cuminstream/cuminstream/pkg/clocker"
)

const (
	// editTimeout bounds an edit whose caller has set no earlier deadline.
	editTimeout = 20 * time.Second

	initialBackoff = 20 * time.Millisecond
	maxBackoff     = time.Second

	// maxCachedBytes limits the size of an editor's cache of section bodies, so
	// that the process stays within its 256 MB.
	maxCachedBytes = 32 << 20
)

var (
	// ErrNotAccepted means that the edit has not taken effect and never will.
	ErrNotAccepted = errors.New("edit was not accepted")

	// ErrOutcomeUnknown means that the edit may have taken effect. Repeating
	// it with the same body and base revision is safe.
	ErrOutcomeUnknown = errors.New("edit may have been accepted")
)

// ConflictError means that the section has changed since the revision that the
// edit was based on.
type ConflictError struct {
	Section  string
	Base     uint64 // revision that the edit was based on
	Revision uint64 // revision in which the section last changed
	Current  []byte // body in force; nil if the section was removed
	Edited   []byte // body of the refused edit; nil if it removes the section
}

// Error names the section and the revisions. It leaves out the bodies, which the
// caller can show.
func (err *ConflictError) Error() string {
	return fmt.Sprintf("section %q was changed by revision %d, after the base revision %d of this edit", err.Section, err.Revision, err.Base)
}

// Result is the outcome of an accepted edit.
type Result struct {
	// Revision is the revision that contains the edit.
	Revision uint64 `json:"revision"`
	// Changed is false if the section already had this body.
	Changed bool `json:"changed"`
}

// Editor applies edits of sections by conditional update of the index. It is safe
// for concurrent use, and any number of editors may work at the same time.
type Editor struct {
	API   platformer.API
	Clock clocker.Clock
	// KnownRevision returns the newest revision that this process has seen in force.
	// It may be nil. A platform whose index is older than that has lost writes,
	// and no edit is accepted.
	KnownRevision func() uint64
	// WriteID returns a new unique ID. It may be nil.
	WriteID func() string

	bodies bodyCache
}

// Apply replaces the section with the body, or adds it. baseRevision is the
// revision of the document that the edit was based on; 0 for a new section. The
// error is Faults when the body or the resulting document is invalid, or a
// *ConflictError when the section has changed since baseRevision; it wraps
// ErrNotAccepted or ErrOutcomeUnknown when the platform failed.
func (editor *Editor) Apply(ctx context.Context, section string, body []byte, baseRevision uint64) (Result, error) {
	content, err := DecodeSection(section, body)
	if err != nil {
		return Result{}, err
	}
	return editor.edit(ctx, edit{section: section, body: body, content: &content, base: baseRevision})
}

// Remove removes the section. Its errors are those of Apply.
func (editor *Editor) Remove(ctx context.Context, section string, baseRevision uint64) (Result, error) {
	return editor.edit(ctx, edit{section: section, base: baseRevision})
}

// edit is a replacement or removal of a section.
type edit struct {
	section string
	body    []byte // nil removes the section
	content *Section
	base    uint64
	writeID string
}

func (edit edit) bodyHash() string {
	if edit.content == nil {
		return ""
	}
	return BodyName(edit.body)[len(BodyPrefix):]
}

// versionedIndex is the index as read, with the version of its object at the
// platform.
type versionedIndex struct {
	index   Index
	version string
}

// pendingWrite is a write of the index whose outcome may be unknown.
type pendingWrite struct {
	versionedIndex // index and version that the write was based on
	value          []byte
	revision       uint64
	outcomeUnknown bool // at least one Put of it had no definite answer
}

func (editor *Editor) edit(ctx context.Context, edit edit) (Result, error) {
	ctx, cancel := clocker.WithTimeout(ctx, editor.Clock, editTimeout)
	defer cancel()
	edit.writeID = uuid.NewString()
	if editor.WriteID != nil {
		edit.writeID = editor.WriteID()
	}
	var pending *pendingWrite // write whose outcome is unknown; nil if there is none
	for backoff := initialBackoff; ; backoff = min(2*backoff, maxBackoff) {
		result, done, err := editor.tryEdit(ctx, edit, &pending)
		if done {
			return result, err
		}
		if sleepErr := clocker.Sleep(ctx, editor.Clock, backoff/2+rand.N(backoff)); sleepErr != nil {
			outcome := ErrNotAccepted
			if pending != nil {
				outcome = ErrOutcomeUnknown
			}
			return Result{}, fmt.Errorf("section %q: %w: %w", edit.section, outcome, err)
		}
	}
}

// tryEdit reads the index, determines the outcome of the pending write, and
// otherwise writes the edit once. done is true when the outcome of the edit is
// known; if not, err is the reason to try again.
func (editor *Editor) tryEdit(ctx context.Context, edit edit, pending **pendingWrite) (result Result, done bool, err error) {
	current, err := editor.readIndex(ctx)
	if err != nil {
		return Result{}, false, err
	}
	if last := *pending; last != nil && current.version != last.version {
		// The index has changed, so the pending write has taken effect already
		// or never will.
		switch current.index.outcomeOf(last.revision, edit.writeID) {
		case writeApplied:
			return Result{Revision: last.revision, Changed: true}, true, nil
		case writeUnknown:
			return Result{}, true, fmt.Errorf("section %q: %d revisions followed before the answer was read back: %w",
				edit.section, current.index.Revision-last.revision, ErrOutcomeUnknown)
		}
		*pending = nil
	}
	if *pending == nil {
		prepared, result, done, err := editor.prepare(ctx, edit, current)
		if done || err != nil {
			return result, done, err
		}
		*pending = prepared
	}
	// While the index still has the version that the pending write was based on,
	// the same write is sent again: at most one of the sends can take effect.
	_, err = editor.API.Put(ctx, IndexName, (*pending).value, (*pending).version)
	switch {
	case err == nil:
		return Result{Revision: (*pending).revision, Changed: true}, true, nil
	case errors.Is(err, platformer.ErrTooLarge):
		return Result{}, true, fmt.Errorf("section %q: index: %w: %w", edit.section, ErrNotAccepted, err)
	default:
		definite := errors.Is(err, platformer.ErrConflict) || errors.Is(err, platformer.ErrRateLimited)
		(*pending).outcomeUnknown = (*pending).outcomeUnknown || !definite
		if !(*pending).outcomeUnknown {
			*pending = nil
		}
		return Result{}, false, err
	}
}

// prepare checks the edit against the index, writes its body and returns the
// write of the index. done is true when the edit needs no write: the section has
// the body already, or the edit is refused.
func (editor *Editor) prepare(ctx context.Context, edit edit, current versionedIndex) (prepared *pendingWrite, result Result, done bool, err error) {
	entry := current.index.Sections[edit.section]
	if known := editor.knownRevision(); current.index.Revision < max(known, edit.base) {
		err := fmt.Errorf("section %q: the platform's revision %d is below %d, which was in force: %w",
			edit.section, current.index.Revision, max(known, edit.base), ErrNotAccepted)
		return nil, Result{}, true, err
	}
	if entry.Body == edit.bodyHash() {
		return nil, Result{Revision: entry.Revision}, true, nil
	}
	if entry.Revision > edit.base {
		return editor.conflict(ctx, edit, entry)
	}
	if err := editor.validate(ctx, edit, current.index); err != nil {
		var faults Faults
		return nil, Result{}, errors.As(err, &faults), err
	}
	if edit.content != nil {
		if err := editor.writeBody(ctx, edit.body); err != nil {
			return nil, Result{}, errors.Is(err, platformer.ErrTooLarge), err
		}
	}
	next := current.index.withWrite(edit.section, edit.bodyHash(), edit.writeID)
	value, err := json.Marshal(next)
	if err != nil {
		return nil, Result{}, true, fmt.Errorf("encode index: %w", err)
	}
	return &pendingWrite{versionedIndex: current, value: value, revision: next.Revision}, Result{}, false, nil
}

func (editor *Editor) knownRevision() uint64 {
	if editor.KnownRevision == nil {
		return 0
	}
	return editor.KnownRevision()
}

// conflict returns the ConflictError of an edit whose base revision is too old.
func (editor *Editor) conflict(ctx context.Context, edit edit, entry IndexEntry) (*pendingWrite, Result, bool, error) {
	conflict := &ConflictError{Section: edit.section, Base: edit.base, Revision: entry.Revision, Edited: edit.body}
	if entry.Body != "" {
		body, err := editor.bodies.get(ctx, editor.API, BodyPrefix+entry.Body)
		if err != nil {
			return nil, Result{}, false, err
		}
		conflict.Current = body
	}
	return nil, Result{}, true, conflict
}

// validate checks the whole document with the edited section. The former body
// of the section may be invalid, so that an edit can repair it.
func (editor *Editor) validate(ctx context.Context, edit edit, index Index) error {
	bodies := map[string][]byte{}
	for _, name := range index.BodyNames() {
		body, err := editor.bodies.get(ctx, editor.API, name)
		if err != nil {
			return err
		}
		bodies[name] = body
	}
	others, err := index.withoutSection(edit.section).decodeSections(func(name string) ([]byte, bool) {
		body, ok := bodies[name]
		return body, ok
	})
	if err != nil {
		return err
	}
	if edit.content != nil {
		others[edit.section] = *edit.content
	}
	document, err := NewDocument(index.Revision+1, others)
	if err != nil {
		return err
	}
	// A new section, and one whose former body cannot be decoded, is checked
	// against an empty one.
	former, err := DecodeSection(edit.section, bodies[BodyPrefix+index.Sections[edit.section].Body])
	if err != nil {
		former = Section{}
	}
	return document.validateChange(edit.section, former.withDefaults())
}

// writeBody stores the body under its hash. A conflict means that the body is
// already stored.
func (editor *Editor) writeBody(ctx context.Context, body []byte) error {
	name := BodyName(body)
	_, err := editor.API.Put(ctx, name, body, "")
	if err != nil && !errors.Is(err, platformer.ErrConflict) {
		return err
	}
	editor.bodies.put(name, body)
	return nil
}

// readIndex returns the index, or an empty one if the platform has none.
func (editor *Editor) readIndex(ctx context.Context) (versionedIndex, error) {
	object, err := editor.API.Get(ctx, IndexName)
	if errors.Is(err, platformer.ErrNotFound) {
		return versionedIndex{}, nil
	}
	if err != nil {
		return versionedIndex{}, err
	}
	index, err := DecodeIndex(object.Value)
	if err != nil {
		return versionedIndex{}, err
	}
	return versionedIndex{index, object.Version}, nil
}
