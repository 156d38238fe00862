package query

import "samphirestile.example/samphirestile/internal/cli"

// KeyList lists keys without their secrets.
type KeyList struct{}

// Run prints the list.
func (c *KeyList) Run(e *cli.Environment) error {
	client, err := e.Client()
	if err != nil {
		return err
	}
	list, err := client.ListKeys(e.Context)
	if err != nil {
		return err
	}
	t := cli.Table{Header: []string{"ID", "TEAM", "REVOKED", "DURABLE"}}
	for _, x := range list {
		t.Add(x.ID, x.Team, x.Revoked, x.Durable)
	}
	return e.Print(list, t)
}
