package main

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// caseRun is one run of a case: its record, its temporary folder and what is stopped at its end.
type caseRun struct {
	// trouble is unset if the case runs without its disruption.
	trouble bool
	dir     string
	began   time.Time

	mu      sync.Mutex
	record  *os.File
	atClose []func()
}

func newCaseRun(recordPath string, trouble bool) (*caseRun, error) {
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	c := &caseRun{trouble: trouble, dir: dir, record: record, began: time.Now()}
	c.note("trouble: %v", trouble)
	return c, nil
}

// note writes a line with the time since the start to the record.
func (c *caseRun) note(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, _ = fmt.Fprintf(c.record, "%8.3f %s\n", time.Since(c.began).Seconds(), fmt.Sprintf(format, args...))
}

// onClose registers what is called at the end of the run, the last one first.
func (c *caseRun) onClose(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.atClose = append(c.atClose, f)
}

// close stops all that was started, and removes the temporary folder.
func (c *caseRun) close() {
	for i := len(c.atClose) - 1; i >= 0; i-- {
		c.atClose[i]()
	}
	_ = os.RemoveAll(c.dir)
	_ = c.record.Close()
}

// until sleeps until a time since the start of the run.
func (c *caseRun) until(at time.Duration) { time.Sleep(time.Until(c.began.Add(at))) }

// The ports of the daemons are below the range that the system assigns to outgoing connections: one of these could take a port before its
// daemon listens there.
const (
	firstPort = 20_000
	lastPort  = 32_000
)

var nextPort atomic.Int64

// freeAddress returns a loopback address with a port that is free now.
func freeAddress() (string, error) {
	for range lastPort - firstPort {
		port := firstPort + (int64(os.Getpid())*97+nextPort.Add(1))%(lastPort-firstPort)
		address := fmt.Sprint("127.0.0.1:", port)
		if ln, err := net.Listen("tcp", address); err == nil {
			return address, ln.Close()
		}
	}
	return "", errors.New("no free port")
}
