package settings_test

import (
	"errors"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"samphirestile.example/samphirestile/internal/settings"
)

func TestSettings(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "settings")
}

const validSettings = `{"daemon_id":"a","availability_zone":"z1","service_address":"127.0.0.1:1","peer_address":"127.0.0.1:2",
"operator_address":"127.0.0.1:3","cell_secret":"0123456789abcdef","operator_tokens":["0123456789abcdef"],
"platform_address":"127.0.0.1:4"}`

var _ = Describe("Parse", func() {
	It("accepts a minimal file and sets defaults", func() {
		s, err := settings.Parse("f", []byte(validSettings))
		Expect(err).NotTo(HaveOccurred())
		Expect(s.LeaseMS).To(BeEquivalentTo(10_000))
		Expect(s.AdvertisePeerAddress).To(Equal("127.0.0.1:2"))
	})

	// Guards against settings whose errors would show only while the daemon runs.
	DescribeTable("rejects invalid settings",
		func(old, replacement, path string) {
			_, err := settings.Parse("f", []byte(strings.Replace(validSettings, old, replacement, 1)))
			var e *settings.Error
			Expect(errors.As(err, &e)).To(BeTrue())
			Expect(e.Error()).To(ContainSubstring(path))
			Expect(e.Error()).To(ContainSubstring("f"))
		},
		Entry("unknown field", `"daemon_id"`, `"daemonid"`, "daemonid"),
		Entry("duplicate listen addresses", "127.0.0.1:3", "127.0.0.1:1", "operator_address"),
		Entry("host name", "127.0.0.1:4", "localhost:4", "platform_address"),
		Entry("wrong type", `"a"`, `7`, "line 1"),
		Entry("short secret", `"cell_secret":"0123456789abcdef"`, `"cell_secret":"x"`, "cell_secret"),
		Entry("negative duration", `"daemon_id"`, `"lease_ms":-1,"daemon_id"`, "lease_ms"),
		Entry("trailing data", `"platform_address":"127.0.0.1:4"}`, `"platform_address":"127.0.0.1:4"}{}`, "after the settings"),
	)

	It("does not include a secret in its error", func() {
		_, err := settings.Parse("f", []byte(strings.Replace(validSettings, `"cell_secret":"0123456789abcdef"`, `"cell_secret":"hunter2"`, 1)))
		Expect(err.Error()).NotTo(ContainSubstring("hunter2"))
	})
})
