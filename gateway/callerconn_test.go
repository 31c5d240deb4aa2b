package gateway_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/arbutusmill/arbutusmill/platform/standin"
	"github.com/stretchr/testify/require"
)

// dialAndWrite opens a connection to the router and writes bytes on it.
func (f *fleet) dialAndWrite(bytes string) net.Conn {
	conn, err := f.network.Dial(context.Background(), "tcp", address(1, callersPort))
	require.NoError(f.t, err)
	f.t.Cleanup(func() { _ = conn.Close() }) // the test may have closed it
	_, err = io.WriteString(conn, bytes)
	require.NoError(f.t, err)
	return conn
}

// rawAlert returns the bytes of an alert request.
func rawAlert(id, body string) string {
	return fmt.Sprintf("POST /alert/x HTTP/1.1\r\nHost: a.example\r\nApi-Key: k1\r\n"+standin.HeaderID+": %s\r\n"+
		"Content-Length: %d\r\n\r\n%s", id, len(body), body)
}

// Guards against a request that keeps running after its caller sent a further request, or the
// beginning of one, on the same connection and then disconnected. The HTTP server no longer
// watches the connection by then; the upstream's connection must still end within half a second.
func TestCallerDisconnectsAfterPipelining(t *testing.T) {
	for _, further := range []string{"P", "POST /alert/x HT", rawAlert("r2", "next"), rawAlert("r2", strings.Repeat("x", 20_000))} {
		t.Run(fmt.Sprint(len(further), " bytes"), func(t *testing.T) {
			withFleet(t, func(f *fleet) {
				f.putConfig(0, "k1")
				u := f.upstream("i-1", "plain", 0)
				u.SetMode(standin.Hang)
				f.start()
				conn := f.dialAndWrite(rawAlert("r1", "surge"))
				time.Sleep(100 * time.Millisecond)
				require.NoError(t, conn.SetWriteDeadline(time.Now().Add(time.Second)))
				_, err := io.WriteString(conn, further)
				require.NoError(t, err)
				time.Sleep(100 * time.Millisecond)
				require.NoError(t, conn.Close())
				time.Sleep(300 * time.Millisecond)
				require.True(t, u.Requests()[0].CallerGone)
				require.Len(t, u.Requests(), 1, "the further request must not start")
			})
		})
	}
}

// Guards against bytes that are lost when a caller pipelines requests: all are answered, in
// order, with the bytes that were read ahead.
func TestPipelinedRequests(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.putConfig(0, "k1")
		u := f.upstream("i-1", "plain", 0)
		u.Pause = 200 * time.Millisecond
		f.start()
		bodies := map[string]string{"r1": "a", "r2": strings.Repeat("b", 30_000), "r3": strings.Repeat("c", 10), "r4": ""}
		conn := f.dialAndWrite(rawAlert("r1", bodies["r1"]))
		go func() {
			for _, id := range []string{"r2", "r3", "r4"} {
				time.Sleep(50 * time.Millisecond)
				_, _ = io.WriteString(conn, rawAlert(id, bodies[id])) // a failure shows as a missing response
			}
		}()
		answers := bufio.NewReader(conn)
		for _, id := range []string{"r1", "r2", "r3", "r4"} {
			resp, err := http.ReadResponse(answers, nil)
			require.NoError(t, err, id)
			body, err := io.ReadAll(resp.Body)
			require.NoError(t, err)
			require.Equal(t, standin.PlainAnswer(id), string(body))
		}
		for _, s := range u.Requests() {
			require.Equal(t, bodies[s.ID], s.Body, s.ID)
		}
	})
}

// timeUntilClosed returns how long the router keeps a connection open.
func timeUntilClosed(t *testing.T, conn net.Conn) time.Duration {
	start := time.Now()
	require.NoError(t, conn.SetReadDeadline(start.Add(time.Minute)))
	_, err := io.Copy(io.Discard, conn)
	require.NoError(t, err)
	return time.Since(start)
}

// Guards against connections of stalled callers that use up memory and descriptors. The limits on
// the time for headers and on idle connections can change while routers run; connections are
// closed by the active limits.
func TestIdleAndHeaderTimeouts(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.putConfig(0, "k1")
		f.upstream("i-1", "plain", 0)
		f.start()
		req := alert("r1")
		require.Equal(t, 200, f.send(req).status)
		slow := f.dialAndWrite("POST /alert/x HTTP/1.1\r\nHost: a.exa")
		require.InDelta(t, 3, timeUntilClosed(t, slow).Seconds(), 0.1, "header_timeout_ms is 3000")

		conn := f.dialAndWrite(rawAlert("r2", "surge"))
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, resp.Body)
		require.NoError(t, err)
		require.InDelta(t, 15, timeUntilClosed(t, conn).Seconds(), 0.1, "idle_timeout_ms is 15000")

		f.version++
		changed := strings.NewReplacer(`"header_timeout_ms":3000`, `"header_timeout_ms":1000`,
			`"idle_timeout_ms":15000`, `"idle_timeout_ms":4000`).Replace(fmt.Sprintf(configTemplate, f.version, `"k1"`, 0))
		require.NoError(t, f.store.PutConfig(changed))
		f.settle()
		require.InDelta(t, 4, timeUntilClosed(t, f.dialAndWrite("")).Seconds(), 0.1)
		require.InDelta(t, 1, timeUntilClosed(t, f.dialAndWrite("POST")).Seconds(), 0.1)
	})
}

// Guards against requests whose headers exceed max_header_bytes: they are refused with 431 and
// not retried. Headers just below the limit pass.
func TestMaxHeaderBytes(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.putConfig(0, "k1")
		u := f.upstream("i-1", "plain", 0)
		f.start()
		req := alert("r1")
		req.header = map[string]string{"X-Long": strings.Repeat("x", 17_000)}
		require.Equal(t, 431, f.send(req).status)
		require.Empty(t, u.Requests())
		req.header = map[string]string{"X-Long": strings.Repeat("x", 15_000)}
		require.Equal(t, 200, f.send(req).status)
	})
}
