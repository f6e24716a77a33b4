// Package platformer is the client of the platform's object API and VM list. Only
// this package depends on their format, which may differ on another platform.
package platformer
