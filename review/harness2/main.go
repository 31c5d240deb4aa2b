// Command review2-harness runs the scripted cases of the second independent review: it starts the project's own daemons as
// separate processes on loopback addresses, with stand-ins of the platform's store, of engines and of clients.
//
// Exit status: 0 if the rule held, 1 if it was broken, 2 if the case could not run.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit statuses.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// errBroken is returned by a case whose rule was broken.
var errBroken = errors.New("the rule was broken")

// cases are the scripted cases by name.
var cases = map[string]func(c *caseRun) error{
	"partition": runPartition,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review2-harness CASE RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

// maxRun bounds a run, with the end of all processes.
const maxRun = 118 * time.Second

// run runs a case and returns the exit status. A signal, or the end of maxRun, ends it early.
func run(name, recordPath string) int {
	c, err := newCaseRun(recordPath, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer c.close()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	done := make(chan error, 1)
	go func() { done <- cases[name](c) }()
	select {
	case err = <-done:
	case s := <-stop:
		err = fmt.Errorf("ended by signal %v", s)
	case <-time.After(maxRun):
		err = errors.New("it took too long")
	}
	switch {
	case errors.Is(err, errBroken):
		c.note("result: BROKEN: %v", err)
		return exitBroken
	case err != nil:
		c.note("result: could not run: %v", err)
		return exitNotRun
	}
	c.note("result: held")
	return exitHeld
}
