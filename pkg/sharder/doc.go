// Package sharder maps keys to shards and shards to owners. The hash function is fixed
// (xxHash64), so that every process maps a key to the same shard without
// communication. A Table is immutable, so that readers need no lock.
package sharder
