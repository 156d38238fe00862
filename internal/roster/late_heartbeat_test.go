package roster

import (
	"fmt"
	"io"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"samphirestile.example/samphirestile/internal/emulator/cluster"
	"samphirestile.example/samphirestile/internal/store"
	"samphirestile.example/samphirestile/internal/worker"
)

// Guards against a digest that is used after a pause of the daemon, with workers that drain or have left since.
var _ = Describe("the heartbeats of the publisher of the digest", func() {
	It("that are delivered at once do not show that the digest is fresh", func() {
		discardLog := logrus.New()
		discardLog.SetOutput(io.Discard)
		decode := func(store.Entry) (worker.Worker, error) { return worker.Worker{}, nil }
		r := New(cluster.NewStore(), "w/", decode, func() bool { return true }, discardLog)
		_, target := r.Targets()
		heartbeat := func(n int) store.Entry {
			return store.Entry{Key: heartbeatKey, Value: fmt.Append(nil, n), Version: uint64(n)}
		}
		fresh := func() bool {
			r.mu.Lock()
			defer r.mu.Unlock()
			return r.digestFresh()
		}
		target.Replace([]store.Entry{heartbeat(1)}, 1)
		target.Apply([]store.Event{{Entry: heartbeat(2)}})
		Expect(fresh()).To(BeTrue())
		r.mu.Lock()
		r.heartbeatAt = r.heartbeatAt.Add(-2 * heartbeatTimeout)
		r.mu.Unlock()
		target.Apply([]store.Event{{Entry: heartbeat(3)}, {Entry: heartbeat(4)}})
		Expect(fresh()).To(BeFalse())
		target.Apply([]store.Event{{Entry: heartbeat(5)}})
		Expect(fresh()).To(BeTrue())
	})
})
