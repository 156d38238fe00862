package daemon

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"

	"samphirestile.example/samphirestile/internal/config"
	"samphirestile.example/samphirestile/internal/fleet"
	"samphirestile.example/samphirestile/internal/membership"
	"samphirestile.example/samphirestile/internal/operatorapi"
	"samphirestile.example/samphirestile/internal/operatorapi/commands"
	"samphirestile.example/samphirestile/internal/operatorapi/oas"
	"samphirestile.example/samphirestile/internal/operatorapi/queries"
	"samphirestile.example/samphirestile/internal/operatorapi/wire"
	"samphirestile.example/samphirestile/internal/ownership"
)

// seatDeclarations passes operators' declarations about seats to the membership.
type seatDeclarations struct{ d *Daemon }

// DeclareGone implements commands.Seats.
func (s seatDeclarations) DeclareGone(_ context.Context, seat fleet.SeatID) error {
	err := s.d.membership.DeclareGone(seat)
	var seatErr *membership.SeatError
	switch {
	case !errors.As(err, &seatErr):
		return err
	case seatErr.Unknown:
		return &wire.NotFoundError{Kind: "seat", ID: string(seat), Query: "daemon list"}
	default:
		return &config.InvalidChangeError{Field: "seat", Value: string(seat), Allowed: "a seat that another daemon occupied"}
	}
}

func (d *Daemon) operatorHandler() (http.Handler, error) {
	h, err := operatorapi.NewServer(&operatorapi.Handler{
		Commands: &commands.Commands{Configuration: d.config, Seats: seatDeclarations{d}},
		Queries: &queries.Queries{
			Configuration: d.config, View: d.membership, TeamUsage: d.allotments, Loads: d.scheduler, Owners: d.assignment,
		},
		Log: d.log.WithField("part", "operator"),
	}, operatorapi.Tokens(d.settings.OperatorTokens))
	if err != nil {
		return nil, fmt.Errorf("create operator server: %w", err)
	}
	return h, nil
}

func (d *Daemon) assignment() ownership.Assignment {
	snapshot := d.config.Current()
	if snapshot == nil {
		return nil
	}
	return ownership.Assign(snapshot.Endpoints, d.membership.View().Members)
}

// requireOperator checks the operator token for handlers outside the generated server.
func (d *Daemon) requireOperator(h http.Handler) http.Handler {
	tokens := operatorapi.Tokens(d.settings.OperatorTokens)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if _, err := tokens.HandleOperatorToken(r.Context(), "", oas.OperatorToken{Token: token}); err != nil {
			http.Error(w, err.Error(), http.StatusUnauthorized)
			return
		}
		h.ServeHTTP(w, r)
	})
}
