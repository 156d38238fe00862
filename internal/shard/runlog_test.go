package shard_test

import (
	"regexp"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"samphirestile.example/samphirestile/internal/emulator/cluster"
	"samphirestile.example/samphirestile/internal/job"
)

var logMessage = regexp.MustCompile(`msg="([^"]*)"`)

var _ = Describe("the log lines that name a task", func() {
	// Guards against a record of the logs, cut to one task, that does not tell why a run of it counted as ended.
	simulatedIt("tell when its runs began and ended and why the owner knows", func(f *fixture) {
		log := &logBuffer{}
		f.log = log
		first := f.startOwner()
		j := testJob(1, job.Step{})
		task := string(j.ID) + ".0.0.0"
		f.setBehaviour(task, cluster.Behaviour{Duration: 3 * time.Second})
		first.submit(j)
		time.Sleep(time.Second)
		first.stop()
		o := f.startOwner()
		time.Sleep(time.Second)
		for _, w := range []string{"w0", "w1"} {
			if f.worker(w).Running() > 0 {
				f.worker(w).Crash()
			}
		}
		Eventually(o.state, 3*callTimeout).WithArguments(j.ID).Should(Equal("completed"))
		var messages []string
		for _, line := range log.lines(task) {
			messages = append(messages, logMessage.FindStringSubmatch(line)[1])
		}
		Expect(messages).To(Equal([]string{"start answered", "run adopted", "run lost", "start answered", "run ended"}))
	})
})
