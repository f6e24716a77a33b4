package replicator

import (
	"github.com/cespare/xxhash/v2"

	"github.com/cuminstream/cuminstream/pkg/deduper"
)

// bucketCount is the number of buckets into which request IDs are divided. Two
// candidates usually differ only in requests of the last second, and therefore in
// few buckets. A digest of 4096 buckets takes 36 KB as CBOR.
const bucketCount = 4096

// digest holds one hash value for each bucket. Two candidates that store the same
// entries in a bucket have the same value for it, so that a new holder reads only
// the buckets that differ. Reading all of 30,000 entries instead made a planned
// stop take 390 ms.
type digest []uint64

func newDigest() digest { return make(digest, bucketCount) }

func bucketOf(id string) uint64 { return xxhash.Sum64String(id) % bucketCount }

// toggle adds the entry to the digest, or removes it if it was added before.
func (digest digest) toggle(entry deduper.Entry) {
	hash := xxhash.Sum64String(entry.ID)
	digest[hash%bucketCount] ^= mix(hash ^ mix(entry.Sequence<<8|uint64(entry.Status)))
}

// mix is the finalizer of SplitMix64, which spreads small differences over all
// bits.
func mix(value uint64) uint64 {
	value += 0x9e3779b97f4a7c15
	value = (value ^ value>>30) * 0xbf58476d1ce4e5b9
	value = (value ^ value>>27) * 0x94d049bb133111eb
	return value ^ value>>31
}

// differing returns the buckets whose values differ. If other does not have the
// length of a digest, it returns nil, which stands for all buckets.
func (digest digest) differing(other []uint64) bucketSet {
	if len(other) != len(digest) {
		return nil
	}
	buckets := bucketSet{}
	for bucket, value := range digest {
		if value != other[bucket] {
			buckets[uint64(bucket)] = true
		}
	}
	return buckets
}

// bucketSet is a set of buckets; nil is the set of all buckets.
type bucketSet map[uint64]bool

func (buckets bucketSet) has(id string) bool { return buckets == nil || buckets[bucketOf(id)] }

func (buckets bucketSet) empty() bool { return buckets != nil && len(buckets) == 0 }

// candidateState is the state that a new holder has read from a candidate. Of the
// requests, it has only those in buckets that differ from the reader's.
type candidateState struct {
	store   *store
	buckets bucketSet // those that differ
}
