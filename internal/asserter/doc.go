// Package asserter checks invariants at run time. A violation is counted in a
// metric and logged; in a test binary it panics, so that no test passes despite a
// violation.
package asserter
