package configurer

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Fault is one validation or decoding error in the routing document.
type Fault struct {
	Section string `json:"section"`
	Path    string `json:"path"` // such as services[0].upstreams[2].zone; empty for the whole section
	Reason  string `json:"reason"`
}

// String returns the fault as one line.
func (fault Fault) String() string {
	if fault.Path == "" {
		return fmt.Sprintf("section %q: %s", fault.Section, fault.Reason)
	}
	return fmt.Sprintf("section %q: %s: %s", fault.Section, fault.Path, fault.Reason)
}

// Faults is the error that lists all faults of a document.
type Faults []Fault

// Error returns one line for each fault.
func (faults Faults) Error() string {
	lines := make([]string, len(faults))
	for index, fault := range faults {
		lines[index] = fault.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns the faults sorted by section, or nil if there are none.
func (faults Faults) Err() error {
	if len(faults) == 0 {
		return nil
	}
	slices.SortStableFunc(faults, func(a, b Fault) int { return cmp.Compare(a.Section, b.Section) })
	return faults
}

func (faults *Faults) add(section, path, format string, args ...any) {
	*faults = append(*faults, Fault{Section: section, Path: path, Reason: fmt.Sprintf(format, args...)})
}
