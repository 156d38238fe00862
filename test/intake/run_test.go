package intake

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"

	"samphirestile.example/samphirestile/internal/emulator/endpoint"
	"samphirestile.example/samphirestile/internal/emulator/process"
)

// Heads that are legal at the two listeners of `run`, whose limits are 32 KB and 64 KB.
const (
	serviceHeadBytes = 32_000
	controlHeadBytes = 64_000
)

// The specs guard against the same failure as those of `serve`. At the listeners of `run` the size of a head is limited and
// bodies beyond 16 KB are not held, so the lines of heads of legal size are what fills the memory.
var _ = DescribeTable("a daemon of the request path stays inside its machine", func(listener string, send func(address string, n int)) {
	emulator, err := gexec.Build("samphirestile.example/samphirestile/cmd/samphirestile-emulator")
	Expect(err).NotTo(HaveOccurred())
	c, err := process.Start(process.Options{
		Daemon: program, Emulator: emulator, Dir: GinkgoT().TempDir(), Daemons: 1, Timing: process.ShortTiming(),
		MemoryMB: memoryMB, FileDescriptors: descriptors,
		Services: []process.Service{{ID: "work", Endpoints: 1, MaxRunTimeMS: 1000, MaxWaitMS: 800, OpenTeam: "team", Behaviour: endpoint.Settings{Shape: endpoint.Exponential, MeanMS: 20, Seed: 1}}},
		Teams:    []process.Team{{ID: "team", Account: "account", Weight: 1, Limit: 8}},
	})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(c.Close)
	p := c.Daemons[0]
	d := &daemon{p: p.Process}
	expectAnswer := func() {
		GinkgoHelper()
		Eventually(func() int {
			resp, err := http.Get(p.ServiceURL() + "/work/")
			if err != nil {
				return 0
			}
			defer resp.Body.Close()
			return resp.StatusCode
		}, patience, 100*time.Millisecond).Should(Equal(http.StatusOK))
	}
	expectAnswer()
	address, n := p.ServiceAddress, serviceHeadBytes
	if listener == "peers" {
		address, n = p.PeerAddress, controlHeadBytes
	}
	open := d.mostDescriptors(func() { send(address, n) })
	Expect(d.p.Running()).To(BeTrue())
	peak := d.status("VmHWM") / 1024
	AddReportEntry("measured", fmt.Sprintf("peak %d MB, %d descriptors", peak, open), ReportEntryVisibilityAlways)
	expectAnswer()
	Expect(d.p.Running()).To(BeTrue())
	Expect(peak).To(BeNumerically("<", memoryMB), "resident memory in MB")
	Expect(open).To(BeNumerically("<", descriptors), "open descriptors")
}, runEntries())

func runEntries() []TableEntry {
	kinds := []struct {
		name string
		send func(address string, n int)
	}{
		{"very many short header lines", func(address string, n int) { flood(address, lines(n, shortLine), []byte("\r\n")) }},
		{"a head without end", func(address string, _ int) {
			flood(address, lines(headBytes, func(int) string { return strings.Repeat("x", 1<<10) }))
		}},
		{"empty lines without end", func(address string, _ int) { flood(address, bytes.Repeat([]byte("\r\n"), headBytes/2)) }},
		{"bodies that stop one byte short", func(address string, _ int) {
			flood(address, fmt.Appendf(nil, "POST /work/ HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", clientBodyBytes), make([]byte, clientBodyBytes-1))
		}},
		{"whole large bodies", func(address string, _ int) {
			flood(address, fmt.Appendf(nil, "POST /work/ HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", clientBodyBytes), make([]byte, clientBodyBytes))
		}},
	}
	var all []TableEntry
	for _, listener := range []string{"clients", "peers"} {
		for _, k := range kinds {
			all = append(all, Entry(k.name+" at the listener of "+listener, listener, k.send))
		}
	}
	return all
}
