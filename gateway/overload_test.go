package gateway_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// overloadBody is the size of a large body, and maxBodies the bytes that all bodies may take together: a quarter of
	// the 128 MiB of the default settings.
	overloadBody = 900 << 10
	maxBodies    = 32 << 20
	// overloadCallers send ten times maxBodies.
	overloadCallers = 10 * maxBodies / overloadBody
)

// overloadFleet starts a router that takes bodies of 8 MiB, and an upstream that answers after 500 ms.
func overloadFleet(f *fleet) *rawUpstream {
	f.template = strings.Replace(configTemplate, `"max_body_bytes":65536`, `"max_body_bytes":8388608`, 1)
	f.putConfig(0, "k1", "k2")
	u := f.rawUpstream("i-1", func(u *rawUpstream, conn net.Conn, in *bufio.Reader) {
		for {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body) // its content is irrelevant here
			id := u.recordRequest(r)
			time.Sleep(500 * time.Millisecond)
			_, _ = io.WriteString(conn, signedResponse(id, "done"))
		}
	})
	f.start()
	return u
}

// largeBody and chunkedBody are shared by all callers, so that the heap has one copy of them beside the router's.
var (
	largeBody   = strings.Repeat("x", overloadBody)
	chunkedBody = strings.Repeat("1000\r\n"+strings.Repeat("x", 0x1000)+"\r\n", overloadBody/0x1000) + "0\r\n\r\n"
)

// bodySenders are the ways in which a caller sends a large body. Each returns the status of the answer and its Retry-After.
var bodySenders = map[string]func(f *fleet, id string) (status int, retryAfter string){
	"whole": func(f *fleet, id string) (int, string) {
		req := alert(id)
		req.body = largeBody
		resp := f.send(req)
		return resp.status, resp.header.Get("Retry-After")
	},
	"slow": func(f *fleet, id string) (int, string) {
		return f.sendInParts(id, fmt.Sprint("Content-Length: ", overloadBody), largeBody, 300*time.Millisecond)
	},
	"in chunks": func(f *fleet, id string) (int, string) {
		return f.sendInParts(id, "Transfer-Encoding: chunked", chunkedBody, 0)
	},
}

// sendInParts sends a request with a pause before its last kilobyte, and returns the status and Retry-After of the answer.
// framing is the header that says how long the body is.
func (f *fleet) sendInParts(id, framing, body string, pause time.Duration) (status int, retryAfter string) {
	conn := f.dialAndWrite(strings.Replace(rawAlert(id, ""), "Content-Length: 0", framing, 1))
	defer func() { _ = conn.Close() }()
	go func() {
		_, _ = io.WriteString(conn, body[:len(body)-1024]) // fails if the request is refused
		time.Sleep(pause)
		_, _ = io.WriteString(conn, body[len(body)-1024:])
	}()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode, resp.Header.Get("Retry-After")
}

// Guards against bodies that are each within their limit and together take the router's memory. What finds no room is
// refused as not run, with the time to come back; other callers are served, and changes are in force in time.
func TestSumOfLargeBodies(t *testing.T) {
	for way, send := range bodySenders {
		t.Run(way, func(t *testing.T) {
			withFleet(t, func(f *fleet) {
				u := overloadFleet(f)
				before, began := heapBytes(), time.Now()
				var mu sync.Mutex
				byStatus := map[int]int{}
				var wg sync.WaitGroup
				for n := range overloadCallers {
					wg.Go(func() {
						status, retryAfter := send(f, fmt.Sprint("r", n))
						mu.Lock()
						defer mu.Unlock()
						byStatus[status]++
						if status == http.StatusTooManyRequests {
							seconds, err := strconv.ParseFloat(retryAfter, 64)
							require.NoError(t, err)
							require.InDelta(t, 0.5, seconds, 0.5)
							require.Less(t, time.Since(began), 400*time.Millisecond, "refused at once")
						}
					})
				}
				time.Sleep(200 * time.Millisecond)
				synctest.Wait()
				held := heapBytes() - before
				t.Logf("%d callers: %d MiB", overloadCallers, held>>20)
				require.Equal(t, 200, f.send(alert("small")).status)
				f.putConfig(0, "k1")
				f.settle()
				removed := level("removed-key")
				removed.key = "k2"
				require.Equal(t, 401, f.send(removed).status)
				wg.Wait()
				t.Log("answers by status:", byStatus)
				require.Less(t, held, int64(maxBodies+16<<20), "the bodies, and buffers of connections")
				require.Equal(t, overloadCallers, byStatus[200]+byStatus[429])
				require.GreaterOrEqual(t, byStatus[200]*overloadBody, maxBodies/2, "nothing is refused while half of the room is free")
				require.Equal(t, byStatus[200]+1, len(u.receivedIDs()), "what was refused did not run")
				for n := range 100 { // all that was held was released
					status, _ := send(f, fmt.Sprint("next-", n))
					require.Equal(t, 200, status)
				}
			})
		})
	}
}

// Guards against refusals that wait for a slow body: net/http reads up to 256 KiB of a body that the handler did not read,
// before it answers and without a deadline, so callers that are refused held their connections for as long as they liked.
func TestRefusalDoesNotWaitForTheBody(t *testing.T) {
	for name, framing := range map[string]string{"small": "Content-Length: 100", "medium": "Content-Length: 100000",
		"large": "Content-Length: 60000000", "chunked": "Transfer-Encoding: chunked"} {
		t.Run(name, func(t *testing.T) {
			withFleet(t, func(f *fleet) {
				f.putConfig(0, "k1")
				f.start()
				head := strings.Replace(rawAlert("r1", ""), "Content-Length: 0", framing, 1)
				conn := f.dialAndWrite(strings.Replace(head, "k1", "unknown-key", 1) + "1")
				in, began := bufio.NewReader(conn), time.Now()
				require.NoError(t, conn.SetReadDeadline(began.Add(20*time.Second)))
				resp, err := http.ReadResponse(in, nil)
				require.NoError(t, err)
				require.Equal(t, 401, resp.StatusCode)
				require.Less(t, time.Since(began), 100*time.Millisecond)
				_, err = io.Copy(io.Discard, in)
				require.NoError(t, err, "the router closes")
				require.Less(t, time.Since(began), 4*time.Second)
			})
		})
	}
}

// Guards against a large body that is refused while there is room for it.
func TestLargeBodiesUseAllRoom(t *testing.T) {
	withFleet(t, func(f *fleet) {
		overloadFleet(f)
		const callers = 4
		var served atomic.Int64
		var wg sync.WaitGroup
		for n := range callers {
			wg.Go(func() {
				req := alert(fmt.Sprint("r", n))
				req.body = strings.Repeat("x", maxBodies/callers-(1<<10))
				if f.send(req).status == http.StatusOK {
					served.Add(1)
				}
			})
		}
		wg.Wait()
		require.EqualValues(t, callers, served.Load())
	})
}

// Guards against refusals that end connections for nothing: callers that reconnect cost an overloaded router more than
// the rest of a small body.
func TestRefusalKeepsTheConnection(t *testing.T) {
	whole := rawAlert("r1", strings.Repeat("x", 10<<10))
	head, _, _ := strings.Cut(whole, "Content-Length")
	for name, request := range map[string]string{"length given": whole,
		"chunks": head + "Transfer-Encoding: chunked\r\n\r\n2800\r\n" + strings.Repeat("x", 0x2800) + "\r\n0\r\n\r\n"} {
		t.Run(name, func(t *testing.T) {
			withFleet(t, func(f *fleet) {
				f.putConfig(0, "k1")
				f.upstream("i-1", "plain", 0)
				f.start()
				refused := strings.Replace(request, "k1", "unknown-key", 1)
				conn := f.dialAndWrite("")
				go func() { _, _ = io.WriteString(conn, refused+rawAlert("r2", "next")) }() // a failure shows as a missing response
				in := bufio.NewReader(conn)
				for _, status := range []int{401, 200} {
					resp, err := http.ReadResponse(in, nil)
					require.NoError(t, err)
					require.Equal(t, status, resp.StatusCode)
					require.False(t, resp.Close)
					_, err = io.Copy(io.Discard, resp.Body)
					require.NoError(t, err)
				}
			})
		})
	}
}

// Guards against headers that are each within their limit and together take the router's memory: callers that do not end
// them hold what they sent until the timeout for headers, and short lines take many times their bytes once they are parsed.
func TestSumOfLargeHeaders(t *testing.T) {
	const (
		callers    = 2000
		maxHeaders = 8 << 20 // a sixteenth of 128 MiB
	)
	for name, line := range map[string]string{"long lines": "a: " + strings.Repeat("b", 995) + "\r\n", "short lines": "a:\r\n",
		"names": "%05x:\r\n"} {
		t.Run(name, func(t *testing.T) {
			withFleet(t, func(f *fleet) {
				overloadFleet(f)
				headers, _, _ := strings.Cut(rawAlert("large", ""), "Content-Length")
				for n := 0; len(headers) < 60_000; n++ {
					headers += strings.Replace(line, "%05x", fmt.Sprintf("%05x", n), 1)
				}
				before := heapBytes()
				for range callers {
					conn := f.dialAndWrite("")
					go func() { _, _ = io.WriteString(conn, headers) }() // fails if the router closes
				}
				time.Sleep(200 * time.Millisecond)
				synctest.Wait()
				held := heapBytes() - before
				t.Logf("%d callers: %d MiB", callers, held>>20)
				require.Equal(t, 200, f.send(alert("small")).status)
				f.putConfig(0, "k1")
				f.settle()
				removed := level("removed-key")
				removed.key = "k2"
				require.Equal(t, 401, f.send(removed).status)
				require.Less(t, held, int64(maxHeaders+callers*16<<10), "the headers, and buffers of connections")
				time.Sleep(5 * time.Second) // longer than the timeout for headers
				for n := range 200 {        // all that was held was released
					req := alert(fmt.Sprint("next-", n))
					req.header = map[string]string{"a": strings.Repeat("b", 14_000)}
					require.Equal(t, 200, f.send(req).status)
				}
			})
		})
	}
}

// connectionLimit is the maximum number of callers' connections in the tests of more connections.
const connectionLimit = 100

// overConnected starts a router and opens ten times as many connections as it may have, with the same bytes on each. It
// returns those that stay open.
func overConnected(f *fleet, bytes string) (u *rawUpstream, open []net.Conn) {
	f.connections = connectionLimit
	u = overloadFleet(f)
	var conns []net.Conn
	for range 10 * connectionLimit {
		conn, err := f.network.Dial(context.Background(), "tcp", address(1, callersPort))
		require.NoError(f.t, err)
		f.t.Cleanup(func() { _ = conn.Close() }) // the test may have closed it
		_, _ = io.WriteString(conn, bytes)       // fails if the router closes
		conns = append(conns, conn)
	}
	synctest.Wait()
	open = openConns(conns)
	require.Equal(f.t, connectionLimit, len(open))
	return u, open
}

// Guards against more connections than a router has descriptors for: it could reach neither the store nor upstreams while
// callers kept them open. Those beyond the limit are closed with their request unread, and the balancer is sent elsewhere.
func TestConnectionsBeyondTheLimit(t *testing.T) {
	withFleet(t, func(f *fleet) {
		half := len(rawAlert("r", "")) / 2
		u, open := overConnected(f, rawAlert("r", "")[:half])
		require.Equal(t, 503, f.readyStatus())
		for range 20 {
			time.Sleep(100 * time.Millisecond)
			require.Error(t, f.send(alert("beyond")).err)
		}
		require.Empty(t, u.receivedIDs())
		status, closes := exchange(t, open[0], rawAlert("r", "")[half:])
		require.Equal(t, 200, status)
		require.True(t, closes, "callers are handed over")
		for _, conn := range open[:connectionLimit/2] {
			require.NoError(t, conn.Close())
		}
		f.settle()
		require.Equal(t, 200, f.readyStatus())
		for n := range connectionLimit/2 - 1 {
			require.Equal(t, 200, f.send(alert(fmt.Sprint("next-", n))).status)
		}
		lines := strings.Count(f.log.String(), `"event":"caller_connection_unread"`)
		require.Greater(t, lines, 0)
		require.LessOrEqual(t, lines, 3, "one a second")
	})
}

// Guards against callers without requests that hold all connections: those that have waited the longest make room, and
// changes are in force in time. None is closed while it has a request.
func TestWaitingConnectionsMakeRoom(t *testing.T) {
	withFleet(t, func(f *fleet) {
		u, open := overConnected(f, "")
		status, _ := exchange(t, open[0], rawAlert("used", ""))
		require.Equal(t, 200, status)
		f.settle()
		active := f.dialAndWrite("")
		done := make(chan int)
		go func() {
			status, _ := exchange(t, active, rawAlert("active", ""))
			done <- status
		}()
		f.putConfig(0, "k1")
		f.settle()
		removed := level("removed-key")
		removed.key = "k2"
		for range 2 * connectionLimit {
			time.Sleep(20 * time.Millisecond) // new callers replace all others in 2 s
			resp := f.send(removed)
			require.Equal(t, 401, resp.status)
			require.False(t, resp.closes)
		}
		require.Equal(t, 200, <-done)
		require.Equal(t, 200, f.readyStatus())
		require.Equal(t, 200, f.send(alert("next")).status)
		require.Len(t, u.receivedIDs(), 3)
	})
}

// openConns returns the connections that the router has not closed.
func openConns(conns []net.Conn) (open []net.Conn) {
	for _, c := range conns {
		_ = c.SetReadDeadline(time.Now().Add(time.Millisecond)) // fails if it is closed, like the read
		if _, err := c.Read(make([]byte, 1)); errors.Is(err, os.ErrDeadlineExceeded) {
			open = append(open, c)
		}
	}
	return open
}

// exchange sends a request, and returns the status of the answer and whether the router closes the connection.
func exchange(t *testing.T, conn net.Conn, request string) (status int, closes bool) {
	require.NoError(t, conn.SetReadDeadline(time.Time{}))
	_, err := io.WriteString(conn, request)
	require.NoError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode, resp.Close
}
