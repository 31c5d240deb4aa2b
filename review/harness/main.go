// Command harness plays the cases of the review: it starts the daemons of the deploy file as separate processes
// against stand-ins of the platform's store, of engines and of clients, and checks one rule on what these saw.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxDuration bounds a case; it ends with exitNotRun after it.
const maxDuration = 115 * time.Second

// testCase is one case: with trouble unset it plays the same without the disruption.
type testCase func(f *fleet, trouble bool) (broken bool, summary string, err error)

var cases = map[string]testCase{"denied": denied, "refused": refused, "mixed": mixed, "budget": budget}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "engine" {
		os.Exit(engineMain(os.Args[2:]))
	}
	name := flag.String("case", "", "the case: denied, refused, mixed or budget")
	dir := flag.String("dir", "", "the folder that gets record.txt")
	flag.Parse()
	os.Exit(play(*name, *dir))
}

func play(name, dir string) int {
	run, known := cases[name]
	if !known || dir == "" {
		fmt.Fprintln(os.Stderr, "harness: -case or -dir is missing or unknown")
		return exitNotRun
	}
	f, err := newFleet(dir)
	if err != nil {
		fmt.Fprintln(os.Stderr, "harness:", err)
		return exitNotRun
	}
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, os.Interrupt, syscall.SIGTERM)
	result := make(chan int, 1)
	go func() { result <- f.judge(run, os.Getenv("TROUBLE") != "0") }()
	status := exitNotRun
	select {
	case status = <-result:
	case <-ended:
		f.record.add("harness", "ended by a signal")
	case <-time.After(maxDuration):
		f.record.add("harness", "not done in time")
	}
	f.close()
	return status
}

// judge plays a case and prints its result.
func (f *fleet) judge(run testCase, trouble bool) int {
	broken, summary, err := run(f, trouble)
	status := exitHeld
	switch {
	case err != nil:
		summary, status = "the case could not run: "+err.Error(), exitNotRun
	case broken:
		status = exitBroken
	}
	f.record.add("harness", fmt.Sprintf("trouble=%v: %s", trouble, summary))
	fmt.Println(summary)
	return status
}
