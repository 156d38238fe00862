package integration

import (
	"bufio"
	"context"
	"io"
	"math"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"samphirestile.example/samphirestile/internal/emulator/endpoint"
	"samphirestile.example/samphirestile/internal/emulator/history"
	"samphirestile.example/samphirestile/internal/emulator/load"
	"samphirestile.example/samphirestile/internal/emulator/process"
	"samphirestile.example/samphirestile/internal/emulator/relay"
	"samphirestile.example/samphirestile/internal/problem"
)

// Guarantee 10: a change is in effect on every daemon within 2 s and never reverts.
var _ = Describe("configuration", func() {
	It("is in effect on every daemon within 2 s, also on one that cannot reach the store, and never reverts", func() {
		o := standardOptions()
		o.PeerRelays, o.StoreRelays = true, true
		c := start(o)
		highest := map[string]int64{}
		Expect(c.IsolateFromStore(c.Daemons[2], process.Refused)).To(Succeed())
		for i := range 5 {
			Expect(c.SetLimit("large", 4+i)).To(Succeed())
			want := c.Daemons[0].Revision()
			Expect(c.AwaitConfiguration(2 * time.Second)).To(Succeed())
			for _, d := range c.Running() {
				Expect(d.Revision()).To(BeNumerically(">=", max(highest[d.ID], want)), d.ID)
				highest[d.ID] = d.Revision()
			}
		}
		Expect(c.IsolateFromStore(c.Daemons[2], relay.Switches{})).To(Succeed())
		c.Daemons[1].Kill()
		Expect(c.Boot(c.Daemons[1])).To(Succeed())
		Expect(c.AwaitReady(10 * time.Second)).To(Succeed())
		for _, d := range c.Running() {
			Expect(d.Revision()).To(BeNumerically(">=", highest[d.ID]), d.ID)
		}
	})
})

var _ = Describe("service", func() {
	It("is provided by five daemons that start at the same time and know the seats of all within 3 s", func() {
		o := standardOptions()
		o.ConcurrentStart, o.Daemons = true, 5
		c := start(o)
		for _, d := range c.Daemons {
			Eventually(func(g Gomega) {
				seats, err := d.Operator.ListDaemons(context.Background())
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(seats).To(HaveLen(5), d.ID)
			}, "3s", "50ms").Should(Succeed())
		}
	})

	It("continues through an outage of the store that is longer than every lease", func() {
		o := standardOptions()
		o.StoreRelays = true
		c := start(o)
		client := caller(c, "k", "large")
		client.Concurrency = 4
		r := run(9000, []load.Caller{client},
			at(1000, func() error { return c.SetStoreSwitches(process.Blackholed) }),
			at(7500, func() error { return c.SetStoreSwitches(relay.Switches{}) }))
		check(c, r, limits(), history.NewCompleteResponses(false))
		for _, e := range r.Recorder.Events(0) {
			if e.Kind == history.KindResult {
				Expect(e.Whole).To(BeTrue(), "%+v", e)
			}
		}
	})

	It("continues on the other daemons when one cannot reach the store and its peers, and that one refuses requests", func() {
		o := standardOptions()
		o.PeerRelays, o.StoreRelays = true, true
		c := start(o)
		Expect(c.AwaitQuorums(10 * time.Second)).To(Succeed())
		connected, separated := caller(c, "near", "large"), caller(c, "far", "tiny")
		connected.Targets = load.EvenTargets(c.Daemons[0].ServiceURL(), c.Daemons[1].ServiceURL())
		separated.Targets = load.EvenTargets(c.Daemons[2].ServiceURL())
		connected.Concurrency, separated.Concurrency = 4, 1
		d := c.Daemons[2]
		r := run(9000, []load.Caller{connected, separated},
			at(1000, func() error { return c.IsolateFromStore(d, process.Refused) }),
			at(1000, func() error { return c.IsolateFromPeers(d, process.Refused) }))
		events := check(c, r, limits(), history.NewCompleteResponses(false))
		end := events[len(events)-1].TimeNS
		lateResponses, lateRefusals := 0, 0
		for _, e := range events {
			if e.Kind != history.KindResult || e.TimeNS < end-int64(2*time.Second) {
				continue
			}
			if e.Target == d.ServiceURL() {
				lateRefusals++
				Expect(e.Outcome).To(Equal(string(problem.NotRun)), "%+v", e)
			} else if e.Whole {
				lateResponses++
			}
		}
		Expect(lateResponses).To(BeNumerically(">", 50))
		Expect(lateRefusals).To(BeNumerically(">", 5))
	})
})

var _ = Describe("a cell at full load", func() {
	fullLoadOptions := func() process.Options {
		o := standardOptions()
		o.Services[0].Slots = 4
		o.Services[0].Behaviour = endpoint.Settings{Shape: endpoint.Fixed, MeanMS: 50, Capacity: 4}
		o.Teams = []process.Team{
			{ID: "one", Account: "x", Weight: 1, Limit: 100},
			{ID: "two", Account: "x", Weight: 2, Limit: 100},
			{ID: "four", Account: "y", Weight: 4, Limit: 100},
		}
		return o
	}
	// tripleLoad returns callers for three teams, each of which sends the full capacity of
	// 240 requests per second, mostly to a different daemon.
	tripleLoad := func(c *process.Cell) []load.Caller {
		var callers []load.Caller
		for i, team := range []string{"one", "two", "four"} {
			client := caller(c, team, team)
			client.Rate, client.DeadlineMS, client.UrgentShare = &load.Rate{Mean: 240}, 1000, 0.05
			client.Targets[i].Weight = 5
			callers = append(callers, client)
		}
		return callers
	}

	It("is divided by weight within 5 %, refuses within 1.2 s with Retry-After, and starts urgent requests within 1.2 s", func() {
		c := start(fullLoadOptions())
		r := run(10000, tripleLoad(c))
		events := check(c, r, history.NewCompleteResponses(false))
		demands := map[string]history.Demand{}
		for team, weight := range map[string]float64{"one": 1, "two": 2, "four": 4} {
			demands[team] = history.Demand{Weight: weight, Wanted: 12}
		}
		errs := history.ShareErrors(events, history.SteadyWindow(events, 3*time.Second), demands)
		Expect(errs).To(HaveLen(3))
		for team, e := range errs {
			Expect(math.Abs(e)).To(BeNumerically("<=", 5), "%s: %v", team, errs)
		}
		urgentSentNS := map[string]int64{}
		for _, e := range events {
			switch {
			case e.Kind == history.KindSend && e.Urgent:
				urgentSentNS[e.Op] = e.TimeNS
			case e.Kind == history.KindStart && urgentSentNS[e.Op] != 0:
				Expect(time.Duration(e.TimeNS-urgentSentNS[e.Op])).To(BeNumerically("<", 1200*time.Millisecond), e.Op)
			case e.Kind == history.KindResult && e.Outcome != "":
				Expect(e.RetryAfterMS).To(BeNumerically(">", 0), "%+v", e)
				Expect(time.Duration(e.LatencyNS)).To(BeNumerically("<", 1200*time.Millisecond), "%+v", e)
			}
		}
	})

	It("lends the unused share of a team to others and returns it within 1 s", func() {
		c := start(fullLoadOptions())
		one, four := caller(c, "one", "one"), caller(c, "four", "four")
		one.Concurrency, one.DeadlineMS = 40, 1000
		begin := history.Now()
		// The team with the larger share returns after 3 s with a demand peak.
		four.Rate, four.DeadlineMS = &load.Rate{Mean: 100, Burst: &load.Burst{Queue: 1, Queues: 2, LengthMS: 3000}}, 1000
		r := run(6000, []load.Caller{one, four})
		events := check(c, r)
		span := func(from, to time.Duration) map[string]float64 {
			return history.RunningTime(events, history.Window{From: begin + int64(from), To: begin + int64(to)})
		}
		borrowed, returned := span(time.Second, 2900*time.Millisecond), span(4*time.Second, 5900*time.Millisecond)
		Expect(borrowed["one"]/1.9).To(BeNumerically(">", 0.9*12), "mean number of running requests of team one while team four sends little")
		Expect(returned["four"]/returned["one"]).To(BeNumerically(">", 3.6), "the entitlements of teams four and one are 4 to 1")
	})
})

var _ = Describe("bad requests", func() {
	It("receive a problem response and do not run", func() {
		c := start(standardOptions())
		client := caller(c, "k", "large")
		status, body := get(c.Daemons[0].ServiceURL()+"/nowhere/x", "Bearer "+client.Key)
		Expect(status).To(Equal(http.StatusNotFound))
		Expect(body.Code).To(Equal(problem.CodeServiceNotFound))
		head := "GET /work/ HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + client.Key + "\r\n"
		for name, request := range map[string]string{
			"oversized header":                          head + "X-Big: " + strings.Repeat("x", 2<<20) + "\r\n\r\n",
			"two lengths":                               head + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
			"length and chunked":                        head + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
			"malformed chunk":                           strings.Replace(head, "GET", "POST", 1) + "Transfer-Encoding: chunked\r\n\r\nzz\r\nabc",
			"invalid header field":                      head + "Bad Name: 1\r\n\r\n",
			"body shorter than its length, then closed": strings.Replace(head, "GET", "POST", 1) + "Content-Length: 100\r\n\r\nabc",
		} {
			status, contentType := sendRaw(c.Daemons[1].ServiceAddress, request)
			Expect(status).To(And(BeNumerically(">=", 400), BeNumerically("<", 500)), name)
			Expect(contentType).To(Equal(problem.ContentType), name)
		}
		events, err := c.Events()
		Expect(err).NotTo(HaveOccurred())
		Expect(events).To(BeEmpty())
	})

	It("receive a response with outcome not-run when their header is sent too slowly", func() {
		c := start(standardOptions())
		conn, err := net.Dial("tcp", c.Daemons[0].ServiceAddress)
		Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		_, err = io.WriteString(conn, "GET /work/ HTTP/1.1\r\nHost: x\r\n")
		Expect(err).NotTo(HaveOccurred())
		Expect(conn.SetReadDeadline(time.Now().Add(20 * time.Second))).To(Succeed())
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(http.StatusRequestTimeout))
		Expect(resp.Header.Get(problem.HeaderOutcome)).To(Equal(string(problem.NotRun)))
	})
})

// sendRaw sends raw bytes, half-closes the connection and reads the head of the response.
func sendRaw(address, request string) (int, string) {
	GinkgoHelper()
	conn, err := net.Dial("tcp", address)
	Expect(err).NotTo(HaveOccurred())
	defer conn.Close()
	go func() {
		// The daemon may respond and close before it has read everything.
		_, _ = io.WriteString(conn, request)
		_ = conn.(*net.TCPConn).CloseWrite()
	}()
	Expect(conn.SetReadDeadline(time.Now().Add(10 * time.Second))).To(Succeed())
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	Expect(err).NotTo(HaveOccurred())
	return resp.StatusCode, resp.Header.Get("Content-Type")
}
