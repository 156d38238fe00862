package query

import "samphirestile.example/samphirestile/internal/cli"

// ServiceList lists services with their load on the queried daemon.
type ServiceList struct{}

// Run prints the list.
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
	for _, x := range list {
		t.Add(x.ID, x.Endpoints, x.Slots, x.Running, x.Queued)
	}
	return e.Print(list, t)
}
