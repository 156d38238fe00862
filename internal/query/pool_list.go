package query

import (
	"strconv"

	"samphirestile.example/samphirestile/internal/cli"
	"samphirestile.example/samphirestile/internal/fleetapi/oas"
)

// PoolList lists the pools with their owners and usage.
type PoolList struct{}

// Run prints the list.
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
	for _, x := range list {
		t.Add(x.ID, x.Spare, x.Owner.Or("-"), formatOptInt(x.HostsWanted), formatOptInt(x.Workers), formatOptInt(x.UsableWorkers), formatOptInt(x.Jobs), formatOptInt(x.WaitingJobs), formatOptInt(x.Runs))
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
