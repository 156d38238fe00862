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
		for _, text := range []string{`{"admision": {"enabled": true}}`, `{"admission": {"enabled": 1}}`, `{} {}`, `[`, `{"returns": {"enabled": true}}`,
			`{"intake": {"head_bytes": 1}}`, `{"intake": {"buffer_bytes": -1}}`, `{"intake": {"connections": 16, "connections_per_address": 17}}`} {
			_, err := policy.Parse("f", []byte(text))
			Expect(errors.As(err, new(*policy.Error))).To(BeTrue(), text)
			Expect(err.Error()).To(ContainSubstring("f"))
		}
		_, err := policy.Load(filepath.Join(GinkgoT().TempDir(), "missing.json"))
		Expect(errors.Is(err, os.ErrNotExist)).To(BeTrue())
	})
	It("is valid as deployed", func() {
		p, err := policy.Load("../../deploy/policy.json")
		Expect(err).NotTo(HaveOccurred())
		Expect(p).NotTo(BeNil())
	})
})
