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

// rawCall opens a connection to the router and writes bytes on it.
func (f *fleet) rawCall(bytes string) net.Conn {
	conn, err := f.network.Dial(context.Background(), "tcp", address(1, callersPort))
	require.NoError(f.t, err)
	f.t.Cleanup(func() { _ = conn.Close() }) // some are closed already
	_, err = io.WriteString(conn, bytes)
	require.NoError(f.t, err)
	return conn
}

// rawAlert is an alert as it stands on the wire.
func rawAlert(id, body string) string {
	return fmt.Sprintf("POST /alert/x HTTP/1.1\r\nHost: a.example\r\nApi-Key: k1\r\n"+standin.HeaderID+": %s\r\n"+
		"Content-Length: %d\r\n\r\n%s", id, len(body), body)
}

// A caller has sent a further request on its connection, or the beginning of one, while
// the first is being served, and then leaves. The upstream must learn of it within half
// a second, though the server has stopped watching the connection by then.
func TestCallerLeavesBehindAFurtherRequest(t *testing.T) {
	for _, further := range []string{"P", "POST /alert/x HT", rawAlert("r2", "next"), rawAlert("r2", strings.Repeat("x", 20_000))} {
		t.Run(fmt.Sprint(len(further), " bytes"), func(t *testing.T) {
			play(t, func(f *fleet) {
				f.config(0, "k1")
				u := f.upstream("i-1", "plain", 0)
				u.SetMode(standin.Hang)
				f.start()
				conn := f.rawCall(rawAlert("r1", "surge"))
				time.Sleep(100 * time.Millisecond)
				require.NoError(t, conn.SetWriteDeadline(time.Now().Add(time.Second)))
				_, err := io.WriteString(conn, further)
				require.NoError(t, err)
				time.Sleep(100 * time.Millisecond)
				require.NoError(t, conn.Close())
				time.Sleep(300 * time.Millisecond)
				require.True(t, u.Seen()[0].Left)
				require.Len(t, u.Seen(), 1, "the further request must not begin")
			})
		})
	}
}

// A caller sends its next requests before it has the answer to the first. All are
// answered, in order, with the bytes that were read ahead.
func TestRequestsSentAhead(t *testing.T) {
	play(t, func(f *fleet) {
		f.config(0, "k1")
		u := f.upstream("i-1", "plain", 0)
		u.Pause = 200 * time.Millisecond
		f.start()
		bodies := map[string]string{"r1": "a", "r2": strings.Repeat("b", 30_000), "r3": strings.Repeat("c", 10), "r4": ""}
		conn := f.rawCall(rawAlert("r1", bodies["r1"]))
		go func() {
			for _, id := range []string{"r2", "r3", "r4"} {
				time.Sleep(50 * time.Millisecond)
				_, _ = io.WriteString(conn, rawAlert(id, bodies[id])) // a failure shows as a missing answer
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
		for _, s := range u.Seen() {
			require.Equal(t, bodies[s.ID], s.Body, s.ID)
		}
	})
}

// closedAfter is how long the router leaves a connection open.
func closedAfter(t *testing.T, conn net.Conn) time.Duration {
	began := time.Now()
	require.NoError(t, conn.SetReadDeadline(began.Add(time.Minute)))
	_, err := io.Copy(io.Discard, conn)
	require.NoError(t, err)
	return time.Since(began)
}

// Operators bound how long a caller may take for its headers and leave a connection
// unused, and change the bounds while routers run. Connections of callers that stopped
// are closed by the bounds in force, so that they do not use up memory and descriptors.
func TestOperatorsBoundIdleConnectionsAndHeaders(t *testing.T) {
	play(t, func(f *fleet) {
		f.config(0, "k1")
		f.upstream("i-1", "plain", 0)
		f.start()
		q := alert("r1")
		require.Equal(t, 200, f.ask(q).status)
		slow := f.rawCall("POST /alert/x HTTP/1.1\r\nHost: a.exa")
		require.InDelta(t, 3, closedAfter(t, slow).Seconds(), 0.1, "header_timeout_ms is 3000")

		conn := f.rawCall(rawAlert("r2", "surge"))
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, resp.Body)
		require.NoError(t, err)
		require.InDelta(t, 15, closedAfter(t, conn).Seconds(), 0.1, "idle_timeout_ms is 15000")

		f.version++
		changed := strings.NewReplacer(`"header_timeout_ms":3000`, `"header_timeout_ms":1000`,
			`"idle_timeout_ms":15000`, `"idle_timeout_ms":4000`).Replace(fmt.Sprintf(configForm, f.version, `"k1"`, 0))
		require.NoError(t, f.store.PutConfig(changed))
		f.settle()
		require.InDelta(t, 4, closedAfter(t, f.rawCall("")).Seconds(), 0.1)
		require.InDelta(t, 1, closedAfter(t, f.rawCall("POST")).Seconds(), 0.1)
	})
}

// A caller's headers are larger than operators allow. It is told so and not retried;
// headers just below the bound pass.
func TestOperatorsBoundHeaderBytes(t *testing.T) {
	play(t, func(f *fleet) {
		f.config(0, "k1")
		u := f.upstream("i-1", "plain", 0)
		f.start()
		q := alert("r1")
		q.header = map[string]string{"X-Long": strings.Repeat("x", 17_000)}
		require.Equal(t, 431, f.ask(q).status)
		require.Empty(t, u.Seen())
		q.header = map[string]string{"X-Long": strings.Repeat("x", 15_000)}
		require.Equal(t, 200, f.ask(q).status)
	})
}
