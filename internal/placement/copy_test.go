package placement_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"samphirestile.example/samphirestile/internal/placement"
)

var _ = DescribeTable("a second copy of a running task", func(r placement.RunningTask, worth bool) {
	Expect(placement.ShouldSpeculate(r)).To(Equal(worth))
},
	Entry("pays where the worker is silent", placement.RunningTask{Expected: time.Second, Unresponsive: true}, true),
	Entry("does not pay in the expected time", placement.RunningTask{Elapsed: time.Second, Expected: time.Second}, false),
	Entry("pays beyond twice the expected time", placement.RunningTask{Elapsed: 2100 * time.Millisecond, Expected: time.Second}, true),
	Entry("does not pay where tasks differ by as much", placement.RunningTask{Elapsed: 2100 * time.Millisecond, Expected: time.Second, LogStdDev: 0.5}, false),
	Entry("pays where few tasks take so long", placement.RunningTask{Elapsed: 2800 * time.Millisecond, Expected: time.Second, LogStdDev: 0.5}, true),
)
