package operatorapi

import (
	"context"
	"errors"
	"net/http"

	"github.com/ogen-go/ogen/ogenerrors"

	"samphirestile.example/samphirestile/internal/config"
	"samphirestile.example/samphirestile/internal/operatorapi/oas"
	"samphirestile.example/samphirestile/internal/operatorapi/wire"
	"samphirestile.example/samphirestile/internal/template"
)

// Codes of a Failure; clients may rely on them.
const (
	codeUnauthorized     = "unauthorized"
	codeBadRequest       = "bad_request"
	codeNotFound         = "not_found"
	codeInvalidConfig    = "invalid_configuration"
	codeInvalidChange    = "invalid_change"
	codeConflict         = "revision_conflict"
	codeChangeIDUsed     = "change_id_used"
	codeOutcomeUnknown   = "outcome_unknown"
	codeStoreUnavailable = "store_unavailable"
	codeStoreRegressed   = "store_regressed"
	codeTooLarge         = "too_large"
	codeNotReady         = "not_ready"
	codeInternal         = "internal"
)

// NewError maps an error to its status, code and advice.
func (h *Handler) NewError(_ context.Context, err error) *oas.FailureStatusCode {
	f := failureOf(err)
	if f.Response.Code == codeInternal && h.Log != nil {
		h.Log.WithError(err).Error("operator request failed")
	}
	return f
}

func failure(status int, code string, err error, advice string) *oas.FailureStatusCode {
	f := oas.Failure{Code: code, Detail: err.Error()}
	if advice != "" {
		f.Advice = oas.NewOptString(advice)
	}
	return &oas.FailureStatusCode{StatusCode: status, Response: f}
}

func failureOf(err error) *oas.FailureStatusCode {
	var (
		security  *ogenerrors.SecurityError
		notFound  *wire.NotFoundError
		findings  *template.FindingsError
		conflict  *config.ConflictError
		usedID    *config.ChangeIDError
		invalid   *config.InvalidChangeError
		unknown   *config.OutcomeUnknownError
		store     *config.StoreUnavailableError
		regressed *config.StoreRegressedError
		large     *config.TooLargeError
		notReady  *config.NotReadyError
	)
	switch {
	case errors.As(err, &security):
		return failure(http.StatusUnauthorized, codeUnauthorized, &TokenError{}, "Give the operator token of this deployment.")
	case errors.As(err, &notFound):
		return failure(http.StatusNotFound, codeNotFound, notFound, "Run `samphirestile "+notFound.Query+"` to see what exists.")
	case errors.As(err, &findings):
		return findingsFailure(findings)
	case errors.As(err, &conflict):
		return conflictFailure(conflict)
	case errors.As(err, &usedID):
		return failure(http.StatusConflict, codeChangeIDUsed, usedID, "Run `samphirestile history` to see that change; use a new change ID for another one. A key that was given under this ID cannot be shown again: withdraw it and give a new one.")
	case errors.As(err, &invalid):
		return failure(http.StatusBadRequest, codeInvalidChange, invalid, "Correct the change and repeat it.")
	case errors.As(err, &unknown):
		return failure(http.StatusGatewayTimeout, codeOutcomeUnknown, unknown, "Repeat the change with the same change ID; it takes effect at most once.")
	case errors.As(err, &store):
		return failure(http.StatusServiceUnavailable, codeStoreUnavailable, store, "Nothing was changed. Repeat it when the store is available again; withdrawing keys works meanwhile.")
	case errors.As(err, &regressed):
		return failure(http.StatusConflict, codeStoreRegressed, regressed, "The store lost accepted changes. Restore it before you change the configuration.")
	case errors.As(err, &large):
		return failure(http.StatusRequestEntityTooLarge, codeTooLarge, large, "Remove documents that are no longer used.")
	case errors.As(err, &notReady):
		return failure(http.StatusServiceUnavailable, codeNotReady, notReady, "Ask another daemon, or wait until this one has started.")
	default:
		return failure(http.StatusInternalServerError, codeInternal, err, "Look at the log of the daemon.")
	}
}

func findingsFailure(e *template.FindingsError) *oas.FailureStatusCode {
	f := failure(http.StatusUnprocessableEntity, codeInvalidConfig, e, "Correct the listed values and repeat the change. Nothing was written.")
	f.Response.Detail = "the configuration with this change is not valid"
	for _, finding := range e.Findings {
		f.Response.Findings = append(f.Response.Findings, oas.Finding(finding))
	}
	return f
}

func conflictFailure(e *config.ConflictError) *oas.FailureStatusCode {
	f := failure(http.StatusConflict, codeConflict, e, "Run `samphirestile diff`, merge the versions, and apply the result with --revision set to the current revision. Nothing was written.")
	f.Response.CurrentRevision = oas.NewOptInt64(wire.Revision(e.Current))
	for _, conflict := range e.Conflicts {
		f.Response.Conflicts = append(f.Response.Conflicts, oas.Conflict(conflict))
	}
	return f
}

// requestFailure returns the failure for a request that the generated code cannot decode.
func requestFailure(err error) oas.Failure {
	return oas.Failure{Code: codeBadRequest, Detail: err.Error(), Advice: oas.NewOptString("Use a client of the same version as the daemon.")}
}
