package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"samphirestile.example/samphirestile/internal/cli"
	"samphirestile.example/samphirestile/internal/config"
	emulatedplatform "samphirestile.example/samphirestile/internal/emulator/platform"
	"samphirestile.example/samphirestile/internal/fleet"
	"samphirestile.example/samphirestile/internal/keys"
	"samphirestile.example/samphirestile/internal/operatorapi"
	"samphirestile.example/samphirestile/internal/operatorapi/commands"
	"samphirestile.example/samphirestile/internal/operatorapi/queries"
	"samphirestile.example/samphirestile/internal/store"
	"samphirestile.example/samphirestile/internal/template"
)

func TestCommandLine(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "command line")
}

// declaredGone records the seats that were declared gone.
type declaredGone map[fleet.SeatID]bool

func (s declaredGone) DeclareGone(_ context.Context, seat fleet.SeatID) error {
	s[seat] = true
	return nil
}

var _ = Describe("the command line", func() {
	var (
		platform    *emulatedplatform.Platform
		manager     *config.Manager
		dir         string
		settings    string
		out, errOut bytes.Buffer
		gone        declaredGone
	)
	// runLine runs one command line and returns the exit code.
	runLine := func(args ...string) int {
		out.Reset()
		errOut.Reset()
		return run(context.Background(), append([]string{"--settings", settings}, args...), &out, &errOut)
	}
	// write writes a file below dir and returns its path.
	write := func(name, content string) string {
		path := filepath.Join(dir, name)
		Expect(os.MkdirAll(filepath.Dir(path), 0o755)).To(Succeed())
		Expect(os.WriteFile(path, []byte(content), 0o600)).To(Succeed())
		return path
	}
	// serve starts an HTTP server for h and returns its address.
	serve := func(h http.Handler) string {
		server := httptest.NewServer(h)
		DeferCleanup(func() { server.CloseClientConnections(); server.Close() })
		return server.Listener.Addr().String()
	}
	// writeAccount writes an account document with a team of the given limit.
	writeAccount := func(limit string) {
		write("docs/account/acme.json", `{"teams": [{"id": "desk", "weight": 1, "limit": `+limit+`}]}`)
	}
	BeforeEach(func() {
		gone = declaredGone{}
		dir = GinkgoT().TempDir()
		platform = emulatedplatform.New(emulatedplatform.Config{})
		DeferCleanup(platform.Close)
		httpStore, err := store.NewHTTP(store.HTTPConfig{URL: "http://" + serve(platform)})
		Expect(err).NotTo(HaveOccurred())
		manager = config.New(config.Config{Store: httpStore, Render: template.Render, Revoked: keys.NewRevokedSet()})
		ctx, cancel := context.WithCancel(context.Background())
		stopped := make(chan struct{})
		go func() { defer close(stopped); manager.Run(ctx) }()
		DeferCleanup(func() { cancel(); <-stopped })
		ready, stop := context.WithTimeout(ctx, 5*time.Second)
		defer stop()
		Expect(manager.WaitReady(ready)).To(Succeed())
		h, err := operatorapi.NewServer(&operatorapi.Handler{
			Commands: &commands.Commands{Configuration: manager, Seats: gone}, Queries: &queries.Queries{Configuration: manager},
		}, operatorapi.Tokens{"good"})
		Expect(err).NotTo(HaveOccurred())
		settings = write("settings.json", `{"server": "`+serve(h)+`", "token": "good", "operator": "ann"}`)
		writeAccount("4")
	})

	It("collects the decisions about a job from the logs of several daemons", func() {
		firstLog := write("one.log", `{"level":"info","msg":"job decided","job":"0123456789abcdef","shard":"q","accepted":true,"time":"2026-12-04T05:00:01.000Z"}
{"level":"info","msg":"job decided","job":"fedcba9876543210","shard":"q","time":"2026-12-04T05:00:01.500Z"}
not a line of JSON
`)
		secondLog := write("two.log", `prefix {"level":"warning","msg":"shard acquired","shard":"q","token":9,"time":"2026-12-04T05:00:02.000Z"}
{"level":"info","msg":"shard acquired","shard":"other","token":8,"time":"2026-12-04T05:00:02.000Z"}
{"level":"info","msg":"run lost","task":"0123456789abcdef.0.0.1","run":2,"time":"2026-12-04T05:00:03.000Z"}
`)
		Expect(runLine("report", "why", "0123456789abcdef", secondLog, firstLog)).To(Equal(cli.ExitOK), errOut.String())
		Expect(out.String()).To(MatchRegexp(`(?s)one.log +job decided .*two.log +shard acquired .*token=9.*two.log +run lost .*run=2`))
		Expect(out.String()).NotTo(ContainSubstring("fedcba"))
		Expect(out.String()).NotTo(ContainSubstring("other"))
		Expect(runLine("report", "why", "0123456789abcdef", "missing.log")).NotTo(Equal(cli.ExitOK))
	})

	It("validates, applies and lists a change", func() {
		docs := filepath.Join(dir, "docs")
		Expect(runLine("validate", docs)).To(Equal(cli.ExitOK), errOut.String())
		Expect(runLine("diff", docs)).To(Equal(cli.ExitOK))
		Expect(out.String()).To(ContainSubstring("+++ yours/account/acme"))
		Expect(out.String()).To(ContainSubstring("--revision 0"))
		Expect(runLine("apply", docs, "--revision", "0", "--change-id", "first")).To(Equal(cli.ExitOK), errOut.String())
		Expect(runLine("history")).To(Equal(cli.ExitOK))
		Expect(out.String()).To(MatchRegexp(`(?m)^1 .* ann +first$`))
		Expect(runLine("-o", "json", "diff", docs)).To(Equal(cli.ExitOK))
		Expect(out.String()).To(MatchJSON(`{"revision": 1, "differences": []}`))
		Expect(runLine("apply", "--remove", "account/acme", "--latest")).To(Equal(cli.ExitOK), errOut.String())
		Expect(manager.Current().Teams).To(BeEmpty())
	})

	It("creates, lists and revokes keys", func() {
		Expect(runLine("apply", filepath.Join(dir, "docs"), "--latest")).To(Equal(cli.ExitOK), errOut.String())
		Expect(runLine("-o", "json", "key", "give", "desk", "--change-id", "k")).To(Equal(cli.ExitOK), errOut.String())
		var key struct{ ID, Key string }
		Expect(json.Unmarshal(out.Bytes(), &key)).To(Succeed())
		Expect(key.Key).To(HavePrefix("ssk_" + key.ID + "_"))
		Expect(runLine("key", "give", "desk", "--change-id", "k")).To(Equal(cli.ExitConflict))
		Expect(runLine("key", "give", "none")).To(Equal(cli.ExitNotFound))
		Expect(runLine("key", "withdraw", key.ID)).To(Equal(cli.ExitOK))
		Expect(out.String()).To(ContainSubstring("recorded in the store"))
		Expect(runLine("key", "list")).To(Equal(cli.ExitOK))
		Expect(out.String()).To(MatchRegexp(key.ID + ` +desk +true +true`))
		Expect(out.String()).NotTo(ContainSubstring(key.Key))
	})

	It("reports that a revocation is not recorded while the store is down", func() {
		Expect(runLine("apply", filepath.Join(dir, "docs"), "--latest")).To(Equal(cli.ExitOK))
		Expect(runLine("-o", "json", "key", "give", "desk")).To(Equal(cli.ExitOK))
		var key struct{ ID string }
		Expect(json.Unmarshal(out.Bytes(), &key)).To(Succeed())
		platform.SetFaults(emulatedplatform.Faults{Down: true})
		Expect(runLine("key", "withdraw", key.ID)).To(Equal(cli.ExitOK), errOut.String())
		Expect(out.String()).To(ContainSubstring("not yet recorded"))
		Expect(runLine("apply", filepath.Join(dir, "docs"), "--latest")).To(Equal(cli.ExitUnavailable))
	})

	It("shows findings, and both versions of a conflict", func() {
		docs := filepath.Join(dir, "docs")
		writeAccount("-1")
		Expect(runLine("apply", docs, "--revision", "0")).To(Equal(cli.ExitInvalid))
		Expect(errOut.String()).To(ContainSubstring("account/acme $.teams[0].limit: -1; allowed: a whole number from 0"))
		writeAccount("4")
		Expect(runLine("apply", docs, "--revision", "0")).To(Equal(cli.ExitOK))
		writeAccount("5")
		Expect(runLine("apply", docs, "--revision", "0")).To(Equal(cli.ExitConflict))
		Expect(errOut.String()).To(MatchRegexp(`(?s)yours: .*"limit": 5.*theirs: .*"limit": 4.*current revision: 1`))
		Expect(errOut.String()).To(ContainSubstring("next: "))
	})

	// Guards against an operator who repeats a change that took effect but whose response was lost.
	It("distinguishes an unsent request from one whose response was lost", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		Expect(l.Close()).To(Succeed())
		Expect(runLine("--server", l.Addr().String(), "history")).To(Equal(cli.ExitUnavailable))
		lostResponse := serve(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
		Expect(runLine("--server", lostResponse, "-o", "json", "apply", filepath.Join(dir, "docs"), "--revision", "0", "--change-id", "c7")).To(Equal(cli.ExitUnknown))
		var r cli.Report
		Expect(json.Unmarshal(errOut.Bytes(), &r)).To(Succeed())
		Expect(r.ChangeID).To(Equal("c7"))
		Expect(r.Advice).To(ContainSubstring("c7"))
		Expect(runLine("--server", lostResponse, "key", "withdraw", "0123456789abcdef")).To(Equal(cli.ExitUnknown))
		truncatedResponse := serve(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(`{"id":`)) }))
		Expect(runLine("--server", truncatedResponse, "key", "give", "desk")).To(Equal(cli.ExitUnknown))
	})

	It("declares a seat gone", func() {
		Expect(runLine("daemon", "declare-gone", "s1")).To(Equal(cli.ExitOK), errOut.String())
		Expect(gone).To(HaveKey(fleet.SeatID("s1")))
	})

	It("returns the documented exit code for usage, authorization and file errors, and lists the codes in --help", func() {
		Expect(runLine("--token", "wrong", "history")).To(Equal(cli.ExitUnauthorized))
		Expect(runLine("--server", "localhost:1", "history")).To(Equal(cli.ExitUsage))
		Expect(runLine("apply", filepath.Join(dir, "docs"))).To(Equal(cli.ExitUsage))
		Expect(runLine("apply", "--latest")).To(Equal(cli.ExitUsage))
		Expect(runLine("none")).To(Equal(cli.ExitUsage))
		Expect(runLine("diff", filepath.Join(dir, "missing"))).To(Equal(cli.ExitFile))
		Expect(runLine("diff", write("zone/x.json", "{}"))).To(Equal(cli.ExitFile))
		settings = write("bad.json", `{"sever": "x"}`)
		Expect(runLine("history")).To(Equal(cli.ExitFile))
		Expect(runLine("version")).To(Equal(cli.ExitOK))
		Expect(runLine("--help")).To(Equal(cli.ExitOK))
		for _, code := range strings.Split(cli.ExitHelp, "\n")[1:] {
			Expect(strings.Join(strings.Fields(out.String()), " ")).To(ContainSubstring(strings.Join(strings.Fields(code), " ")))
		}
	})
})
