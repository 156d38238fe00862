package jobdaemon

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against shards that together accept more jobs than one daemon can hold.
var _ = It("the shards together accept no more jobs than one machine can hold", func() {
	for _, machine := range []int64{0, 160 << 20, 284 << 20} {
		held := int64(jobMemoryFraction * float64(max(machine, 160<<20)))
		if machine == 0 {
			held = unknownMemory / 4
		}
		for _, shards := range []int{0, 1, 5, 300} {
			Expect(int64(max(1, shards)) * jobMemory(machine, shards)).To(BeNumerically("~", held, 300))
		}
	}
})
