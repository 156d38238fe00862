package jobapi_test

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"samphirestile.example/samphirestile/internal/emulator/cluster"
	"samphirestile.example/samphirestile/internal/job"
	"samphirestile.example/samphirestile/internal/jobapi"
	"samphirestile.example/samphirestile/internal/jobapi/oas"
	"samphirestile.example/samphirestile/internal/jobconfig"
	"samphirestile.example/samphirestile/internal/monotonic"
	"samphirestile.example/samphirestile/internal/partition"
	"samphirestile.example/samphirestile/internal/shard"
	"samphirestile.example/samphirestile/internal/store"
	"samphirestile.example/samphirestile/internal/worker"
)

// leaseHolder is an owner of the shard "svc" whose lease the test can end.
type leaseHolder struct {
	owner *shard.Owner
	ended atomic.Bool
}

func (l *leaseHolder) certain() bool { return !l.ended.Load() }

// movedShard refers callers to another shard, by default to the partition "svc#1".
type movedShard struct {
	jobapi.Shard
	to string
}

func (m movedShard) Cancel(context.Context, job.ID) error {
	return &shard.MovedError{Shard: cmp.Or(m.to, "svc#1")}
}

func startOwner(s *cluster.Store, workers *cluster.Workers) *leaseHolder {
	GinkgoHelper()
	ctx := context.Background()
	_, err := s.Commit(ctx, store.Transaction{Removals: []string{"own/svc"}})
	Expect(err).NotTo(HaveOccurred())
	token, err := s.Commit(ctx, store.Transaction{Writes: []store.Write{{Key: "own/svc"}}})
	Expect(err).NotTo(HaveOccurred())
	discardLog := logrus.New()
	discardLog.SetOutput(io.Discard)
	l := &leaseHolder{}
	l.owner = shard.New(shard.Config{
		Shard: "svc", Service: "svc", Token: token, OwnerKey: "own/svc", Store: s, Dialer: workers,
		Bounds: shard.Bounds{MaxLease: 10 * time.Second, StopGrace: time.Second, StatusRetention: time.Minute},
		LatestWorkerLeaseEnd: func() monotonic.Time {
			if l.ended.Load() {
				return monotonic.Now()
			}
			return monotonic.Now().Add(3*time.Second + shard.MaxWorkerLease)
		},
		Workers:       func() map[worker.ID]worker.Worker { return workers.List() },
		Changes:       make(chan struct{}),
		Configuration: func() *jobconfig.Configuration { return &jobconfig.Configuration{Version: 1} },
		Log:           discardLog, Scope: tally.NoopScope,
	})
	runCtx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() { defer close(done); l.owner.Run(runCtx) }()
	DeferCleanup(func() { cancel(); <-done })
	Eventually(func() error { _, err := l.owner.Waiting(ctx, shard.Queue{Name: "q"}); return err }, "3s").Should(Succeed())
	return l
}

var _ = Describe("an owner", func() {
	const id = job.ID("0123456789abcdef")
	j := job.Job{
		ID: id, Queue: "q", Service: "svc", Spec: "s", MaxAttempts: 3, Stretch: 2, Objective: 5 * time.Second,
		Steps: []job.Step{{Count: 1, Need: worker.Resources{CPU: 1000, MemMB: 100}, Estimate: time.Minute}},
	}
	var (
		s       *cluster.Store
		workers *cluster.Workers
		former  *leaseHolder
		remote  jobapi.Shard
	)
	ctx := context.Background()
	BeforeEach(func() {
		s = cluster.NewStore()
		workers = &cluster.Workers{Behaviour: func(string, int) cluster.Behaviour { return cluster.Behaviour{Duration: time.Minute} }}
		workers.Add(worker.Worker{ID: "w", Service: "svc", Address: "w:1", Capacity: worker.Resources{CPU: 8000, MemMB: 8000}})
		former = startOwner(s, workers)
		served := &jobapi.Fenced{Shard: former.owner, Name: "svc", Certain: former.certain}
		handler, err := oas.NewServer(&jobapi.Server{Store: s, Local: func(string) (jobapi.Shard, bool) { return served, true }})
		Expect(err).NotTo(HaveOccurred())
		server := httptest.NewServer(handler)
		DeferCleanup(server.Close)
		remote, err = jobapi.NewClients(nil).Remote(strings.TrimPrefix(server.URL, "http://"), "svc")
		Expect(err).NotTo(HaveOccurred())
		_, err = remote.State(ctx, id)
		Expect(errors.As(err, new(*shard.UnknownJobError))).To(BeTrue(), "%v", err)
	})
	// loseOwnership cuts the owner from the store, so that it neither renews its lease nor learns
	// of its successor, which accepts the job.
	loseOwnership := func() {
		GinkgoHelper()
		former.ended.Store(true)
		successor := startOwner(s, workers)
		Expect(successor.owner.Submit(ctx, j)).To(Succeed())
	}
	// Guards against 410 for a job that exists: it says that no such job exists.
	It("whose lease has ended does not deny a job that its successor has accepted", func() {
		loseOwnership()
		Expect(errors.As(remote.Cancel(ctx, id), new(*shard.NotOwnerError))).To(BeTrue(), "%v", remote.Cancel(ctx, id))
		_, err := remote.State(ctx, id)
		Expect(errors.As(err, new(*shard.NotOwnerError))).To(BeTrue(), "%v", err)
		_, err = remote.Report(ctx, shard.ReportRequest{Job: id})
		Expect(errors.As(err, new(*shard.NotOwnerError))).To(BeTrue(), "%v", err)
	})
	// Guards against 410 after callers were referred back and forth between a former owner and
	// the partition that its successor has split off.
	It("whose lease has ended does not refer callers to a partition by a split that it has not recorded", func() {
		loseOwnership()
		moved := &jobapi.Fenced{Shard: movedShard{}, Name: "svc", Certain: former.certain}
		pool := &jobapi.Pool{Name: "svc", Depths: partition.Depths{"svc": 1, "svc#1": 1}, Find: func(name string) (jobapi.Shard, bool) {
			if name == "svc" {
				return moved, true
			}
			// The new partition knows that the older one has the job.
			return movedShard{to: "svc"}, true
		}}
		for _, id := range []job.ID{id, "fedcba9876543210", "0000000000000000", "0000000000000001"} {
			Expect(errors.As(pool.Cancel(ctx, id), new(*shard.NotOwnerError))).To(BeTrue(), "%v", pool.Cancel(ctx, id))
		}
	})
	// Guards against 503, which says that a job never runs, for one that its successor has recorded.
	It("whose lease has ended does not refuse a repeated job that its successor has recorded", func() {
		loseOwnership()
		err := remote.Submit(ctx, j)
		Expect(errors.As(err, new(*shard.NotOwnerError))).To(BeTrue(), "%v", err)
	})
	// Guards against 410, which says that no such job exists, for a job that is recorded later.
	It("does not deny a job whose record the store has not confirmed", func() {
		s.SetFaults(cluster.StoreFaults{Down: true})
		err := remote.Submit(ctx, j)
		Expect(errors.As(err, new(*shard.UnknownOutcomeError))).To(BeTrue(), "%v", err)
		_, err = remote.State(ctx, id)
		Expect(errors.As(err, new(*shard.UnknownOutcomeError))).To(BeTrue(), "%v", err)
		s.SetFaults(cluster.StoreFaults{})
		Eventually(func() error { _, err := remote.State(ctx, id); return err }, "3s").Should(Succeed())
	})
})
