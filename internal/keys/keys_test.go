package keys_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"samphirestile.example/samphirestile/internal/config"
	"samphirestile.example/samphirestile/internal/fleet"
	"samphirestile.example/samphirestile/internal/keys"
	"samphirestile.example/samphirestile/internal/problem"
)

func TestKeys(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "keys")
}

type source struct{ snapshot *config.Snapshot }

func (s *source) Current() *config.Snapshot            { return s.snapshot }
func (s *source) Subscribe() (<-chan struct{}, func()) { return nil, func() {} }

var (
	closed = fleet.Service{ID: "orders"}
	open   = fleet.Service{ID: "status", Open: true, OpenTeam: "public"}
)

var _ = Describe("package keys", func() {
	var (
		keyText   string
		keyRecord fleet.Key
		s         *source
		revoked   *keys.RevokedSet
		v         *keys.SourceVerifier
	)
	refusalCode := func(service fleet.Service, authorization string) problem.Code {
		_, err := v.Authenticate(service, authorization)
		var p *problem.Error
		ExpectWithOffset(1, errors.As(err, &p)).To(BeTrue(), "%v", err)
		ExpectWithOffset(1, p.Outcome).To(Equal(problem.NotRun))
		ExpectWithOffset(1, p.Error()).NotTo(ContainSubstring(keyText[len(keyText)-16:]))
		return p.Code
	}
	BeforeEach(func() {
		keyText, keyRecord = keys.Generate("desk")
		s = &source{&config.Snapshot{Keys: map[string]fleet.Key{keyRecord.ID: keyRecord}}}
		revoked = keys.NewRevokedSet()
		v = keys.NewVerifier(s, revoked)
	})

	It("accepts a key and returns its team", func() {
		for _, scheme := range []string{"Bearer ", "bearer "} {
			team, err := v.Authenticate(closed, scheme+keyText)
			Expect(err).NotTo(HaveOccurred())
			Expect(team).To(Equal(fleet.TeamID("desk")))
		}
		Expect(keyRecord.Hash).NotTo(ContainSubstring(keyText[len(keyText)-64:]))
	})

	It("rejects everything that deviates from a valid key", func() {
		Expect(refusalCode(closed, "")).To(Equal(problem.CodeKeyMissing))
		other, _ := keys.Generate("desk")
		flipped := keyText[:len(keyText)-1] + "0"
		if flipped == keyText {
			flipped = keyText[:len(keyText)-1] + "1"
		}
		for _, a := range []string{keyText, "Basic " + keyText, "Bearer", "Bearer  " + keyText, "Bearer " + keyText + " ",
			"Bearer " + other, "Bearer " + strings.ToUpper(keyText), "Bearer " + keyText[:20], "Bearer " + flipped} {
			Expect(refusalCode(closed, a)).To(Equal(problem.CodeKeyRejected), a)
		}
	})

	// Guards against a revoked key that stays valid until a new configuration arrives.
	It("rejects a revoked key immediately", func() {
		Expect(revoked.Add(keyRecord.ID, "not an ID")).To(Equal([]string{keyRecord.ID}))
		Expect(revoked.Add(keyRecord.ID)).To(BeEmpty())
		Expect(refusalCode(closed, "Bearer "+keyText)).To(Equal(problem.CodeKeyRejected))
		Expect(refusalCode(open, "Bearer "+keyText)).To(Equal(problem.CodeKeyRejected))
	})

	It("accepts requests without a key only for the open team of an open service", func() {
		team, err := v.Authenticate(open, "")
		Expect(err).NotTo(HaveOccurred())
		Expect(team).To(Equal(fleet.TeamID("public")))
		Expect(refusalCode(open, "Bearer x")).To(Equal(problem.CodeKeyRejected))
		team, err = v.Authenticate(open, "Bearer "+keyText)
		Expect(err).NotTo(HaveOccurred())
		Expect(team).To(Equal(fleet.TeamID("desk")))
	})

	It("is not ready before the first configuration", func() {
		s.snapshot = nil
		Expect(refusalCode(closed, "Bearer "+keyText)).To(Equal(problem.CodeNotReady))
	})

	It("never generates the same key twice", func() {
		seen := map[string]bool{}
		for range 1000 {
			t, k := keys.Generate("desk")
			Expect(seen[t] || seen[k.ID]).To(BeFalse())
			seen[t], seen[k.ID] = true, true
		}
	})
})

// FuzzAuthenticate guards against an authorization header that is accepted without the
// complete key.
func FuzzAuthenticate(f *testing.F) {
	keyText, keyRecord := keys.Generate("desk")
	v := keys.NewVerifier(&source{&config.Snapshot{Keys: map[string]fleet.Key{keyRecord.ID: keyRecord}}}, keys.NewRevokedSet())
	f.Add("Bearer " + keyText[:len(keyText)-1])
	f.Add(fmt.Sprintf("Bearer ssk_%s_", keyRecord.ID))
	f.Add("Bearer")
	f.Fuzz(func(t *testing.T, authorization string) {
		team, err := v.Authenticate(closed, authorization)
		if err == nil && !strings.HasSuffix(authorization, keyText) {
			t.Fatalf("%q accepted as team %s", authorization, team)
		}
	})
}
