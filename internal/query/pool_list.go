package query

import (
	"strconv"

	"samphirestile.example/samphirestile/internal/cli"
	"samphirestile.example/samphirestile/internal/fleetapi/oas"
)

// PoolList lists the pools with their owners and usage.
type PoolList struct{}

// Run prints a row for each pool. The usage of a pool whose owner did not respond is
// printed as dashes.
func (c *PoolList) Run(e *cli.Environment) error {
	client, err := e.FleetClient()
	if err != nil {
		return err
	}
	list, err := client.ListPools(e.Context)
	if err != nil {
		return err
	}
	t := cli.Table{Header: []string{"ID", "SPARE", "OWNER", "WANTED", "WORKERS", "USABLE", "JOBS", "WAITING", "RUNS"}}
	for _, pool := range list {
		t.Add(pool.ID, pool.Spare, pool.Owner.Or("-"), formatOptInt(pool.HostsWanted), formatOptInt(pool.Workers), formatOptInt(pool.UsableWorkers), formatOptInt(pool.Jobs), formatOptInt(pool.WaitingJobs), formatOptInt(pool.Runs))
	}
	return e.Print(list, t)
}

// formatOptInt formats an optional number; an unset one is a dash.
func formatOptInt(n oas.OptInt) string {
	if !n.Set {
		return "-"
	}
	return strconv.Itoa(n.Value)
}
