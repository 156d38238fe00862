package binding_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"samphirestile.example/samphirestile/internal/binding"
	"samphirestile.example/samphirestile/internal/fleet"
	"samphirestile.example/samphirestile/internal/store"
)

func TestBinding(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "binding")
}

const prefix = "test/"

var _ = Describe("the binding of a queue", func() {
	rebind := func(b binding.Binding, service fleet.ServiceID, version int64) binding.Binding {
		next, _ := b.Rebind(service, version)
		return next
	}
	first := binding.Binding{Address: "h/q/", Service: "a", Version: 3}

	It("keeps the services that may hold jobs", func() {
		b := rebind(first, "b", 5)
		Expect(b).To(Equal(binding.Binding{Address: "h/q/", Service: "b", Version: 5, Former: []fleet.ServiceID{"a"}}))
		Expect(rebind(b, "c", 6).Services()).To(Equal([]fleet.ServiceID{"c", "a", "b"}))
		Expect(rebind(b, "a", 6)).To(Equal(binding.Binding{Address: "h/q/", Service: "a", Version: 6, Former: []fleet.ServiceID{"b"}}), "sent back")
		Expect(rebind(b, "", 6).Services()).To(Equal([]fleet.ServiceID{"a", "b"}), "the queue is gone")
	})
	// Guards against a daemon with an older configuration that takes a queue back to its former service.
	It("follows only newer versions", func() {
		for _, version := range []int64{2, 3} {
			_, changed := first.Rebind("b", version)
			Expect(changed).To(BeFalse())
		}
		_, changed := first.Rebind("a", 9)
		Expect(changed).To(BeFalse(), "the service stays")
	})
	It("ends once no service accepts or holds jobs", func() {
		b := rebind(first, "", 4)
		Expect(b.Unused()).To(BeFalse())
		Expect(b.WithoutFormer("a").Unused()).To(BeTrue())
		Expect(rebind(first, "b", 4).WithoutFormer("a").Unused()).To(BeFalse())
	})
	It("is recorded on condition of the record that it replaces", func() {
		t, err := binding.Replace(prefix, binding.Recorded{Binding: first, Revision: 7}, rebind(first, "b", 4))
		Expect(err).NotTo(HaveOccurred())
		key := binding.Key(prefix, "h/q/")
		Expect(t.Conditions).To(Equal([]store.Condition{{Key: key, Version: 7}}))
		Expect(binding.Decode(prefix, store.Entry{Key: key, Value: t.Writes[0].Value, Version: 8})).To(
			Equal(binding.Recorded{Binding: rebind(first, "b", 4), Revision: 8}))
		t, err = binding.Replace(prefix, binding.Recorded{Binding: first, Revision: 7}, binding.Binding{Address: "h/q/", Version: 4})
		Expect(err).NotTo(HaveOccurred())
		Expect(t.Removals).To(Equal([]string{key}))
	})
	It("is not read from a record of another key or form", func() {
		for _, e := range []store.Entry{
			{Key: prefix + "x", Value: []byte(`{"address":"h/q/","version":1}`)}, {Key: binding.Key(prefix, "h/q/"), Value: []byte(`[`)},
		} {
			_, err := binding.Decode(prefix, e)
			Expect(err).To(BeAssignableToTypeOf(&binding.RecordError{}))
		}
	})
})
