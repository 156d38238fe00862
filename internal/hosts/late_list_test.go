package hosts

import (
	"context"
	"io"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"samphirestile.example/samphirestile/internal/emulator/cluster"
	"samphirestile.example/samphirestile/internal/fleet"
	"samphirestile.example/samphirestile/internal/monotonic"
)

// lateList is an emulated fleet that reads its list at the request and delivers it later.
type lateList struct {
	*emulatedFleet
	delay time.Duration
	// meanwhile is called between the two.
	meanwhile func()
}

func (l *lateList) List(ctx context.Context) ([]Host, error) {
	list, err := l.emulatedFleet.List(ctx)
	l.meanwhile()
	monotonic.Sleep(ctx, l.delay)
	return list, err
}

// These specs guard against lists of hosts that are applied to what became known after they were read.
var _ = Describe("a list of hosts that arrives late", func() {
	const host = fleet.HostID("a-0")
	ctx := context.Background()
	var (
		platform *lateList
		m        *Manager
		w        *waveState
	)
	BeforeEach(func() {
		platform = &lateList{emulatedFleet: newEmulatedFleet(map[fleet.ServiceID]int{"a": 2}), meanwhile: func() {}}
		m = newManager(platform, platform, cluster.NewStore(), 1, nil, io.Discard)
		w = &waveState{Wave: Wave{Number: 1, Hosts: []fleet.HostID{host}, Within: time.Minute, AtOnce: 1}, progress: map[fleet.HostID]*hostProgress{host: {}}}
	})

	It("does not show that the command of the previous holder was not carried out", func() {
		*w.progress[host] = hostProgress{commandedAt: monotonic.Now(), announced: true}
		platform.delay = m.TermGap + returnSlack + 50*time.Millisecond
		platform.meanwhile = func() { Expect(platform.maintain(m.Holder, host)).To(Succeed()) }
		Expect(m.list(ctx)).To(Succeed())
		m.observe(w)
		Expect(downHosts(w.progress)).To(Equal(1))
	})

	It("does not show that a host has returned from its maintenance", func() {
		*w.progress[host] = hostProgress{commandedAt: monotonic.Now(), accepted: true}
		platform.delay = m.MaintenanceTime + returnSlack + 50*time.Millisecond
		Expect(m.list(ctx)).To(Succeed())
		m.observe(w)
		Expect(downHosts(w.progress)).To(Equal(1))
		platform.delay = 0
		Expect(m.list(ctx)).To(Succeed())
		m.observe(w)
		Expect(downHosts(w.progress)).To(BeZero())
	})

	It("does not show that a host was removed, however long ago it was read", func() {
		delete(platform.hosts, host)
		Expect(m.list(ctx)).To(Succeed())
		// The drains of another wave took the rest of the time.
		m.requestedAt, m.listedAt = m.requestedAt.Add(-2*goneAfter), m.listedAt.Add(-2*goneAfter)
		m.observe(w)
		Expect(w.progress[host].gone).To(BeFalse())
		Expect(w.completed).To(BeFalse())
		Expect(m.list(ctx)).To(Succeed())
		m.observe(w)
		Expect(w.progress[host].gone).To(BeTrue())
	})

	It("does not show that a host has no worker if its entry cannot be read", func() {
		*w.progress[host] = hostProgress{commandedAt: monotonic.Now().Add(-2 * commandRetryInterval)}
		platform.hosts[host].State, platform.upAgainAt[host] = Unreadable, time.Now().Add(time.Hour)
		Expect(m.list(ctx)).To(Succeed())
		Expect(m.candidates(w)).To(BeEmpty())
		platform.upAgainAt[host] = time.Now()
		Expect(m.list(ctx)).To(Succeed())
		Expect(m.candidates(w)).To(HaveLen(1))
	})
})
