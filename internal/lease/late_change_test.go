package lease

import (
	"io"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"samphirestile.example/samphirestile/internal/binding"
	"samphirestile.example/samphirestile/internal/emulator/cluster"
	"samphirestile.example/samphirestile/internal/store"
)

func ownerRecord(m Member, token uint64) owner { return owner{Member: m, token: token, lease: 1} }

// These specs guard against records that are delivered after the daemon has written later ones.
var _ = Describe("the records of owners and bindings", func() {
	self, former := Member{Name: "x", Address: "x:1", Incarnation: "x1"}, []byte(`{"name":"y","address":"y:1","incarnation":"y1"}`)
	var o *Owners
	owner := func() string {
		m, _ := o.Owner("a")
		return m.Name
	}
	BeforeEach(func() {
		discardLog := logrus.New()
		discardLog.SetOutput(io.Discard)
		s := cluster.NewStore()
		o = NewOwners(s, NewRenewer(s, self, discardLog), self, nil, nil, discardLog)
		// As after an acquisition at revision 20.
		o.owners["a"] = ownerRecord(self, 20)
	})

	It("keep a shard that was acquired since they were listed or changed", func() {
		o.Apply([]store.Event{{Entry: store.Entry{Key: OwnerKey("a"), Value: former, Version: 11, Created: 11}}})
		Expect(owner()).To(Equal("x"))
		o.Apply([]store.Event{{Entry: store.Entry{Key: OwnerKey("a"), Version: 12}, Deleted: true}})
		Expect(owner()).To(Equal("x"))
		o.Replace([]store.Entry{{Key: OwnerKey("a"), Value: former, Version: 11, Created: 11}}, 11)
		Expect(owner()).To(Equal("x"))
		o.Replace(nil, 13)
		Expect(owner()).To(Equal("x"))
		o.Replace(nil, 21)
		Expect(owner()).To(BeEmpty())
	})

	It("keep a binding that was written since they changed", func() {
		b := binding.Binding{Address: "host/prefix", Service: "s", Version: 3}
		o.applyBinding(b, 20)
		o.Apply([]store.Event{{Entry: store.Entry{Key: o.BindingKey(b.Address), Version: 12}, Deleted: true}})
		Expect(o.Binding(b.Address).Service).To(BeEquivalentTo("s"))
		o.Apply([]store.Event{{Entry: store.Entry{Key: o.BindingKey(b.Address), Version: 21}, Deleted: true}})
		Expect(o.Binding(b.Address).Service).To(BeEmpty())
	})
})
