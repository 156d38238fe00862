package quota

import (
	"context"
	"io"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"samphirestile.example/samphirestile/internal/emulator/cluster"
	"samphirestile.example/samphirestile/internal/store"
	"samphirestile.example/samphirestile/internal/worker"
)

// adapted returns the grant of a shard that wants more than the limit of 1000, beside a record.
func adapted(record []byte) (worker.Resources, error) {
	s := cluster.NewStore()
	token, err := s.Commit(context.Background(), store.Transaction{Writes: []store.Write{{Key: "own"}, {Key: recordKey, Value: record}}})
	if err != nil {
		return worker.Resources{}, err
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	src := &source{limit: worker.Resources{CPU: 1000}}
	src.set(0, 5000)
	l := NewLedger(s, "x", "own", token, src, func() {}, Peers{}, log)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_, err = l.adapt(ctx)
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.grants["x"]["acme"], err
}

var _ = It("a record with amounts out of range raises no grant above the limit", func() {
	for _, record := range []string{
		`{"y":{"acme":{"cpu":-500}}}`, `{"y":{"acme":{"cpu":-9223372036854775808}},"z":{"acme":{"cpu":-9223372036854775808}}}`,
		`{"y":{"acme":{"cpu":9223372036854775807}},"z":{"acme":{"cpu":9223372036854775807}}}`, `{"x":{"acme":{"cpu":9223372036854775807}}}`, `null`, `{"x":null,"y":null}`,
	} {
		grant, err := adapted([]byte(record))
		Expect(err).NotTo(HaveOccurred(), record)
		Expect(grant.CPU).To(And(BeNumerically(">=", 0), BeNumerically("<=", 1000)), record)
	}
	for _, record := range []string{"", "[]", `{"x":5}`, `{"x":{"acme":{"cpu":1e30}}}`, "\xff"} {
		grant, err := adapted([]byte(record))
		Expect(err).To(HaveOccurred(), record)
		Expect(grant).To(Equal(worker.Resources{}))
	}
})

// Guards against a record of grants that makes the ledger panic or grant more than the limit.
func FuzzLedger(f *testing.F) {
	f.Add([]byte(`{"x":{"acme":{"cpu":7}},"y":{"acme":{"cpu":-9223372036854775808}}}`))
	f.Add([]byte(`null`))
	f.Fuzz(func(t *testing.T, record []byte) {
		grant, err := adapted(record)
		if err == nil && (grant.CPU < 0 || grant.CPU > 1000) {
			t.Fatalf("grant of %+v", grant)
		}
	})
}
