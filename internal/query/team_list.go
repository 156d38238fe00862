package query

import "samphirestile.example/samphirestile/internal/cli"

// TeamList lists teams with their usage on the queried daemon.
type TeamList struct{}

// Run prints the list.
func (c *TeamList) Run(e *cli.Environment) error {
	client, err := e.Client()
	if err != nil {
		return err
	}
	list, err := client.ListTeams(e.Context)
	if err != nil {
		return err
	}
	t := cli.Table{Header: []string{"ID", "ACCOUNT", "WEIGHT", "LIMIT", "RUNNING", "UNITS"}}
	for _, x := range list {
		t.Add(x.ID, x.ClientAccount, x.Weight, x.Limit, x.Running, x.Units)
	}
	return e.Print(list, t)
}
