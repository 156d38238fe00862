package lease

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// acquireStagger separates the attempts of daemons that compete for the same vacant shard,
// so that the least loaded one usually wins. It covers the time until the other daemons
// observe its write.
const acquireStagger = 120 * time.Millisecond

// acquireDelay returns how long a daemon waits before it acquires a vacant shard. The
// daemon whose load with the shard would be lowest comes first.
//
// After the loss of one or all daemons, many daemons observe the same vacant shards at once;
// without a ranking one of them acquires them all. Machines differ in CPU cores by a factor
// of four, and the weakest cannot serve the demand peak of a pool.
func acquireDelay(self, shard string, members []Member, owned map[string]int) time.Duration {
	ranked := append([]Member(nil), members...)
	sort.Slice(ranked, func(i, j int) bool {
		a, b := ranked[i], ranked[j]
		if loadA, loadB := a.load(owned[a.Name]+1), b.load(owned[b.Name]+1); loadA != loadB {
			return loadA < loadB
		}
		hashA, hashB := xxhash.Sum64String(a.Name+"/"+shard), xxhash.Sum64String(b.Name+"/"+shard)
		if hashA != hashB {
			return hashA < hashB
		}
		return a.Name < b.Name
	})
	for rank, m := range ranked {
		if m.Name == self {
			return time.Duration(rank) * acquireStagger
		}
	}
	return time.Duration(len(ranked)) * acquireStagger
}

// transferFactor is the ratio by which this daemon's load must exceed the load that another
// daemon would have with one more shard. It prevents needless handovers, each of which
// interrupts a shard for some tenths of a second.
const transferFactor = 2

// overloaded reports whether a daemon should hand one of its shards over to another one.
// After the loss of many machines the first daemons to return own all shards, while later
// and possibly stronger ones own none.
func overloaded(self Member, members []Member, owned map[string]int) bool {
	own := self.load(owned[self.Name])
	for _, m := range members {
		if m.Name != self.Name && m.load(owned[m.Name]+1)*transferFactor < own {
			return true
		}
	}
	return false
}
