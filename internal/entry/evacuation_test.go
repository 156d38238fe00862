package entry_test

import (
	"bytes"
	"context"
	"errors"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"samphirestile.example/samphirestile/internal/emulator/cluster"
	"samphirestile.example/samphirestile/internal/entry"
	"samphirestile.example/samphirestile/internal/fleet"
	"samphirestile.example/samphirestile/internal/hosts"
	"samphirestile.example/samphirestile/internal/jobconfig"
	"samphirestile.example/samphirestile/internal/store"
)

// evacuationStore counts listings below op/zone/, and may fail them or delay their answers.
type evacuationStore struct {
	*cluster.Store
	failLists atomic.Bool
	lists     atomic.Int64
	// listed is called after each such listing, before its answer arrives.
	listed atomic.Pointer[func()]
}

func (s *evacuationStore) List(ctx context.Context, prefix string) ([]store.Entry, uint64, error) {
	if prefix != "op/zone/" {
		return s.Store.List(ctx, prefix)
	}
	s.lists.Add(1)
	if s.failLists.Load() {
		return nil, 0, &store.UnavailableError{Cause: errors.New("down")}
	}
	entries, revision, err := s.Store.List(ctx, prefix)
	if f := s.listed.Load(); f != nil {
		(*f)()
	}
	return entries, revision, err
}

type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

func (b *lockedBuffer) count(text string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return strings.Count(b.b.String(), text)
}

// Guards against zones that are evacuated for an owner too late, or not any more, because a change of their keys was missed.
var _ = Describe("the follower of evacuated zones", func() {
	const bound = 5 * time.Second
	var (
		s      *evacuationStore
		f      *entry.ConfigurationFollower
		output *lockedBuffer
	)
	put := func(key string) uint64 {
		GinkgoHelper()
		revision, err := s.Commit(context.Background(), store.Transaction{Writes: []store.Write{{Key: key, Value: []byte("any")}}})
		Expect(err).NotTo(HaveOccurred())
		return revision
	}
	remove := func(key string) {
		GinkgoHelper()
		_, err := s.Commit(context.Background(), store.Transaction{Removals: []string{key}})
		Expect(err).NotTo(HaveOccurred())
	}
	zones := func() []string {
		evacuated, _ := f.Evacuations()
		names := []string{}
		for zone := range evacuated {
			names = append(names, string(zone))
		}
		return names
	}
	age := func() time.Duration { _, age := f.Evacuations(); return age }
	start := func(evacuation *entry.EvacuationFormat) {
		output = &lockedBuffer{}
		log := logrus.New()
		log.SetOutput(output)
		f = entry.NewConfigurationFollower(s, entry.RecordFormat{
			Prefix: "op/", ConfigurationKey: "op/config", WavePrefix: "op/wave/", Evacuation: evacuation,
			Configuration: func([]byte) (*jobconfig.Configuration, error) { return &jobconfig.Configuration{Version: 1}, nil },
			Wave:          func(store.Entry) (hosts.Wave, bool, error) { return hosts.Wave{}, false, nil },
		}, log)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { defer close(done); f.Run(ctx) }()
		DeferCleanup(func() { cancel(); <-done })
	}
	format := func() *entry.EvacuationFormat {
		return &entry.EvacuationFormat{
			Prefix: "op/zone/", Zones: []fleet.AvailabilityZone{"a", "b"}, Bound: bound,
			Zone: func(key string) (fleet.AvailabilityZone, error) {
				zone := strings.TrimPrefix(key, "op/zone/")
				if zone == "" {
					return "", errors.New("empty")
				}
				return fleet.AvailabilityZone(zone), nil
			},
		}
	}
	ready := func() {
		Eventually(age, "3s", "5ms").Should(BeNumerically("<", time.Second))
	}
	BeforeEach(func() {
		s = &evacuationStore{Store: cluster.NewStore()}
		put("op/config")
	})

	It("has none confirmed before it has read them, and knows them then", func() {
		put("op/zone/a")
		s.SetFaults(cluster.StoreFaults{Down: true})
		start(format())
		Consistently(age, "300ms").Should(BeNumerically(">", time.Hour))
		s.SetFaults(cluster.StoreFaults{})
		ready()
		Expect(zones()).To(ConsistOf("a"))
	})
	It("follows the creation and the removal of a key by its watch", func() {
		start(format())
		ready()
		put("op/zone/other")
		Eventually(zones, "500ms", "5ms").Should(ConsistOf("other"))
		remove("op/zone/other")
		Eventually(zones, "500ms", "5ms").Should(BeEmpty())
		Expect(output.count("zone evacuated")).To(Equal(1))
		Expect(output.count("zone open again")).To(Equal(1))
	})
	It("follows the keys of named zones by confirmations while its watch is silent", func() {
		start(format())
		ready()
		s.SetFaults(cluster.StoreFaults{StallWatches: true})
		put("op/zone/b")
		Eventually(zones, "1800ms", "5ms").Should(ConsistOf("b"))
		put("op/zone/b")
		put("op/zone/a")
		Eventually(zones, "1800ms", "5ms").Should(ConsistOf("a", "b"))
		remove("op/zone/b")
		Eventually(zones, "1800ms", "5ms").Should(ConsistOf("a"))
		Consistently(age, "1500ms", "50ms").Should(BeNumerically("<", 1500*time.Millisecond))
		Expect(output.count("zone evacuated")).To(Equal(2))
	})
	It("counts no confirmation that shows a removal before a listing has settled it", func() {
		start(format())
		ready()
		put("op/zone/a")
		Eventually(zones, "1800ms", "5ms").Should(ConsistOf("a"))
		s.SetFaults(cluster.StoreFaults{StallWatches: true})
		s.failLists.Store(true)
		remove("op/zone/a")
		Eventually(age, "4s", "50ms").Should(BeNumerically(">", 2*time.Second))
		Expect(zones()).To(ConsistOf("a"))
		s.failLists.Store(false)
		Eventually(zones, "1s", "5ms").Should(BeEmpty())
		Expect(age()).To(BeNumerically("<", time.Second))
	})
	It("follows the keys of other zones by listings while its watch is silent", func() {
		start(format())
		ready()
		put("op/zone/first")
		Eventually(zones, "500ms", "5ms").Should(ConsistOf("first"))
		s.SetFaults(cluster.StoreFaults{StallWatches: true})
		remove("op/zone/first")
		put("op/zone/other")
		Eventually(zones, "7s", "50ms").Should(ConsistOf("other"))
	})
	It("keeps a key that was written after a listing without it", func() {
		start(format())
		ready()
		written := func() {
			if s.lists.Load() == 1 {
				put("op/zone/other")
				Eventually(zones, "1s", "5ms").Should(ConsistOf("other"))
			}
		}
		s.listed.Store(&written)
		Eventually(zones, "7s", "50ms").Should(ConsistOf("other"))
		Consistently(zones, "500ms", "20ms").Should(ConsistOf("other"))
	})
	It("knows the keys again after the store has compacted its history", func() {
		start(format())
		ready()
		put("op/zone/first")
		Eventually(zones, "500ms", "5ms").Should(ConsistOf("first"))
		s.SetFaults(cluster.StoreFaults{StallWatches: true})
		remove("op/zone/first")
		s.DropHistory()
		s.SetFaults(cluster.StoreFaults{})
		Eventually(zones, "12s", "50ms").Should(BeEmpty())
	})
	It("reports an invalid key once and ignores it", func() {
		put("op/zone/")
		start(format())
		ready()
		time.Sleep(5500 * time.Millisecond) // until the keys have been listed again
		Expect(s.lists.Load()).To(BeNumerically(">=", 1))
		Expect(output.count("invalid record is not used")).To(Equal(1))
		Expect(zones()).To(BeEmpty())
		Expect(age()).To(BeNumerically("<", 1500*time.Millisecond))
	})
	It("confirms more often where the bound is short", func() {
		short := format()
		short.Bound = time.Second
		start(short)
		ready()
		Consistently(age, "2s", "10ms").Should(BeNumerically("<", 600*time.Millisecond))
	})
	It("reads nothing where zones are not evacuated", func() {
		put("op/zone/a")
		start(nil)
		ready()
		time.Sleep(5500 * time.Millisecond)
		Expect(zones()).To(BeEmpty())
		Expect(s.lists.Load()).To(BeZero())
		Expect(output.count("zone evacuated")).To(BeZero())
	})
})
