package lease

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"samphirestile.example/samphirestile/internal/emulator/cluster"
	"samphirestile.example/samphirestile/internal/fleet"
	"samphirestile.example/samphirestile/internal/monotonic"
	"samphirestile.example/samphirestile/internal/partition"
	"samphirestile.example/samphirestile/internal/store"
)

// invalidMembers are values that describe no daemon.
func invalidMembers() []string {
	return []string{
		"", "null", "[]", "{}", `{"name":5}`, "\xff\x00", strings.Repeat("[", 1<<20), `{"name":"ghost"} x`,
		`{"name":"ghost","address":"x","incarnation":"1"}`, `{"name":"ghost","address":"x:1"}`, `{"name":"","address":"x:1","incarnation":"1"}`,
		`{"name":"ghost","address":"x:1","incarnation":"1","power":-1}`, `{"name":"ghost","address":"x:1","incarnation":"1","power":1e300}`,
		`{"name":"ghost","address":"x:1","incarnation":"1","power":1e999}`, `{"name":"other","address":"x:1","incarnation":"1"}`,
	}
}

var _ = Describe("records of another writer beside those of daemons", func() {
	ctx := context.Background()
	put := func(s store.Transactional, key, value string) {
		_, err := s.Commit(ctx, store.Transaction{Writes: []store.Write{{Key: key, Value: []byte(value)}}})
		Expect(err).NotTo(HaveOccurred())
	}
	// start runs a daemon that competes for the shards and returns its runner and log.
	start := func(s *cluster.Store, shards ...string) (*Owners, *runner, func() string) {
		var mu sync.Mutex
		var out bytes.Buffer
		log := logrus.New()
		log.SetOutput(writerFunc(func(b []byte) (int, error) {
			mu.Lock()
			defer mu.Unlock()
			return out.Write(b)
		}))
		self, r := Member{Name: "x", Address: "x:1", Incarnation: "x1"}, &runner{shards: map[string]uint64{}}
		renewer := NewRenewer(s, self, log)
		o := NewOwners(s, renewer, self, r, func(partition.Depths, []fleet.ServiceID) []string { return shards }, log)
		runCtx, cancel := context.WithCancel(ctx)
		var group sync.WaitGroup
		group.Go(func() { renewer.Run(runCtx) })
		group.Go(func() { o.Run(runCtx) })
		DeferCleanup(func() { cancel(); group.Wait() })
		return o, r, func() string {
			mu.Lock()
			defer mu.Unlock()
			return out.String()
		}
	}
	It("are no daemon to which a shard is handed over", func() {
		s := cluster.NewStore()
		for i, value := range invalidMembers() {
			put(s, fmt.Sprintf("%sghost%d", memberPrefix, i), value)
		}
		o, r, log := start(s, "a", "b", "c")
		Eventually(r.served, 5*time.Second).Should(HaveLen(3))
		Expect(o.Members()).To(Equal(1))
		Consistently(log, transferDelay+time.Second, 100*time.Millisecond).ShouldNot(ContainSubstring("given to a daemon"))
	})
	It("do not make daemons try again and again to acquire a shard, nor log each attempt", func() {
		s := cluster.NewStore()
		for i, value := range invalidMembers() {
			put(s, OwnerKey(fmt.Sprint("odd", i)), value)
		}
		put(s, PartitionKey("a"), "-1")
		o, r, log := start(s, "a", "odd0", "odd1", "odd2")
		Eventually(r.served, 5*time.Second).Should(HaveLen(1))
		before := log()
		commits := s.Commits()
		time.Sleep(2*relistInterval + 200*time.Millisecond)
		Expect(log()).To(Equal(before))
		Expect(s.Commits()).To(Equal(commits))
		_, known := o.Owner("odd0")
		Expect(known).To(BeFalse())
	})
})

type writerFunc func([]byte) (int, error)

func (f writerFunc) Write(b []byte) (int, error) { return f(b) }

// Guards against records that make the ownership of shards panic, or that count as a daemon.
func FuzzOwnerRecords(f *testing.F) {
	for _, value := range invalidMembers() {
		if len(value) < 1000 {
			f.Add("a", []byte(value))
		}
	}
	f.Add("a#4294967295", []byte("10"))
	f.Fuzz(func(t *testing.T, name string, value []byte) {
		log := logrus.New()
		log.SetOutput(io.Discard)
		s, r := cluster.NewStore(), &runner{shards: map[string]uint64{}}
		self := Member{Name: "x", Address: "x:1", Incarnation: "x1"}
		renewer := NewRenewer(s, self, log)
		o := NewOwners(s, renewer, self, r, func(partition.Depths, []fleet.ServiceID) []string { return []string{"a", name} }, log)
		entries := []store.Entry{
			{Key: memberPrefix + name, Value: value, Version: 1}, {Key: OwnerKey(name), Value: value, Version: 2, Created: 2}, {Key: PartitionKey(name), Value: value, Version: 3},
		}
		o.Replace(entries, 3)
		o.Apply([]store.Event{{Entry: entries[1]}, {Entry: entries[0], Deleted: true}, {Entry: entries[0]}})
		renewer.replace(0, 1, monotonic.Now())
		o.reconcile()
		o.due()
		o.shardToTransfer()
		o.Owner(name)
		o.PeerAddresses()
		p := partition.Parse(name)
		if partitions := o.Depths().Partitions(p.Pool); len(partitions) < 1 || len(partitions) > 1<<10 {
			t.Fatalf("%d partitions", len(partitions))
		}
		o.Depths().Route(p.Pool, "0123456789abcdef")
		p.Ancestors()
		for _, m := range o.members {
			if m.Name == "" || m.Address == "" || m.CPUCores < 0 {
				t.Fatalf("%+v counts as a daemon", m)
			}
		}
	})
}
