// Package wire converts between the generated messages of the operators'
// interface and the domain.
package wire

import (
	"fmt"
	"math"

	"samphirestile.example/samphirestile/internal/config"
	"samphirestile.example/samphirestile/internal/operatorapi/oas"
)

// NotFoundError reports that an object named in a request does not exist.
type NotFoundError struct {
	Kind string
	ID   string
	// Query is the subcommand that lists the existing objects.
	Query string
}

func (e *NotFoundError) Error() string { return fmt.Sprintf("%s %.64q does not exist", e.Kind, e.ID) }

// Change converts a change of an operator.
func Change(c *oas.Change) (config.Change, error) {
	if c.ExpectedRevision < 0 {
		return config.Change{}, &config.InvalidChangeError{
			Field: "expected_revision", Value: fmt.Sprint(c.ExpectedRevision), Allowed: "a whole number from 0",
		}
	}
	change := config.Change{ID: c.ChangeID, Operator: c.Operator.Or(""), Expected: uint64(c.ExpectedRevision)}
	for _, d := range c.Documents {
		change.Documents = append(change.Documents, config.DocumentChange{
			Name: d.Name, Content: []byte(d.Content.Or("")), Remove: !d.Content.Set,
		})
	}
	return change, nil
}

// Revision converts a revision to the signed integer of the interface. A value above its
// maximum is clamped.
func Revision(r uint64) int64 { return int64(min(r, math.MaxInt64)) }
