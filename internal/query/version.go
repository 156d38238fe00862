package query

import (
	"runtime/debug"

	"samphirestile.example/samphirestile/internal/cli"
)

// Version shows the version of this client.
type Version struct{}

// Run prints the version without contacting a daemon.
func (c *Version) Run(e *cli.Environment) error {
	version, revision := "unknown", "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		version = info.Main.Version
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				revision = s.Value
			}
		}
	}
	t := cli.Table{Header: []string{"VERSION", "COMMIT"}}
	t.Add(version, revision)
	return e.Print(map[string]string{"version": version, "commit": revision}, t)
}
