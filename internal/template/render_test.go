package template_test

import (
	"errors"
	"maps"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"samphirestile.example/samphirestile/internal/fleet"
	"samphirestile.example/samphirestile/internal/template"
)

func TestTemplate(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "template")
}

const (
	keyID   = "0123456789abcdef"
	keyHash = "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"
)

// documents returns a valid configuration with two accounts that use the same template.
func documents() map[string][]byte {
	return map[string][]byte{
		"service/quotes": []byte(`{
			"parameters": {
				"run_ms": {"type": "integer", "default": 2000, "min": 100, "max": 9000, "description": "run time"},
				"pool": {"type": "string"}},
			"body": {"max_run_time_ms": {"$param": "run_ms"}, "max_wait_ms": 500, "max_body_bytes": 1000,
				"pool": {"$param": "pool"}, "budget": {"max_unavailable": 1}}}`),
		"pool/main":  []byte(`{"body": {"fleet": "site", "min_hosts": 2, "max_hosts": 12, "maintenance": {"max_parallel_hosts": 1, "interval_days": 42}}}`),
		"pool/spare": []byte(`{"body": {"fleet": "site", "spare": true}}`),
		"fleet/site": []byte(`{"body": {"spare_pool": "spare", "buffer_percent": 10}}`),
		"account/acme": []byte(`{
			"parameters": {"pool": "main"},
			"templates": [
				{"template": "service/quotes", "name": "acme-quotes", "parameters": {"run_ms": 3000}},
				{"template": "pool/main"}, {"template": "pool/spare"}, {"template": "fleet/site"}],
			"teams": [{"id": "desk", "weight": 2.5, "limit": 40}]}`),
		"account/beta": []byte(`{
			"templates": [{"template": "service/quotes", "name": "beta-quotes", "parameters": {"pool": "main"}}],
			"teams": [{"id": "lab", "weight": 1, "limit": 0}]}`),
		"endpoints/acme-quotes": []byte(`{"endpoints": [
			{"id": "q1", "address": "192.0.2.1:8080", "host": "h1", "slots": 8, "connections": 64, "leaving": true},
			{"id": "q2", "address": "[2001:db8::1]:8080", "slots": 8, "connections": 64}]}`),
		"keys/acme": []byte(`{"keys": [{"id": "` + keyID + `", "team": "desk", "hash": "` + keyHash + `"}]}`),
	}
}

func findings(d map[string][]byte) []template.Finding {
	_, err := template.Render(d)
	var f *template.FindingsError
	ExpectWithOffset(1, errors.As(err, &f)).To(BeTrue(), "%v", err)
	return f.Findings
}

var _ = Describe("rendering", func() {
	It("produces a complete configuration", func() {
		s, err := template.Render(documents())
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Services).To(HaveLen(2))
		Expect(s.Services["acme-quotes"]).To(Equal(fleet.Service{
			ID: "acme-quotes", MaxRunTime: 3 * time.Second, MaxWait: 500 * time.Millisecond, MaxBodyBytes: 1000}))
		Expect(s.Services["beta-quotes"].MaxRunTime).To(Equal(2 * time.Second))
		Expect(s.Teams["desk"]).To(Equal(fleet.Team{ID: "desk", Account: "acme", Weight: 2.5, Limit: 40}))
		Expect(s.Endpoints["q1"]).To(Equal(fleet.Endpoint{ID: "q1", Service: "acme-quotes", Host: "h1",
			Address: "192.0.2.1:8080", Slots: 8, Connections: 64, Leaving: true}))
		Expect(s.Keys[keyID]).To(Equal(fleet.Key{ID: keyID, Team: "desk", Hash: keyHash}))
	})

	It("applies an edited template to every account that uses it", func() {
		d := documents()
		d["service/quotes"] = []byte(strings.ReplaceAll(string(d["service/quotes"]), `"max_wait_ms": 500`, `"max_wait_ms": 700`))
		s, err := template.Render(d)
		Expect(err).NotTo(HaveOccurred())
		for _, service := range s.Services {
			Expect(service.MaxWait).To(Equal(700 * time.Millisecond))
		}
	})

	It("lets accounts share a service only if they render it to the same values", func() {
		d := documents()
		accountDocument := `{"templates": [{"template": "service/quotes", "name": "acme-quotes", "parameters": {"pool": "main", "run_ms": 3000}}]}`
		d["account/beta"] = []byte(accountDocument)
		_, err := template.Render(d)
		Expect(err).NotTo(HaveOccurred())
		d["account/beta"] = []byte(strings.ReplaceAll(accountDocument, "3000", "4000"))
		Expect(findings(d)).To(ContainElement(HaveField("Allowed", ContainSubstring("no account renders to other values"))))
	})

	// Guards against keys that authenticate for a team of another account or for a removed
	// team.
	It("omits keys of teams that the account does not have", func() {
		d := documents()
		d["keys/beta"] = []byte(strings.ReplaceAll(string(d["keys/acme"]), keyID, "fedcba9876543210"))
		s, err := template.Render(d)
		Expect(err).NotTo(HaveOccurred())
		Expect(maps.Keys(s.Keys)).To(ConsistOf(keyID))
	})

	It("reports all findings of all documents together", func() {
		d := documents()
		d["service/quotes"] = []byte(strings.ReplaceAll(string(d["service/quotes"]), `"max_wait_ms": 500`, `"max_wait_ms": 0`))
		d["account/acme"] = []byte(strings.ReplaceAll(string(d["account/acme"]), `"weight": 2.5, "limit": 40`, `"weight": 0, "limit": -1`))
		d["endpoints/acme-quotes"] = []byte(strings.ReplaceAll(string(d["endpoints/acme-quotes"]), `192.0.2.1:8080`, `db.example:80`))
		Expect(findings(d)).To(ConsistOf(
			template.Finding{Document: "account/acme", Path: "$.teams[0].weight", Value: "0", Allowed: "a number from 0.001 to 1e+06"},
			template.Finding{Document: "account/acme", Path: "$.teams[0].limit", Value: "-1", Allowed: "a whole number from 0 to 1000000"},
			template.Finding{Document: "endpoints/acme-quotes", Path: "$.endpoints[0].address", Value: `"db.example:80"`, Allowed: "an IP number and port, such as 192.0.2.1:8080"},
			template.Finding{Document: "service/quotes", Path: "$.body.max_wait_ms", Value: "0", Allowed: "a whole number from 1 to 600000"},
		))
	})

	DescribeTable("reports", func(document, old, replacement, path string) {
		d := documents()
		Expect(string(d[document])).To(ContainSubstring(old))
		d[document] = []byte(strings.Replace(string(d[document]), old, replacement, 1))
		all := findings(d)
		Expect(all).To(ContainElement(And(HaveField("Document", document), HaveField("Path", path))), "%v", all)
		for _, f := range all {
			Expect(f.Value).NotTo(BeEmpty())
			Expect(f.Allowed).NotTo(BeEmpty())
		}
	},
		Entry("an unknown field", "service/quotes", `"max_wait_ms"`, `"max_wait"`, "$.body.max_wait"),
		Entry("a missing parameter", "account/beta", `{"pool": "main"}`, `{}`, "$.templates[0].parameters.pool"),
		Entry("a parameter of the wrong type", "account/acme", `3000`, `"3s"`, "$.templates[0].parameters.run_ms"),
		Entry("a parameter out of range", "account/acme", `3000`, `99`, "$.templates[0].parameters.run_ms"),
		Entry("a parameter with a fraction", "account/acme", `3000`, `3000.5`, "$.templates[0].parameters.run_ms"),
		Entry("an unknown parameter", "account/acme", `"run_ms"`, `"run"`, "$.templates[0].parameters.run"),
		Entry("an unused account parameter", "account/acme", `{"pool": "main"}`, `{"pool": "main", "x": 1}`, "$.parameters.x"),
		Entry("an undeclared reference", "service/quotes", `{"$param": "pool"}`, `{"$param": "poll"}`, "$.body.pool.$param"),
		Entry("an invalid default", "service/quotes", `"default": 2000`, `"default": 20`, "$.parameters.run_ms.default"),
		Entry("an invalid parameter type", "service/quotes", `"integer"`, `"int"`, "$.parameters.run_ms.type"),
		Entry("a service in an unknown pool", "account/acme", `{"pool": "main"}`, `{"pool": "other"}`, "$.parameters.pool"),
		Entry("a pool of an unknown fleet", "pool/main", `"site"`, `"town"`, "$.body.fleet"),
		Entry("a minimum above the maximum", "pool/main", `"min_hosts": 2`, `"min_hosts": 13`, "$.body.min_hosts"),
		Entry("a spare pool without spare set", "fleet/site", `"spare_pool": "spare"`, `"spare_pool": "main"`, "$.body.spare_pool"),
		Entry("an unknown template", "account/beta", `service/quotes`, `service/none`, "$.templates[0].template"),
		Entry("a team in two accounts", "account/beta", `"lab"`, `"desk"`, "$.teams[0].id"),
		Entry("a duplicate endpoint ID", "endpoints/acme-quotes", `"q2"`, `"q1"`, "$.endpoints[1].id"),
		Entry("a duplicate address", "endpoints/acme-quotes", `[2001:db8::1]:8080`, `[::ffff:192.0.2.1]:8080`, "$.endpoints[1].address"),
		Entry("port 0", "endpoints/acme-quotes", `192.0.2.1:8080`, `192.0.2.1:0`, "$.endpoints[0].address"),
		Entry("an open service without a team", "service/quotes", `"max_wait_ms"`, `"open": true, "max_wait_ms"`, "$.body.open_team"),
		Entry("an open team that no account has", "service/quotes", `"max_wait_ms"`, `"open": true, "open_team": "none", "max_wait_ms"`, "$.body.open_team"),
		Entry("trailing data", "pool/main", `}}}`, `}}} {}`, "$"),
		Entry("a duplicate field", "pool/main", `"min_hosts": 2`, `"min_hosts": 2, "min_hosts": 3`, "$.body.min_hosts"),
		Entry("an incomplete document", "pool/main", `}}}`, `}}`, "$"),
		Entry("a malformed key hash", "keys/acme", keyHash, keyHash[1:], "$.keys[0].hash"),
	)

	It("reports an endpoint document of a service that no account uses, and invalid document names", func() {
		d := documents()
		d["endpoints/none"] = []byte(`{"endpoints": []}`)
		d["zone/x"] = []byte(`{}`)
		d["pool/Main"] = []byte(`{}`)
		Expect(findings(d)).To(HaveLen(3))
	})

	It("validates a template that no account uses, as far as its parameters have defaults", func() {
		d := documents()
		d["service/idle"] = []byte(`{"parameters": {"p": {"type": "string"}}, "body": {"pool": {"$param": "p"}, "max_wait_ms": 0}}`)
		Expect(findings(d)).To(ConsistOf(HaveField("Path", "$.body.max_wait_ms")))
	})
})

// Guards against panics on arbitrary documents, and against accepted configurations with
// invalid endpoints or teams.
func FuzzRender(f *testing.F) {
	for name, content := range documents() {
		f.Add(name, content)
	}
	f.Add("account/x", []byte(`{"templates":[{"template":"service/quotes","parameters":[]}],"teams":{}}`))
	f.Add("service/x", []byte(`{"parameters":{"p":{"type":"integer","min":null}},"body":{"$param":"p"}}`))
	f.Fuzz(func(t *testing.T, name string, content []byte) {
		d := documents()
		d[name] = content
		s, err := template.Render(d)
		if err != nil {
			if !errors.As(err, new(*template.FindingsError)) {
				t.Fatalf("Render returned a %T instead of a *FindingsError: %v", err, err)
			}
			return
		}
		for id, e := range s.Endpoints {
			if _, ok := s.Services[e.Service]; !ok || e.Slots < 1 || e.Address == "" {
				t.Fatalf("endpoint %s accepted with an unknown service, no slots or no address: %+v", id, e)
			}
		}
		for id, team := range s.Teams {
			if team.Weight <= 0 || team.Limit < 0 {
				t.Fatalf("team %s accepted with an invalid weight or limit: %+v", id, team)
			}
		}
	})
}
