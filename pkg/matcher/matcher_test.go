package matcher_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cuminstream/cuminstream/pkg/matcher"
)

func newConfig() *matcher.Config {
	return &matcher.Config{
		Version:  3,
		Services: map[string]matcher.Service{"quotes": {Name: "quotes"}, "labels": {Name: "labels"}},
		Routes: []matcher.Route{
			{Name: "short", Host: "a.example", PathPrefix: "/x/", MaxAttempts: 1, Services: []matcher.WeightedService{{Service: "quotes", Weight: 1}}},
			{Name: "long", Host: "a.example", PathPrefix: "/x/y/", MaxAttempts: 1, Services: []matcher.WeightedService{{Service: "labels", Weight: 1}}},
			{Name: "other", Host: "b.example", PathPrefix: "/", MaxAttempts: 1, Services: []matcher.WeightedService{{Service: "quotes", Weight: 1}}},
		},
	}
}

// The path is compared as it was sent: an encoded slash is not a separator, and dot
// segments are not resolved, because the upstream gets the same bytes.
func TestMatch(t *testing.T) {
	table := matcher.New(newConfig())
	for _, test := range []struct{ host, path, route string }{
		{"a.example", "/x/1", "short"},
		{"a.example", "/x/y/1", "long"},
		{"a.example", "/x/y", "short"},
		{"a.example", "/x", ""},
		{"a.example", "/x%2Fy/1", ""},
		{"a.example", "/x/y%2F1", "short"},
		{"a.example", "/x/../x/y/1", "short"},
		{"a.example", "//x/1", ""},
		{"a.example", "/x/%00", "short"},
		{"A.Example:8080", "/x/y/", "long"},
		{"b.example", "/anything", "other"},
		{"c.example", "/x/1", ""},
	} {
		name := ""
		if route := table.Match(test.host, test.path); route != nil {
			name = route.Name
		}
		assert.Equal(t, name, test.route, "%s %s", test.host, test.path)
	}
}

// Validate reports the errors of all routes, not only the first one.
func TestValidateReportsAllErrors(t *testing.T) {
	invalid := newConfig()
	invalid.Routes[0].PathPrefix = "x"
	invalid.Routes[1].Services[0].Service = "nothing"
	invalid.Routes[2].MaxAttempts = 0
	err := invalid.Validate()
	for _, text := range []string{`route "short": prefix "x"`, `service "nothing" does not exist`, "0 attempts"} {
		assert.ErrorContains(t, err, text)
	}
	assert.NilError(t, newConfig().Validate())
}

// Requests of a split route are overflow at all services but the one with the greatest
// weight.
func TestIsOverflow(t *testing.T) {
	split := matcher.Route{Services: []matcher.WeightedService{{Service: "small", Weight: 1}, {Service: "main", Weight: 3}, {Service: "equal", Weight: 3}}}
	for service, overflow := range map[string]bool{"small": true, "main": false, "equal": true} {
		assert.Equal(t, split.IsOverflow(service), overflow, service)
	}
	assert.Assert(t, !newConfig().Routes[0].IsOverflow("quotes"))
}
