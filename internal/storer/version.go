package storer

import (
	"cmp"
	"errors"
	"fmt"
)

// Version is a point in the history of the store. The store may be restored from an old
// copy: it then begins a new era, in which it reuses revisions of the earlier one. A
// store that does not tell its era has era 0 throughout.
type Version struct {
	Era      uint64
	Revision uint64
}

// Compare orders versions by era, and within one era by revision.
func (version Version) Compare(other Version) int {
	return cmp.Or(cmp.Compare(version.Era, other.Era), cmp.Compare(version.Revision, other.Revision))
}

// After reports whether the version is later than the other.
func (version Version) After(other Version) bool { return version.Compare(other) > 0 }

// IsZero reports whether the version is that of a store without objects in era 0.
func (version Version) IsZero() bool { return version == Version{} }

// String returns the version for log lines.
func (version Version) String() string {
	if version.Era == 0 {
		return fmt.Sprint(version.Revision)
	}
	return fmt.Sprintf("%d in era %d", version.Revision, version.Era)
}

// latest returns the latest of the versions.
func latest(first Version, others ...Version) Version {
	for _, other := range others {
		if other.After(first) {
			first = other
		}
	}
	return first
}

// earliest returns the earlier one of two versions.
func earliest(a, b Version) Version {
	if a.After(b) {
		return b
	}
	return a
}

// ErrEraChanged means that the store was restored from an old copy since the version of
// a call was read, so that its revision may belong to another state of the object. A
// write may or may not have been applied, unless the error is ErrRefused as well.
var ErrEraChanged = errors.New("the store was restored from an old copy since the version was read")
