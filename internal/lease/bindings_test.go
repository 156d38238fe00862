package lease

import (
	"context"
	"io"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"samphirestile.example/samphirestile/internal/binding"
	"samphirestile.example/samphirestile/internal/emulator/cluster"
	"samphirestile.example/samphirestile/internal/fleet"
	"samphirestile.example/samphirestile/internal/partition"
	"samphirestile.example/samphirestile/internal/store"
)

var _ = Describe("the bindings of queues", func() {
	const address = "jobs.example/q/"
	var (
		s   *cluster.Store
		ctx = context.Background()
	)
	newOwners := func() *Owners {
		discardLog := logrus.New()
		discardLog.SetOutput(io.Discard)
		return NewOwners(s, nil, Member{Name: "x"}, nil, func(partition.Depths, []fleet.ServiceID) []string { return nil }, discardLog)
	}
	BeforeEach(func() { s = cluster.NewStore() })

	It("are written on condition of the last one and known to all daemons", func() {
		a, b := newOwners(), newOwners()
		none := a.Binding(address)
		Expect(none.Revision).To(BeZero())
		next, changes := none.Rebind("one", 0)
		Expect(changes).To(BeTrue(), "any version is newer than no binding")
		Expect(a.WriteBinding(ctx, none, next)).To(Succeed())
		Expect(a.Binding(address).Service).To(Equal(fleet.ServiceID("one")))
		Expect(b.Binding(address)).To(Equal(none), "not observed yet")
		Expect(b.WriteBinding(ctx, none, next)).To(BeAssignableToTypeOf(&store.ConditionError{}))
		Expect(b.Binding(address)).To(Equal(a.Binding(address)), "observed after the conflict")
		moved, _ := b.Binding(address).Rebind("two", 3)
		Expect(b.WriteBinding(ctx, b.Binding(address), moved)).To(Succeed())
		Expect(a.BoundServices()).To(Equal([]fleet.ServiceID{"one"}))
		Expect(a.Confirm(ctx, address)).To(Equal(b.Binding(address)))
		Expect(a.BoundServices()).To(Equal([]fleet.ServiceID{"one", "two"}))
	})
	It("end with their record", func() {
		a, b := newOwners(), newOwners()
		next, _ := a.Binding(address).Rebind("one", 1)
		Expect(a.WriteBinding(ctx, a.Binding(address), next)).To(Succeed())
		Expect(b.ReadBindings(ctx)).To(Succeed())
		Expect(b.Bindings()).To(HaveLen(1))
		Expect(a.WriteBinding(ctx, a.Binding(address), binding.Binding{Address: address, Version: 2})).To(Succeed())
		Expect(a.Bindings()).To(BeEmpty())
		Expect(b.Confirm(ctx, address)).To(HaveField("Revision", BeZero()))
		Expect(b.Bindings()).To(BeEmpty())
	})
	It("follow the events of the store, and survive a record that is none", func() {
		a := newOwners()
		key := a.BindingKey(address)
		a.Apply([]store.Event{{Entry: store.Entry{Key: key, Version: 5, Value: []byte(`{"address":"jobs.example/q/","service":"one","version":1}`)}}})
		a.Apply([]store.Event{{Entry: store.Entry{Key: key, Version: 6, Value: []byte(`[[[`)}}})
		Expect(a.Binding(address).Revision).To(Equal(uint64(5)))
		a.Apply([]store.Event{{Entry: store.Entry{Key: key, Version: 7}, Deleted: true}})
		Expect(a.Bindings()).To(BeEmpty())
	})
})
