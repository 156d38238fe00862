package share

import (
	"maps"
	"slices"
)

// AccountLoad is the load that the jobs of one client account put on a pool.
type AccountLoad struct {
	Weight float64
	// Load is the remaining work of the account's accepted jobs, in any unit that is the same for all accounts.
	Load float64
}

// OverShare returns the accounts whose load exceeds factor times their share of the load of all accounts. The share of
// an account without load goes to the others.
//
// Load pattern: one account sends several times its usual traffic, and the queue of the pool consists mostly of its jobs.
func OverShare(accounts map[string]AccountLoad, factor float64) map[string]bool {
	var weight, load float64
	// Sums of floating-point numbers depend on the order of their terms.
	names := slices.Sorted(maps.Keys(accounts))
	for _, name := range names {
		if a := accounts[name]; a.counts() {
			weight += a.Weight
			load += a.Load
		}
	}
	over := map[string]bool{}
	for _, name := range names {
		if a := accounts[name]; a.counts() && a.Load*weight > factor*a.Weight*load {
			over[name] = true
		}
	}
	return over
}

// counts reports whether the account has a share and uses it. Queues open to all, and accounts that the configuration has
// dropped, have none.
func (a AccountLoad) counts() bool { return a.Load > 0 && a.Weight > 0 }
