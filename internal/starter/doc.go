// Package starter reads the daemon's settings and wires its parts together.
package starter
