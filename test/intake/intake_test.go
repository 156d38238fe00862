// Package intake sends daemons the input of clients that stay inside no limits, and checks that the daemon lives, stays
// inside the memory and the descriptors of its machine, and answers an ordinary request afterwards.
package intake

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"

	"samphirestile.example/samphirestile/internal/emulator/cluster"
	"samphirestile.example/samphirestile/internal/emulator/process"
	"samphirestile.example/samphirestile/internal/fleet"
	"samphirestile.example/samphirestile/internal/worker"
	"samphirestile.example/samphirestile/platform"
	"samphirestile.example/samphirestile/platform/standin"
)

const (
	// crowd is the number of connections of a spec.
	crowd = 200
	// memoryMB and descriptors are the limits of the machine in the settings of the daemon, and
	// the bounds of its resident memory and of its open descriptors.
	memoryMB    = 64
	descriptors = 512
	// headBytes is below the 1 MB that net/http accepts without a configured limit.
	headBytes = 900_000
	// clientBodyBytes and peerBodyBytes are the largest bodies of the two interfaces: the default limit of the
	// configuration, and a record of the store.
	clientBodyBytes = 1 << 18
	peerBodyBytes   = 1 << 20
	// holdTime is how long a client that stops keeps its connection. It is below the time for a head, 3 s.
	holdTime = 2 * time.Second
	// patience bounds what a spec waits for; it is not a bound on the daemon's durations.
	patience = 30 * time.Second
)

func TestIntake(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "intake")
}

var program string

var _ = BeforeSuite(func() {
	var err error
	program, err = gexec.Build("samphirestile.example/samphirestile/cmd/samphirestiled")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(gexec.CleanupBuildArtifacts)
})

var queue = standin.Queue{Host: "jobs.example", Prefix: "/q/", Key: "key", MaxAttempts: 2}

// target is one listener of a daemon, with the head of a request that carries a body there.
type target struct {
	address   string
	bodyHead  string
	bodyBytes int
	body      []byte
}

// daemon is a daemon of `serve` as a separate process.
type daemon struct {
	ip string
	p  *process.Process
}

// startDaemon starts a daemon on a platform whose machines have memoryMB and descriptors.
func startDaemon() *daemon {
	GinkgoHelper()
	dir := GinkgoT().TempDir()
	d := &daemon{ip: fmt.Sprintf("127.%d.%d.1", 128+os.Getpid()>>8&63, os.Getpid()&255)}
	pf, err := standin.Start(fleet.ServiceID("pool"), 1, worker.Resources{CPU: 8000, MemMB: 16_000}, func(string, int) cluster.Behaviour { return cluster.Behaviour{} })
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(pf.Close)
	Expect(pf.Configure(1, queue)).To(Succeed())
	settings := filepath.Join(dir, "daemon.toml")
	content := strings.Replace(pf.Settings("daemon", d.ip, pf.StoreAddress()), "[limits]\n",
		fmt.Sprintf("[limits]\nmemoryMb = %d\nfileDescriptors = %d\n", memoryMB, descriptors), 1)
	Expect(os.WriteFile(settings, []byte(content), 0o600)).To(Succeed())
	d.p, err = process.Launch(dir, "daemon", []string{platform.SettingsVariable + "=" + settings}, program, "serve")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(d.p.Kill)
	DeferCleanup(func() {
		if CurrentSpecReport().Failed() {
			log, _ := os.ReadFile(d.p.LogPath) // only for the report
			AddReportEntry("log", string(log[max(0, len(log)-4000):]))
		}
	})
	d.expectAnswer()
	return d
}

// expectAnswer expects an answer to one ordinary request at the client and at the peer listener.
func (d *daemon) expectAnswer() {
	GinkgoHelper()
	client := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	status := func(method, url, body string) func() int {
		return func() int {
			r, err := http.NewRequestWithContext(context.Background(), method, url, strings.NewReader(body))
			Expect(err).NotTo(HaveOccurred())
			r.Host = queue.Host
			r.Header.Set("Authorization", "Token "+queue.Key)
			r.Header.Set("Content-Type", "application/json")
			resp, err := client.Do(r)
			if err != nil {
				return 0
			}
			defer resp.Body.Close()
			return resp.StatusCode
		}
	}
	Eventually(status("GET", "http://"+d.ip+":8340"+queue.Prefix, ""), patience, 100*time.Millisecond).Should(Equal(http.StatusOK))
	Eventually(status("POST", "http://"+d.ip+":7000"+peerPath, `{"shard":"none","record":"{}"}`), patience, 100*time.Millisecond).Should(Equal(http.StatusOK))
}

const peerPath = "/jobs/submit"

func (d *daemon) target(name string) target {
	if name == "peers" {
		record := []byte(`{"shard":"none","record":"` + strings.Repeat("x", peerBodyBytes-64) + `"}`)
		return target{
			d.ip + ":7000", "POST " + peerPath + " HTTP/1.1\r\nHost: daemon\r\nContent-Type: application/json\r\n", len(record), record,
		}
	}
	// Without steps the job is not accepted, so nothing of it stays in the daemon.
	job := []byte(`{"spec":"` + strings.Repeat("x", clientBodyBytes-64) + `","steps":[]}`)
	return target{
		d.ip + ":8340", "POST " + queue.Prefix + "0123456789abcdef HTTP/1.1\r\nHost: " + queue.Host + "\r\nAuthorization: Token " + queue.Key + "\r\n", len(job), job,
	}
}

// lines returns a head without end of about n bytes that consists of the lines that line returns.
func lines(n int, line func(i int) string) []byte {
	var b bytes.Buffer
	b.WriteString("GET /q/ HTTP/1.1\r\nHost: jobs.example\r\n")
	for i := 0; b.Len() < n; i++ {
		b.WriteString(line(i))
	}
	return b.Bytes()
}

// shortLine is a header line with a name of its own and without a value.
func shortLine(i int) string { return strconv.FormatInt(int64(i), 36) + ":\r\n" }

// flood opens crowd connections to the address at once, writes the input to each, keeps it for holdTime or until the daemon
// closes it, and returns once all are closed. The last part is written when all connections have written the others or
// failed. Errors are expected: the daemon may refuse and close.
func flood(address string, input ...[]byte) {
	var group, written sync.WaitGroup
	written.Add(crowd)
	for range crowd {
		group.Go(func() {
			arrive := sync.OnceFunc(written.Done)
			defer arrive()
			c, err := net.DialTimeout("tcp", address, patience)
			if err != nil {
				return
			}
			defer c.Close()
			_ = c.SetDeadline(time.Now().Add(patience))
			for i, b := range input {
				if i == len(input)-1 {
					arrive()
					written.Wait()
				}
				if _, err := c.Write(b); err != nil {
					return
				}
			}
			_ = c.SetReadDeadline(time.Now().Add(holdTime))
			_, _ = io.Copy(io.Discard, c)
		})
	}
	group.Wait()
}

// status returns a number in the status file of the process, for example VmHWM in kB.
func (d *daemon) status(field string) int {
	GinkgoHelper()
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", d.p.PID()))
	Expect(err).NotTo(HaveOccurred())
	for line := range strings.Lines(string(content)) {
		if rest, ok := strings.CutPrefix(line, field+":"); ok {
			n, err := strconv.Atoi(strings.Fields(rest)[0])
			Expect(err).NotTo(HaveOccurred())
			return n
		}
	}
	Fail(field + " is missing")
	return 0
}

// mostDescriptors calls f and returns the largest number of open descriptors seen meanwhile.
func (d *daemon) mostDescriptors(f func()) int {
	done := make(chan struct{})
	go func() {
		defer close(done)
		f()
	}()
	most := 0
	for {
		open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", d.p.PID()))
		if err == nil {
			most = max(most, len(open))
		}
		select {
		case <-done:
			return most
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// Each spec guards against a daemon that holds what clients send without a bound: it would exceed the memory of its
// machine and be killed. VmHWM is the peak of VmRSS.
var _ = DescribeTable("a daemon stays inside its machine", func(listener string, send func(t target)) {
	d := startDaemon()
	t := d.target(listener)
	open := d.mostDescriptors(func() { send(t) })
	Expect(d.p.Running()).To(BeTrue())
	peak := d.status("VmHWM") / 1024
	GinkgoWriter.Printf("peak %d MB, %d descriptors\n", peak, open)
	AddReportEntry("measured", fmt.Sprintf("peak %d MB, %d descriptors", peak, open), ReportEntryVisibilityAlways)
	d.expectAnswer()
	Expect(d.p.Running()).To(BeTrue())
	Expect(peak).To(BeNumerically("<", memoryMB), "resident memory in MB")
	Expect(open).To(BeNumerically("<", descriptors), "open descriptors")
}, entries())

func entries() []TableEntry {
	manyLines := lines(headBytes, shortLine)
	endless := lines(headBytes, func(i int) string {
		if i == 0 {
			return "X: "
		}
		return strings.Repeat("x", 1<<10)
	})
	emptyLines := bytes.Repeat([]byte("\r\n"), headBytes/2)
	ordinary := []byte("GET /q/ HTTP/1.1\r\nHost: jobs.example\r\nAuthorization: Token key\r\n\r\n")
	length := func(t target) []byte {
		return fmt.Appendf(nil, "%sContent-Length: %d\r\n\r\n", t.bodyHead, t.bodyBytes)
	}
	kinds := []struct {
		name string
		send func(t target)
	}{
		{"very many short header lines", func(t target) { flood(t.address, manyLines, []byte("\r\n")) }},
		{"very many short header lines, pipelined", func(t target) { flood(t.address, ordinary, manyLines, []byte("\r\n")) }},
		{"a head without end", func(t target) { flood(t.address, endless) }},
		{"empty lines without end", func(t target) { flood(t.address, emptyLines) }},
		{"whole large bodies", func(t target) { flood(t.address, length(t), t.body[:t.bodyBytes-1], t.body[t.bodyBytes-1:]) }},
		{"bodies that stop one byte short", func(t target) { flood(t.address, length(t), t.body[:t.bodyBytes-1]) }},
		{"bodies that stop one byte short, pipelined", func(t target) { flood(t.address, ordinary, length(t), t.body[:t.bodyBytes-1]) }},
	}
	var all []TableEntry
	for _, listener := range []string{"clients", "peers"} {
		for _, k := range kinds {
			all = append(all, Entry(k.name+" at the listener of "+listener, listener, k.send))
		}
	}
	return all
}
