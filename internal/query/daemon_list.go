package query

import "samphirestile.example/samphirestile/internal/cli"

// DaemonList lists seats and the daemons that occupy them.
type DaemonList struct{}

// Run prints the list.
func (c *DaemonList) Run(e *cli.Environment) error {
	client, err := e.Client()
	if err != nil {
		return err
	}
	list, err := client.ListDaemons(e.Context)
	if err != nil {
		return err
	}
	t := cli.Table{Header: []string{"SEAT", "DAEMON", "ADDRESS", "ZONE", "ACTIVE", "SELF"}}
	for _, x := range list {
		t.Add(x.Seat, x.Daemon, x.PeerAddress, x.AvailabilityZone, x.Active, x.Self)
	}
	return e.Print(list, t)
}
