// Package soak runs real daemons as separate processes under random faults that are
// injected from outside, and checks the guarantees as clients and workers observe them.
//
// To run more seeds: go test ./test/soak -timeout 120m -args -soak.first 100 -soak.seeds 50 -soak.processseeds 50 -soak.recutseeds 50
// To run a daemon that was built before, with workers as separate processes only (or "restart at once" with -soak.recutseeds): go test ./test/soak -timeout 60m
// -ginkgo.focus "separate processes" -args -soak.processseeds 20 -soak.program PATH
package soak

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"

	"samphirestile.example/samphirestile/internal/emulator/cluster"
	"samphirestile.example/samphirestile/internal/job"
	"samphirestile.example/samphirestile/internal/worker"
	"samphirestile.example/samphirestile/platform/standin"
)

var (
	firstSeed = flag.Uint64("soak.first", 1, "first seed")
	seeds     = flag.Int("soak.seeds", 2, "number of seeds with emulated workers")
	// Seeds of workers as separate processes are counted apart, because each takes longer.
	processSeeds = flag.Int("soak.processseeds", 1, "number of seeds with workers as separate processes")
	processCount = flag.Int("soak.workers", 0, "number of workers as separate processes; 0 chooses it by the seed")
	ready        = flag.String("soak.program", "", "daemon to run; empty builds it")
	length       = flag.Duration("soak.length", 8*time.Second, "time in which faults of all kinds are injected; those of workers go on for workerTime")
)

// regressionSeeds are seeds that failed in the past, each with its cause. Every run
// includes them.
var regressionSeeds = []uint64{}

const (
	// completionTimeout is the time after the last fault within which every accepted job
	// must finish: the required recovery time is 12 s; the rest is for the remaining work.
	completionTimeout = 30 * time.Second
	// speculationTime is how long after a job was shown as completed a copy of one of its tasks may start.
	speculationTime = time.Second
	// visibleTime is how long after its acceptance a job may be unknown to a daemon (visible_ms).
	visibleTime = 3 * time.Second
	// clockTolerance is the accepted difference between recorded times and the order of events.
	clockTolerance = 50 * time.Millisecond
)

var program, emulator string

func TestSoak(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "soak")
}

var _ = BeforeSuite(func() {
	build := func(command string) string {
		path, err := gexec.Build("samphirestile.example/samphirestile/cmd/" + command)
		Expect(err).NotTo(HaveOccurred())
		return path
	}
	if program = *ready; program == "" {
		program = build("samphirestiled")
	}
	emulator = build("samphirestile-emulator")
	DeferCleanup(gexec.CleanupBuildArtifacts)
})

var _ = Describe("daemons under random faults", func() {
	It("keep their guarantees", func() {
		selected := append([]uint64{}, regressionSeeds...)
		for i := range *seeds {
			selected = append(selected, *firstSeed+uint64(i))
		}
		for _, seed := range selected {
			By(fmt.Sprintf("seed %d", seed))
			runSeed(seed, jobPause, startEmulatedWorkers)
		}
	})

	// Guards against beliefs about a worker that restarts under its ID which hold only while calls and answers arrive in
	// order: two runs of a task at once, and a start after an acknowledged completion.
	Describe("keep their guarantees with workers as separate processes", func() {
		for i := range *processSeeds {
			seed := *firstSeed + uint64(i)
			It(fmt.Sprintf("seed %d", seed), func() {
				runSeed(seed, idleJobPause, startProcessWorkers(processWorkers(seed)), "GOMAXPROCS=1")
			})
		}
	})
})

// processWorkers returns the number of workers as separate processes.
func processWorkers(seed uint64) int {
	switch {
	case *processCount > 0:
		return *processCount
	case seed%5 == 0:
		return 40
	}
	return 8
}

// runSeed runs the load and the random faults of one seed and checks the results. Variables are added to the environment of
// the daemons.
func runSeed(seed uint64, maxPause time.Duration, addWorkers func(*cell, uint64) (workerPool, error), variables ...string) {
	GinkgoHelper()
	runScene(&jobLoad{seed: seed, maxPause: maxPause}, addWorkers, func(s *schedule) { s.run(*length) }, variables...)
}

// runScene runs a load beside faults and checks the results. Variables are added to the environment of the daemons.
func runScene(l *jobLoad, addWorkers func(*cell, uint64) (workerPool, error), injectFaults func(*schedule), variables ...string) {
	GinkgoHelper()
	seed := l.seed
	// The directory with the logs is kept after a failure.
	dir, err := os.MkdirTemp("", "samphirestile-soak-")
	Expect(err).NotTo(HaveOccurred())
	c, err := startCell(dir, program, seed, addWorkers, variables...)
	if c != nil {
		defer c.close()
	}
	Expect(err).NotTo(HaveOccurred())
	l.cell = c
	s := &schedule{cell: c, seed: seed, start: time.Now()}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.run(ctx)
	}()
	injectFaults(s)
	Expect(c.clearFaults()).To(Succeed())
	cleared := time.Now()
	cancel()
	<-done
	l.awaitCompletion(cleared)
	problems := l.problems(s.ended())
	AddReportEntry(fmt.Sprintf("seed %d: %s", seed, l.summary()))
	Expect(problems).To(BeEmpty(), "seed %d\n%s\nlogs of the daemons: %s", seed, strings.Join(s.log, "\n"), dir)
	Expect(os.RemoveAll(dir)).To(Succeed())
}

// awaitCompletion polls the unfinished and the cancelled jobs until all jobs are finished or the timeout ends, and
// until the runs of cancelled jobs must have ended, also those that workers began late.
func (l *jobLoad) awaitCompletion(cleared time.Time) {
	random := rand.New(rand.NewPCG(l.seed, 3))
	client := standin.Client{Queue: queue, Timeout: clientTimeout, HTTP: &http.Client{}}
	settled := cleared.Add(maxOrderDelay + contactTime + standin.StopGrace)
	for _, r := range l.accepted((*result).isCancelled) {
		if at := r.cancelledAt.Add(cancelTime + standin.StopGrace); at.After(settled) {
			settled = at
		}
	}
	settled = settled.Add(2 * clockTolerance)
	unfinished := func() []*result { return l.accepted(func(r *result) bool { return r.final == "" }) }
	for end := time.Now().Add(completionTimeout); time.Now().Before(end) && (len(unfinished()) > 0 || time.Now().Before(settled)); time.Sleep(200 * time.Millisecond) {
		for _, r := range l.accepted(func(r *result) bool { return r.final == "" || r.isCancelled() }) {
			l.pollState(client, r, random)
		}
	}
}

func (l *jobLoad) summary() string {
	accepted, rejected, cancelled, late := 0, 0, 0, 0
	for _, e := range l.cell.pool.events() {
		if e.Late {
			late++
		}
	}
	for _, r := range l.results {
		if r.accepted {
			accepted++
		}
		if r.final == job.Cancelled {
			cancelled++
		}
		if r.rejected {
			rejected++
		}
	}
	return fmt.Sprintf("%d jobs, %d accepted, %d rejected, %d cancelled, %d runs began late", len(l.results), accepted, rejected, cancelled, late)
}

// problems returns all violations, of job results and of the run history.
func (l *jobLoad) problems(faults []fault) []string {
	problems := slices.Clone(l.unexpected)
	until, events := time.Now(), l.cell.pool.events()
	cancelledAt := map[job.ID]time.Time{}
	expectation := cluster.Expectation{After: map[string][]string{}, MaxAttempts: queue.MaxAttempts}
	expectation.Speculative = isSpeculative
	expectation.Unreachable = func(w worker.ID, from, to time.Time) bool {
		return quietEnd(faults, w, from, contactTime).After(to)
	}
	doneAt, starts, failures := map[string]time.Time{}, map[string]int{}, map[string]int{}
	for _, e := range events {
		switch e.Kind {
		case cluster.Started:
			starts[e.Task]++
		case cluster.Completed:
			if _, ok := doneAt[e.Task]; !ok {
				doneAt[e.Task] = e.At
			}
		case cluster.Failed:
			failures[e.Task]++
		}
	}
	for _, r := range l.results {
		for i, s := range r.steps {
			for _, before := range s.After {
				for t := range r.steps[before].Count {
					step := fmt.Sprintf("%s.0.%d", r.id, i)
					expectation.After[step] = append(expectation.After[step], fmt.Sprintf("%s.0.%d.%d", r.id, before, t))
				}
			}
		}
		if r.isCancelled() {
			cancelledAt[r.id] = r.cancelledAt
		}
		problems = append(problems, r.problems(doneAt, starts, failures)...)
		if isSpeculative(string(r.id)) {
			problems = append(problems, r.startProblems(events)...)
		}
	}
	problems = append(problems, cancelProblems(events, until, cancelledAt, faults)...)
	for _, v := range cluster.Check(events, expectation) {
		problems = append(problems, v.String()+"\n"+cluster.FormatTask(events, v.Task))
	}
	return problems
}

// startProblems returns the runs of the job that started more than speculationTime after it was shown as completed,
// except those whose start the protocol refuses.
func (r *result) startProblems(events []cluster.Event) []string {
	var problems []string
	for _, e := range events {
		if r.final == job.Completed && e.Kind == cluster.Started && !e.Expired && strings.HasPrefix(e.Task, string(r.id)+".") && e.At.Sub(r.finalAt) > speculationTime {
			problems = append(problems, fmt.Sprintf("%s run %d on %s (late: %v) started %v after its job was shown as completed\n%s",
				e.Task, e.Number, e.Worker, e.Late, e.At.Sub(r.finalAt), cluster.FormatTask(events, e.Task)))
		}
	}
	return problems
}

// problems returns the violations in the result of one job, given when each task was first
// done, and its numbers of starts and failed runs.
func (r *result) problems(doneAt map[string]time.Time, starts, failures map[string]int) []string {
	var problems []string
	report := func(format string, args ...any) {
		problems = append(problems, fmt.Sprintf("job %s: ", r.id)+fmt.Sprintf(format, args...))
	}
	exhausted := false
	for _, t := range r.tasks() {
		exhausted = exhausted || failures[t] >= queue.MaxAttempts
		if r.rejected && starts[t] > 0 {
			report("every submission was rejected, but %s was started", t)
		}
		if r.final != job.Completed {
			continue
		}
		if at, ok := doneAt[t]; !ok || at.After(r.finalAt.Add(clockTolerance)) {
			report("reported as completed before %s was done", t)
		}
	}
	if !r.goneAt.IsZero() {
		report("accepted, but denied %v later", r.goneAt.Sub(r.acceptedAt))
	}
	switch {
	case r.accepted && r.final == "":
		report("accepted, but not finished in time")
	case r.final == job.Failed && !exhausted:
		report("reported as failed, but no task has failed %d times", queue.MaxAttempts)
	}
	return append(problems, r.cancelProblems(doneAt)...)
}
