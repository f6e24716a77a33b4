// Package leaser implements a lease that a majority of voters grants. Each lease
// has a term: a number that only rises and that belongs to one candidate,
// assigned in advance, so that a takeover needs no write to another service.
// Voters promise a term for a limited time. The holder counts that time from the
// moment it sent the request, so that its lease ends before the promises do.
package leaser
