package main

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The system's list of connections is not read at one moment, and may lack one while others come and go.
const (
	callerAttempts = 40
	callerPause    = 5 * time.Millisecond
)

// ports are the local and the remote port of a connection.
type ports struct{ local, remote int }

// callerTable names the daemons that opened connections. One read of the system's list serves all connections that wait for it.
type callerTable struct {
	mu      sync.Mutex
	readAt  time.Time
	callers map[ports]string
}

// callerOf returns the name of the daemon that opened a loopback connection, "" if it is none of them.
func (f *fleet) callerOf(conn net.Conn) string {
	from, ok := conn.RemoteAddr().(*net.TCPAddr)
	to, isTCP := conn.LocalAddr().(*net.TCPAddr)
	if !ok || !isTCP {
		return ""
	}
	for range callerAttempts {
		if name := f.callers.find(f.pids(), ports{from.Port, to.Port}, time.Now()); name != "" {
			return name
		}
		time.Sleep(callerPause)
	}
	f.run.note("a connection from port %d has no known caller", from.Port)
	return ""
}

// find returns the caller of a connection, by a list that was read after a time.
func (t *callerTable) find(pids map[string]int, p ports, after time.Time) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.readAt.Before(after) {
		t.readAt, t.callers = time.Now(), readCallers(pids)
	}
	return t.callers[p]
}

// Columns of /proc/net/tcp.
const (
	localColumn  = 1
	remoteColumn = 2
	stateColumn  = 3
	inodeColumn  = 9
	established  = "01"
)

// readCallers reads the established connections of the daemons.
func readCallers(pids map[string]int) map[ports]string {
	callers := map[ports]string{}
	b, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return callers
	}
	owners := socketOwners(pids)
	for line := range strings.SplitSeq(string(b), "\n") {
		columns := strings.Fields(line)
		if len(columns) <= inodeColumn || columns[stateColumn] != established {
			continue
		}
		if name := owners["socket:["+columns[inodeColumn]+"]"]; name != "" {
			callers[ports{portOf(columns[localColumn]), portOf(columns[remoteColumn])}] = name
		}
	}
	return callers
}

// portOf returns the port of an address in hexadecimal.
func portOf(address string) int {
	_, port, _ := strings.Cut(address, ":")
	n, _ := strconv.ParseInt(port, 16, 32)
	return int(n)
}

// socketOwners returns the daemons by the names of their sockets.
func socketOwners(pids map[string]int) map[string]string {
	owners := map[string]string{}
	for name, pid := range pids {
		dir := fmt.Sprintf("/proc/%d/fd", pid)
		files, err := os.ReadDir(dir)
		if err != nil {
			continue // it has ended
		}
		for _, file := range files {
			if target, err := os.Readlink(filepath.Join(dir, file.Name())); err == nil {
				owners[target] = name
			}
		}
	}
	return owners
}
