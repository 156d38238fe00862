package config_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"samphirestile.example/samphirestile/internal/config"
	emulatedplatform "samphirestile.example/samphirestile/internal/emulator/platform"
	"samphirestile.example/samphirestile/internal/fleet"
	"samphirestile.example/samphirestile/internal/keys"
)

// createKey creates a key of team desk and returns the key and its ID.
func createKey(d *daemon) (key, id string) {
	key, record := keys.Generate("desk")
	_, err := d.Modify(ctx, config.Modification{ID: "give-" + record.ID, Digest: record.Hash,
		Edit: func(map[string][]byte) ([]config.DocumentChange, error) {
			return []config.DocumentChange{{Name: "keys/acme", Content: []byte(
				`{"keys": [{"id": "` + record.ID + `", "team": "desk", "hash": "` + record.Hash + `"}]}`)}}, nil
		}})
	ExpectWithOffset(1, err).NotTo(HaveOccurred())
	return key, record.ID
}

// accepts reports whether the daemon accepts a key.
func (d *daemon) accepts(key string) bool {
	team, err := keys.NewVerifier(d, d.revoked).Authenticate(fleet.Service{ID: "orders"}, "Bearer "+key)
	return err == nil && team == "desk"
}

var _ = Describe("a revocation", func() {
	var (
		c       *cell
		a, b    *daemon
		key, id string
	)
	BeforeEach(func() {
		c = newCell()
		a = c.start("a", false, "b").ready()
		a.apply(baseChange())
		key, id = createKey(a)
		b = c.start("b", true, "a").ready()
		Eventually(func() bool { return b.accepts(key) }, activationBound).Should(BeTrue())
	})

	It("is durable and effective on all peers when Revoke returns, if all are reachable", func() {
		r, err := a.Revoke(ctx, id)
		Expect(err).NotTo(HaveOccurred())
		Expect(r).To(Equal(config.Revocation{Durable: true, Reached: 1, Peers: 1}))
		Expect(a.accepts(key) || b.accepts(key)).To(BeFalse())
		Expect(a.Durable(id)).To(BeTrue())
	})

	// Guards against a key that some daemons still accept while the store is unavailable.
	It("made during a store outage reaches a daemon that cannot reach the store, and becomes durable", func() {
		c.platform.SetFaults(emulatedplatform.Faults{Down: true})
		r, err := a.Revoke(ctx, id)
		Expect(err).NotTo(HaveOccurred())
		Expect(r).To(Equal(config.Revocation{Durable: false, Reached: 1, Peers: 1}))
		Expect(a.accepts(key) || b.accepts(key)).To(BeFalse())
		Expect(b.Current().Keys[id].Revoked).To(BeTrue())
		c.platform.SetFaults(emulatedplatform.Faults{})
		Eventually(func() bool { return a.Durable(id) }, 6*time.Second).Should(BeTrue())
	})

	// Guards against a revocation that a peer never receives because one notice was lost.
	It("is resent to a peer that could not be reached", func() {
		c.platform.SetFaults(emulatedplatform.Faults{Down: true})
		b.unresponsive.Store(true)
		r, err := a.Revoke(ctx, id)
		Expect(err).NotTo(HaveOccurred())
		Expect(r).To(Equal(config.Revocation{Durable: false, Reached: 0, Peers: 1}))
		Expect(b.accepts(key)).To(BeTrue())
		b.unresponsive.Store(false)
		Eventually(func() bool { return b.accepts(key) }, activationBound).Should(BeFalse())
	})

	// Guards against a revocation that is lost because the daemon that received it never
	// reaches the store.
	It("made on a daemon that cannot reach the store is recorded by a peer", func() {
		r, err := b.Revoke(ctx, id)
		Expect(err).NotTo(HaveOccurred())
		Expect(r).To(Equal(config.Revocation{Durable: false, Reached: 1, Peers: 1}))
		Expect(a.accepts(key)).To(BeFalse())
		Eventually(func() bool { return a.Durable(id) }, 3*time.Second).Should(BeTrue())
	})

	// Guards against a revoked key that is accepted again after all daemons that received the
	// revocation were replaced during a store outage.
	It("survives the replacement of all daemons while the store is unavailable", func() {
		c.platform.SetFaults(emulatedplatform.Faults{Unreachable: true})
		_, err := a.Revoke(ctx, id)
		Expect(err).NotTo(HaveOccurred())
		replacement := c.start("fresh", false, "a").ready()
		a.shutdown()
		b.shutdown()
		Expect(replacement.revoked.Has(id)).To(BeTrue())
		c.platform.SetFaults(emulatedplatform.Faults{})
		Eventually(func() bool { return replacement.Durable(id) }, 7*time.Second).Should(BeTrue())
		Expect(replacement.accepts(key)).To(BeFalse())
	})

	It("is sent to a peer whose heartbeat reports fewer revoked keys", func() {
		c.platform.SetFaults(emulatedplatform.Faults{Down: true})
		_, other := keys.Generate("desk")
		b.revoked.Add(other.ID)
		sendHeartbeat(a, b)
		Eventually(func() bool { return a.revoked.Has(other.ID) }, activationBound).Should(BeTrue())
	})

	It("whose write response is lost is durable and recorded once", func() {
		c.platform.SetFaults(emulatedplatform.Faults{LoseWriteAnswers: 1, LoseWritePrefix: "config/head"})
		before := a.Revision()
		r, err := a.Revoke(ctx, id)
		Expect(err).NotTo(HaveOccurred())
		Expect(r.Durable).To(BeTrue())
		Expect(a.Revision()).To(Equal(before + 1))
	})
})
