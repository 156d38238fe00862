package claim

import (
	"io"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"samphirestile.example/samphirestile/internal/emulator/cluster"
	"samphirestile.example/samphirestile/internal/store"
	"samphirestile.example/samphirestile/internal/worker"
)

// These specs guard against changes that the watch delivers after the daemon has written later ones.
var _ = Describe("the copy of the claims", func() {
	var table *Table
	apply := func(key, value string, revision uint64, deleted bool) {
		table.Apply([]store.Event{{Entry: store.Entry{Key: key, Value: []byte(value), Version: revision}, Deleted: deleted}})
	}
	BeforeEach(func() {
		discardLog := logrus.New()
		discardLog.SetOutput(io.Discard)
		table = NewTable(cluster.NewStore(), func() bool { return true }, func() {}, discardLog)
	})

	It("keeps a claim when the removal of the one before it arrives late", func() {
		apply(key("p", "w1"), "p#1", 11, false)
		apply(key("p", "w1"), "", 10, true)
		Expect(table.WorkersOf("p", "p#1")).To(Equal([]worker.ID{"w1"}))
		apply(key("p", "w1"), "", 12, true)
		Expect(table.WorkersOf("p", "p#1")).To(BeEmpty())
	})

	It("keeps the number of wanted workers when an earlier one arrives late", func() {
		apply(wantedKey("p", "p#1"), "50", 20, false)
		apply(wantedKey("p", "p#1"), "10", 15, false)
		Expect(table.Wanted("p#1")).To(Equal(50))
		table.Replace([]store.Entry{{Key: wantedKey("p", "p#1"), Value: []byte("10"), Version: 15}}, 18)
		Expect(table.Wanted("p#1")).To(Equal(50))
		apply(wantedKey("p", "p#1"), "7", 21, false)
		Expect(table.Wanted("p#1")).To(Equal(7))
	})

	It("keeps a later claim by another unknown shard as long as the first one", func() {
		a := New(Config{Table: table})
		first := Claim{Shard: "p#1", Revision: 11}
		Expect(a.stranded("w1", first)).To(BeFalse())
		known := a.strandedClaims["w1"]
		known.since = known.since.Add(-2 * strandedRetention)
		a.strandedClaims["w1"] = known
		Expect(a.stranded("w1", first)).To(BeTrue())
		// The passes between failed because the store did not answer.
		Expect(a.stranded("w1", Claim{Shard: "p#11", Revision: 12})).To(BeFalse())
	})
})
