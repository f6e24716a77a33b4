// Package leaser implements a lease that a majority of voters grants. A term is
// a number that only rises and whose owner is fixed in advance, so that a
// takeover needs no write to another service. Voters promise a term for a
// limited time; the holder counts that time from the moment it asked.
package leaser
