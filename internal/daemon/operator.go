package daemon

import (
	"context"
	"fmt"
	"net/http"

	"samphirestile.example/samphirestile/internal/operatorapi/oas"
)

type operatorStub struct{ oas.UnimplementedHandler }

func (operatorStub) HandleOperatorToken(ctx context.Context, _ oas.OperationName, _ oas.OperatorToken) (context.Context, error) {
	return ctx, nil
}

func (d *Daemon) operatorHandler() (http.Handler, error) {
	s, err := oas.NewServer(operatorStub{}, operatorStub{})
	if err != nil {
		return nil, fmt.Errorf("operator interface: %w", err)
	}
	return s, nil
}

func (d *Daemon) requireOperator(h http.Handler) http.Handler { return h }
