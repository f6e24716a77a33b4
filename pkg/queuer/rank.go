package queuer

import "fmt"

// Rank is the priority class of a request. A lower number is more urgent.
type Rank int

// The ranks, most urgent first.
const (
	Lookup Rank = iota
	Transaction
	Upload
)

// RankCount is the number of ranks.
const RankCount = 3

var rankNames = [RankCount]string{"lookup", "transaction", "upload"}

// String returns the name of the rank in configuration and headers.
func (rank Rank) String() string {
	if rank < 0 || rank >= RankCount {
		return fmt.Sprintf("rank(%d)", int(rank))
	}
	return rankNames[rank]
}

// ParseRank returns the rank with the given name.
func ParseRank(name string) (Rank, error) {
	for index, known := range rankNames {
		if known == name {
			return Rank(index), nil
		}
	}
	return 0, fmt.Errorf("rank %q does not exist; the ranks are lookup, transaction and upload", name)
}

// MarshalText returns the rank's name.
func (rank Rank) MarshalText() ([]byte, error) { return []byte(rank.String()), nil }

// UnmarshalText sets the rank to the one with the given name.
func (rank *Rank) UnmarshalText(text []byte) error {
	parsed, err := ParseRank(string(text))
	if err != nil {
		return err
	}
	*rank = parsed
	return nil
}
