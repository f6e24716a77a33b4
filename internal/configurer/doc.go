// Package configurer holds the routing document: its sections, the strict
// decoder, validation of the whole document, acceptance of an edited section
// by conditional update, and the store of the newest accepted revision.
package configurer
