package logging_test

import (
	"bytes"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"samphirestile.example/samphirestile/internal/logging"
)

// slowOutput blocks for writeDelay on each write.
type slowOutput struct {
	mu         sync.Mutex
	writeDelay time.Duration
	bytes.Buffer
}

func (o *slowOutput) Write(p []byte) (int, error) {
	time.Sleep(o.writeDelay)
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.Buffer.Write(p)
}

func (o *slowOutput) lines() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return strings.Count(o.Buffer.String(), "\n")
}

var _ = Describe("the log", func() {
	It("limits its rate and does not block the caller", func() {
		out := &slowOutput{writeDelay: 20 * time.Millisecond}
		w := logging.NewWriter(out, 100)
		log := logging.New(w, logrus.InfoLevel)
		start := time.Now()
		for range 20_000 {
			log.WithField("job", "x").Info("job decided")
		}
		Expect(time.Since(start)).To(BeNumerically("<", time.Second))
		w.Close()
		Expect(out.lines()).To(BeNumerically("<=", 300))
		Expect(w.Dropped()).To(BeNumerically(">", 19_000))
	})
	It("reports that lines were dropped", func() {
		out := &slowOutput{}
		w := logging.NewWriter(out, 1)
		log := logging.New(w, logrus.InfoLevel)
		log.Info("first")
		log.Info("too much")
		time.Sleep(1100 * time.Millisecond)
		log.Info("later")
		w.Close()
		Expect(out.Buffer.String()).To(ContainSubstring(`"msg":"log lines dropped","total":1`))
		Expect(out.Buffer.String()).To(ContainSubstring("later"))
		Expect(out.Buffer.String()).NotTo(ContainSubstring("too much"))
	})
})
