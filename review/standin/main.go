// Command standin plays the cases of the review that are scripts. It serves the platform's store, list
// of machines and workers on loopback addresses, starts the daemons as separate processes, sends the
// calls of clients and checks one rule by what the workers and the clients have seen.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"sort"
	"strings"
	"syscall"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// scenario is one case. It returns the violations of the rule, or an error if the case could not run.
type scenario struct {
	bounds bounds
	run    func(c *cell, trouble bool) ([]string, error)
}

var scenarios = map[string]scenario{}

func main() {
	os.Exit(play())
}

func play() int {
	name := flag.String("case", "", "name of the case")
	daemon := flag.String("daemon", "target/samphirestiled", "program of the daemon")
	path := flag.String("record", "record.txt", "file for what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "cause the disruption")
	flag.Parse()
	s, ok := scenarios[*name]
	if !ok {
		var names []string
		for n := range scenarios {
			names = append(names, n)
		}
		sort.Strings(names)
		fmt.Fprintln(os.Stderr, "cases:", strings.Join(names, " "))
		return exitNotRun
	}
	rec, err := newRecord(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	rec.note("case %s, disruption %v", *name, *trouble)
	c, err := newCell(rec, *daemon, s.bounds)
	if err != nil {
		rec.note("not run: %v", err)
		fmt.Println("not run:", err)
		return exitNotRun
	}
	defer c.close()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-interrupted
		rec.note("not run: interrupted")
		c.close()
		rec.close()
		os.Exit(exitNotRun)
	}()
	violations, err := s.run(c, *trouble)
	if err != nil {
		rec.note("not run: %v", err)
		fmt.Println("not run:", err)
		return exitNotRun
	}
	for _, v := range violations {
		rec.note("BROKEN: %s", v)
	}
	if len(violations) > 0 {
		fmt.Printf("broken, %d times; first: %s\n", len(violations), violations[0])
		return exitBroken
	}
	rec.note("held")
	fmt.Println("held")
	return exitHeld
}
