// Package configurer implements the routing document: its types, a strict JSON
// decoder for its sections, validation of the whole document, edits of sections
// by conditional update at the platform, and a store of the newest revision.
package configurer
