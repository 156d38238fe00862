package operatorapi

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"net/http"

	"github.com/ogen-go/ogen/ogenerrors"
	"github.com/sirupsen/logrus"

	"samphirestile.example/samphirestile/internal/operatorapi/commands"
	"samphirestile.example/samphirestile/internal/operatorapi/oas"
	"samphirestile.example/samphirestile/internal/operatorapi/queries"
)

// maxRequestBytes is the maximum body size of an operator request.
const maxRequestBytes = 16 << 20

// Handler implements all operations of the operators' interface.
type Handler struct {
	*commands.Commands
	*queries.Queries
	// Log receives internal failures; it may be nil.
	Log logrus.FieldLogger
}

var _ oas.Handler = (*Handler)(nil)

// Tokens are the bearer tokens of operators from the settings.
type Tokens []string

// TokenError reports a request without a valid operator token.
type TokenError struct{}

func (e *TokenError) Error() string { return "the operator token is missing or not valid" }

// HandleOperatorToken checks the token for the generated server.
func (t Tokens) HandleOperatorToken(ctx context.Context, _ oas.OperationName, given oas.OperatorToken) (context.Context, error) {
	return ctx, t.Check(given.Token)
}

// Check returns a TokenError unless given is one of the tokens. It compares given
// with every token in constant time.
func (t Tokens) Check(given string) error {
	sum := sha256.Sum256([]byte(given))
	valid := 0
	for _, token := range t {
		if token != "" {
			want := sha256.Sum256([]byte(token))
			valid |= subtle.ConstantTimeCompare(sum[:], want[:])
		}
	}
	if valid != 1 {
		return &TokenError{}
	}
	return nil
}

// NewServer returns the HTTP handler of the operators' interface.
func NewServer(h *Handler, tokens Tokens) (http.Handler, error) {
	server, err := oas.NewServer(h, tokens,
		oas.WithErrorHandler(func(_ context.Context, w http.ResponseWriter, _ *http.Request, err error) {
			writeFailure(w, ogenerrors.ErrorCode(err), requestFailure(err))
		}),
		oas.WithNotFound(func(w http.ResponseWriter, r *http.Request) {
			writeFailure(w, http.StatusNotFound, oas.Failure{Code: codeNotFound, Detail: "no such path: " + r.URL.Path})
		}),
		oas.WithMethodNotAllowed(func(w http.ResponseWriter, _ *http.Request, allowed string) {
			w.Header().Set("Allow", allowed)
			writeFailure(w, http.StatusMethodNotAllowed, oas.Failure{Code: codeBadRequest, Detail: "allowed methods: " + allowed})
		}),
	)
	if err != nil {
		return nil, err
	}
	return http.MaxBytesHandler(server, maxRequestBytes), nil
}

func writeFailure(w http.ResponseWriter, status int, f oas.Failure) {
	data, err := f.MarshalJSON()
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The operator may have disconnected; the error cannot be reported.
	_, _ = w.Write(data)
}
