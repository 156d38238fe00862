package membership_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"samphirestile.example/samphirestile/internal/fleet"
)

const team = fleet.TeamID("quotes")

var _ = Describe("a cell of daemons", func() {
	limits := func(n int) map[fleet.TeamID]int { return map[fleet.TeamID]int{team: n} }
	var ctx context.Context
	BeforeEach(func() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithCancel(context.Background())
		DeferCleanup(cancel)
	})

	It("guards against daemons that do not find each other or exceed the limit under load", func() {
		c := newCell(1, limits(10))
		nodes := c.startAll(8)
		for _, n := range nodes {
			n.load(ctx, team, 5, maxRun)
		}
		time.Sleep(20 * interval)
		Expect(c.worst()).To(BeNumerically("<=", 0))
		Expect(c.totalStarts()).To(BeNumerically(">", 20))
	})
})
