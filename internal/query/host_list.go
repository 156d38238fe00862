package query

import (
	"strings"

	"samphirestile.example/samphirestile/internal/cli"
	"samphirestile.example/samphirestile/internal/fleetapi/oas"
)

// HostList lists hosts.
type HostList struct {
	Pool string `help:"Only the hosts of this pool."`
}

// Run prints a row for each host.
func (c *HostList) Run(e *cli.Environment) error {
	client, err := e.FleetClient()
	if err != nil {
		return err
	}
	list, err := client.ListHosts(e.Context, oas.ListHostsParams{Pool: optString(c.Pool)})
	if err != nil {
		return err
	}
	t := cli.Table{Header: []string{"ID", "POOL", "STATE", "ZONE", "WORKER", "CPU", "MEMORY_MB", "GPU", "LABELS"}}
	for _, host := range list {
		t.Add(host.ID, host.Pool, host.State, host.AvailabilityZone, host.Worker.Or("-"), host.CPU, host.MemoryMB, host.Gpu, strings.Join(host.Labels, ","))
	}
	return e.Print(list, t)
}

func optString(s string) oas.OptString {
	if s == "" {
		return oas.OptString{}
	}
	return oas.NewOptString(s)
}
