package jobdaemon

import (
	"context"
	"io"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"samphirestile.example/samphirestile/internal/emulator/cluster"
	"samphirestile.example/samphirestile/internal/lease"
	"samphirestile.example/samphirestile/internal/monotonic"
	"samphirestile.example/samphirestile/internal/policy"
	"samphirestile.example/samphirestile/internal/store"
	"samphirestile.example/samphirestile/platform"
)

var _ = Describe("the permissions of a shard and of the role for hosts", func() {
	It("end with the lease of the ownership, also when the daemon has another lease", func() {
		discardLog := logrus.New()
		discardLog.SetOutput(io.Discard)
		d, err := New(platform.Settings{Node: "x"}, policy.Policy{}, nil, discardLog)
		Expect(err).NotTo(HaveOccurred())
		s := cluster.NewStore()
		d.renewer = lease.NewRenewer(s, d.self, discardLog)
		ctx, cancel := context.WithCancel(context.Background())
		var group sync.WaitGroup
		group.Go(func() { d.renewer.Run(ctx) })
		DeferCleanup(func() { cancel(); group.Wait() })
		current := func() store.LeaseID { id, _ := d.renewer.Lease(); return id }
		Eventually(current, 2*lease.TTL).ShouldNot(BeZero())
		former := current()
		manager := d.hostsManager(1, former)
		leaseEnd := d.shardConfig("a", 1, former, nil).LatestWorkerLeaseEnd
		Expect(manager.Valid()).To(BeTrue())
		Expect(leaseEnd()).To(BeNumerically(">", monotonic.Now()))
		s.EndLease(former)
		Eventually(current, 2*lease.TTL).ShouldNot(Or(Equal(former), BeZero()))
		Expect(d.hostsManager(2, current()).Valid()).To(BeTrue())
		Expect(manager.Valid()).To(BeFalse())
		Expect(leaseEnd()).To(BeNumerically("<", monotonic.Now()))
	})
})
