package idempotency_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"samphirestile.example/samphirestile/internal/fleet"
	"samphirestile.example/samphirestile/internal/idempotency"
	"samphirestile.example/samphirestile/internal/membership"
	"samphirestile.example/samphirestile/internal/peerapi"
	"samphirestile.example/samphirestile/internal/peerapi/oas"
	"samphirestile.example/samphirestile/internal/problem"
)

func TestIdempotency(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "idempotency")
}

// clock is a settable time.
type clock struct{ offset atomic.Int64 }

func (c *clock) now() time.Time          { return time.Unix(1e9, c.offset.Load()) }
func (c *clock) advance(d time.Duration) { c.offset.Add(int64(d)) }

// source is a settable view of one daemon.
type source struct {
	mu      sync.Mutex
	view    membership.View
	changed chan struct{}
}

func (s *source) View() membership.View {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view
}
func (s *source) Subscribe() (<-chan struct{}, func()) { return s.changed, func() {} }
func (s *source) StartPermitted() bool                 { return true }

type unreachableError struct{}

func (unreachableError) Error() string { return "unreachable" }

// link is the way to another daemon's table; it can be cut.
type link struct {
	table *idempotency.Table
	cut   atomic.Bool
	asked atomic.Int64
}

func (l *link) Claim(ctx context.Context, r *oas.ClaimRequest) (*oas.ClaimReply, error) {
	l.asked.Add(1)
	if l.cut.Load() {
		return nil, unreachableError{}
	}
	return l.table.Claim(ctx, r)
}

func (l *link) Settle(ctx context.Context, r *oas.SettleRequest) error {
	if l.cut.Load() {
		return unreachableError{}
	}
	return l.table.Settle(ctx, r)
}

// cell is a number of daemons, each with one seat.
type cell struct {
	clock    clock
	links    []*link
	sources  []*source
	daemons  []*idempotency.Coordinator
	inactive map[int]bool
}

func newCell(n int, inactive ...int) *cell {
	c := &cell{inactive: make(map[int]bool)}
	for _, i := range inactive {
		c.inactive[i] = true
	}
	for i := range n {
		c.links = append(c.links, &link{table: idempotency.NewTable(0, c.clock.now)})
		c.sources = append(c.sources, &source{changed: make(chan struct{}, 1), view: c.viewOf(i, n)})
		c.daemons = append(c.daemons, c.start(i, false))
	}
	return c
}

func (c *cell) start(i int, await bool) *idempotency.Coordinator {
	d := idempotency.NewCoordinator(idempotency.Options{
		Members: c.sources[i], Table: c.links[i].table, Now: c.clock.now, AwaitHistory: await,
		Dial: func(address string) (idempotency.Peer, error) {
			var n int
			_, err := fmt.Sscanf(address, "daemon-%d", &n)
			return c.links[n], err
		},
	})
	DeferCleanup(d.Close)
	return d
}

func seat(i int) fleet.SeatID { return fleet.SeatID(fmt.Sprintf("seat-%02d", i)) }

func (c *cell) viewOf(self, n int) membership.View {
	v := membership.View{Epoch: uint64(time.Now().UnixNano())}
	for i := range n {
		v.Members = append(v.Members, membership.Member{
			Seat: seat(i), PeerAddress: fmt.Sprintf("daemon-%d", i), Active: !c.inactive[i], Self: i == self,
		})
	}
	return v
}

// spread gives daemon i the present state of the cell.
func (c *cell) spread(daemons ...int) {
	for _, i := range daemons {
		s := c.sources[i]
		s.mu.Lock()
		s.view = c.viewOf(i, len(c.links))
		s.mu.Unlock()
		select {
		case s.changed <- struct{}{}:
		default:
		}
		c.daemons[i].History()
	}
}

func (c *cell) all() []int {
	var all []int
	for i := range c.daemons {
		all = append(all, i)
	}
	return all
}

// homes returns the daemons whose tables were asked for a key.
func (c *cell) homes(key string) []int {
	GinkgoHelper()
	for _, l := range c.links {
		l.asked.Store(0)
	}
	// Daemon 0 asks its own table directly, so the probe comes from a daemon without a seat.
	s := &source{changed: make(chan struct{}), view: c.viewOf(-1, len(c.links))}
	c.sources = append(c.sources, s)
	c.links = append(c.links, &link{table: idempotency.NewTable(0, nil)})
	probe := c.start(len(c.links)-1, false)
	c.sources, c.links = c.sources[:len(c.sources)-1], c.links[:len(c.links)-1]
	granted, _, err := probe.Claim(context.Background(), "team", key, "probe")
	Expect(err).NotTo(HaveOccurred())
	Expect(granted).To(BeTrue())
	probe.Settle("team", key, "probe", idempotency.Released, 0)
	var homes []int
	for i, l := range c.links {
		if l.asked.Load() > 0 {
			homes = append(homes, i)
		}
	}
	return homes
}

func (c *cell) claim(daemon int, key, id string) (bool, idempotency.Claim, error) {
	return c.daemons[daemon].Claim(context.Background(), "team", key, id)
}

func (c *cell) mustClaim(daemon int, key, id string) {
	GinkgoHelper()
	granted, _, err := c.claim(daemon, key, id)
	Expect(err).NotTo(HaveOccurred())
	Expect(granted).To(BeTrue())
}

func expectProblem(err error, outcome problem.Outcome) {
	GinkgoHelper()
	var p *problem.Error
	Expect(errors.As(err, &p)).To(BeTrue(), "%v", err)
	Expect(p.Code).To(Equal(problem.CodeIdempotencyUnknown))
	Expect(p.Outcome).To(Equal(outcome))
}

var _ = Describe("claims", func() {
	It("gives a repeat through another daemon the outcome of the first run", func() {
		c := newCell(8)
		c.mustClaim(0, "k", "a")
		granted, first, err := c.claim(5, "k", "b")
		Expect(err).NotTo(HaveOccurred())
		Expect(granted).To(BeFalse())
		Expect(first).To(Equal(idempotency.Claim{RequestID: "a", State: idempotency.Running}))
		c.daemons[0].Settle("team", "k", "a", idempotency.Done, 201)
		for i := range c.daemons {
			granted, first, err = c.claim(i, "k", fmt.Sprint("r", i))
			Expect(err).NotTo(HaveOccurred())
			Expect(granted).To(BeFalse())
			Expect(first).To(Equal(idempotency.Claim{RequestID: "a", State: idempotency.Done, Status: 201}))
		}
		granted, _, err = c.daemons[1].Claim(context.Background(), "other team", "k", "x")
		Expect(err).NotTo(HaveOccurred())
		Expect(granted).To(BeTrue(), "keys of teams are separate")
	})

	It("frees the key of a request that did not run", func() {
		c := newCell(8)
		c.mustClaim(0, "k", "a")
		c.daemons[0].Settle("team", "k", "a", idempotency.Released, 0)
		c.mustClaim(3, "k", "b")
	})

	It("grants a key claimed on all daemons at once to exactly one of them", func() {
		c := newCell(8)
		for round := range 200 {
			key := fmt.Sprint("k", round)
			var granted atomic.Int64
			var wg sync.WaitGroup
			for i := range c.daemons {
				wg.Go(func() {
					defer GinkgoRecover()
					ok, _, err := c.claim(i, key, fmt.Sprint(round, "-", i))
					Expect(err).NotTo(HaveOccurred())
					if ok {
						granted.Add(1)
					}
				})
			}
			wg.Wait()
			Expect(granted.Load()).To(Equal(int64(1)), "two would run twice, none would be refused for ever")
		}
	})

	It("never grants twice while daemons have different views", func() {
		// Two seats return, which daemons 0 and 1 see first. For some keys both homes
		// change; claiming only at the homes of the own view grants these twice.
		for round := range 100 {
			c := newCell(6, 4, 5)
			key := fmt.Sprint("k", round)
			clear(c.inactive)
			c.spread(0, 1)
			var granted atomic.Int64
			var wg sync.WaitGroup
			for i := range c.daemons {
				wg.Go(func() {
					if ok, _, err := c.claim(i, key, fmt.Sprint(i)); ok && err == nil {
						granted.Add(1)
					}
				})
			}
			wg.Wait()
			Expect(granted.Load()).To(BeNumerically("<=", 1))
		}
	})

	It("refuses without running while an active home does not answer, and frees the other", func() {
		c := newCell(8)
		homes := c.homes("k")
		Expect(homes).To(HaveLen(2))
		entry := slices.IndexFunc(c.all(), func(i int) bool { return !slices.Contains(homes, i) })
		c.links[homes[1]].cut.Store(true)
		_, _, err := c.claim(entry, "k", "a")
		expectProblem(err, problem.NotRun)
		c.links[homes[1]].cut.Store(false)
		c.mustClaim(entry, "k", "b")
	})

	It("still knows a key after one home is lost, and reports unknown after both are", func() {
		c := newCell(8)
		homes := c.homes("k")
		entry := slices.IndexFunc(c.all(), func(i int) bool { return !slices.Contains(homes, i) })
		c.mustClaim(entry, "k", "a")
		for n, lost := range homes {
			c.links[lost].cut.Store(true)
			c.inactive[lost] = true
			c.spread(c.all()...)
			granted, first, err := c.claim(entry, "k", "b")
			Expect(granted).To(BeFalse())
			if n == 0 {
				Expect(err).NotTo(HaveOccurred())
				Expect(first.RequestID).To(Equal("a"))
				continue
			}
			expectProblem(err, problem.Unknown)
		}
		c.clock.advance(idempotency.Retention)
		c.mustClaim(entry, "k", "c")
	})

	It("guards against a grant on both sides of a partition that separates the homes of a key", func() {
		c := newCell(5)
		homes := c.homes("key")
		minority := map[int]bool{homes[0]: true, (homes[0] + 1) % 5: true}
		if minority[homes[1]] {
			delete(minority, homes[1])
			minority[(homes[0]+2)%5] = true
		}
		granted := 0
		for _, far := range []bool{true, false} {
			c.inactive = map[int]bool{}
			for i := range 5 {
				c.links[i].cut.Store(minority[i] != far)
				c.inactive[i] = minority[i] != far
			}
			for i := range 5 {
				if minority[i] == far {
					c.spread(i)
					if ok, _, _ := c.claim(i, "key", fmt.Sprintf("request-%d", i)); ok {
						granted++
					}
				}
			}
		}
		Expect(granted).To(Equal(1))
	})

	It("settles in the background when a home is away for a while", func() {
		c := newCell(8)
		homes := c.homes("k")
		entry := slices.IndexFunc(c.all(), func(i int) bool { return !slices.Contains(homes, i) })
		c.mustClaim(entry, "k", "a")
		for _, h := range homes {
			c.links[h].cut.Store(true)
		}
		started := time.Now()
		c.daemons[entry].Settle("team", "k", "a", idempotency.Done, 200)
		Expect(time.Since(started)).To(BeNumerically("<", time.Second))
		for _, h := range homes {
			c.links[h].cut.Store(false)
		}
		for _, h := range homes {
			Eventually(func(g Gomega) {
				reply, err := c.links[h].table.Claim(context.Background(), &oas.ClaimRequest{Team: "team", Key: "k", RequestID: "x"})
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(reply.Claim.Value.State).To(Equal(oas.ClaimStateDone))
			}).Should(Succeed())
		}
	})

	It("waits for the history of a cell that it joins", func() {
		c := newCell(4)
		c.mustClaim(0, "k", "a")
		homes := c.homes("other")
		for _, h := range homes {
			c.inactive[h] = true
		}
		c.spread(c.all()...)
		entry := slices.IndexFunc(c.all(), func(i int) bool { return !c.inactive[i] })
		joined := c.start(entry, true)
		_, _, err := joined.Claim(context.Background(), "team", "other", "b")
		expectProblem(err, problem.NotRun)
		joined.LoadHistory(c.daemons[entry].History())
		_, _, err = joined.Claim(context.Background(), "team", "other", "b")
		expectProblem(err, problem.Unknown)
	})
})

func ask(t idempotency.Peer, key, id string) *oas.ClaimReply {
	GinkgoHelper()
	reply, err := t.Claim(context.Background(), &oas.ClaimRequest{Team: "team", Key: key, RequestID: id})
	Expect(err).NotTo(HaveOccurred())
	return reply
}

func settle(t idempotency.Peer, key, id string, state oas.SettleRequestState, status int) {
	GinkgoHelper()
	Expect(t.Settle(context.Background(), &oas.SettleRequest{Team: "team", Key: key, RequestID: id, State: state, Status: status})).To(Succeed())
}

var _ = Describe("Table", func() {
	var c *clock
	var table *idempotency.Table
	BeforeEach(func() {
		c = &clock{}
		table = idempotency.NewTable(3, c.now)
	})

	It("grants the same request again, but not after it was released", func() {
		Expect(ask(table, "k", "a").Granted).To(BeTrue())
		Expect(ask(table, "k", "a").Granted).To(BeTrue())
		settle(table, "k", "a", oas.SettleRequestStateReleased, 0)
		Expect(ask(table, "k", "a").Granted).To(BeFalse(), "a late message must not claim the key for nobody")
		Expect(ask(table, "k", "b").Granted).To(BeTrue())
		settle(table, "k", "a", oas.SettleRequestStateReleased, 0)
		Expect(ask(table, "k", "c").Granted).To(BeFalse(), "a late release must not free another request's claim")
	})

	It("refuses a claim whose release came first", func() {
		settle(table, "k", "a", oas.SettleRequestStateReleased, 0)
		Expect(ask(table, "k", "a").Granted).To(BeFalse())
	})

	It("keeps claims for ten minutes and refuses new ones when it is full", func() {
		for i := range 3 {
			Expect(ask(table, fmt.Sprint(i), "a").Granted).To(BeTrue())
			c.advance(time.Minute)
		}
		_, err := table.Claim(context.Background(), &oas.ClaimRequest{Team: "team", Key: "x", RequestID: "a"})
		expectProblem(err, problem.NotRun)
		c.advance(idempotency.Retention - 3*time.Minute - 1)
		Expect(ask(table, "0", "b").Granted).To(BeFalse())
		c.advance(1)
		Expect(ask(table, "0", "b").Granted).To(BeTrue())
	})

	It("hands its claims over and passes later messages on", func() {
		ask(table, "k", "a")
		ask(table, "done", "d")
		settle(table, "done", "d", oas.SettleRequestStateDone, 200)
		c.advance(9 * time.Minute)
		successor := idempotency.NewTable(0, c.now)
		claims := table.Export()
		waiting := make(chan *oas.ClaimReply, 1)
		go func() {
			defer GinkgoRecover()
			waiting <- ask(table, "k", "b")
		}()
		Consistently(waiting, "50ms").ShouldNot(Receive(), "a claim granted after the export would be lost")
		successor.Import(claims)
		successor.Import(claims)
		table.MoveTo(successor)
		Expect((<-waiting).Claim.Value.RequestID).To(Equal("a"))
		settle(table, "k", "a", oas.SettleRequestStateDone, 204)
		Expect(ask(successor, "k", "b").Claim.Value.Status).To(Equal(204))
		Expect(ask(successor, "done", "b").Claim.Value.State).To(Equal(oas.ClaimStateDone))
		c.advance(time.Minute)
		Expect(ask(successor, "done", "b").Granted).To(BeTrue(), "the age of a claim is kept")
	})

	It("continues after a handover that did not happen", func() {
		ask(table, "k", "a")
		table.Export()
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
		defer cancel()
		_, err := table.Claim(ctx, &oas.ClaimRequest{Team: "team", Key: "k", RequestID: "b"})
		expectProblem(err, problem.NotRun)
		table.Resume()
		Expect(ask(table, "k", "b").Claim.Value.RequestID).To(Equal("a"))
	})
})

// tableHandler serves the claims of the peer interface as the daemon does.
type tableHandler struct {
	oas.UnimplementedHandler
	*idempotency.Table
}

func (h tableHandler) Claim(ctx context.Context, r *oas.ClaimRequest) (*oas.ClaimReply, error) {
	return h.Table.Claim(ctx, r)
}
func (h tableHandler) Settle(ctx context.Context, r *oas.SettleRequest) error {
	return h.Table.Settle(ctx, r)
}

var _ = Describe("the peer interface", func() {
	It("carries claims between daemons", func() {
		table := idempotency.NewTable(0, nil)
		server, err := oas.NewServer(tableHandler{Table: table}, peerapi.Secret("s"))
		Expect(err).NotTo(HaveOccurred())
		s := httptest.NewServer(server)
		DeferCleanup(s.Close)
		view := membership.View{Members: []membership.Member{{Seat: "a", PeerAddress: s.Listener.Addr().String(), Active: true}}}
		c := idempotency.NewCoordinator(idempotency.Options{
			Members: &source{view: view}, Table: idempotency.NewTable(0, nil), Secret: "s", HTTPClient: &http.Client{},
		})
		DeferCleanup(c.Close)
		granted, _, err := c.Claim(context.Background(), "team", "k", "a")
		Expect(err).NotTo(HaveOccurred())
		Expect(granted).To(BeTrue())
		c.Settle("team", "k", "a", idempotency.Done, 200)
		_, first, err := c.Claim(context.Background(), "team", "k", "b")
		Expect(err).NotTo(HaveOccurred())
		Expect(first).To(Equal(idempotency.Claim{RequestID: "a", State: idempotency.Done, Status: 200}))
	})
})
