package lease

import (
	"context"
	"io"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"samphirestile.example/samphirestile/internal/emulator/cluster"
	"samphirestile.example/samphirestile/internal/store"
)

// lateStore keeps the first write back: it gets no answer and is carried out when a spec says so.
type lateStore struct {
	*cluster.Store
	late *store.Transaction
}

func (s *lateStore) Commit(ctx context.Context, t store.Transaction) (uint64, error) {
	if s.late == nil {
		s.late = &t
		return 0, &store.UnknownOutcomeError{Key: t.Writes[0].Key, Cause: context.DeadlineExceeded}
	}
	return s.Store.Commit(ctx, t)
}

var _ = Describe("the member record of a daemon", func() {
	// Guards against a daemon that is alive, renews its lease and is missing from the members.
	It("stays bound to the current lease when a write for a former one is carried out late", func() {
		ctx, discardLog := context.Background(), logrus.New()
		discardLog.SetOutput(io.Discard)
		s := &lateStore{Store: cluster.NewStore()}
		r := NewRenewer(s, Member{Name: "x", Address: "x:1", Incarnation: "x1"}, discardLog)
		Expect(r.acquire(ctx)).To(MatchError(context.DeadlineExceeded))
		Expect(r.acquire(ctx)).To(Succeed())
		if _, err := s.Store.Commit(ctx, *s.late); err != nil {
			Expect(err).To(BeAssignableToTypeOf(&store.ConditionError{}))
		}
		current, _ := r.Lease()
		record, err := s.Get(ctx, memberPrefix+"x")
		Expect(err).NotTo(HaveOccurred())
		Expect(record.Lease).To(Equal(current))
	})
})
