package configurer_test

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cuminstream/cuminstream/internal/configurer"
	"github.com/cuminstream/cuminstream/internal/platformer"
	standin "github.com/cuminstream/cuminstream/internal/standin/platformer"
	"github.com/cuminstream/cuminstream/pkg/clocker"
)

// fastClock divides the duration of timers, and so of backoffs, by 1000. Deadlines
// keep their length.
type fastClock struct{ clocker.System }

func (clock fastClock) NewTimer(d time.Duration) clocker.Timer {
	return clock.System.NewTimer(d / 1000)
}

func startPlatform(t testing.TB) (*standin.Platform, *platformer.Client, func()) {
	platform := standin.New(clocker.System{}, standin.Settings{})
	server := httptest.NewServer(platform)
	client, err := platformer.NewClient(server.URL, clocker.System{}, nil)
	if err != nil {
		t.Fatal(err)
	}
	return platform, client, func() {
		platform.SetOutage(standin.Outage{Mode: standin.Refuse})
		server.Close()
	}
}

func readIndex(ctx context.Context, api platformer.API) (configurer.Index, error) {
	object, err := api.Get(ctx, configurer.IndexName)
	if errors.Is(err, platformer.ErrNotFound) {
		return configurer.Index{}, nil
	}
	if err != nil {
		return configurer.Index{}, err
	}
	return configurer.DecodeIndex(object.Value)
}

func sectionBody(section, team string) []byte {
	return fmt.Appendf(nil, `{"team":%q,"services":[{"name":%q,"pathPrefix":"/%s","rank":"lookup",
		"upstreams":[{"name":"%s-1","zone":"z1","address":"%s.example:80"}]}]}`, team, section, section, section, section)
}

// Guards against an edit that overwrites a newer one of the same section, and
// against a ConflictError without both bodies.
func TestStaleEditConflicts(t *testing.T) {
	_, client, stop := startPlatform(t)
	defer stop()
	ctx, editor := t.Context(), &configurer.Editor{API: client, Clock: fastClock{}}
	first, err := editor.Apply(ctx, "a", sectionBody("a", "one"), 0)
	assert.NilError(t, err)
	assert.DeepEqual(t, first, configurer.Result{Revision: 1, Changed: true})
	_, err = editor.Apply(ctx, "b", sectionBody("b", "one"), 0)
	assert.NilError(t, err)
	// Section a has not changed since revision 1, although the document has.
	third, err := editor.Apply(ctx, "a", sectionBody("a", "two"), first.Revision)
	assert.NilError(t, err)
	assert.Equal(t, third.Revision, uint64(3))
	_, err = editor.Apply(ctx, "a", sectionBody("a", "late"), first.Revision)
	var conflict *configurer.ConflictError
	assert.Assert(t, errors.As(err, &conflict))
	assert.DeepEqual(t, conflict, &configurer.ConflictError{
		Section: "a", Base: 1, Revision: 3, Current: sectionBody("a", "two"), Edited: sectionBody("a", "late"),
	})
	removed, err := editor.Remove(ctx, "a", third.Revision)
	assert.NilError(t, err)
	_, err = editor.Apply(ctx, "a", sectionBody("a", "late"), third.Revision)
	assert.Assert(t, errors.As(err, &conflict))
	assert.Equal(t, conflict.Revision, removed.Revision)
	repeated, err := editor.Apply(ctx, "b", sectionBody("b", "one"), 0)
	assert.NilError(t, err)
	assert.DeepEqual(t, repeated, configurer.Result{Revision: 2})
}

// Guards against an edit that is accepted although two sections conflict with each
// other, or although the change itself is invalid, such as a new number of shards.
func TestEditThatMakesTheDocumentInvalid(t *testing.T) {
	platform, client, stop := startPlatform(t)
	defer stop()
	ctx, editor := t.Context(), &configurer.Editor{API: client, Clock: fastClock{}}
	_, err := editor.Apply(ctx, "a", sectionBody("a", "one"), 0)
	assert.NilError(t, err)
	for _, body := range []string{
		string(sectionBody("a", "other")),
		`{"team":"a","zones":[{"name":"nowhere","lost":true}]}`,
		`{"team":"a","unknown":1}`,
	} {
		_, err = editor.Apply(ctx, "b", []byte(body), 1)
		var faults configurer.Faults
		assert.Assert(t, errors.As(err, &faults), body)
	}
	other := `{"team":"one","services":[{"name":"a","pathPrefix":"/a","rank":"lookup","shards":8,
		"upstreams":[{"name":"a-1","zone":"z1","address":"a.example:80"}]}]}`
	_, err = editor.Apply(ctx, "a", []byte(other), 1)
	assert.ErrorContains(t, err, "cannot be changed to 8")
	assert.Equal(t, platform.Counters().Calls[standin.Put], uint64(2))
}

// Guards against a wrong outcome of an edit during a platform outage: it is
// ErrNotAccepted only if no write of the index was sent without a definite answer.
// Repeating the edit must be safe.
func TestEditDuringAnOutage(t *testing.T) {
	platform, client, stop := startPlatform(t)
	defer stop()
	editor := &configurer.Editor{API: client, Clock: fastClock{}}
	short := func() context.Context {
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		t.Cleanup(cancel)
		return ctx
	}
	platform.SetOutage(standin.Outage{Mode: standin.Refuse})
	_, err := editor.Apply(short(), "a", sectionBody("a", "one"), 0)
	assert.Assert(t, errors.Is(err, configurer.ErrNotAccepted) && !errors.Is(err, configurer.ErrOutcomeUnknown))
	platform.SetOutage(standin.Outage{})
	_, err = editor.Apply(t.Context(), "a", sectionBody("a", "one"), 0)
	assert.NilError(t, err)
	// Writes get no answer before the editor's deadline.
	platform.SetOutage(standin.Outage{Mode: standin.Hang, Kinds: []standin.CallKind{standin.Put}})
	_, err = editor.Apply(short(), "a", sectionBody("a", "one again"), 1)
	assert.Assert(t, err != nil)
	platform.SetOutage(standin.Outage{})
	platform.LoseNextResponses(2)
	result, err := editor.Apply(t.Context(), "a", sectionBody("a", "one again"), 1)
	assert.NilError(t, err)
	assert.Equal(t, result.Revision, uint64(2))
	again, err := editor.Apply(t.Context(), "a", sectionBody("a", "one again"), 1)
	assert.NilError(t, err)
	assert.DeepEqual(t, again, configurer.Result{Revision: 2})
}

// Guards against edits on a platform that has lost accepted writes: VMs would
// ignore the new revisions, which are lower than the one that they have applied.
func TestPlatformRevisionBelowKnownRevision(t *testing.T) {
	_, client, stop := startPlatform(t)
	defer stop()
	editor := &configurer.Editor{API: client, Clock: fastClock{}, KnownRevision: func() uint64 { return 5 }}
	_, err := editor.Apply(t.Context(), "a", sectionBody("a", "one"), 0)
	assert.Assert(t, errors.Is(err, configurer.ErrNotAccepted))
}

// Guards against an edit that is applied twice, or reported with the wrong outcome,
// when its write takes effect after the editor's deadline.
func TestWriteAppliedAfterTimeout(t *testing.T) {
	platform, client, stop := startPlatform(t)
	defer stop()
	ctx, editor := t.Context(), &configurer.Editor{API: client, Clock: fastClock{}}
	_, err := editor.Apply(ctx, "a", sectionBody("a", "one"), 0)
	assert.NilError(t, err)
	_, err = client.Put(ctx, configurer.BodyName(sectionBody("a", "two")), sectionBody("a", "two"), "")
	assert.NilError(t, err)
	// With the body stored in advance, the only delayed write is that of the
	// index.
	client.Timeout = 20 * time.Millisecond
	api := &delayedIndexWrite{client, platform}
	short, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
	defer cancel()
	_, err = (&configurer.Editor{API: api, Clock: fastClock{}}).Apply(short, "a", sectionBody("a", "two"), 1)
	assert.Assert(t, errors.Is(err, configurer.ErrOutcomeUnknown), err)
	platform.SetOutage(standin.Outage{})
	client.Timeout = 5 * time.Second
	for index := (configurer.Index{}); index.Revision < 2; {
		index, err = readIndex(ctx, client)
		assert.NilError(t, err)
	}
	again, err := editor.Apply(ctx, "a", sectionBody("a", "two"), 1)
	assert.NilError(t, err)
	assert.DeepEqual(t, again, configurer.Result{Revision: 2})
}

// delayedIndexWrite delays writes of the index until the test ends the outage.
type delayedIndexWrite struct {
	*platformer.Client
	platform *standin.Platform
}

func (api *delayedIndexWrite) Put(ctx context.Context, name string, value []byte, version string) (string, error) {
	if name == configurer.IndexName {
		api.platform.SetOutage(standin.Outage{Mode: standin.Late, Kinds: []standin.CallKind{standin.Put}})
	}
	return api.Client.Put(ctx, name, value, version)
}

// Guards against a stored section that this version of the program cannot decode
// and that no edit can replace because validation fails on it.
func TestInvalidSectionCanBeRepaired(t *testing.T) {
	_, client, stop := startPlatform(t)
	defer stop()
	ctx, editor := t.Context(), &configurer.Editor{API: client, Clock: fastClock{}}
	old := []byte(`{"team":"a","fieldOfAnotherVersion":1}`)
	_, err := client.Put(ctx, configurer.BodyName(old), old, "")
	assert.NilError(t, err)
	hash := configurer.BodyName(old)[len(configurer.BodyPrefix):]
	index := fmt.Appendf(nil, `{"revision":4,"writeId":"w","sections":{"a":{"body":%q,"revision":4}}}`, hash)
	_, err = client.Put(ctx, configurer.IndexName, index, "")
	assert.NilError(t, err)
	_, err = editor.Apply(ctx, "b", sectionBody("b", "one"), 4)
	assert.ErrorContains(t, err, "fieldOfAnotherVersion")
	result, err := editor.Apply(ctx, "a", sectionBody("a", "one"), 4)
	assert.NilError(t, err)
	assert.Equal(t, result.Revision, uint64(5))
}

// concurrentEdit runs another edit after the first write of the index, whose
// response it then replaces by an error.
type concurrentEdit struct {
	platformer.API
	once sync.Once
	edit func()
}

func (api *concurrentEdit) Put(ctx context.Context, name string, value []byte, version string) (string, error) {
	written, err := api.API.Put(ctx, name, value, version)
	if name == configurer.IndexName && err == nil {
		api.once.Do(func() {
			api.edit()
			written, err = "", errors.New("connection closed")
		})
	}
	return written, err
}

// Guards against an accepted edit that is reported as a conflict: its response is
// lost, and another edit of the section is accepted before the index is read again.
func TestLostAnswerThenOvertaken(t *testing.T) {
	_, client, stop := startPlatform(t)
	defer stop()
	ctx, other := t.Context(), &configurer.Editor{API: client, Clock: fastClock{}}
	api := &concurrentEdit{API: client, edit: func() {
		_, err := other.Apply(ctx, "a", sectionBody("a", "second"), 1)
		assert.NilError(t, err)
	}}
	result, err := (&configurer.Editor{API: api, Clock: fastClock{}}).Apply(ctx, "a", sectionBody("a", "first"), 0)
	assert.NilError(t, err)
	assert.DeepEqual(t, result, configurer.Result{Revision: 1, Changed: true})
	index, err := readIndex(ctx, client)
	assert.NilError(t, err)
	assert.Equal(t, index.Revision, uint64(2))
}

// earlierEdits runs other edits just before the first write of the index.
type earlierEdits struct {
	platformer.API
	once sync.Once
	edit func()
}

func (api *earlierEdits) Put(ctx context.Context, name string, value []byte, version string) (string, error) {
	if name == configurer.IndexName {
		api.once.Do(api.edit)
	}
	return api.API.Put(ctx, name, value, version)
}

// Guards against a refused write that is reported as ErrOutcomeUnknown because it
// is followed by more revisions than the index lists.
func TestConflictThenManyRevisions(t *testing.T) {
	_, client, stop := startPlatform(t)
	defer stop()
	const others = 40
	ctx, other := t.Context(), &configurer.Editor{API: client, Clock: fastClock{}}
	api := &earlierEdits{API: client, edit: func() {
		for number := range others {
			_, err := other.Apply(ctx, "b", fmt.Appendf(nil, `{"team":"t%d"}`, number), uint64(number))
			assert.NilError(t, err)
		}
	}}
	result, err := (&configurer.Editor{API: api, Clock: fastClock{}}).Apply(ctx, "a", sectionBody("a", "one"), 0)
	assert.NilError(t, err)
	assert.Equal(t, result.Revision, uint64(others+1))
}

type acceptedEdit struct {
	section, team string
	base          uint64
}

// failingReads fails every n-th read, including those that determine the outcome of
// a write whose response was lost. n is at least 3: an edit needs up to two
// successive reads, and would never complete if every second read failed.
type failingReads struct {
	platformer.API
	every, calls int // not synchronized: an editor makes one call at a time
}

func (api *failingReads) Get(ctx context.Context, name string) (platformer.Object, error) {
	api.calls++
	if api.every > 0 && api.calls%api.every == 0 {
		return platformer.Object{}, errors.New("connection refused")
	}
	return api.API.Get(ctx, name)
}

// runConcurrentEditors runs several editors that edit the same few sections while
// responses are lost and reads fail. It returns the accepted edits by revision.
func runConcurrentEditors(t *rapid.T, platform *standin.Platform, client *platformer.Client) map[uint64]acceptedEdit {
	platform.LoseEveryNthResponse(rapid.SampledFrom([]int{0, 2, 3, 5}).Draw(t, "loseEvery"))
	failing := rapid.SampledFrom([]int{0, 3, 4, 7}).Draw(t, "failingReads")
	editors := rapid.IntRange(2, 5).Draw(t, "editors")
	sections := rapid.IntRange(1, 3).Draw(t, "sections")
	var mutex sync.Mutex
	edits := map[uint64]acceptedEdit{}
	group, ctx := errgroup.WithContext(context.Background())
	for number := range editors {
		plan := rapid.SliceOfN(rapid.IntRange(0, sections-1), 1, 5).Draw(t, "plan")
		group.Go(func() error {
			editor := &configurer.Editor{API: &failingReads{API: client, every: failing}, Clock: fastClock{}}
			for step, target := range plan {
				index, err := readIndex(ctx, client)
				if err != nil {
					return err
				}
				section, team := fmt.Sprintf("s%d", target), fmt.Sprintf("editor %d step %d", number, step)
				result, err := editor.Apply(ctx, section, sectionBody(section, team), index.Revision)
				var conflict *configurer.ConflictError
				if errors.As(err, &conflict) {
					continue
				}
				if err != nil {
					return err
				}
				mutex.Lock()
				other, taken := edits[result.Revision]
				edits[result.Revision] = acceptedEdit{section, team, index.Revision}
				mutex.Unlock()
				if taken {
					return fmt.Errorf("revision %d is both %v and %v", result.Revision, other, team)
				}
			}
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		t.Fatal(err)
	}
	return edits
}

// Guards against an accepted edit that is lost, applied twice, or applied on top of
// an edit that its editor has not read, and against gaps between revisions.
func TestRacingEditors(t *testing.T) {
	for _, seed := range []string{"1", "2", "3"} {
		assert.NilError(t, flag.Set("rapid.seed", seed))
		assert.NilError(t, flag.Set("rapid.checks", "15"))
		rapid.Check(t, func(rt *rapid.T) {
			platform, client, stop := startPlatform(t)
			defer stop()
			edits := runConcurrentEditors(rt, platform, client)
			index, err := readIndex(t.Context(), client)
			assert.NilError(rt, err)
			assert.Equal(rt, index.Revision, uint64(len(edits)), "revisions rise by one for each accepted edit")
			newest := map[string]uint64{}
			writers := map[string]bool{}
			for position, write := range index.Recent {
				revision := uint64(position + 1)
				edit := edits[revision]
				assert.Equal(rt, write.Revision, revision)
				assert.Assert(rt, !writers[write.WriteID], "two revisions have the same write ID")
				assert.Assert(rt, newest[edit.section] <= edit.base, "revision %d overwrote one that its editor had not read", revision)
				writers[write.WriteID], newest[edit.section] = true, revision
			}
			for section, revision := range newest {
				object, err := client.Get(t.Context(), configurer.BodyPrefix+index.Sections[section].Body)
				assert.NilError(rt, err)
				var content configurer.Section
				assert.NilError(rt, json.Unmarshal(object.Value, &content))
				assert.Equal(rt, content.Team, edits[revision].team)
			}
		})
	}
}
