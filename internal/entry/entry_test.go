package entry_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"samphirestile.example/samphirestile/internal/emulator/cluster"
	"samphirestile.example/samphirestile/internal/entry"
	"samphirestile.example/samphirestile/internal/fleet"
	"samphirestile.example/samphirestile/internal/hosts"
	"samphirestile.example/samphirestile/internal/job"
	"samphirestile.example/samphirestile/internal/jobapi"
	"samphirestile.example/samphirestile/internal/jobconfig"
	"samphirestile.example/samphirestile/internal/jobstore"
	"samphirestile.example/samphirestile/internal/lease"
	"samphirestile.example/samphirestile/internal/partition"
	"samphirestile.example/samphirestile/internal/shard"
	"samphirestile.example/samphirestile/internal/store"
	"samphirestile.example/samphirestile/internal/worker"
)

// fakeShard returns the results that the test sets.
type fakeShard struct {
	mu    sync.Mutex
	err   error
	jobs  []job.Job
	state job.State
	// deadline is the deadline of the context of the last submission or cancellation.
	deadline time.Time
}

func (f *fakeShard) fail(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.err = err
}

func (f *fakeShard) result() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.err
}

func (f *fakeShard) Submit(ctx context.Context, j job.Job) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.deadline, _ = ctx.Deadline()
	if f.err == nil {
		f.jobs = append(f.jobs, j)
	}
	return f.err
}

func (f *fakeShard) submitted() []job.Job {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.jobs
}
func (f *fakeShard) Cancel(ctx context.Context, _ job.ID) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.deadline, _ = ctx.Deadline()
	return f.err
}
func (f *fakeShard) State(context.Context, job.ID) (job.State, error)  { return f.state, f.result() }
func (f *fakeShard) Waiting(context.Context, shard.Queue) (int, error) { return 12, f.result() }
func (f *fakeShard) HoldsQueue(context.Context, shard.Queue) (bool, error) {
	return len(f.submitted()) > 0, f.result()
}
func (f *fakeShard) Empty(context.Context, worker.ID) (bool, error) { return false, f.result() }
func (f *fakeShard) Reopen(context.Context, worker.ID) error        { return f.result() }
func (f *fakeShard) Demand(context.Context, []worker.ID) (shard.HostDemand, error) {
	return shard.HostDemand{}, f.result()
}
func (f *fakeShard) Report(context.Context, shard.ReportRequest) (shard.Report, error) {
	return shard.Report{}, f.result()
}

type record struct {
	Version int64
	Keys    []string
}

// listingStore counts the full reads of the operator records.
type listingStore struct {
	*cluster.Store
	lists atomic.Int64
	// withholding is set while failed conditions are returned without records.
	withholding atomic.Bool
}

func (s *listingStore) Commit(ctx context.Context, t store.Transaction) (uint64, error) {
	revision, err := s.Store.Commit(ctx, t)
	if errors.As(err, new(*store.ConditionError)) && s.withholding.Load() {
		return 0, &store.ConditionError{}
	}
	return revision, err
}

func (s *listingStore) List(ctx context.Context, prefix string) ([]store.Entry, uint64, error) {
	if prefix == "op/" {
		s.lists.Add(1)
	}
	return s.Store.List(ctx, prefix)
}

var _ = Describe("the gateway", func() {
	const (
		id     = "0123456789abcdef"
		revoke = 800 * time.Millisecond
	)
	var (
		s       *listingStore
		f       *fakeShard
		decoded atomic.Int64
		g       *entry.Gateway
		owned   bool
		depths  partition.Depths
		follow  *entry.ConfigurationFollower
	)
	configure := func(version int64, keys ...string) {
		value, err := json.Marshal(record{version, keys})
		Expect(err).NotTo(HaveOccurred())
		_, err = s.Commit(context.Background(), store.Transaction{Writes: []store.Write{{Key: "op/config", Value: value}}})
		Expect(err).NotTo(HaveOccurred())
	}
	call := func(method, path, key, body string) *httptest.ResponseRecorder {
		r := httptest.NewRequest(method, "http://host.example"+path, strings.NewReader(body))
		r.Header.Set("Key", key)
		w := httptest.NewRecorder()
		g.ServeHTTP(w, r)
		return w
	}
	post := func(key string) *httptest.ResponseRecorder {
		return call(http.MethodPost, "/closed/"+id, key, `{}`)
	}
	// startFollower starts the follower of a new process.
	startFollower := func() *entry.ConfigurationFollower {
		discardLog := logrus.New()
		discardLog.SetOutput(io.Discard)
		started := entry.NewConfigurationFollower(s, entry.RecordFormat{
			Prefix: "op/", ConfigurationKey: "op/config", WavePrefix: "op/wave/",
			Configuration: func(b []byte) (*jobconfig.Configuration, error) {
				decoded.Add(1)
				var r record
				if err := json.Unmarshal(b, &r); err != nil {
					return nil, err
				}
				c := &jobconfig.Configuration{
					Version: r.Version, Services: map[fleet.ServiceID]jobconfig.Service{},
					Accounts: map[string]jobconfig.Account{"acme": {Name: "acme", Keys: r.Keys}},
					Queues: []jobconfig.Queue{
						{Name: "closed", Host: "host.example", Prefix: "/closed/", Service: "s"},
						{Name: "open", Host: "host.example", Prefix: "/open/", Service: "s", Open: true},
					},
				}
				c.Index()
				return c, nil
			},
			Wave: func(e store.Entry) (hosts.Wave, bool, error) {
				n, ok := strings.CutPrefix(e.Key, "op/wave/")
				return hosts.Wave{Number: int64(len(n))}, ok, nil
			},
		}, discardLog)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { defer close(done); started.Run(ctx) }()
		DeferCleanup(func() { cancel(); <-done })
		return started
	}
	BeforeEach(func() {
		s, f, owned = &listingStore{Store: cluster.NewStore()}, &fakeShard{state: job.Running}, true
		depths = partition.Depths{}
		decoded.Store(0)
		discardLog := logrus.New()
		discardLog.SetOutput(io.Discard)
		follow = startFollower()
		g = &entry.Gateway{
			Configurations: follow, RevocationDeadline: revoke, Log: discardLog, Scope: tally.NoopScope,
			Router: &entry.Router{
				Find:   func(fleet.ServiceID) (jobapi.Shard, bool) { return f, owned },
				Lookup: &entry.Lookup{Store: s, Depths: func() partition.Depths { return depths }, Responds: follow.ConfirmedRecently}, Log: discardLog,
			},
			Protocol: entry.Protocol{
				Key:          func(r *http.Request) string { return r.Header.Get("Key") },
				Timeout:      func(_ *http.Request, fallback time.Duration) time.Duration { return fallback },
				DecodeJob:    func([]byte) (job.Job, error) { return job.Job{Steps: []job.Step{{Count: 1}}}, nil },
				WriteState:   func(w http.ResponseWriter, s job.State) error { _, err := io.WriteString(w, string(s)); return err },
				WriteWaiting: func(w http.ResponseWriter, _ int) error { _, err := io.WriteString(w, "waiting"); return err },
			},
		}
	})
	ready := func() {
		configure(1, "k")
		Eventually(func() int { return call(http.MethodGet, "/closed/"+id, "k", "").Code }, "3s").Should(Equal(http.StatusOK))
	}

	It("responds with 503 before there is a configuration", func() {
		Expect(post("k").Code).To(Equal(http.StatusServiceUnavailable))
	})
	It("forwards a job with its account, and refuses unknown keys and queues", func() {
		ready()
		Expect(post("k").Code).To(Equal(http.StatusOK))
		Expect(f.jobs[0].Account).To(Equal("acme"))
		Expect(post("other").Code).To(Equal(http.StatusUnauthorized))
		Expect(call(http.MethodPost, "/none/"+id, "k", "{}").Code).To(Equal(http.StatusNotFound))
		Expect(call(http.MethodPost, "/closed/xyz", "k", "{}").Code).To(Equal(http.StatusBadRequest))
		Expect(call(http.MethodPut, "/closed/"+id, "k", "{}").Code).To(Equal(http.StatusMethodNotAllowed))
		Expect(call(http.MethodPost, "/open/"+id, "", "{}").Code).To(Equal(http.StatusOK))
	})
	DescribeTable("reports a refusal only if the job was certainly not accepted", func(err error, status int, retry string) {
		ready()
		f.fail(err)
		w := post("k")
		Expect(w.Code).To(Equal(status))
		Expect(w.Header().Get("Retry-After")).To(Equal(retry))
	},
		Entry("full queue", &shard.RejectedError{Overload: true, RetryAfter: 2500 * time.Millisecond}, http.StatusTooManyRequests, "3"),
		Entry("store unavailable", &shard.RejectedError{RetryAfter: time.Second}, http.StatusServiceUnavailable, "1"),
		Entry("unknown outcome", &shard.UnknownOutcomeError{Cause: errors.New("x")}, http.StatusGatewayTimeout, ""),
		Entry("no owner", &shard.NotOwnerError{}, http.StatusServiceUnavailable, "1"),
		Entry("call not sent to the owner", &jobapi.NotSentError{Cause: errors.New("x")}, http.StatusServiceUnavailable, "1"),
		Entry("bad job", &job.InvalidError{}, http.StatusBadRequest, ""),
		Entry("unknown job", &shard.UnknownJobError{}, http.StatusGone, ""),
	)
	It("refuses a revoked key as soon as it receives the configuration version that revokes it", func() {
		ready()
		configure(2)
		Eventually(func() int { return post("k").Code }, "300ms", "5ms").Should(Equal(http.StatusUnauthorized))
	})
	// Guards against a job that runs for a key that was revoked while its body arrived.
	It("refuses a job whose key is revoked while its body arrives", func() {
		ready()
		body, sender := io.Pipe()
		r := httptest.NewRequest(http.MethodPost, "http://host.example/closed/"+id, body)
		r.Header.Set("Key", "k")
		w, done := httptest.NewRecorder(), make(chan struct{})
		go func() { defer close(done); g.ServeHTTP(w, r) }()
		_, err := io.WriteString(sender, "{")
		Expect(err).NotTo(HaveOccurred())
		configure(2)
		Eventually(func() int { return post("k").Code }, "2s", "5ms").Should(Equal(http.StatusUnauthorized))
		accepted := len(f.submitted())
		_, err = io.WriteString(sender, "}")
		Expect(err).NotTo(HaveOccurred())
		Expect(sender.Close()).To(Succeed())
		Eventually(done).Should(BeClosed())
		Expect(w.Code).To(Equal(http.StatusUnauthorized))
		Expect(f.submitted()).To(HaveLen(accepted))
	})
	// Guards against a call that is still being sent to an owner when a revocation that this
	// daemon has not received must have taken effect.
	DescribeTable("sends no call to an owner after the revocation deadline of its configuration", func(method string) {
		ready()
		Expect(call(method, "/closed/"+id, "k", "{}").Code).To(Equal(http.StatusOK))
		f.mu.Lock()
		defer f.mu.Unlock()
		Expect(f.deadline).NotTo(BeZero())
		Expect(time.Until(f.deadline)).To(BeNumerically("<", revoke))
	},
		Entry("submission", http.MethodPost),
		Entry("cancellation", http.MethodDelete),
	)
	It("accepts no keys once a revocation may have been missed, and still serves open queues", func() {
		ready()
		s.SetFaults(cluster.StoreFaults{Down: true})
		Eventually(func() int { return post("k").Code }, revoke, "5ms").Should(Equal(http.StatusServiceUnavailable))
		Expect(call(http.MethodPost, "/open/"+id, "", "{}").Code).To(Equal(http.StatusOK))
		Expect(call(http.MethodPost, "/none/"+id, "", "{}").Code).To(Equal(http.StatusServiceUnavailable))
	})
	It("applies a new version even when its watch is stalled, and never an older one", func() {
		g.RevocationDeadline = time.Minute
		ready()
		s.SetFaults(cluster.StoreFaults{StallWatches: true})
		configure(5)
		Eventually(func() int { return post("k").Code }, "1900ms", "5ms").Should(Equal(http.StatusUnauthorized))
		configure(4, "k")
		Consistently(func() int { return post("k").Code }, "1500ms", "50ms").Should(Equal(http.StatusUnauthorized))
	})
	// Guards against a withdrawn key that works again on a restarted daemon because the store
	// holds an older version of the configuration.
	It("does not use a configuration of a lower version after a restart", func() {
		g.RevocationDeadline = time.Minute
		ready()
		configure(5)
		Eventually(func() int { return post("k").Code }, "2s", "5ms").Should(Equal(http.StatusUnauthorized))
		configure(4, "k")
		Eventually(func() error { _, err := s.Get(context.Background(), entry.RetainedKey); return err }, "3s").Should(Succeed())
		g.Configurations = startFollower()
		Eventually(func() int { return post("k").Code }, "2s", "1ms").ShouldNot(Equal(http.StatusServiceUnavailable))
		Consistently(func() int { return post("k").Code }, "1500ms", "5ms").Should(Equal(http.StatusUnauthorized))
		configure(6, "k")
		Eventually(func() int { return post("k").Code }, "2s", "5ms").Should(Equal(http.StatusOK))
	})
	It("uses the higher version that another daemon has retained", func() {
		g.RevocationDeadline = 3 * time.Second
		ready()
		value, err := json.Marshal(record{Version: 5})
		Expect(err).NotTo(HaveOccurred())
		_, err = s.Commit(context.Background(), store.Transaction{Writes: []store.Write{{Key: entry.RetainedKey, Value: value}}})
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() int { return post("k").Code }, "2s", "5ms").Should(Equal(http.StatusUnauthorized))
	})
	// Guards against a withdrawn key that works on because a change without its record counts as
	// a confirmation.
	It("does not confirm a configuration that has changed in an unknown way", func() {
		ready()
		s.withholding.Store(true)
		s.SetFaults(cluster.StoreFaults{StallWatches: true})
		configure(2)
		Eventually(func() int { return post("k").Code }, 2*revoke, "5ms").Should(Equal(http.StatusServiceUnavailable))
		Consistently(func() int { return post("k").Code }, "1500ms", "5ms").ShouldNot(Equal(http.StatusOK))
		s.withholding.Store(false)
		Eventually(func() int { return post("k").Code }, "2s", "5ms").Should(Equal(http.StatusUnauthorized))
	})
	It("confirms a configuration without reading it again, however large it is", func() {
		g.RevocationDeadline = 3 * time.Second
		ready()
		lists, decodings := s.lists.Load(), decoded.Load()
		Consistently(func() int { return post("k").Code }, "4s", "50ms").Should(Equal(http.StatusOK))
		Expect(s.lists.Load()).To(Equal(lists))
		Expect(decoded.Load()).To(Equal(decodings))
	})
	It("confirms the configuration again after compaction, and reads waves that a stalled watch has hidden", func() {
		g.RevocationDeadline = 3 * time.Second
		ready()
		s.SetFaults(cluster.StoreFaults{StallWatches: true})
		_, err := s.Commit(context.Background(), store.Transaction{Writes: []store.Write{{Key: "op/wave/1", Value: []byte("{}")}}})
		Expect(err).NotTo(HaveOccurred())
		s.DropHistory()
		Eventually(follow.Waves, "7s", "50ms").Should(HaveLen(1))
		Expect(post("k").Code).To(Equal(http.StatusOK))
	})
	It("keeps the configuration when a record is invalid", func() {
		g.RevocationDeadline = time.Minute
		ready()
		_, err := s.Commit(context.Background(), store.Transaction{Writes: []store.Write{{Key: "op/config", Value: []byte("{")}}})
		Expect(err).NotTo(HaveOccurred())
		Consistently(func() int { return post("k").Code }, "500ms", "50ms").Should(Equal(http.StatusOK))
	})
	put := func(key, value string) {
		GinkgoHelper()
		_, err := s.Commit(context.Background(), store.Transaction{Writes: []store.Write{{Key: key, Value: []byte(value)}}})
		Expect(err).NotTo(HaveOccurred())
	}
	// Guards against 503, which says that a job never runs, for a recorded one whose response
	// was lost with its owner.
	DescribeTable("does not refuse a repeated job that is recorded while its shard has no owner", func(record, owner string) {
		ready()
		put(record, "{}")
		if owner != "" {
			put(owner, "")
		}
		owned = false
		Expect(post("k").Code).To(Equal(http.StatusOK))
	},
		Entry("running", jobstore.JobPrefix("s")+id, ""),
		Entry("ended", jobstore.ProgressPrefix("s")+id, ""),
		Entry("running, its owner does not respond", jobstore.JobPrefix("s")+id, lease.OwnerKey("s")),
	)
	It("does not refuse a repeated job that an older partition holds while the newer one has no owner", func() {
		ready()
		depths = partition.Depths{"s": 1, "s#1": 1}
		moved := ""
		for n := 0; moved == ""; n++ {
			if id := fmt.Sprintf("%016x", n); depths.Route("s", job.ID(id)).Shard() == "s#1" {
				moved = id
			}
		}
		owned = false
		Expect(call(http.MethodPost, "/closed/"+moved, "k", "{}").Code).To(Equal(http.StatusServiceUnavailable))
		put(jobstore.JobPrefix("s")+moved, "{}")
		Expect(call(http.MethodPost, "/closed/"+moved, "k", "{}").Code).To(Equal(http.StatusOK))
	})
	// Guards against 503 for a job that an owner may still be recording.
	It("does not refuse a repeated job while an earlier call for it has an open outcome", func() {
		ready()
		f.fail(&shard.UnknownOutcomeError{Cause: errors.New("the response is lost")})
		Expect(post("k").Code).To(Equal(http.StatusGatewayTimeout))
		owned = false
		put(lease.OwnerKey("s"), "")
		Expect(post("k").Code).To(Equal(http.StatusGatewayTimeout))
		other := call(http.MethodPost, "/closed/fedcba9876543210", "k", "{}")
		Expect(other.Code).To(Equal(http.StatusServiceUnavailable))
		Expect(other.Header().Get("Retry-After")).To(Equal("1"))
		s.SetFaults(cluster.StoreFaults{Down: true})
		Expect(post("k").Code).To(Equal(http.StatusGatewayTimeout))
		time.Sleep(revoke)
		Expect(post("k").Code).To(Equal(http.StatusGatewayTimeout), "with a stale configuration")
		s.SetFaults(cluster.StoreFaults{})
		_, err := s.Commit(context.Background(), store.Transaction{Removals: []string{lease.OwnerKey("s")}})
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() int { return post("k").Code }, "3s").Should(Equal(http.StatusServiceUnavailable), "no owner can record it any more")
	})
	// Guards against a job that a daemon with an older configuration hands to the former service of its queue.
	It("submits a job again under the configuration that sends its queue elsewhere", func() {
		ready()
		f.fail(&shard.QueueMovedError{Version: 2})
		w := make(chan int, 1)
		go func() { w <- post("k").Code }()
		Consistently(w, "100ms").ShouldNot(Receive())
		f.fail(nil)
		configure(2, "k")
		Eventually(w, "2s").Should(Receive(Equal(http.StatusOK)))
		Expect(f.submitted()[len(f.submitted())-1].ConfigVersion).To(Equal(int64(2)))
		f.fail(&shard.QueueMovedError{Version: 3})
		refused := post("k")
		Expect(refused.Code).To(Equal(http.StatusServiceUnavailable))
		Expect(refused.Header().Get("Retry-After")).To(Equal("1"))
	})
	It("refuses at once while the shard has no owner", func() {
		ready()
		owned = false
		began := time.Now()
		Expect(post("k").Code).To(Equal(http.StatusServiceUnavailable))
		Expect(time.Since(began)).To(BeNumerically("<", time.Second))
	})
})
