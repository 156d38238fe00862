// Command standin-2 plays the cases of the second review: it serves the platform, the minions and a client, starts the
// daemons as processes and judges one rule by what clients and minions see.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"time"
)

// verdict is the exit status of a case.
type verdict int

const (
	held verdict = iota
	broken
	notRun
)

func (v verdict) String() string {
	return map[verdict]string{held: "the rule held", broken: "the rule was broken", notRun: "the case could not run"}[v]
}

const (
	// Bounds of the settings.
	finishDelay = 14 * time.Second
	ackLimit    = 4 * time.Second
	cancelLimit = 3 * time.Second
	// idleLimit is how long, by LOST, no job may have nothing running while a task's turn has come.
	idleLimit = 3 * time.Second
	// exampleID is the ID of the job that a case is about.
	exampleID = "5c0e7a21d94b36f8"
)

var errNotAccepted = errors.New("the job was not accepted")

// play plays a case on a running cell.
type play func(c *cell, trouble bool) (verdict, error)

// scene is a case with its deployment.
type scene struct {
	// services is the number of services, each with eight minions. Their queues have an advisor if advised is set.
	services int
	advised  bool
	// capCPU is the tenant's cap at first, in thousandths of a core.
	capCPU int64
	// statusS is the bound status_s of the settings.
	statusS int
	play    play
}

var scenes = map[string]scene{
	"cancelled": {services: 1, statusS: 60, play: cancelled},
	"large-job": {services: 1, statusS: 120, play: largeJob},
	"advice":    {services: 4, advised: true, statusS: 120, play: advice},
	"cap":       {services: 4, capCPU: 24_000, statusS: 120, play: lowerCap},
	"gang":      {services: 1, statusS: 120, play: gang},
}

const (
	daemonCount = 3
	// minionCount is the number of minions of a service.
	minionCount = 8
	// settleTime lets the daemons divide the shards.
	settleTime = 3 * time.Second
)

func (s scene) run(r *recorder, trouble, keepLogs bool) (verdict, error) {
	c, err := startCell(r, daemonCount, s)
	if err != nil {
		return notRun, err
	}
	defer c.close(keepLogs)
	if err := c.addMinions(minionCount * s.services); err != nil {
		return notRun, err
	}
	if err := c.startDaemons(); err != nil {
		return notRun, err
	}
	time.Sleep(settleTime)
	return s.play(c, trouble)
}

func main() {
	path := flag.String("record", "record.txt", "file of the record")
	keepLogs := flag.Bool("logs", false, "keep the logs of the daemons")
	flag.Parse()
	s, ok := scenes[flag.Arg(0)]
	if !ok {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", flag.Arg(0))
		os.Exit(int(notRun))
	}
	out, err := os.Create(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(int(notRun))
	}
	r := &recorder{began: time.Now(), out: out}
	v, err := s.run(r, os.Getenv("TROUBLE") != "0", *keepLogs)
	if err != nil {
		r.add("%v", err)
		v = notRun
	}
	r.add("%v", v)
	fmt.Println(v)
	os.Exit(int(v))
}
