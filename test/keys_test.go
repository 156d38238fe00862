package integration

import (
	"encoding/json"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"samphirestile.example/samphirestile/internal/emulator/history"
	"samphirestile.example/samphirestile/internal/emulator/load"
	"samphirestile.example/samphirestile/internal/emulator/process"
	"samphirestile.example/samphirestile/internal/problem"
)

// Guarantee 3: requests are accepted only for the team whose key they carry, and a
// revoked key is rejected everywhere within 2 s.
var _ = Describe("keys", func() {
	It("are required and verified, except for open services", func() {
		o := standardOptions()
		open := o.Services[0]
		open.ID, open.OpenTeam, open.Endpoints = "open", "tiny", 1
		o.Services = append(o.Services, open)
		c := start(o)
		client := caller(c, "k", "tiny")
		other := caller(c, "other", "large")
		for name, authorization := range map[string]string{
			"none": "", "malformed": "Basic abc", "unknown": "Bearer " + client.Key + "x", "mixed": "Bearer " + client.Key[:len(client.Key)/2] + other.Key[len(other.Key)/2:],
		} {
			for _, d := range c.Daemons {
				status, body := get(d.ServiceURL()+"/work/?op="+name, authorization)
				Expect(status).To(Equal(http.StatusUnauthorized), name)
				Expect(body.Outcome).To(Equal(problem.NotRun), name)
				Expect(body.Code).To(Or(Equal(problem.CodeKeyMissing), Equal(problem.CodeKeyRejected)), name)
			}
		}
		events, err := c.Events()
		Expect(err).NotTo(HaveOccurred())
		Expect(events).To(BeEmpty(), "a request without a valid key ran")
		for _, d := range c.Daemons {
			status, body := get(d.ServiceURL()+"/open/", "")
			Expect(status).To(Equal(http.StatusOK), "%s: %+v", d.ID, body)
			status, body = get(d.ServiceURL()+"/work/", "Bearer "+client.Key)
			Expect(status).To(Equal(http.StatusOK), "%s: %+v", d.ID, body)
		}
	})

	DescribeTable("stop working within 2 s of their revocation", func(prepare func(*process.Cell) error) {
		o := standardOptions()
		o.PeerRelays, o.StoreRelays = true, true
		c := start(o)
		client := caller(c, "k", "large")
		client.Concurrency, client.RefusalPauseMS = 6, 5
		r := run(5500, []load.Caller{client}, at(1500, func() error { return prepare(c) }), at(2000, func() error {
			_, err := c.Revoke(c.Daemons[0], client.KeyID)
			return err
		}))
		events := check(c, r, history.NewRevokedKey(2*time.Second))
		Expect(r.Total().Answered).To(BeNumerically(">", 100), "work before the revocation")
		refusedBy := map[string]bool{}
		for _, e := range events {
			if e.Kind == history.KindResult && e.Status == http.StatusUnauthorized {
				refusedBy[e.Target] = true
			}
		}
		Expect(refusedBy).To(HaveLen(3), "every daemon refuses the key")
	},
		Entry("on all daemons", func(*process.Cell) error { return nil }),
		Entry("on a daemon that cannot reach the store", func(c *process.Cell) error {
			return c.IsolateFromStore(c.Daemons[2], process.Refused)
		}),
		Entry("while the store is down", func(c *process.Cell) error { return c.SetStoreSwitches(process.Refused) }),
	)
})

// get sends one request and returns the status and, if present, the problem body.
func get(url, authorization string) (int, problem.Body) {
	GinkgoHelper()
	req, err := http.NewRequest(http.MethodGet, url, nil)
	Expect(err).NotTo(HaveOccurred())
	if authorization != "" {
		req.Header.Set("Authorization", authorization)
	}
	resp, err := http.DefaultClient.Do(req)
	Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	var body problem.Body
	if resp.Header.Get("Content-Type") == problem.ContentType {
		Expect(json.NewDecoder(resp.Body).Decode(&body)).To(Succeed())
	}
	return resp.StatusCode, body
}
