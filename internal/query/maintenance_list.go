package query

import (
	"fmt"

	"samphirestile.example/samphirestile/internal/cli"
)

// MaintenanceList lists the maintenance waves.
type MaintenanceList struct{}

// Run prints a row for each wave.
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
	for _, wave := range list {
		t.Add(wave.Number, fmt.Sprintf("%d/%d", wave.Begun, wave.Hosts), wave.AtOnce, wave.WithinMs, wave.Completed)
	}
	return e.Print(list, t)
}
