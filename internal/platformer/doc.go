// Package platformer is the adapter of the platform's object API and VM list.
// Another platform may bring another format; only this package knows it.
package platformer
