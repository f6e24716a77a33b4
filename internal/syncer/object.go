package syncer

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/cuminstream/cuminstream/internal/configurer"
	"github.com/cuminstream/cuminstream/internal/platformer"
)

// Name prefixes of the objects that a Store holds.
const (
	ConfigPrefix      = "config/"
	GroupsPrefix      = "groups/"
	HomesPrefix       = "homes/"
	AssignmentsPrefix = "assignments/"
)

const (
	// bodyRevision is the revision of all section bodies, which are immutable.
	bodyRevision = 1

	maxNameBytes = 512
)

// Object is the form in which peers exchange an object.
type Object struct {
	Name    string `cbor:"name"`
	Version string `cbor:"version"`
	Value   []byte `cbor:"value"`
}

// class determines the order of objects in an exchange. The index precedes the
// bodies, so that the receiver knows which bodies it must keep.
type class int

const (
	indexClass class = iota
	bodyClass
	groupClass
	homeClass
	assignmentClass
	unknownClass
)

func classify(name string) class {
	switch {
	case name == configurer.IndexName:
		return indexClass
	case strings.HasPrefix(name, configurer.BodyPrefix):
		return bodyClass
	case strings.HasPrefix(name, GroupsPrefix):
		return groupClass
	case strings.HasPrefix(name, HomesPrefix):
		return homeClass
	case strings.HasPrefix(name, AssignmentsPrefix):
		return assignmentClass
	default:
		return unknownClass
	}
}

// sortNames sorts names by class, then alphabetically.
func sortNames(names []string) {
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(classify(a), classify(b)), cmp.Compare(a, b))
	})
}

// validateObject returns the revision of the object, or an error if the object is not
// valid.
func validateObject(object platformer.Object) (uint64, error) {
	if len(object.Name) > maxNameBytes || len(object.Value) > platformer.MaxValueSize {
		return 0, fmt.Errorf("object %.40s has a name of %d and a value of %d bytes", object.Name, len(object.Name), len(object.Value))
	}
	switch classify(object.Name) {
	case unknownClass:
		return 0, fmt.Errorf("object %s is under none of the known prefixes", object.Name)
	case bodyClass:
		if configurer.BodyName(object.Value) != object.Name {
			return 0, fmt.Errorf("value of %s does not have the hash of its name", object.Name)
		}
		return bodyRevision, nil
	}
	var header struct {
		Revision uint64 `json:"revision"`
	}
	if err := json.Unmarshal(object.Value, &header); err != nil {
		return 0, fmt.Errorf("value of %s: %w", object.Name, err)
	}
	if header.Revision == 0 {
		return 0, fmt.Errorf("value of %s has no revision", object.Name)
	}
	return header.Revision, nil
}

// objectHash returns the hash of an object's name and revision, which Digest combines.
func objectHash(name string, revision uint64) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%d %s", revision, name))
}
