package fleetapi

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"

	"github.com/ogen-go/ogen/ogenerrors"
	"github.com/sirupsen/logrus"

	"samphirestile.example/samphirestile/internal/fleetapi/oas"
	"samphirestile.example/samphirestile/internal/jobapi"
	"samphirestile.example/samphirestile/internal/operatorapi"
	"samphirestile.example/samphirestile/internal/shard"
)

// Codes of a Failure; clients may rely on them.
const (
	codeUnauthorized   = "unauthorized"
	codeBadRequest     = "bad_request"
	codeNotFound       = "not_found"
	codeNotReady       = "not_ready"
	codeOutcomeUnknown = "outcome_unknown"
	codeInternal       = "internal"
)

// Handler implements all operations of the fleet interface.
type Handler struct {
	*Commands
	*Queries
	// Log receives internal failures; it must not be nil.
	Log logrus.FieldLogger
}

var _ oas.Handler = (*Handler)(nil)

// security checks operator tokens for the generated server.
type security struct{ operatorapi.Tokens }

// HandleOperatorToken implements oas.SecurityHandler.
func (s security) HandleOperatorToken(ctx context.Context, _ oas.OperationName, given oas.OperatorToken) (context.Context, error) {
	return ctx, s.Check(given.Token)
}

// NewServer returns the HTTP handler of the fleet interface.
func NewServer(f Fleet, tokens operatorapi.Tokens, log logrus.FieldLogger) (http.Handler, error) {
	h := &Handler{Commands: &Commands{Fleet: f}, Queries: &Queries{Fleet: f}, Log: log}
	server, err := oas.NewServer(h, security{tokens},
		oas.WithErrorHandler(func(_ context.Context, w http.ResponseWriter, _ *http.Request, err error) {
			writeFailure(w, ogenerrors.ErrorCode(err), oas.Failure{
				Code: codeBadRequest, Detail: err.Error(), Advice: oas.NewOptString("Use a client of the same version as the daemon."),
			})
		}),
		oas.WithNotFound(func(w http.ResponseWriter, r *http.Request) {
			writeFailure(w, http.StatusNotFound, oas.Failure{Code: codeNotFound, Detail: "no such path: " + r.URL.Path})
		}),
	)
	if err != nil {
		return nil, err
	}
	return http.MaxBytesHandler(server, maxRequestBytes), nil
}

// maxRequestBytes bounds the body of a request; commands have a few fields.
const maxRequestBytes = 1 << 20

func writeFailure(w http.ResponseWriter, status int, f oas.Failure) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The operator may have disconnected; the error cannot be reported.
	_ = json.NewEncoder(w).Encode(&f)
}

// NewError maps an error to its status, code and advice.
func (h *Handler) NewError(_ context.Context, err error) *oas.FailureStatusCode {
	status, code, advice := http.StatusInternalServerError, codeInternal, "Look at the log of the daemon."
	switch {
	case errors.As(err, new(*ogenerrors.SecurityError)):
		status, code, advice = http.StatusUnauthorized, codeUnauthorized, "Give the operator token of this deployment."
	case errors.As(err, new(*UnknownPoolError)):
		status, code, advice = http.StatusNotFound, codeNotFound, "Run `samphirestile pool list` to see what exists."
	case errors.As(err, new(*shard.UnknownJobError)):
		status, code, advice = http.StatusNotFound, codeNotFound, "Run `samphirestile job list`. The state of ended jobs is kept for a limited time."
	case errors.As(err, new(*NoOwnerError)), errors.As(err, new(*shard.NotOwnerError)), errors.As(err, new(*jobapi.NotSentError)):
		status, code, advice = http.StatusServiceUnavailable, codeNotReady, "Nothing was changed. Repeat the request in some seconds; another daemon takes the pool over."
	case errors.As(err, new(*shard.UnknownOutcomeError)):
		status, code, advice = http.StatusGatewayTimeout, codeOutcomeUnknown, "Repeat the request; it takes effect at most once."
	default:
		h.Log.WithError(err).Error("operator request failed")
	}
	return &oas.FailureStatusCode{StatusCode: status, Response: oas.Failure{Code: code, Detail: err.Error(), Advice: oas.NewOptString(advice)}}
}
