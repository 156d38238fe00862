package query

import (
	"fmt"

	"samphirestile.example/samphirestile/internal/cli"
	"samphirestile.example/samphirestile/internal/fleetapi/oas"
)

// WorkerList lists workers as reported by the owners of their pools.
type WorkerList struct {
	Pool string `help:"Only the workers of this pool."`
}

// Run prints the list.
func (c *WorkerList) Run(e *cli.Environment) error {
	client, err := e.FleetClient()
	if err != nil {
		return err
	}
	list, err := client.ListWorkers(e.Context, oas.ListWorkersParams{Pool: optString(c.Pool)})
	if err != nil {
		return err
	}
	t := cli.Table{Header: []string{"ID", "POOL", "STATE", "ZONE", "RACK", "CPU", "MEMORY_MB", "GPU", "RUNS", "SUSPICION", "CONTACT_MS"}}
	used := func(n, of int64) string { return fmt.Sprintf("%d/%d", n, of) }
	for _, x := range list {
		t.Add(x.ID, x.Pool, x.State, x.AvailabilityZone, x.Rack, used(x.CPUUsed, x.CPU), used(x.MemoryMBUsed, x.MemoryMB), used(x.GpuUsed, x.Gpu),
			x.Runs, fmt.Sprintf("%.2f", x.Suspicion), x.ContactAgeMs)
	}
	return e.Print(list, t)
}
