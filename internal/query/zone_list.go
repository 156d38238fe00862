package query

import "samphirestile.example/samphirestile/internal/cli"

// ZoneList lists availability zones.
type ZoneList struct{}

// Run prints a row for each zone.
func (c *ZoneList) Run(e *cli.Environment) error {
	client, err := e.FleetClient()
	if err != nil {
		return err
	}
	list, err := client.ListZones(e.Context)
	if err != nil {
		return err
	}
	t := cli.Table{Header: []string{"ID", "EVACUATED", "WORKERS", "USABLE", "RUNS"}}
	for _, zone := range list {
		t.Add(zone.ID, zone.Evacuated, zone.Workers, zone.UsableWorkers, zone.Runs)
	}
	return e.Print(list, t)
}
