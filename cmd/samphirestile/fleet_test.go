package main

import (
	"bytes"
	"context"
	"io"
	"net/http/httptest"
	"os"
	"path/filepath"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"samphirestile.example/samphirestile/internal/cli"
	"samphirestile.example/samphirestile/internal/emulator/cluster"
	"samphirestile.example/samphirestile/internal/fleet"
	"samphirestile.example/samphirestile/internal/fleetapi"
	"samphirestile.example/samphirestile/internal/hosts"
	"samphirestile.example/samphirestile/internal/job"
	"samphirestile.example/samphirestile/internal/jobapi"
	"samphirestile.example/samphirestile/internal/jobapi/oas"
	"samphirestile.example/samphirestile/internal/jobconfig"
	"samphirestile.example/samphirestile/internal/monotonic"
	"samphirestile.example/samphirestile/internal/operatorapi"
	"samphirestile.example/samphirestile/internal/shard"
	"samphirestile.example/samphirestile/internal/store"
	"samphirestile.example/samphirestile/internal/worker"
)

const (
	fleetPool = fleet.ServiceID("quotes")
	longJob   = job.ID("00000000000000aa")
)

// fakeFleet is a fleet with one pool, owned by another daemon, and one spare pool without an
// owner.
type fakeFleet struct {
	shard jobapi.Shard
	store store.Transactional
}

func (f *fakeFleet) Pools() []fleet.ServiceID { return []fleet.ServiceID{fleetPool} }
func (f *fakeFleet) SparePools() map[fleet.ServiceID]bool {
	return map[fleet.ServiceID]bool{"spares": true}
}
func (f *fakeFleet) Shard(fleet.ServiceID) (jobapi.Shard, bool) { return f.shard, f.shard != nil }
func (f *fakeFleet) Zones() map[fleet.AvailabilityZone]bool {
	return map[fleet.AvailabilityZone]bool{"z1": false, "z2": true}
}
func (f *fakeFleet) OwnerOf(fleet.ServiceID) string { return "front-1" }
func (f *fakeFleet) Hosts(context.Context) ([]hosts.Host, error) {
	return []hosts.Host{
		{ID: "m-1", Pool: fleetPool, State: hosts.Up, AvailabilityZone: "z1", Worker: "w0", Labels: []string{"a", "r1"}},
		{ID: "m-2", Pool: "spares", State: hosts.Up, AvailabilityZone: "z1"},
	}, nil
}
func (f *fakeFleet) Waves(ctx context.Context) ([]hosts.Progress, error) {
	return hosts.ReadProgress(ctx, f.store, []hosts.Wave{{Number: 7, Hosts: []fleet.HostID{"m-1", "m-2"}, AtOnce: 1, Within: time.Minute}})
}

var _ = Describe("the command line for a fleet", func() {
	var (
		testFleet   *fakeFleet
		settings    string
		out, errOut bytes.Buffer
	)
	runLine := func(args ...string) int {
		out.Reset()
		errOut.Reset()
		return run(context.Background(), append([]string{"--settings", settings}, args...), &out, &errOut)
	}
	BeforeEach(func() {
		discardLog := logrus.New()
		discardLog.SetOutput(io.Discard)
		memoryStore := cluster.NewStore()
		token, err := memoryStore.Commit(context.Background(), store.Transaction{Writes: []store.Write{
			{Key: "owner", Value: []byte("x")}, {Key: "samphirestile/wave/7", Value: []byte(`{"begun":["m-1"],"opened_ms":1}`)},
		}})
		Expect(err).NotTo(HaveOccurred())
		workers := &cluster.Workers{Behaviour: func(string, int) cluster.Behaviour { return cluster.Behaviour{Duration: time.Hour} }}
		for _, id := range []worker.ID{"w0", "w1"} {
			workers.Add(worker.Worker{ID: id, Service: fleetPool, AvailabilityZone: "z1", Capacity: worker.Resources{CPU: 4000, MemMB: 4000}, Labels: []string{"a", "r1"}})
		}
		owner := shard.New(shard.Config{
			Shard: string(fleetPool), Service: fleetPool, Token: token, OwnerKey: "owner", Store: memoryStore, Dialer: workers,
			Bounds:               shard.Bounds{MaxLease: 10 * time.Second, StatusRetention: time.Minute},
			LatestWorkerLeaseEnd: func() monotonic.Time { return monotonic.Now().Add(time.Minute) },
			Workers:              workers.List, Changes: make(chan struct{}), Log: discardLog, Scope: tally.NoopScope,
			Configuration: func() *jobconfig.Configuration { return &jobconfig.Configuration{} },
		})
		ctx, cancel := context.WithCancel(context.Background())
		stopped := make(chan struct{})
		go func() { defer close(stopped); owner.Run(ctx) }()
		DeferCleanup(func() { cancel(); <-stopped })
		peerHandler, err := oas.NewServer(&jobapi.Server{Local: func(string) (jobapi.Shard, bool) { return owner, true }})
		Expect(err).NotTo(HaveOccurred())
		peerServer := httptest.NewServer(peerHandler)
		DeferCleanup(peerServer.Close)
		remote, err := jobapi.NewClients(nil).Remote(peerServer.Listener.Addr().String(), string(fleetPool))
		Expect(err).NotTo(HaveOccurred())
		testFleet = &fakeFleet{shard: remote, store: memoryStore}
		api, err := fleetapi.NewServer(testFleet, operatorapi.Tokens{"good"}, discardLog)
		Expect(err).NotTo(HaveOccurred())
		daemon := httptest.NewServer(api)
		DeferCleanup(daemon.Close)
		settings = filepath.Join(GinkgoT().TempDir(), "settings.json")
		text := `{"server": "` + daemon.Listener.Addr().String() + `", "token": "good"}`
		Expect(os.WriteFile(settings, []byte(text), 0o600)).To(Succeed())
		step := job.Step{Count: 1, Need: worker.Resources{CPU: 1000, MemMB: 10}, LongRunning: true, MaxPerWorker: 1}
		Eventually(func() error {
			return remote.Submit(ctx, job.Job{ID: longJob, Queue: "q", Account: "acme", Service: fleetPool, Steps: []job.Step{step}})
		}, "2s").Should(Succeed())
		Eventually(func() int { return workers.Find("w0").Running() + workers.Find("w1").Running() }, "2s").Should(Equal(1))
	})

	It("lists pools, hosts, workers, zones, jobs and maintenance", func() {
		Expect(runLine("pool", "list")).To(Equal(cli.ExitOK), errOut.String())
		Expect(out.String()).To(MatchRegexp(`quotes +false +front-1 +\d+ +2 +2 +1 +0 +1\n`))
		Expect(out.String()).To(MatchRegexp(`spares +true +- `))
		Expect(runLine("host", "list", "--pool", "spares")).To(Equal(cli.ExitOK), errOut.String())
		Expect(out.String()).To(And(ContainSubstring("m-2"), Not(ContainSubstring("m-1"))))
		Expect(runLine("worker", "list")).To(Equal(cli.ExitOK), errOut.String())
		Expect(out.String()).To(MatchRegexp(`w\d +quotes +usable +z1 +r1 +1000/4000 +10/4000 +0/0 +1 `))
		Expect(runLine("zone", "list")).To(Equal(cli.ExitOK), errOut.String())
		Expect(out.String()).To(MatchRegexp(`z1 +false +2 +2 +1\n`))
		Expect(out.String()).To(MatchRegexp(`z2 +true +0 +0 +0\n`))
		Expect(runLine("job", "list")).To(Equal(cli.ExitOK), errOut.String())
		Expect(out.String()).To(MatchRegexp(`00000000000000aa +quotes +q +acme +running`))
		Expect(runLine("maintenance", "list")).To(Equal(cli.ExitOK), errOut.String())
		Expect(out.String()).To(MatchRegexp(`7 +1/2 +1 +60000 +false`))
	})

	It("shows a job and cancels it", func() {
		Expect(runLine("job", "show", string(longJob))).To(Equal(cli.ExitOK), errOut.String())
		Expect(out.String()).To(MatchRegexp(`(?s)job 00000000000000aa +running +0/1 .*step 0.0 +ready .*run 00000000000000aa.0.0.0 +running`))
		Expect(runLine("job", "cancel", string(longJob))).To(Equal(cli.ExitOK), errOut.String())
		Expect(runLine("job", "cancel", string(longJob))).To(Equal(cli.ExitOK), "a repeated cancellation succeeds")
		Expect(runLine("-o", "json", "job", "show", string(longJob))).To(Equal(cli.ExitOK))
		Expect(out.String()).To(ContainSubstring(`"cancelled"`))
	})

	It("empties a worker and reopens it", func() {
		for _, id := range []string{"w0", "w1"} {
			Expect(runLine("worker", "empty", id, "--pool", "quotes")).To(Equal(cli.ExitOK), errOut.String())
			Expect(out.String()).To(ContainSubstring("is empty"))
			Expect(runLine("worker", "list")).To(Equal(cli.ExitOK))
			Expect(out.String()).To(MatchRegexp(id + ` +quotes +closed`))
			Expect(runLine("worker", "reopen", id, "--pool", "quotes")).To(Equal(cli.ExitOK), errOut.String())
			Expect(runLine("worker", "list")).To(Equal(cli.ExitOK))
			Expect(out.String()).To(MatchRegexp(id + ` +quotes +usable`))
		}
	})

	It("reports unknown objects, an excessive --limit, unauthorized requests and pools without an owner", func() {
		Expect(runLine("job", "show", "00000000000000bb")).To(Equal(cli.ExitNotFound))
		Expect(errOut.String()).To(ContainSubstring("next: "))
		Expect(runLine("worker", "list", "--pool", "nowhere")).To(Equal(cli.ExitNotFound))
		Expect(runLine("job", "list", "--limit", "5000")).To(Equal(cli.ExitUsage))
		Expect(runLine("--token", "wrong", "job", "list")).To(Equal(cli.ExitUnauthorized))
		testFleet.shard = nil
		Expect(runLine("job", "list")).To(Equal(cli.ExitUnavailable))
		Expect(runLine("job", "cancel", string(longJob))).To(Equal(cli.ExitUnavailable))
		Expect(runLine("pool", "list")).To(Equal(cli.ExitOK), "a pool without an owner is listed")
	})
})
