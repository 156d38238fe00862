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

// Run prints a row for each worker.
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
	formatUsage := func(used, capacity int64) string { return fmt.Sprintf("%d/%d", used, capacity) }
	for _, worker := range list {
		t.Add(worker.ID, worker.Pool, worker.State, worker.AvailabilityZone, worker.Rack, formatUsage(worker.CPUUsed, worker.CPU), formatUsage(worker.MemoryMBUsed, worker.MemoryMB), formatUsage(worker.GpuUsed, worker.Gpu),
			worker.Runs, fmt.Sprintf("%.2f", worker.Suspicion), worker.ContactAgeMs)
	}
	return e.Print(list, t)
}
