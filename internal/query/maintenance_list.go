package query

import (
	"fmt"

	"samphirestile.example/samphirestile/internal/cli"
)

// MaintenanceList lists the maintenance waves.
type MaintenanceList struct{}

// Run prints the list.
func (c *MaintenanceList) Run(e *cli.Environment) error {
	client, err := e.FleetClient()
	if err != nil {
		return err
	}
	list, err := client.ListMaintenance(e.Context)
	if err != nil {
		return err
	}
	t := cli.Table{Header: []string{"WAVE", "BEGUN", "AT_ONCE", "WITHIN_MS", "COMPLETED"}}
	for _, x := range list {
		t.Add(x.Number, fmt.Sprintf("%d/%d", x.Begun, x.Hosts), x.AtOnce, x.WithinMs, x.Completed)
	}
	return e.Print(list, t)
}
