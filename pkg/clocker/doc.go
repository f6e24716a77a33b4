// Package clocker provides the clock that every other package receives as an
// interface. The system clock serves the programs; the fake clock lets tests
// move time forward without waiting.
package clocker
