package intake_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"samphirestile.example/samphirestile/internal/intake"
)

// serve starts a server that reads bodies and answers 200, or 400 where a body cannot be read.
func serve(o intake.Limits, part intake.Part) string {
	GinkgoHelper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	in := intake.New(intake.DefaultLimits(64<<20, 512).Override(o), tally.NoopScope, log)
	options := intake.Options{Part: part}
	server := in.Wrap(&http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var refused *intake.RefusedError
		switch _, err := io.ReadAll(r.Body); {
		case part == intake.Clients && errors.As(err, &refused):
			w.WriteHeader(refused.Status())
		case err != nil:
			w.WriteHeader(http.StatusBadRequest)
		}
	})}, options)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	go func() { _ = server.Serve(in.Listener(l, options)) }()
	DeferCleanup(server.Close)
	return l.Addr().String()
}

func dial(address string) net.Conn {
	GinkgoHelper()
	c, err := net.Dial("tcp", address)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = c.Close() }) // a spec may have closed it
	Expect(c.SetDeadline(time.Now().Add(10 * time.Second))).To(Succeed())
	return c
}

func write(c net.Conn, s string) {
	GinkgoHelper()
	_, err := io.WriteString(c, s)
	Expect(err).NotTo(HaveOccurred())
}

func response(r *bufio.Reader) *http.Response {
	GinkgoHelper()
	resp, err := http.ReadResponse(r, nil)
	Expect(err).NotTo(HaveOccurred())
	_, err = io.Copy(io.Discard, resp.Body)
	Expect(err).NotTo(HaveOccurred())
	return resp
}

var _ = Describe("a server behind an intake", func() {
	// Guards against bounds that the longest legal head, or pipelined requests, run into.
	It("serves pipelined requests with heads of the largest size", func() {
		c := dial(serve(intake.Limits{}, intake.Clients))
		head := "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
		for i := 0; len(head) < intake.DefaultHeadBytes-16; i++ {
			head += fmt.Sprintf("%x:\r\n", i)
		}
		go func() { _, _ = io.WriteString(c, strings.Repeat(head+"\r\nabc", 20)) }()
		r := bufio.NewReader(c)
		for range 20 {
			Expect(response(r).StatusCode).To(Equal(http.StatusOK))
		}
	})
	It("answers 431 to a head that is too large, and closes the connection", func() {
		c := dial(serve(intake.Limits{}, intake.Clients))
		write(c, "GET / HTTP/1.1\r\nHost: h\r\nX: "+strings.Repeat("x", 2*intake.DefaultHeadBytes))
		r := bufio.NewReader(c)
		Expect(response(r).StatusCode).To(Equal(http.StatusRequestHeaderFieldsTooLarge))
		_, err := r.ReadByte()
		Expect(err).To(HaveOccurred())
	})
	DescribeTable("gives a body up without progress, and lets a slow one finish", func(part intake.Part) {
		address := serve(intake.Limits{BodyIdleMS: 1000}, part)
		slow, stalled := dial(address), dial(address)
		write(stalled, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nab")
		write(slow, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n")
		for range 4 {
			time.Sleep(400 * time.Millisecond)
			write(slow, "x")
		}
		Expect(response(bufio.NewReader(slow)).StatusCode).To(Equal(http.StatusOK))
		Expect(response(bufio.NewReader(stalled)).StatusCode).To(Equal(http.StatusRequestTimeout))
	}, Entry("of a client", intake.Clients), Entry("of a peer", intake.Peers))
	// Guards against a refusal of a call between daemons that does not say that the call may be repeated.
	It("answers 503 with Retry-After to a body without budget, and serves after the holder has gone", func() {
		address := serve(intake.Limits{BufferBytes: 4 << 20}, intake.Peers)
		holder, c := dial(address), dial(address)
		write(holder, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\n"+strings.Repeat("x", 900_000))
		// The holder makes progress, so it is not shed.
		stop := make(chan struct{})
		done := make(chan struct{})
		go func() {
			defer close(done)
			for {
				select {
				case <-stop:
					return
				case <-time.After(100 * time.Millisecond):
					_, _ = io.WriteString(holder, "x")
				}
			}
		}()
		time.Sleep(300 * time.Millisecond)
		write(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n"+strings.Repeat("x", 100_000))
		resp := response(bufio.NewReader(c))
		Expect(resp.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(resp.Header.Get("Retry-After")).To(Equal("1"))
		close(stop)
		<-done
		holder.Close()
		Eventually(func() int {
			next := dial(address)
			write(next, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n"+strings.Repeat("x", 100_000))
			return response(bufio.NewReader(next)).StatusCode
		}, "5s").Should(Equal(http.StatusOK))
	})
})
