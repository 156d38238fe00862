package intake_test

import (
	"bytes"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"samphirestile.example/samphirestile/internal/intake"
)

func TestIntake(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "intake")
}

// smallest are the limits on the smallest machine of the fleets.
var smallest = intake.DefaultLimits(184<<20, 4100).ForHead(0)

func scan(l intake.Limits, parts ...string) (reason intake.Reason, done bool) {
	var s intake.HeadScanner
	for _, p := range parts {
		if _, _, reason = s.Scan([]byte(p), l); reason != "" {
			return reason, s.Done()
		}
	}
	return "", s.Done()
}

var _ = Describe("the head scanner", func() {
	// Guards against the refusal of a single request inside the limits, whatever its form.
	It("accepts any head of the largest size", func() {
		for _, line := range []string{"a:\n", "a:\r\n", "X: " + strings.Repeat("y", 500) + "\r\n"} {
			head := "GET / HTTP/1.1\r\n"
			for len(head)+len(line)+2 <= intake.DefaultHeadBytes {
				head += line
			}
			reason, done := scan(smallest, head, "\r", "\n", "body\n")
			Expect(reason).To(BeEmpty())
			Expect(done).To(BeTrue())
		}
	})
	DescribeTable("refuses", func(part string, times int, want intake.Reason) {
		l := smallest.Override(intake.Limits{HeadLines: 100})
		reason, _ := scan(l, strings.Repeat(part, times))
		Expect(reason).To(Equal(want))
	},
		Entry("a head that is too large", "x", intake.DefaultHeadBytes*2, intake.ReasonHeadBytes),
		Entry("too many lines", "a:\r\n", 102, intake.ReasonHeadLines),
		Entry("too many empty lines", "\r\n", 9, intake.ReasonEmptyLines),
	)
	It("does not count beyond the end of the head", func() {
		var s intake.HeadScanner
		n, lines, reason := s.Scan([]byte("\r\nGET / HTTP/1.1\r\nA: b\r\n\r\n"+strings.Repeat("\n", 1<<16)), smallest)
		Expect(reason).To(BeEmpty())
		Expect(n).To(Equal(len("\r\nGET / HTTP/1.1\r\nA: b\r\n\r\n")))
		Expect(lines).To(Equal(2))
	})
})

var _ = Describe("the limits", func() {
	It("are reported with their names if they are out of range", func() {
		findings := intake.Limits{HeadBytes: 1, Connections: 20, ConnectionsPerAddress: 21}.Check()
		Expect(findings).To(HaveLen(2))
		Expect(findings[0].Path).To(Equal("head_bytes"))
		Expect(intake.Limits{}.Check()).To(BeEmpty())
		Expect(smallest.Check()).To(BeEmpty())
	})
})

// part is the size of the clients' part of a budget.
const part = 1 << 20

var _ = Describe("the ledger", func() {
	var l *intake.Ledger
	open := func(now time.Duration, p intake.Part, address string) *intake.Entry {
		GinkgoHelper()
		e, victim, reason := l.Open(now, p, address)
		Expect(reason).To(BeEmpty())
		Expect(victim).To(BeNil())
		return e
	}
	reserve := func(now time.Duration, e *intake.Entry, n int64) intake.Verdict {
		v, victim := l.Reserve(now, e, n)
		Expect(victim).To(BeNil())
		return v
	}
	BeforeEach(func() {
		l = intake.NewLedger(intake.Limits{BufferBytes: 2 * part, Connections: 16, ConnectionsPerAddress: 8})
	})
	// Guards against limits that an ordinary burst reaches: 300 clients at once, each with a head of 2 KB in 30 lines and
	// a body of 8 KB, on the smallest machine.
	It("admits a burst of honest clients on the smallest machine", func() {
		l = intake.NewLedger(smallest)
		for range 300 {
			e := open(0, intake.Clients, "balancer")
			Expect(reserve(0, e, 2<<10+30*384)).To(Equal(intake.Admit))
			Expect(reserve(0, e, 4*8<<10)).To(Equal(intake.Admit))
		}
	})
	It("refuses the newest connection beyond the budget and holds older ones", func() {
		first, second := open(0, intake.Clients, "a"), open(0, intake.Clients, "b")
		Expect(reserve(0, first, part/2)).To(Equal(intake.Admit))
		Expect(reserve(0, second, part/2)).To(Equal(intake.Admit))
		Expect(reserve(0, second, 1)).To(Equal(intake.Refuse))
		Expect(reserve(0, first, 1)).To(Equal(intake.Hold))
		l.Close(second)
		Expect(reserve(0, first, 1)).To(Equal(intake.Admit))
	})
	// Guards against a crowd that holds the budget with bodies that stop short of their end.
	It("sheds the connection that is stalled for the longest time", func() {
		older, stalled, e := open(0, intake.Clients, "a"), open(0, intake.Clients, "a"), open(0, intake.Clients, "b")
		Expect(reserve(time.Second, older, part/2)).To(Equal(intake.Admit))
		Expect(reserve(0, stalled, part/2)).To(Equal(intake.Admit))
		verdict, victim := l.Reserve(1900*time.Millisecond, e, part/2)
		Expect(verdict).To(Equal(intake.Hold))
		Expect(victim).To(BeIdenticalTo(stalled))
		Expect(reserve(1900*time.Millisecond, e, part/2)).To(Equal(intake.Admit))
		Expect(reserve(1900*time.Millisecond, stalled, 1)).To(Equal(intake.Refuse))
	})
	// Guards against closing the connection of a request whose job may have been accepted.
	It("does not shed a request that is handled", func() {
		handled, e := open(0, intake.Clients, "a"), open(0, intake.Clients, "b")
		Expect(reserve(0, handled, part)).To(Equal(intake.Admit))
		handled.State = intake.Handling
		Expect(reserve(time.Minute, e, 1)).To(Equal(intake.Hold))
		l.Release(handled)
		Expect(reserve(time.Minute, e, 1)).To(Equal(intake.Admit))
	})
	It("keeps the parts of peers and operators from clients", func() {
		e := open(0, intake.Clients, "a")
		Expect(reserve(0, e, part)).To(Equal(intake.Admit))
		Expect(reserve(0, open(0, intake.Clients, "a"), 1)).To(Equal(intake.Refuse))
		Expect(reserve(0, open(0, intake.Peers, "a"), part/2)).To(Equal(intake.Admit))
		Expect(reserve(0, open(0, intake.Control, "a"), part/4)).To(Equal(intake.Admit))
	})
	// Guards against a call between daemons that no budget could ever admit.
	It("admits a request larger than its part while no other holds bytes there", func() {
		e, other := open(0, intake.Peers, "a"), open(0, intake.Peers, "b")
		Expect(reserve(0, e, 64<<20)).To(Equal(intake.Admit))
		Expect(reserve(0, other, 1)).To(Equal(intake.Refuse))
		l.Close(e)
		Expect(reserve(0, other, 1)).To(Equal(intake.Admit))
	})
	It("bounds connections in all and for each address, and closes stalled and idle ones for new ones", func() {
		var all []*intake.Entry
		for range 8 {
			all = append(all, open(0, intake.Clients, "a"))
		}
		_, _, reason := l.Open(0, intake.Clients, "a")
		Expect(reason).To(Equal(intake.ReasonAddress))
		open(0, intake.Peers, "a")
		all[0].State, all[1].State = intake.Handling, intake.Idle
		all[2].Progress = -time.Second
		for i, want := range []int{2, 1} {
			for j := 3; j < len(all); j++ {
				all[j].State = intake.Handling
			}
			e, victim, reason := l.Open(2*time.Second, intake.Clients, "a")
			Expect(reason).To(BeEmpty(), "%d", i)
			Expect(victim).To(BeIdenticalTo(all[want]))
			e.State = intake.Handling
		}
		for range 4 {
			open(2*time.Second, intake.Clients, "b").State = intake.Handling
		}
		_, _, reason = l.Open(2*time.Second, intake.Clients, "c")
		Expect(reason).To(Equal(intake.ReasonConnections))
		connections, _ := l.Totals()
		Expect(connections).To(Equal(13))
	})
})

// FuzzHeadScanner compares a head that arrives in one piece with the same head in two.
func FuzzHeadScanner(f *testing.F) {
	for _, head := range []string{
		"GET / HTTP/1.1\r\nA: b\r\n\r\n", "\r\n\r\nGET / HTTP/1.1\n\n", "\n\n\n\n\n\n\n\n\n\n", strings.Repeat("a:\r\n", 40),
		"POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc", "\r\r\r\n", strings.Repeat("x", 6000),
	} {
		f.Add([]byte(head), len(head)/2)
	}
	l := intake.Limits{HeadBytes: 1 << 10, HeadLines: 32, EmptyLines: 4}
	f.Fuzz(func(t *testing.T, head []byte, at int) {
		at = min(max(at, 0), len(head))
		var whole, split intake.HeadScanner
		n, lines, reason := whole.Scan(head, l)
		n1, lines1, reason1 := split.Scan(head[:at], l)
		var n2, lines2 int
		reason2 := reason1
		if reason1 == "" {
			n2, lines2, reason2 = split.Scan(head[at:], l)
		}
		if n != n1+n2 || lines != lines1+lines2 || reason != reason2 || whole.Done() != split.Done() {
			t.Fatalf("whole: %d %d %q, split: %d+%d %d+%d %q", n, lines, reason, n1, n2, lines1, lines2, reason2)
		}
		if n > l.HeadBytes+4<<10+1 || lines > l.HeadLines+2 {
			t.Fatalf("%d bytes and %d lines of a head accepted", n, lines)
		}
		if whole.Done() && !bytes.HasSuffix(bytes.ReplaceAll(head[:n], []byte("\r"), nil), []byte("\n\n")) {
			t.Fatalf("head ended without an empty line: %q", head[:n])
		}
	})
}
