package platform_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"samphirestile.example/samphirestile/internal/emulator/platform"
	"samphirestile.example/samphirestile/internal/store"
)

func TestEmulator(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "platform emulator")
}

var _ = Describe("the admin interface", func() {
	var url string
	call := func(method, path, body string) (int, string) {
		r, err := http.NewRequest(method, url+path, strings.NewReader(body))
		Expect(err).NotTo(HaveOccurred())
		resp, err := http.DefaultClient.Do(r)
		Expect(err).NotTo(HaveOccurred())
		defer resp.Body.Close()
		data, err := io.ReadAll(resp.Body)
		Expect(err).NotTo(HaveOccurred())
		return resp.StatusCode, string(data)
	}
	BeforeEach(func() {
		p := platform.New(platform.Config{HostLag: 150 * time.Millisecond})
		server := httptest.NewServer(p)
		url = server.URL
		DeferCleanup(func() { p.Close(); server.CloseClientConnections(); server.Close() })
	})

	It("sets and shows faults, rejects unknown ones and counts calls", func() {
		status, _ := call("PUT", "/admin/faults", `{"down": true}`)
		Expect(status).To(Equal(200))
		_, body := call("GET", "/admin/faults", "")
		var f platform.Faults
		Expect(json.Unmarshal([]byte(body), &f)).To(Succeed())
		Expect(f.Down).To(BeTrue())
		status, _ = call("POST", store.PathList, `{"prefix": ""}`)
		Expect(status).To(Equal(503))
		status, _ = call("PUT", "/admin/faults", `{"dwon": true}`)
		Expect(status).To(Equal(400))
		_, body = call("GET", "/admin/counters", "")
		Expect(body).To(MatchJSON(`{"kv/list": 1}`))
	})

	It("shows host changes to callers after the lag", func() {
		call("PUT", "/admin/hosts", `[{"id": "h", "state": "live"}]`)
		s, err := store.NewHTTP(store.HTTPConfig{URL: url})
		Expect(err).NotTo(HaveOccurred())
		defer s.Close()
		hosts, err := s.Hosts(context.Background())
		Expect(err).NotTo(HaveOccurred())
		Expect(hosts).To(BeEmpty())
		Eventually(func() int {
			hosts, err = s.Hosts(context.Background())
			Expect(err).NotTo(HaveOccurred())
			return len(hosts)
		}).Should(Equal(1))
	})
})

// Guards against request bodies that cause a server error.
func FuzzCalls(f *testing.F) {
	for _, path := range []string{store.PathPut, store.PathWatch, store.PathGrant, store.PathDelete} {
		f.Add(path, []byte(`{"key":"aw==","value":"","expect":0}`))
		f.Add(path, []byte(`{"prefix":"","after":1,"wait_ms":-1}`))
		f.Add(path, []byte(`{"ttl_ms":-5}`))
	}
	p := platform.New(platform.Config{})
	f.Cleanup(p.Close)
	f.Fuzz(func(t *testing.T, path string, body []byte) {
		// A long poll would only slow the fuzzing down.
		if path == store.PathWatch && !strings.Contains(string(body), `"wait_ms":-`) {
			return
		}
		if !strings.HasPrefix(path, "/v1/") || strings.ContainsAny(path, " \t\r\n%?#\x00") {
			return
		}
		w := httptest.NewRecorder()
		r, err := http.NewRequest(http.MethodPost, path, strings.NewReader(string(body)))
		if err != nil {
			return
		}
		p.ServeHTTP(w, r)
		if w.Code >= 500 {
			t.Fatalf("%s with body %q: status %d", path, body, w.Code)
		}
	})
}
