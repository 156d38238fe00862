package query

import "samphirestile.example/samphirestile/internal/cli"

// EndpointList lists endpoints and their owners.
type EndpointList struct{}

// Run prints the list.
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
	for _, x := range list {
		t.Add(x.ID, x.Service, x.Host.Or("-"), x.Address, x.Slots, x.Leaving, x.Owner)
	}
	return e.Print(list, t)
}
