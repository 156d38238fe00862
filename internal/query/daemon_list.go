package query

import "samphirestile.example/samphirestile/internal/cli"

// DaemonList lists seats and the daemons that occupy them.
type DaemonList struct{}

// Run prints a row for each seat.
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
	for _, daemon := range list {
		t.Add(daemon.Seat, daemon.Daemon, daemon.PeerAddress, daemon.AvailabilityZone, daemon.Active, daemon.Self)
	}
	return e.Print(list, t)
}
