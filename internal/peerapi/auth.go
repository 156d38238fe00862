package peerapi

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"net/http"

	"samphirestile.example/samphirestile/internal/peerapi/oas"
)

// Secret is the bearer token that the daemons of one cell share.
type Secret string

// AuthError reports a peer request without the cell secret.
type AuthError struct{}

func (e *AuthError) Error() string { return "peer request without the cell secret" }

// Matches reports whether token is the secret. The comparison takes constant time and does
// not reveal the length of the secret. An empty secret matches no token.
func (s Secret) Matches(token string) bool {
	a, b := sha256.Sum256([]byte(s)), sha256.Sum256([]byte(token))
	return s != "" && subtle.ConstantTimeCompare(a[:], b[:]) == 1
}

// CellSecret provides the secret to the generated client.
func (s Secret) CellSecret(context.Context, oas.OperationName) (oas.CellSecret, error) {
	return oas.CellSecret{Token: string(s)}, nil
}

// HandleCellSecret checks the secret for the generated server.
func (s Secret) HandleCellSecret(ctx context.Context, _ oas.OperationName, t oas.CellSecret) (context.Context, error) {
	if !s.Matches(t.Token) {
		return ctx, &AuthError{}
	}
	return ctx, nil
}

// NewClient returns a client of the peer interface at an IP address and port.
// Control messages are idempotent, so httpClient may retry them.
func NewClient(address string, secret Secret, httpClient *http.Client) (*oas.Client, error) {
	return oas.NewClient("http://"+address, secret, oas.WithClient(httpClient))
}
