package command

import (
	"samphirestile.example/samphirestile/internal/cli"
	"samphirestile.example/samphirestile/internal/operatorapi/oas"
)

// DeclareGone declares the daemon that occupies a seat permanently gone.
type DeclareGone struct {
	Seat string `arg:"" help:"ID of the seat; daemon list shows it."`
}

// Run sends the declaration to a daemon. Repeating it is safe.
func (c *DeclareGone) Run(e *cli.Environment) error {
	if err := cli.RequireArgument("<seat>", c.Seat, "the ID of a seat"); err != nil {
		return err
	}
	client, err := e.Client()
	if err != nil {
		return err
	}
	if err := client.DeclareSeatGone(e.Context, oas.DeclareSeatGoneParams{ID: c.Seat}); err != nil {
		return &cli.ChangeError{Cause: err, Advice: "Repeat the command; declaring a seat gone twice is safe."}
	}
	t := cli.Table{Header: []string{"SEAT", "STATE"}}
	t.Add(c.Seat, "declared gone")
	return e.Print(map[string]string{"seat": c.Seat, "state": "declared gone"}, t)
}
