package jobapi_test

import (
	"context"
	"sync"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"samphirestile.example/samphirestile/internal/jobapi"
	"samphirestile.example/samphirestile/internal/partition"
	"samphirestile.example/samphirestile/internal/worker"
)

func TestJobAPI(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "jobapi")
}

// fakePartition is a shard that reports some workers as empty.
type fakePartition struct {
	jobapi.Shard
	empty map[worker.ID]bool
	mu    sync.Mutex
	calls int
}

func (p *fakePartition) Empty(_ context.Context, id worker.ID) (bool, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls++
	return p.empty[id], nil
}

var _ = Describe("the partitions of a pool", func() {
	var (
		partitions map[string]*fakePartition
		claims     map[worker.ID]string
		pool       *jobapi.Pool
		ctx        = context.Background()
	)
	BeforeEach(func() {
		partitions = map[string]*fakePartition{"p": {}, "p#1": {empty: map[worker.ID]bool{"w": true}}}
		claims = map[worker.ID]string{}
		pool = &jobapi.Pool{
			Name: "p", Depths: partition.Depths{"p": 1}, ClaimedBy: func(id worker.ID) string { return claims[id] },
			Find: func(name string) (jobapi.Shard, bool) {
				s, ok := partitions[name]
				return s, ok
			},
		}
	})
	It("are called for a worker only if they have claimed it", func() {
		claims["w"] = "p#1"
		Expect(pool.Empty(ctx, "w")).To(BeTrue())
		Expect(partitions["p"].calls).To(BeZero())
		Expect(partitions["p#1"].calls).To(Equal(1))
	})
	It("drain a worker while another partition has no owner", func() {
		claims["w"] = "p"
		delete(partitions, "p#1")
		empty, err := pool.Empty(ctx, "w")
		Expect(err).NotTo(HaveOccurred())
		Expect(empty).To(BeFalse())
	})
	It("are all called for a worker without a claim", func() {
		Expect(pool.Empty(ctx, "w")).To(BeTrue())
		Expect(partitions["p"].calls).To(Equal(1))
	})
})
