// Package timeliner records the events of a process in a bounded ring and
// merges the events of many processes into one time line. An event is a change
// of state that an operator may need to reconstruct a failure, never a request
// that went well.
package timeliner
