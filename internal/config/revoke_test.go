package config_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"samphirestile.example/samphirestile/internal/config"
	emulator "samphirestile.example/samphirestile/internal/emulator/platform"
	"samphirestile.example/samphirestile/internal/fleet"
	"samphirestile.example/samphirestile/internal/keys"
)

// give records a key of team desk and returns its text and ID.
func give(d *daemon) (text, id string) {
	text, record := keys.Generate("desk")
	_, err := d.Modify(ctx, config.Modification{ID: "give-" + record.ID, Digest: record.Hash,
		Edit: func(map[string][]byte) ([]config.DocumentChange, error) {
			return []config.DocumentChange{{Name: "keys/acme", Content: []byte(
				`{"keys": [{"id": "` + record.ID + `", "team": "desk", "hash": "` + record.Hash + `"}]}`)}}, nil
		}})
	ExpectWithOffset(1, err).NotTo(HaveOccurred())
	return text, record.ID
}

// works reports whether the daemon accepts a key.
func (d *daemon) works(text string) bool {
	team, err := keys.NewVerifier(d, d.revoked).Authenticate(fleet.Service{ID: "orders"}, "Bearer "+text)
	return err == nil && team == "desk"
}

var _ = Describe("a revocation", func() {
	var (
		c        *cell
		a, b     *daemon
		text, id string
	)
	BeforeEach(func() {
		c = newCell()
		a = c.start("a", false, "b").ready()
		a.apply(base())
		text, id = give(a)
		b = c.start("b", true, "a").ready()
		Eventually(func() bool { return b.works(text) }, inForceBound).Should(BeTrue())
	})

	It("is durable and on all peers when it returns, if all can be reached", func() {
		r, err := a.Revoke(ctx, id)
		Expect(err).NotTo(HaveOccurred())
		Expect(r).To(Equal(config.Revocation{Durable: true, Reached: 1, Peers: 1}))
		Expect(a.works(text) || b.works(text)).To(BeFalse())
		Expect(a.Durable(id)).To(BeTrue())
	})

	// Guards against a key that works on in a part of the cell while the store is down.
	It("made during an outage reaches a daemon that cannot see the store, and becomes durable", func() {
		c.platform.SetFaults(emulator.Faults{Down: true})
		r, err := a.Revoke(ctx, id)
		Expect(err).NotTo(HaveOccurred())
		Expect(r).To(Equal(config.Revocation{Durable: false, Reached: 1, Peers: 1}))
		Expect(a.works(text) || b.works(text)).To(BeFalse())
		Expect(b.Current().Keys[id].Revoked).To(BeTrue())
		c.platform.SetFaults(emulator.Faults{})
		Eventually(func() bool { return a.Durable(id) }, 6*time.Second).Should(BeTrue())
	})

	// Guards against a peer that missed the message of the revocation.
	It("is repeated to a peer that could not be reached", func() {
		c.platform.SetFaults(emulator.Faults{Down: true})
		b.deaf.Store(true)
		r, err := a.Revoke(ctx, id)
		Expect(err).NotTo(HaveOccurred())
		Expect(r).To(Equal(config.Revocation{Durable: false, Reached: 0, Peers: 1}))
		Expect(b.works(text)).To(BeTrue())
		b.deaf.Store(false)
		Eventually(func() bool { return b.works(text) }, inForceBound).Should(BeFalse())
	})

	// Guards against a revocation that is lost because the daemon that took it never sees the store.
	It("made on a daemon that cannot see the store is recorded by a peer", func() {
		r, err := b.Revoke(ctx, id)
		Expect(err).NotTo(HaveOccurred())
		Expect(r).To(Equal(config.Revocation{Durable: false, Reached: 1, Peers: 1}))
		Expect(a.works(text)).To(BeFalse())
		Eventually(func() bool { return a.Durable(id) }, 3*time.Second).Should(BeTrue())
	})

	// Guards against a key that works again after every daemon that knew of its
	// revocation was replaced during a store outage.
	It("survives the replacement of all daemons while the store is down", func() {
		c.platform.SetFaults(emulator.Faults{Unreachable: true})
		_, err := a.Revoke(ctx, id)
		Expect(err).NotTo(HaveOccurred())
		fresh := c.start("fresh", false, "a").ready()
		a.end()
		b.end()
		Expect(fresh.revoked.Has(id)).To(BeTrue())
		c.platform.SetFaults(emulator.Faults{})
		Eventually(func() bool { return fresh.Durable(id) }, 7*time.Second).Should(BeTrue())
		Expect(fresh.works(text)).To(BeFalse())
	})

	It("is sent to a peer whose heartbeat shows fewer revoked keys", func() {
		c.platform.SetFaults(emulator.Faults{Down: true})
		_, other := keys.Generate("desk")
		b.revoked.Add(other.ID)
		report(a, b)
		Eventually(func() bool { return a.revoked.Has(other.ID) }, inForceBound).Should(BeTrue())
	})

	It("whose write lost its answer is durable, and recorded once", func() {
		c.platform.SetFaults(emulator.Faults{LoseWriteAnswers: 1, LoseWritePrefix: "config/head"})
		before := a.Revision()
		r, err := a.Revoke(ctx, id)
		Expect(err).NotTo(HaveOccurred())
		Expect(r.Durable).To(BeTrue())
		Expect(a.Revision()).To(Equal(before + 1))
	})
})
