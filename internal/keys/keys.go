// Package keys makes, hashes and verifies the credentials of teams.
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

// Verifier decides which team a request belongs to.
type Verifier interface {
	// Authenticate returns the team of the value of the Authorization header. It
	// returns a *problem.Error with status 401 when the header is missing,
	// malformed, unknown or revoked. Open services take requests without a key.
	Authenticate(service fleet.Service, authorization string) (fleet.TeamID, error)
}

// A key is ssk_<id>_<secret> with ID and secret in lower-case hexadecimal digits.
const (
	prefix      = "ssk_"
	idBytes     = 8
	secretBytes = 32
	idLen       = 2 * idBytes
	secretLen   = 2 * secretBytes
	keyLen      = len(prefix) + idLen + 1 + secretLen
	scheme      = "bearer "
)

// notReadyRetryAfter is the advice to callers while no configuration is in force.
const notReadyRetryAfter = time.Second

// Generate returns a new key of a team: the text for the caller and the record
// without the secret.
func Generate(team fleet.TeamID) (text string, record fleet.Key) {
	var b [idBytes + secretBytes]byte
	// Read never returns an error; it ends the process when the system has no randomness.
	_, _ = rand.Read(b[:])
	id, secret := hex.EncodeToString(b[:idBytes]), hex.EncodeToString(b[idBytes:])
	return prefix + id + "_" + secret, fleet.Key{ID: id, Team: team, Hash: hash(secret)}
}

// unmatchableHash has the length of a hash and is the hash of no secret: it is not hexadecimal.
var unmatchableHash = strings.Repeat("-", 2*sha256.Size)

// hash returns the hex SHA-256 of the secret part.
func hash(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

// ValidID reports whether id has the form of a key ID.
func ValidID(id string) bool { return len(id) == idLen && isHex(id) }

// parse splits a key strictly; ok is false when any byte differs from the format.
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

// SourceVerifier verifies keys against the configuration in force.
type SourceVerifier struct {
	source  config.Source
	revoked *Revoked
}

var _ Verifier = (*SourceVerifier)(nil)

// NewVerifier returns a verifier. Keys in revoked are refused whatever the
// configuration says.
func NewVerifier(source config.Source, revoked *Revoked) *SourceVerifier {
	return &SourceVerifier{source: source, revoked: revoked}
}

// Authenticate implements Verifier. A key that is presented must be good, also
// on an open service: a caller whose key was revoked is not served as the open team.
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
		// An unknown ID is compared as long as a known one, so that the time does not
		// tell which IDs exist.
		k.Hash = unmatchableHash
	}
	same := subtle.ConstantTimeCompare([]byte(hash(secret)), []byte(k.Hash)) == 1
	if !known || !same || k.Revoked || v.revoked.Has(id) {
		return "", rejected()
	}
	return k.Team, nil
}

// rejected does not tell why, and never contains any part of the key.
func rejected() error {
	return problem.New(problem.CodeKeyRejected, http.StatusUnauthorized, "the key is malformed, unknown or revoked")
}
