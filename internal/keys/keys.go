// Package keys makes, hashes and verifies the credentials of teams.
package keys

import "samphirestile.example/samphirestile/internal/fleet"

// Verifier decides which team a request belongs to.
type Verifier interface {
	// Authenticate returns the team of the value of the Authorization header. It
	// returns a *problem.Error with status 401 when the header is missing,
	// malformed, unknown or revoked. Open services take requests without a key.
	Authenticate(service fleet.Service, authorization string) (fleet.TeamID, error)
}
