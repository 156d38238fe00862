package membership_test

import (
	"context"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"samphirestile.example/samphirestile/internal/peerapi/oas"
)

// Guards against messages of a process that has ended, which arrive after those of the process that replaced it.
var _ = Describe("a daemon whose peer restarts at its address", func() {
	send := func(s *scenario, n *node, incarnation string) {
		_, err := n.Heartbeat(context.Background(), &oas.Heartbeat{
			Daemon: "x", Incarnation: incarnation, PeerAddress: "x", Seats: []oas.SeatState{{Seat: "seat-of-" + incarnation, Renewal: 1}},
		})
		s.Expect(err).NotTo(HaveOccurred())
	}
	active := func(n *node) (seats []string) {
		for _, m := range n.View().Members {
			if m.Active && !m.Self {
				seats = append(seats, string(m.Seat))
			}
		}
		return seats
	}

	scenarioIt("keeps the new incarnation active when a heartbeat of the former one arrives late", func(s *scenario) {
		n := s.cell(51, limits(4)).startAll(1)[0]
		send(s, n, "former")
		send(s, n, "new")
		s.Expect(active(n)).To(Equal([]string{"seat-of-new"}))
		send(s, n, "former")
		s.Expect(active(n)).To(Equal([]string{"seat-of-new"}))
	})

	scenarioIt("counts a peer as leaving when an earlier heartbeat of it arrives late", func(s *scenario) {
		n := s.cell(52, limits(4)).startAll(1)[0]
		for _, leaving := range []bool{false, true, false} {
			_, err := n.Heartbeat(context.Background(), &oas.Heartbeat{
				Daemon: "x", Incarnation: "i-x", PeerAddress: "x", Seats: []oas.SeatState{}, Leaving: oas.NewOptBool(leaving),
			})
			s.Expect(err).NotTo(HaveOccurred())
		}
		s.Expect(n.PeerTeamRows()).To(HaveLen(1))
		s.Expect(n.PeerTeamRows()[0].Leaving).To(BeTrue())
	})
})
