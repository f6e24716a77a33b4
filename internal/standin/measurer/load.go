package measurer

import (
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/cuminstream/cuminstream/pkg/queuer"
)

// work describes the requests of one rank.
type work struct {
	rank    queuer.Rank
	method  string
	service time.Duration // at the upstream
	timeout time.Duration
	body    int // bytes
}

// works are the three ranks of the mixed service. The service times are long
// enough that one machine carries ten times the capacity of all upstreams.
var works = [queuer.RankCount]work{
	{queuer.Lookup, "GET", 40 * time.Millisecond, 500 * time.Millisecond, 0},
	{queuer.Transaction, "POST", 80 * time.Millisecond, 2 * time.Second, 200},
	{queuer.Upload, "PUT", 800 * time.Millisecond, 20 * time.Second, 4000},
}

// arrival is one request of the open loop.
type arrival struct {
	at   time.Duration
	rank queuer.Rank
	key  string
	id   string
}

// phase is a part of a scenario with constant rates.
type phase struct {
	name     string
	duration time.Duration
	rates    [queuer.RankCount]float64 // requests a second
}

const (
	keyCount     = 100_000
	zipfExponent = 1.1
)

// arrivals returns the Poisson arrivals of the phases, in order. They depend on
// the seed alone.
func arrivals(seed uint64, phases []phase) []arrival {
	random := rand.New(rand.NewPCG(seed, 1))
	zipf := rand.NewZipf(random, zipfExponent, 1, keyCount-1)
	var list []arrival
	begin := time.Duration(0)
	for _, phase := range phases {
		list = append(list, phase.arrivals(random, zipf, begin, len(list))...)
		begin += phase.duration
	}
	return list
}

func (phase phase) arrivals(random *rand.Rand, zipf *rand.Zipf, begin time.Duration, first int) []arrival {
	total := 0.0
	for _, rate := range phase.rates {
		total += rate
	}
	var list []arrival
	for at := begin; total > 0; {
		at += time.Duration(-math.Log(1-random.Float64()) / total * float64(time.Second))
		if at >= begin+phase.duration {
			break
		}
		list = append(list, arrival{
			at: at, rank: phase.draw(random, total), key: "key-" + strconv.FormatUint(zipf.Uint64(), 36),
			id: "measure-" + strconv.Itoa(first+len(list)),
		})
	}
	return list
}

// draw picks a rank in proportion to the rates.
func (phase phase) draw(random *rand.Rand, total float64) queuer.Rank {
	left := random.Float64() * total
	for rank, rate := range phase.rates {
		if left -= rate; left < 0 {
			return queuer.Rank(rank)
		}
	}
	return queuer.Lookup
}
