package configurer

import "maps"

// NewDocument sets the defaults, validates the document and builds its matcher.
// The error is of type Faults and lists every fault.
func NewDocument(revision uint64, sections map[string]Section) (*Document, error) {
	document := Document{Revision: revision, Sections: make(map[string]Section, len(sections))}
	for name, section := range sections {
		document.Sections[name] = section.withDefaults()
	}
	if err := document.Validate(); err != nil {
		return nil, err
	}
	document.matcher = newMatcher(document.Sections)
	return &document, nil
}

// WithSection returns the document of the next revision, with the section added
// or replaced.
func (document *Document) WithSection(name string, section Section) (*Document, error) {
	sections := maps.Clone(document.Sections)
	if sections == nil {
		sections = map[string]Section{}
	}
	sections[name] = section
	return NewDocument(document.Revision+1, sections)
}

// WithoutSection returns the document of the next revision, without the section.
func (document *Document) WithoutSection(name string) (*Document, error) {
	sections := maps.Clone(document.Sections)
	delete(sections, name)
	return NewDocument(document.Revision+1, sections)
}
