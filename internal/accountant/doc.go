// Package accountant keeps one account of the bytes that a VM holds for its callers:
// connections, requests and responses. It refuses what does not fit, and evicts what has
// made no progress for the longest time when little is left. It opens no connection.
package accountant
