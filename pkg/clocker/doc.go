// Package clocker defines the Clock interface through which all other packages read the
// time and set timers. Programs use the system clock; tests use a fake clock, which they
// advance without waiting.
package clocker
