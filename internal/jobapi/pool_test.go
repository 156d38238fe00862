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

// part is a shard that says of some workers that they are empty.
type part struct {
	jobapi.Shard
	empty map[worker.ID]bool
	mu    sync.Mutex
	calls int
}

func (p *part) Empty(_ context.Context, id worker.ID) (bool, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls++
	return p.empty[id], nil
}

var _ = Describe("the parts of a pool", func() {
	var (
		parts  map[string]*part
		claims map[worker.ID]string
		pool   *jobapi.Pool
		ctx    = context.Background()
	)
	BeforeEach(func() {
		parts = map[string]*part{"p": {}, "p#1": {empty: map[worker.ID]bool{"w": true}}}
		claims = map[worker.ID]string{}
		pool = &jobapi.Pool{
			Name: "p", Depths: partition.Depths{"p": 1}, ClaimedBy: func(id worker.ID) string { return claims[id] },
			Find: func(name string) (jobapi.Shard, bool) {
				s, ok := parts[name]
				return s, ok
			},
		}
	})
	It("are asked for a worker only where it belongs", func() {
		claims["w"] = "p#1"
		Expect(pool.Empty(ctx, "w")).To(BeTrue())
		Expect(parts["p"].calls).To(BeZero())
		Expect(parts["p#1"].calls).To(Equal(1))
	})
	It("empty a worker while another part has no owner", func() {
		claims["w"] = "p"
		delete(parts, "p#1")
		empty, err := pool.Empty(ctx, "w")
		Expect(err).NotTo(HaveOccurred())
		Expect(empty).To(BeFalse())
	})
	It("are all asked while nobody knows where a worker belongs", func() {
		Expect(pool.Empty(ctx, "w")).To(BeTrue())
		Expect(parts["p"].calls).To(Equal(1))
	})
})
