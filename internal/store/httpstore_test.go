package store_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	emulator "samphirestile.example/samphirestile/internal/emulator/platform"
	"samphirestile.example/samphirestile/internal/fleet"
	"samphirestile.example/samphirestile/internal/store"
)

func TestStore(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "store")
}

var ctx = context.Background()

func connect(c store.HTTPConfig) *store.HTTPStore {
	s, err := store.NewHTTP(c)
	ExpectWithOffset(1, err).NotTo(HaveOccurred())
	DeferCleanup(s.Close)
	return s
}

// serve starts an HTTP server with the handler f and returns its URL.
func serve(f http.HandlerFunc) string {
	server := httptest.NewServer(f)
	DeferCleanup(server.Close)
	return server.URL
}

func isUnavailable(err error) bool    { return errors.As(err, new(*store.UnavailableError)) }
func isUnknownOutcome(err error) bool { return errors.As(err, new(*store.UnknownOutcomeError)) }

var _ = Describe("the HTTP store with the emulated platform", func() {
	var (
		p *emulator.Platform
		s *store.HTTPStore
	)
	BeforeEach(func() {
		p = emulator.New(emulator.Config{History: 8})
		server := httptest.NewServer(p)
		DeferCleanup(func() { p.Close(); server.CloseClientConnections(); server.Close() })
		s = connect(store.HTTPConfig{URL: server.URL, Timeout: 300 * time.Millisecond})
	})

	It("reads back every byte of keys and values up to 1 MB", func() {
		for _, key := range []string{"a", "", "sp ace/ü?&#%00\x00\xff\n", strings.Repeat("k", store.MaxKeyBytes)} {
			value := []byte(strings.Repeat("\x00\xffv", store.MaxValueBytes/3))
			version, err := s.Put(ctx, key, value, 0, 0)
			Expect(err).NotTo(HaveOccurred())
			e, err := s.Get(ctx, key)
			Expect(err).NotTo(HaveOccurred())
			Expect(e.Version).To(Equal(version))
			Expect(e.Key).To(Equal(key))
			Expect(string(e.Value) == string(value)).To(BeTrue())
		}
		_, err := s.Put(ctx, "a", make([]byte, store.MaxValueBytes+1), 0, 0)
		Expect(errors.As(err, new(*store.TooLargeError))).To(BeTrue())
	})

	It("reports conflicts and missing keys with their types", func() {
		v, err := s.Put(ctx, "k", []byte("1"), 0, 0)
		Expect(err).NotTo(HaveOccurred())
		_, err = s.Put(ctx, "k", []byte("2"), 0, 0)
		var conflict *store.ConflictError
		Expect(errors.As(err, &conflict)).To(BeTrue())
		Expect(*conflict).To(Equal(store.ConflictError{Key: "k", Expect: 0, Current: v}))
		Expect(errors.As(s.Delete(ctx, "k", v+9), &conflict)).To(BeTrue())
		Expect(s.Delete(ctx, "k", v)).To(Succeed())
		_, err = s.Get(ctx, "k")
		Expect(errors.As(err, new(*store.NotFoundError))).To(BeTrue())
	})

	It("returns the changes of a prefix after a revision", func() {
		_, at, err := s.List(ctx, "w/")
		Expect(err).NotTo(HaveOccurred())
		time.AfterFunc(20*time.Millisecond, func() {
			_, _ = s.Put(ctx, "other", nil, 0, 0)
			v, _ := s.Put(ctx, "w/1", []byte("x"), 0, 0)
			_ = s.Delete(ctx, "w/1", v)
		})
		events, next, err := s.Watch(ctx, "w/", at, 5*time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(events[0].Key).To(Equal("w/1"))
		for len(events) < 2 {
			var more []store.Event
			more, next, err = s.Watch(ctx, "w/", next, 5*time.Second)
			Expect(err).NotTo(HaveOccurred())
			events = append(events, more...)
		}
		Expect(events[1].Deleted).To(BeTrue())
		none, after, err := s.Watch(ctx, "w/", next, 30*time.Millisecond)
		Expect(err).NotTo(HaveOccurred())
		Expect(none).To(BeEmpty())
		Expect(after).To(Equal(next))
	})

	It("reports a compacted watch position", func() {
		for range 12 {
			v, err := s.Put(ctx, "k", nil, 0, 0)
			Expect(err).NotTo(HaveOccurred())
			Expect(s.Delete(ctx, "k", v)).To(Succeed())
		}
		_, _, err := s.Watch(ctx, "", 1, time.Second)
		var compacted *store.CompactedError
		Expect(errors.As(err, &compacted)).To(BeTrue())
		Expect(compacted.After).To(Equal(uint64(1)))
	})

	It("distinguishes a write without effect from one with an unknown outcome", func() {
		p.SetFaults(emulator.Faults{Down: true})
		_, err := s.Put(ctx, "k", nil, 0, 0)
		Expect(isUnavailable(err)).To(BeTrue(), "%v", err)
		p.SetFaults(emulator.Faults{LoseWriteAnswers: 1})
		_, err = s.Put(ctx, "k", []byte("x"), 0, 0)
		Expect(isUnknownOutcome(err)).To(BeTrue(), "%v", err)
		e, err := s.Get(ctx, "k")
		Expect(err).NotTo(HaveOccurred())
		Expect(string(e.Value)).To(Equal("x"))
		p.SetFaults(emulator.Faults{DelayMS: 500})
		_, err = s.Put(ctx, "late", nil, 0, 0)
		Expect(isUnknownOutcome(err)).To(BeTrue(), "%v", err)
		p.SetFaults(emulator.Faults{})
		Eventually(func() error { _, err := s.Get(ctx, "late"); return err }, time.Second).Should(Succeed())
		p.SetFaults(emulator.Faults{Unreachable: true})
		_, err = s.Get(ctx, "k")
		Expect(isUnavailable(err)).To(BeTrue(), "%v", err)
	})

	It("reports records as missing once the platform has ended their lease, even before the requested time-to-live", func() {
		id, err := s.Grant(ctx, time.Hour)
		Expect(err).NotTo(HaveOccurred())
		_, err = s.Put(ctx, "leased", nil, 0, id)
		Expect(err).NotTo(HaveOccurred())
		Expect(s.KeepAlive(ctx, id)).To(Succeed())
		p.SetFaults(emulator.Faults{LeaseTTLDivisor: int64(time.Hour / (30 * time.Millisecond))})
		Eventually(func() error { _, err := s.Get(ctx, "leased"); return err }).Should(MatchError(ContainSubstring("not found")))
		Expect(errors.As(s.KeepAlive(ctx, id), new(*store.NotFoundError))).To(BeTrue())
	})

	It("transfers the host list again only if it changed", func() {
		p.SetHosts([]fleet.Host{{ID: "h", State: fleet.HostLive}})
		for range 2 {
			hosts, err := s.Hosts(ctx)
			Expect(err).NotTo(HaveOccurred())
			Expect(hosts).To(Equal([]fleet.Host{{ID: "h", State: fleet.HostLive}}))
		}
		p.SetHostState("h", fleet.HostGone)
		hosts, err := s.Hosts(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(hosts[0].State).To(Equal(fleet.HostGone))
		Expect(s.Drain(ctx, "h")).To(Succeed())
		Expect(s.Reboot(ctx, "h")).To(Succeed())
		Expect(p.Commands()).To(HaveLen(2))
		Expect(p.Counters()).To(HaveKeyWithValue("hosts/list", int64(3)))
	})
})

var _ = Describe("the HTTP store with a faulty platform", func() {
	It("reports a refused connection as a call without effect", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		address := l.Addr().String()
		Expect(l.Close()).To(Succeed())
		_, err = connect(store.HTTPConfig{URL: "http://" + address}).Put(ctx, "k", nil, 0, 0)
		Expect(isUnavailable(err)).To(BeTrue(), "%v", err)
	})

	// Guards against net/http resending a write when a reused connection breaks before the
	// first byte of the response.
	It("sends a write once when a reused connection breaks", func() {
		var puts atomic.Int32
		url := serve(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == store.PathPut {
				puts.Add(1)
				panic(http.ErrAbortHandler)
			}
			_, _ = io.WriteString(w, `{"key":"aw==","version":1}`)
		})
		s := connect(store.HTTPConfig{URL: url})
		for i := range 5 {
			_, err := s.Get(ctx, "k")
			Expect(err).NotTo(HaveOccurred())
			_, err = s.Put(ctx, "k", nil, 0, 0)
			Expect(isUnknownOutcome(err)).To(BeTrue(), "%v", err)
			Expect(puts.Load()).To(Equal(int32(i + 1)))
		}
	})

	DescribeTable("reports an unknown outcome for a response that is not from the platform",
		func(status int, body string) {
			url := serve(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Location", "/v1/kv/get")
				w.WriteHeader(status)
				_, _ = io.WriteString(w, body)
			})
			s := connect(store.HTTPConfig{URL: url, MaxResponseBytes: 100})
			_, err := s.Put(ctx, "k", nil, 0, 0)
			Expect(isUnknownOutcome(err)).To(BeTrue(), "%v", err)
			_, err = s.Get(ctx, "k")
			Expect(isUnavailable(err)).To(BeTrue(), "%v", err)
		},
		Entry("status 500 with a known code", 500, `{"code":"conflict"}`),
		Entry("a redirect", 307, ``),
		Entry("503 of a proxy", 503, `<html>`),
		Entry("409 with another code", 409, `{"code":"not_found"}`),
		Entry("a truncated body", 200, `{"version":`),
		Entry("a body above the size limit", 200, `{"version":1}`+strings.Repeat(" ", 100)),
	)

	It("rejects a URL that is not http", func() {
		for _, u := range []string{"", "https://192.0.2.1", "192.0.2.1:80", "http://", ":"} {
			_, err := store.NewHTTP(store.HTTPConfig{URL: u})
			Expect(errors.As(err, new(*store.URLError))).To(BeTrue(), u)
		}
	})
})
