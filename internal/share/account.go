package share

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
	for _, a := range accounts {
		if a.Load > 0 {
			weight += a.Weight
			load += a.Load
		}
	}
	over := map[string]bool{}
	for name, a := range accounts {
		if a.Load > 0 && weight > 0 && a.Load*weight > factor*a.Weight*load {
			over[name] = true
		}
	}
	return over
}
