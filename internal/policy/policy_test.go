package policy_test

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"samphirestile.example/samphirestile/internal/policy"
)

func TestPolicy(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "policy")
}

var _ = Describe("a policy file", func() {
	It("disables everything if there is none", func() {
		Expect(policy.Load("")).To(Equal(policy.Policy{}))
	})
	// Guards against a misspelled field that leaves a part switched off without notice.
	It("is refused with a typed error if it is not valid", func() {
		for _, text := range []string{`{"admision": {"enabled": true}}`, `{"admission": {"enabled": 1}}`, `{} {}`, `[`, `{"returns": {"enabled": true}}`, `{"fairness": {"enabled": true}}`,
			`{"intake": {"head_bytes": 1}}`, `{"intake": {"buffer_bytes": -1}}`, `{"intake": {"connections": 16, "connections_per_address": 17}}`} {
			_, err := policy.Parse("f", []byte(text))
			Expect(errors.As(err, new(*policy.Error))).To(BeTrue(), text)
			Expect(err.Error()).To(ContainSubstring("f"))
		}
		_, err := policy.Load(filepath.Join(GinkgoT().TempDir(), "missing.json"))
		Expect(errors.Is(err, os.ErrNotExist)).To(BeTrue())
	})
	// Guards against a bound out of range that switches reservations off without notice, and against one that starves
	// large tasks.
	It("has bounds for the look-ahead, which may be left out", func() {
		p, err := policy.Parse("f", []byte(`{"look_ahead": {"enabled": true}}`))
		Expect(err).NotTo(HaveOccurred())
		Expect(p.LookAhead).To(Equal(policy.LookAhead{Enabled: true, MaxReservations: 8, MaxWaitMS: 1500}))
		_, err = policy.Parse("f", []byte(`{"look_ahead": {"max_reservations": 0, "max_wait_ms": 60000}}`))
		var invalid *policy.Error
		Expect(errors.As(err, &invalid)).To(BeTrue())
		Expect(invalid.Findings).To(Equal([]policy.Finding{
			{Path: "look_ahead.max_reservations", Value: "0", Allowed: "1 to 64"},
			{Path: "look_ahead.max_wait_ms", Value: "60000", Allowed: "100 to 2500"},
		}))
	})
	It("is valid as deployed", func() {
		p, err := policy.Load("../../deploy/policy.json")
		Expect(err).NotTo(HaveOccurred())
		Expect(p).NotTo(BeNil())
	})
})
