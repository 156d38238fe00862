package query

import (
	"strconv"

	"samphirestile.example/samphirestile/internal/cli"
	"samphirestile.example/samphirestile/internal/fleetapi/oas"
)

// PoolList lists the pools with their owners and use.
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
		t.Add(x.ID, x.Spare, x.Owner.Or("-"), number(x.HostsWanted), number(x.Workers), number(x.UsableWorkers), number(x.Jobs), number(x.WaitingJobs), number(x.Runs))
	}
	return e.Print(list, t)
}

// number shows an absent number as a dash.
func number(n oas.OptInt) string {
	if !n.Set {
		return "-"
	}
	return strconv.Itoa(n.Value)
}
