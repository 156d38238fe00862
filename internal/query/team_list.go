package query

import "samphirestile.example/samphirestile/internal/cli"

// TeamList lists teams with their usage on the queried daemon.
type TeamList struct{}

// Run prints a row for each team.
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
	for _, team := range list {
		t.Add(team.ID, team.ClientAccount, team.Weight, team.Limit, team.Running, team.Units)
	}
	return e.Print(list, t)
}
