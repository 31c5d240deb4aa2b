package soak

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/arbutusmill/arbutusmill/platform/standin"
	"github.com/stretchr/testify/require"
)

var (
	overloadConnections = flag.Int("overload.connections", 0, "number of connections of TestMemoryBesideManyConnections; 0 skips it")
	routerMemory        = flag.Int("soak.memory", maxProcessMB, "memory (MiB) that a router may use")
)

const (
	// overloadDialers is the number of connections that are opened at a time.
	overloadDialers = 32
	// overloadTimeout bounds a connection's setup and the write of its bytes.
	overloadTimeout = 2 * time.Second
	// maxOverloadDelay is how long a change of the configuration takes to be in force, and new callers to be served.
	maxOverloadDelay = 3 * time.Second
)

// partOfRequest returns the beginning of a request to a route, without the end of its headers.
func partOfRequest(route, id string) string {
	return "POST /" + route + "/x HTTP/1.1\r\nHost: " + host + "\r\n" + standin.HeaderKey + ": k-pilots\r\n" +
		standin.HeaderID + ": " + id + "\r\n" + standin.HeaderDeadline + ": 10000\r\n"
}

// overloads are what a caller sends on each of its connections, which it then keeps open.
var overloads = map[string]func(id string) string{
	"unused": func(string) string { return "" },
	"active": func(id string) string { return partOfRequest("alert", id) + "Content-Length: 0\r\n\r\n" },
	"headers": func(id string) string {
		return partOfRequest("alert", id) + strings.Repeat("a: "+strings.Repeat("b", 95)+"\r\n", 550)
	},
	"short lines": func(id string) string { return partOfRequest("alert", id) + strings.Repeat("a:\r\n", 13_000) },
	"names": func(id string) string {
		var b strings.Builder
		for n := range 7_000 {
			fmt.Fprintf(&b, "%05x:\r\n", n)
		}
		return partOfRequest("alert", id) + b.String()
	},
	"part of body": func(id string) string {
		return partOfRequest("alert", id) + "Content-Length: 8000000\r\n\r\n" + strings.Repeat("x", 900<<10)
	},
}

// Guards against a router that is killed for its memory by more connections than it can serve, and serves nobody while they
// are open. New callers are served, and changes are in force, in time.
func TestMemoryBesideManyConnections(t *testing.T) {
	if *overloadConnections == 0 {
		t.Skip("by hand, with -overload.connections")
	}
	for name, bytes := range overloads {
		t.Run(name, func(t *testing.T) {
			tf := newTestFleet(t, t.TempDir())
			defer func() {
				for _, p := range tf.processes {
					p.stop(syscall.SIGKILL)
				}
			}()
			tf.waitServing()
			router := tf.ofRole("gateway")[0]
			atRest := router.peakMemoryMB()
			if name == "active" {
				for _, u := range tf.upstreams {
					u.SetMode(standin.Hang)
				}
			}
			conns, failed := openConnections(router.callersAddress, *overloadConnections, bytes)
			defer func() {
				for _, c := range conns {
					_ = c.Close() // the router may have closed it
				}
			}()
			peak := router.peakMemoryMB()
			for _, u := range tf.upstreams {
				u.SetMode("")
			}
			began := time.Now()
			tf.configure()
			tf.waitServing()
			delay := time.Since(began)
			t.Logf("%d connections, %d failed: %d MiB, %d at rest; served after %v", len(conns), failed, peak, atRest, delay)
			require.LessOrEqual(t, peak, *routerMemory)
			require.Less(t, delay, maxOverloadDelay)
		})
	}
}

// openConnections opens n connections to an address and sends bytes on each. failed is the number of those that were refused
// or closed before all bytes were sent.
func openConnections(address string, n int, bytes func(id string) string) (conns []net.Conn, failed int) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	ids := make(chan int)
	for range overloadDialers {
		wg.Go(func() {
			for id := range ids {
				conn, err := openConnection(address, bytes(fmt.Sprint("o", id)))
				mu.Lock()
				if conn != nil {
					conns = append(conns, conn)
				}
				if err != nil {
					failed++
				}
				mu.Unlock()
			}
		})
	}
	for id := range n {
		ids <- id
	}
	close(ids)
	wg.Wait()
	return conns, failed
}

// openConnection opens one connection and sends bytes on it; the connection is not nil if it was opened.
func openConnection(address, bytes string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), overloadTimeout)
	defer cancel()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if err := conn.SetDeadline(time.Now().Add(overloadTimeout)); err != nil {
		return conn, err
	}
	_, err = io.WriteString(conn, bytes)
	return conn, err
}
