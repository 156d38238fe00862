package metrics_test

import (
	"io"
	"net"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"samphirestile.example/samphirestile/internal/metrics"
)

func TestMetrics(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "metrics")
}

var _ = Describe("the traffic of a kind of peer", func() {
	It("is counted in both directions on dialed and on accepted connections", func() {
		r := metrics.New()
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		l := r.Traffic("client").Listener(listener)
		DeferCleanup(l.Close)
		go func() {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = io.CopyN(c, c, 5) // the byte counts below reveal a failure
			c.Close()
		}()
		dialed, err := net.Dial("tcp", listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		c := r.Traffic("worker").Conn(dialed)
		_, err = c.Write([]byte("hello"))
		Expect(err).NotTo(HaveOccurred())
		Expect(io.ReadAll(c)).To(Equal([]byte("hello")))
		text := func() string {
			w := httptest.NewRecorder()
			r.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
			return w.Body.String()
		}
		for _, peer := range []string{"client", "worker"} {
			for _, direction := range []string{"in", "out"} {
				Eventually(text, 3*time.Second).Should(MatchRegexp(`samphirestile_traffic_bytes\{direction="%s",peer="%s"\} 5`, direction, peer))
			}
		}
	})
	It("is not counted by a nil Traffic", func() {
		var nilTraffic *metrics.Traffic
		a, b := net.Pipe()
		defer a.Close()
		defer b.Close()
		Expect(nilTraffic.Conn(a)).To(Equal(a))
	})
})
