package jobdaemon_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"samphirestile.example/samphirestile/internal/emulator/cluster"
	"samphirestile.example/samphirestile/internal/job"
	"samphirestile.example/samphirestile/internal/jobdaemon"
	"samphirestile.example/samphirestile/internal/operatorapi"
	"samphirestile.example/samphirestile/internal/policy"
	"samphirestile.example/samphirestile/internal/store"
	"samphirestile.example/samphirestile/internal/worker"
	"samphirestile.example/samphirestile/platform"
	"samphirestile.example/samphirestile/platform/standin"
)

// syncBuffer is a log that is written and read concurrently.
type syncBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (s *syncBuffer) Write(b []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(b)
}

func (s *syncBuffer) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.String()
}

const operatorToken = "operator"

// system is a daemon on an emulated platform.
type system struct {
	platform *standin.Platform
	client   standin.Client
	settings platform.Settings
	log      *syncBuffer
	ip       string
	jobs     int
}

func startSystem() *system {
	p, err := standin.Start("s", 2, worker.Resources{CPU: 8000, MemMB: 8000}, func(string, int) cluster.Behaviour {
		return cluster.Behaviour{Duration: 10 * time.Millisecond}
	})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(p.Close)
	q := standin.Queue{Host: "h", Prefix: "/q/", Key: "k", MaxAttempts: 3}
	Expect(p.Configure(1, q)).To(Succeed())
	s := &system{platform: p, client: standin.Client{Queue: q, Timeout: 3 * time.Second, HTTP: &http.Client{}}, log: &syncBuffer{}}
	// A loopback address of this process, as the client calls a fixed port.
	s.ip = fmt.Sprintf("127.83.%d.%d", os.Getpid()/250%250, os.Getpid()%250+1)
	s.settings = platform.Settings{
		Node: "n", IP: s.ip, ClientAddress: s.ip + ":8340", ReadyAddress: s.ip + ":8343", PeerAddress: s.ip + ":7000",
		MetricsAddress: s.ip + ":7015", OperatorAddress: s.ip + ":7001", StoreAddress: p.StoreAddress(), HostsAddress: s.ip + ":1", CPUCores: 1,
		Bounds: platform.Bounds{MaxLease: 10 * time.Second, Revoke: 5 * time.Second, StopGrace: time.Second, StatusRetention: time.Minute},
	}
	return s
}

// run starts the daemon and waits until it serves jobs.
func (s *system) run() {
	log := logrus.New()
	log.SetOutput(s.log)
	d, err := jobdaemon.New(s.settings, policy.Policy{}, operatorapi.Tokens{operatorToken}, log)
	Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- d.Run(ctx) }()
	DeferCleanup(func() {
		cancel()
		Expect(<-done).To(Succeed())
		if CurrentSpecReport().Failed() {
			GinkgoWriter.Println(s.log.String())
		}
	})
	Eventually(s.submit, "10s", "100ms").Should(Equal(http.StatusOK))
}

func (s *system) id() job.ID { return job.ID(fmt.Sprintf("%016x", s.jobs)) }

func (s *system) submit() int {
	s.jobs++
	status, err := s.client.Submit(context.Background(), s.ip, s.id(), "x", []job.Step{{Count: 2, Need: worker.Resources{CPU: 100}, Estimate: 10 * time.Millisecond}})
	if err != nil {
		return -1
	}
	return status
}

// expectServing fails unless a new job is accepted and completed.
func (s *system) expectServing() {
	Eventually(s.submit, "3s", "50ms").Should(Equal(http.StatusOK))
	Eventually(func() job.State {
		_, state, _ := s.client.State(context.Background(), s.ip, s.id())
		return state
	}, "10s", "50ms").Should(Equal(job.Completed))
}

// send writes raw bytes to an address and returns the status of the response; 0 means that the
// connection was closed without one.
func send(address, raw string) int {
	conn, err := net.Dial("tcp", address)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	go func() { _, _ = conn.Write([]byte(raw)) }() // the server may respond and close before it has read everything
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	_ = res.Body.Close()
	return res.StatusCode
}

func request(method, path, header, body string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n%s\r\n%s", method, path, len(body), header, body)
}

// The metrics of a process are registered once, so both specs use one daemon.
var _ = Describe("a daemon", Ordered, func() {
	var s *system
	BeforeAll(func() {
		s = startSystem()
		t := store.Transaction{}
		for _, prefix := range []string{
			platform.WorkerPrefix, platform.WavePrefix, "samphirestile/lease/member/", "samphirestile/lease/own/", "samphirestile/lease/part/", "samphirestile/claim/s/",
			"samphirestile/claim/s//", "samphirestile/roster/", "samphirestile/wave/", "samphirestile/job/s/", "samphirestile/progress/s/", "samphirestile/quota-request/",
		} {
			for i, value := range []string{"null", "{}", "[]", `"x"`, "-1", "99999999999999999999", "\xff\x00", strings.Repeat("[", 100_000), `{"id":"00000000000000aa","steps":[{"count":1,"after":[9]}]}`} {
				t.Writes = append(t.Writes, store.Write{Key: fmt.Sprintf("%sodd%d", prefix, i), Value: []byte(value)})
			}
		}
		for key, value := range map[string]string{
			platform.WorkerPrefix: "{}", platform.WorkerPrefix + "/beat": `{"service":"s","address":"127.0.0.1:99999","state":"ready"}`,
			platform.WorkerPrefix + "port":    `{"service":"s","address":"127.0.0.1:99999","state":"ready","capacity":{"cpu":8000}}`,
			platform.WorkerPrefix + "huge":    `{"service":"s","address":"127.0.0.1:1","state":"ready","capacity":{"cpu":9223372036854775807,"memMb":9223372036854775807}}`,
			platform.WorkerPrefix + "less":    `{"service":"s","address":"127.0.0.1:1","state":"ready","capacity":{"cpu":-9223372036854775808}}`,
			"samphirestile/workers/s":         `{"w9":[[[]]]}`,
			"samphirestile/hosts":             "null",
			"samphirestile/quota":             "{}",
			"samphirestile/lease/part/s#1":    "255",
			"samphirestile/chain/s":           "[]",
			"samphirestile/lease/member/n":    "[]",
			platform.WavePrefix + "1":         `{"wave":1,"machines":[null,{}]}`,
			"samphirestile/progress/s/zzzzzz": `{"final":"completed","tasks":{"9.9.9":{"r":-1}}}`,
		} {
			t.Writes = append(t.Writes, store.Write{Key: key, Value: []byte(value)})
		}
		for len(t.Writes) > 0 {
			n := min(len(t.Writes), store.MaxTransactionEntries)
			_, err := s.platform.Store.Commit(context.Background(), store.Transaction{Writes: t.Writes[:n]})
			Expect(err).NotTo(HaveOccurred())
			t.Writes = t.Writes[n:]
		}
		s.run()
	})
	// Guards against one odd record that ends every daemon that reads it, or stops it.
	It("serves jobs beside invalid records in the store", func() {
		s.expectServing()
		before := strings.Count(s.log.String(), "invalid record")
		time.Sleep(6 * time.Second)
		s.expectServing()
		Expect(strings.Count(s.log.String(), "invalid record")).To(Equal(before), "a record that is read again is not logged again")
		// There is no machine service.
		Expect(strings.Count(s.log.String(), "reconciliation pass failed")).To(Equal(1))
	})

	// Guards against a request that ends the process, takes its memory, or is answered as a success.
	It("answers malformed requests with a status of the 4xx class and goes on", func() {
		nested := strings.Repeat("[", 1<<20)
		const key, json = "Authorization: Token k\r\n", "Content-Type: application/json\r\n"
		path := "/q/00000000000000ff"
		client := map[string]string{
			"nested arrays":        request("POST", path, key, nested[:100_000]),
			"body too large":       request("POST", path, key, nested),
			"huge number":          request("POST", path, key, `{"steps":[{"count":`+strings.Repeat("9", 1000)+`}]}`),
			"exponent":             request("POST", path, key, `{"steps":[{"count":1,"estimatedMs":1e999}]}`),
			"infinite estimate":    request("POST", path, key, `{"steps":[{"count":1,"estimatedMs":1e300}]}`),
			"overflowing need":     request("POST", path, key, `{"steps":[{"count":20000,"cpu":9223372036854775807}]}`),
			"step after itself":    request("POST", path, key, `{"steps":[{"count":1,"after":[0]}]}`),
			"null":                 request("POST", path, key, `null`),
			"invalid UTF-8":        request("POST", path, key, "\xff\xfe"),
			"empty":                request("POST", path, key, ""),
			"odd deadline":         request("POST", path, key+"Samphirestile-Deadline-Ms: NaN\r\n", "["),
			"unknown method":       request("GARBAGE"+strings.Repeat("X", 1000), path, key, ""),
			"no such job ID":       request("GET", "/q/"+strings.Repeat("x", 100_000), key, ""),
			"escaped path":         request("GET", "/q/%00%ff%2e%2e%2f", key, ""),
			"bad escape":           request("GET", "/q/%zz", key, ""),
			"empty key":            request("GET", "/q/", "Authorization: Token \r\n", ""),
			"no key":               request("GET", "/q/", "", ""),
			"garbage in a key":     request("GET", "/q/", "Authorization: Token \x7f\xff"+strings.Repeat("k", 10_000)+"\r\n", ""),
			"control characters":   request("GET", "/q/", "X: a\x00b\r\n", ""),
			"header without colon": request("GET", "/q/", "garbage\r\n", ""),
			"large header":         request("GET", "/q/", "X: "+strings.Repeat("x", 2<<20)+"\r\n", ""),
			"two lengths":          "POST " + path + " HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nxx",
			"negative length":      "POST " + path + " HTTP/1.1\r\nHost: h\r\nContent-Length: -1\r\n\r\n",
			"length beyond int64":  "POST " + path + " HTTP/1.1\r\nHost: h\r\nContent-Length: 99999999999999999999\r\n\r\n",
			"bad chunk":            "POST " + path + " HTTP/1.1\r\nHost: h\r\n" + key + "Transfer-Encoding: chunked\r\n\r\nzz\r\n",
			"garbage":              "\x16\x03\x01\x02\x00\x01\x00\r\n\r\n",
		}
		for name, raw := range client {
			Expect(send(s.settings.ClientAddress, raw)).To(And(BeNumerically(">=", 400), BeNumerically("<", 500)), name)
		}
		calls := map[string]string{
			"nested arrays": nested, "huge number": `{"shard":"s","due":[1e999999],"jobs":1e999999}`, "wrong types": `{"shard":5,"job":[],"record":{},"queue":1,"worker":2,"call":3}`,
			"null": "null", "empty": "", "invalid UTF-8": "\xff", "trailing bytes": `{} {`,
		}
		for _, operation := range []string{"/jobs/submit", "/jobs/cancel", "/jobs/state", "/jobs/waiting", "/jobs/emptyWorker", "/jobs/openWorker", "/jobs/demand", "/jobs/report", "/store/call"} {
			for name, body := range calls {
				Expect(send(s.settings.PeerAddress, request("POST", operation, json, body))).To(And(BeNumerically(">=", 400), BeNumerically("<", 500)), operation+" "+name)
			}
		}
		// The length alone must not make the daemon wait for, or hold, a body of this size.
		Expect(send(s.settings.PeerAddress, request("POST", "/store/call", json, `{"call":"`+strings.Repeat("x", 33<<20)+`"}`))).To(And(BeNumerically(">=", 400), BeNumerically("<", 500)))
		for name, raw := range map[string]string{
			"record of no job":     request("POST", "/jobs/submit", json, `{"shard":"s","record":"{\"id\":\"00000000000000fe\",\"steps\":[{\"count\":1,\"after\":[5]}]}"}`),
			"null record":          request("POST", "/jobs/submit", json, `{"shard":"s","record":"null"}`),
			"negative number":      request("POST", "/jobs/report", json, `{"shard":"s","jobs":-1}`),
			"number beyond int64":  request("POST", "/jobs/report", json, `{"shard":"s","jobs":-9223372036854775808}`),
			"empty call":           request("POST", "/store/call", json, `{"call":"{}"}`),
			"nested call":          request("POST", "/store/call", json, `{"call":"`+strings.Repeat("[", 100_000)+`"}`),
			"unknown shard":        request("POST", "/jobs/cancel", json, `{"shard":"\u0000","job":"x"}`),
			"workers out of range": request("POST", "/jobs/demand", json, `{"shard":"s","due":["",`+strings.Repeat(`"x",`, 10_000)+`"y"]}`),
		} {
			// These have an outcome in the body; a panic would close the connection without a response.
			Expect(send(s.settings.PeerAddress, raw)).To(Equal(http.StatusOK), name)
		}
		for name, raw := range map[string]string{
			"no token": request("GET", "/v1/jobs", "", ""), "bad limit": request("GET", "/v1/jobs?limit=1e9", "Authorization: Bearer operator\r\n", ""),
			"negative limit": request("GET", "/v1/jobs?limit=-1", "Authorization: Bearer operator\r\n", ""), "unknown job": request("GET", "/v1/jobs/%ff", "Authorization: Bearer operator\r\n", ""),
			"unknown path": request("POST", "/v1/"+strings.Repeat("x", 10_000), "Authorization: Bearer operator\r\n", nested[:1000]), "header garbage": request("GET", "/v1/jobs", "\x01: x\r\n", ""),
		} {
			Expect(send(s.settings.OperatorAddress, raw)).To(And(BeNumerically(">=", 400), BeNumerically("<", 500)), name)
		}
		for _, address := range []string{s.settings.ReadyAddress, s.settings.MetricsAddress} {
			Expect(send(address, "\x00\r\n\r\n")).To(Equal(http.StatusBadRequest))
		}
		s.expectServing()
		Expect(s.log.String()).NotTo(ContainSubstring("panic"))
		for _, line := range strings.Split(s.log.String(), "\n") {
			Expect(len(line)).To(BeNumerically("<", 4000), "%.200s", line)
		}
	})
})
