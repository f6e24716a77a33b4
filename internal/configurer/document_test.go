package configurer_test

import (
	"encoding/json"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/cuminstream/cuminstream/internal/configurer"
	"github.com/cuminstream/cuminstream/pkg/queuer"
)

// readDocument returns the document of a file that maps section names to sections.
func readDocument(t testing.TB, path string) (*configurer.Document, error) {
	t.Helper()
	data, err := os.ReadFile(path)
	assert.NilError(t, err)
	var bodies map[string]json.RawMessage
	assert.NilError(t, json.Unmarshal(data, &bodies))
	var faults configurer.Faults
	sections := map[string]configurer.Section{}
	for name, body := range bodies {
		section, err := configurer.DecodeSection(name, body)
		if err != nil {
			faults = append(faults, err.(configurer.Faults)...)
		}
		sections[name] = section
	}
	if err := faults.Err(); err != nil {
		return nil, err
	}
	return configurer.NewDocument(1, sections)
}

// Guards against faults that are not detected, that are reported without their
// path, or that hide other faults of the same document. Each folder is a case.
func TestFaults(t *testing.T) {
	folders, err := filepath.Glob("testdata/faults/*")
	assert.NilError(t, err)
	assert.Assert(t, len(folders) > 0)
	for _, folder := range folders {
		t.Run(filepath.Base(folder), func(t *testing.T) {
			_, err := readDocument(t, filepath.Join(folder, "document.json"))
			assert.Assert(t, err != nil)
			golden.Assert(t, err.Error()+"\n", strings.TrimPrefix(folder, "testdata/")+"/faults.txt")
		})
	}
}

// Guards against malformed text, repeated or unknown fields, and values of the
// wrong type. encoding/json accepts several of them.
func TestMalformedSectionText(t *testing.T) {
	for body, reason := range map[string]string{
		``:                                     "text ends in the middle of a value",
		`{"team":"a"} {}`:                      "data follows the section at line 1",
		`{"team":"a",`:                         "text ends in the middle of a value",
		"{\n\"team\" \"a\"}":                   "invalid JSON at line 2",
		`{"team":"a","team":"b"}`:              "team: field occurs twice",
		`{"Team":"a"}`:                         "Team: field does not exist",
		`{"team":null}`:                        "team: null is not a value",
		`{"team":["a"]}`:                       `team: ["a"] is not a string`,
		`[]`:                                   "value is not an object",
		"{\"team\":\"\xff\"}":                  "not valid UTF-8",
		`{"team":"a","stops":{"upstream":{}}}`: "stops: value is not an array",
	} {
		_, err := configurer.DecodeSection("s", []byte(body))
		assert.ErrorContains(t, err, reason, body)
	}
	_, err := configurer.DecodeSection("s", []byte(strings.Repeat("[", 900_000)))
	assert.Assert(t, err != nil)
}

// Guards against a share of NaN, for which comparisons with the bounds are false.
func TestShareThatIsNotANumber(t *testing.T) {
	_, err := configurer.NewDocument(1, map[string]configurer.Section{"s": {Team: "a", Ranks: []configurer.RankPolicy{
		{Target: configurer.Duration(time.Second), MinimumShare: math.NaN()},
	}}})
	assert.ErrorContains(t, err, "minimumShare")
}

// Guards against defaults that differ from the documented ones, and against default
// shares that raise the sum of the shares above 1.
func TestDefaults(t *testing.T) {
	document, err := readDocument(t, "testdata/akwaaba.json")
	assert.NilError(t, err)
	labels, ok := document.Service("labels")
	assert.Assert(t, ok)
	assert.Equal(t, labels.Service.Shards, 256)
	assert.Equal(t, labels.Service.MaxBody, int64(1<<30))
	assert.Equal(t, labels.Timeout, 10*time.Second)
	assert.Equal(t, labels.Service.Upstreams[0].Slots, 1)
	assert.Equal(t, labels.Service.Upstreams[0].Connections, 50)
	assert.Equal(t, labels.Policies[queuer.Transaction].MinimumShare, 0.03)
	section := configurer.Section{Ranks: []configurer.RankPolicy{{Rank: queuer.Lookup, MinimumShare: 0.99}}}
	total := 0.0
	for _, policy := range section.RankPolicies() {
		total += policy.MinimumShare
	}
	assert.Assert(t, total <= 1+1e-9, total)
}

// Guards against requests that match the wrong service or get the values of another
// route, and against allocations in Match.
func TestMatch(t *testing.T) {
	document, err := readDocument(t, "testdata/akwaaba.json")
	assert.NilError(t, err)
	for _, example := range []struct{ method, host, path, want string }{
		{"GET", "rates.example", "/quotes/KSI-TML", "quotes lookup true 2s"},
		{"GET", "RATES.example:8443", "/quotes", "quotes lookup true 2s"},
		{"GET", "rates.example.", "/quotes/a/b/c/d", "quotes lookup true 2s"},
		{"GET", "other.example", "/quotes/x", "none"},
		{"GET", "rates.example", "/quotesx", "none"},
		{"GET", "rates.example", "/", "none"},
		{"GET", "rates.example", "quotes", "none"},
		{"POST", "rates.example", "/bookings/7", "bookings transaction false 10s"},
		{"GET", "rates.example", "/bookings/7", "bookings lookup true 3s"},
		{"POST", "rates.example", "/bookings/search/9", "bookings lookup true 10s"},
		{"POST", "rates.example", "/bookings/search/../7", "none"},
		{"POST", "rates.example", "/bookings/search/..", "none"},
		{"GET", "rates.example", "/bookings/.hidden", "bookings lookup true 3s"},
		{"PUT", "any.example", "/labels", "labels transaction false 10s"},
		{"PUT", "any.example", "/labels/bulk", "bulk-labels upload false 5m0s"},
	} {
		got := "none"
		if match, ok := document.Match(example.host, example.path, example.method); ok {
			got = fmt.Sprintf("%s %v %v %v", match.Service.Name, match.Rank, match.Idempotent, match.Timeout)
		}
		assert.Equal(t, got, example.want, "%s %s%s", example.method, example.host, example.path)
	}
	allocations := testing.AllocsPerRun(100, func() { document.Match("rates.example:80", "/bookings/search/9", "POST") })
	assert.Equal(t, allocations, 0.0)
}

// Guards against a matcher whose time per request grows with the number of services.
func BenchmarkMatch(b *testing.B) {
	section := configurer.Section{Team: "a"}
	for index := range 1000 {
		section.Services = append(section.Services, configurer.Service{
			Name: fmt.Sprintf("s%d", index), PathPrefix: fmt.Sprintf("/s%d/v1", index), Hosts: []string{"a.example"},
			Upstreams: []configurer.Upstream{{Name: fmt.Sprintf("u%d", index), Zone: "z1", Address: fmt.Sprintf("127.0.0.1:%d", index+1)}},
		})
	}
	document, err := configurer.NewDocument(1, map[string]configurer.Section{"s": section})
	assert.NilError(b, err)
	b.ReportAllocs()
	for b.Loop() {
		document.Match("a.example", "/s500/v1/keys/1", "GET")
	}
}

// Guards against text that makes the decoder panic, and against an accepted section
// that changes when it is encoded and decoded again.
func FuzzDecodeSection(f *testing.F) {
	f.Fuzz(func(t *testing.T, body []byte) {
		section, err := configurer.DecodeSection("s", body)
		if err != nil {
			return
		}
		_, validErr := configurer.NewDocument(1, map[string]configurer.Section{"s": section})
		written, err := json.Marshal(section)
		if validErr != nil {
			return // values such as an unknown rank have no text form
		}
		assert.NilError(t, err)
		again, err := configurer.DecodeSection("s", written)
		assert.NilError(t, err)
		rewritten, err := json.Marshal(again)
		assert.NilError(t, err)
		assert.Equal(t, string(written), string(rewritten))
	})
}
