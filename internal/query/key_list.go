package query

import "samphirestile.example/samphirestile/internal/cli"

// KeyList lists keys without their secrets.
type KeyList struct{}

// Run prints a row for each key.
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
	for _, key := range list {
		t.Add(key.ID, key.Team, key.Revoked, key.Durable)
	}
	return e.Print(list, t)
}
