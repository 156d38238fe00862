package query

import "samphirestile.example/samphirestile/internal/cli"

// EndpointList lists endpoints and their owners.
type EndpointList struct{}

// Run prints a row for each endpoint.
func (c *EndpointList) Run(e *cli.Environment) error {
	client, err := e.Client()
	if err != nil {
		return err
	}
	list, err := client.ListEndpoints(e.Context)
	if err != nil {
		return err
	}
	t := cli.Table{Header: []string{"ID", "SERVICE", "HOST", "ADDRESS", "SLOTS", "LEAVING", "OWNER"}}
	for _, endpoint := range list {
		t.Add(endpoint.ID, endpoint.Service, endpoint.Host.Or("-"), endpoint.Address, endpoint.Slots, endpoint.Leaving, endpoint.Owner)
	}
	return e.Print(list, t)
}
