package jobdaemon

import (
	"context"
	"errors"
	"io"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"samphirestile.example/samphirestile/internal/binding"
	"samphirestile.example/samphirestile/internal/fleet"
	"samphirestile.example/samphirestile/internal/jobapi"
	"samphirestile.example/samphirestile/internal/jobconfig"
	"samphirestile.example/samphirestile/internal/policy"
	"samphirestile.example/samphirestile/internal/shard"
	"samphirestile.example/samphirestile/platform"
)

// queueHolder is a shard that may hold jobs of queues.
type queueHolder struct {
	jobapi.Shard
	holds bool
	err   error
}

func (h *queueHolder) HoldsQueue(context.Context, shard.Queue) (bool, error) { return h.holds, h.err }

var _ = Describe("the bindings of queues", func() {
	const address = "jobs.example/q/"
	var (
		d      *Daemon
		former *queueHolder
		ctx    = context.Background()
	)
	own := func(service string) *queueHolder {
		h := &queueHolder{}
		d.shards[service] = &ownedShard{
			owner: &shard.Owner{}, served: &jobapi.Fenced{Shard: h, Name: service, Certain: func() bool { return true }},
		}
		return h
	}
	configuration := func(version int64, service fleet.ServiceID) *jobconfig.Configuration {
		c := &jobconfig.Configuration{Version: version}
		if service != "" {
			c.Queues = []jobconfig.Queue{{Name: "q", Host: "jobs.example", Prefix: "/q/", Service: service}}
		}
		return c
	}
	bound := func(service fleet.ServiceID, version int64, former ...fleet.ServiceID) binding.Recorded {
		return binding.Recorded{Binding: binding.Binding{Address: address, Service: service, Version: version, Former: former}, Revision: 9}
	}
	BeforeEach(func() {
		discardLog := logrus.New()
		discardLog.SetOutput(io.Discard)
		var err error
		d, err = New(platform.Settings{Node: "x"}, policy.Policy{}, nil, discardLog)
		Expect(err).NotTo(HaveOccurred())
		former = own("old")
	})

	// Guards against accepted jobs that no daemon continues once no queue uses their pool.
	It("keep a pool in use that may hold jobs", func() {
		Expect(poolsInUse(configuration(2, "new"), []fleet.ServiceID{"new", "old"})).To(Equal([]fleet.ServiceID{"new", "old"}))
		Expect(poolsInUse(configuration(2, ""), []fleet.ServiceID{"old"})).To(Equal([]fleet.ServiceID{"old"}))
	})
	It("follow the configuration", func() {
		next, changes := d.nextBinding(ctx, configuration(2, "new"), bound("old", 1))
		Expect(changes).To(BeTrue())
		Expect(next).To(Equal(bound("new", 2, "old").Binding))
		next, changes = d.nextBinding(ctx, configuration(2, ""), bound("old", 1))
		Expect(changes).To(BeTrue())
		Expect(next).To(Equal(bound("", 2, "old").Binding))
		_, changes = d.nextBinding(ctx, configuration(2, "old"), bound("old", 1))
		Expect(changes).To(BeFalse())
		_, changes = d.nextBinding(ctx, configuration(2, "old"), bound("other", 1))
		Expect(changes).To(BeFalse(), "another daemon decides for the service")
	})
	It("forget a former service once it has said that it holds no jobs", func() {
		former.holds = true
		_, changes := d.nextBinding(ctx, configuration(2, "new"), bound("new", 2, "old", "other"))
		Expect(changes).To(BeFalse())
		former.holds, former.err = false, errors.New("not asked")
		_, changes = d.nextBinding(ctx, configuration(2, "new"), bound("new", 2, "old", "other"))
		Expect(changes).To(BeFalse())
		former.err = nil
		next, changes := d.nextBinding(ctx, configuration(2, "new"), bound("new", 2, "old", "other"))
		Expect(changes).To(BeTrue())
		Expect(next.Former).To(Equal([]fleet.ServiceID{"other"}))
		next, changes = d.nextBinding(ctx, configuration(2, ""), bound("", 2, "old"))
		Expect(changes).To(BeTrue())
		Expect(next.Unused()).To(BeTrue())
	})
})
