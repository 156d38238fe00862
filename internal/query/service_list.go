package query

import "samphirestile.example/samphirestile/internal/cli"

// ServiceList lists services with their load on the queried daemon.
type ServiceList struct{}

// Run prints a row for each service.
func (c *ServiceList) Run(e *cli.Environment) error {
	client, err := e.Client()
	if err != nil {
		return err
	}
	list, err := client.ListServices(e.Context)
	if err != nil {
		return err
	}
	t := cli.Table{Header: []string{"ID", "ENDPOINTS", "SLOTS", "RUNNING", "QUEUED"}}
	for _, service := range list {
		t.Add(service.ID, service.Endpoints, service.Slots, service.Running, service.Queued)
	}
	return e.Print(list, t)
}
