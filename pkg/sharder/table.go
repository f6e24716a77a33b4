package sharder

// pageSize is the number of shards in a page. WithOwner copies one page and shares the
// others with the original table.
const pageSize = 256

// Table maps shards to owners. It is immutable and safe for concurrent use. A shard
// whose owner is the zero value of T has no owner.
type Table[T comparable] struct {
	shards int
	pages  [][]T
}

// NewTable returns a table in which none of the given number of shards has an owner.
func NewTable[T comparable](shards int) Table[T] {
	shards = max(shards, 0)
	table := Table[T]{shards: shards, pages: make([][]T, (shards+pageSize-1)/pageSize)}
	for index := range table.pages {
		table.pages[index] = make([]T, min(pageSize, shards-index*pageSize))
	}
	return table
}

// Shards returns the number of shards.
func (table Table[T]) Shards() int { return table.shards }

// WithOwner returns a copy of the table in which shard belongs to owner. It returns the
// table unchanged if it has no such shard.
func (table Table[T]) WithOwner(shard uint32, owner T) Table[T] {
	if int64(shard) >= int64(table.shards) {
		return table
	}
	pages := append([][]T(nil), table.pages...)
	page := append([]T(nil), pages[shard/pageSize]...)
	page[shard%pageSize] = owner
	pages[shard/pageSize] = page
	return Table[T]{shards: table.shards, pages: pages}
}

// WithOwners returns a copy of the table with the owners of the given shards replaced.
// Shards outside the table are ignored.
func (table Table[T]) WithOwners(owners map[uint32]T) Table[T] {
	copied := NewTable[T](table.shards)
	for index, page := range table.pages {
		copy(copied.pages[index], page)
	}
	for shard, owner := range owners {
		if int64(shard) < int64(table.shards) {
			copied.pages[shard/pageSize][shard%pageSize] = owner
		}
	}
	return copied
}

// Owner returns the owner of shard, and false if it has none.
func (table Table[T]) Owner(shard uint32) (T, bool) {
	var zero T
	if int64(shard) >= int64(table.shards) {
		return zero, false
	}
	owner := table.pages[shard/pageSize][shard%pageSize]
	return owner, owner != zero
}

// Lookup returns the owner of the shard that key belongs to, and false if it has none.
func (table Table[T]) Lookup(key string) (T, bool) { return table.Owner(ShardOf(key, table.shards)) }
