// Package keys generates, hashes and verifies the API keys of teams.
package keys

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"
	"time"

	"samphirestile.example/samphirestile/internal/config"
	"samphirestile.example/samphirestile/internal/fleet"
	"samphirestile.example/samphirestile/internal/problem"
)

// Verifier determines the team of a request.
type Verifier interface {
	// Authenticate returns the team that the value of the Authorization header
	// identifies. It returns a *problem.Error, with status 401 if the header is missing or
	// the key is malformed, unknown or revoked. Open services accept requests without a key.
	Authenticate(service fleet.Service, authorization string) (fleet.TeamID, error)
}

// A key has the form ssk_<id>_<secret>, with ID and secret in lower-case hexadecimal digits.
const (
	prefix      = "ssk_"
	idBytes     = 8
	secretBytes = 32
	idLen       = 2 * idBytes
	secretLen   = 2 * secretBytes
	keyLen      = len(prefix) + idLen + 1 + secretLen
	scheme      = "bearer "
)

// notReadyRetryAfter is the Retry-After value before the first configuration.
const notReadyRetryAfter = time.Second

// Generate returns a new key for a team: the text for the caller and the record to store,
// which does not contain the secret.
func Generate(team fleet.TeamID) (text string, record fleet.Key) {
	var b [idBytes + secretBytes]byte
	// Read never returns an error; it terminates the process if the system has no randomness.
	_, _ = rand.Read(b[:])
	id, secret := hex.EncodeToString(b[:idBytes]), hex.EncodeToString(b[idBytes:])
	return prefix + id + "_" + secret, fleet.Key{ID: id, Team: team, Hash: hash(secret)}
}

// unmatchableHash has the length of a hash but matches no secret, because it is not hexadecimal.
var unmatchableHash = strings.Repeat("-", 2*sha256.Size)

// hash returns the hex SHA-256 of the secret part.
func hash(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

// ValidID reports whether id has the form of a key ID.
func ValidID(id string) bool { return len(id) == idLen && isHex(id) }

// parse splits a key into ID and secret; ok is false if any byte deviates from the format.
func parse(text string) (id, secret string, ok bool) {
	if len(text) != keyLen || !strings.HasPrefix(text, prefix) || text[len(prefix)+idLen] != '_' {
		return "", "", false
	}
	id, secret = text[len(prefix):len(prefix)+idLen], text[keyLen-secretLen:]
	return id, secret, isHex(id) && isHex(secret)
}

func isHex(s string) bool {
	for _, c := range []byte(s) {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') {
			return false
		}
	}
	return true
}

// SourceVerifier verifies keys against the active configuration.
type SourceVerifier struct {
	source  config.Source
	revoked *RevokedSet
}

var _ Verifier = (*SourceVerifier)(nil)

// NewVerifier returns a verifier. Keys in revoked are rejected regardless of the
// configuration.
func NewVerifier(source config.Source, revoked *RevokedSet) *SourceVerifier {
	return &SourceVerifier{source: source, revoked: revoked}
}

// Authenticate implements Verifier. A key that is present must be valid, even for an open
// service: a caller whose key was revoked is not served as the open team.
func (v *SourceVerifier) Authenticate(service fleet.Service, authorization string) (fleet.TeamID, error) {
	if authorization == "" {
		if service.Open {
			return service.OpenTeam, nil
		}
		return "", problem.New(problem.CodeKeyMissing, http.StatusUnauthorized, "the request carries no key; send Authorization: Bearer <key>")
	}
	snapshot := v.source.Current()
	if snapshot == nil {
		return "", problem.New(problem.CodeNotReady, http.StatusServiceUnavailable, "no configuration is in force yet").WithRetryAfter(notReadyRetryAfter)
	}
	if len(authorization) < len(scheme) || !strings.EqualFold(authorization[:len(scheme)], scheme) {
		return "", rejected()
	}
	id, secret, ok := parse(authorization[len(scheme):])
	if !ok {
		return "", rejected()
	}
	k, known := snapshot.Keys[id]
	if !known {
		// The comparison for an unknown ID takes as long as for a known one, so that the
		// response time does not reveal which IDs exist.
		k.Hash = unmatchableHash
	}
	same := subtle.ConstantTimeCompare([]byte(hash(secret)), []byte(k.Hash)) == 1
	if !known || !same || k.Revoked || v.revoked.Has(id) {
		return "", rejected()
	}
	return k.Team, nil
}

// rejected returns an error that neither reveals the cause nor contains any part of the key.
func rejected() error {
	return problem.New(problem.CodeKeyRejected, http.StatusUnauthorized, "the key is malformed, unknown or revoked")
}
