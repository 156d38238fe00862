package placement_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"samphirestile.example/samphirestile/internal/placement"
)

var _ = DescribeTable("a speculative copy of a running task", func(r placement.RunningTask, worth bool) {
	Expect(placement.ShouldSpeculate(r)).To(Equal(worth))
},
	Entry("is started if the worker does not answer", placement.RunningTask{Expected: time.Second, Unresponsive: true}, true),
	Entry("is not started within the expected time", placement.RunningTask{Elapsed: time.Second, Expected: time.Second}, false),
	Entry("is started after twice the expected time", placement.RunningTask{Elapsed: 2100 * time.Millisecond, Expected: time.Second}, true),
	Entry("is not started if durations vary that much", placement.RunningTask{Elapsed: 2100 * time.Millisecond, Expected: time.Second, LogStdDev: 0.5}, false),
	Entry("is started if few tasks take that long", placement.RunningTask{Elapsed: 2800 * time.Millisecond, Expected: time.Second, LogStdDev: 0.5}, true),
)
