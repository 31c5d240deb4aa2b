package gateway_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/arbutusmill/arbutusmill/platform/standin"
	"github.com/stretchr/testify/require"
)

// Guards against requests that wait for a caller of another one: a caller that does not read the end of its stream kept the
// stream's connection reserved after net/http had given it to the next request.
func TestSlowCallerDoesNotDelayTheNextRequest(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.putConfig(0, "k1")
		f.rawUpstream("i-1", func(u *rawUpstream, conn net.Conn, in *bufio.Reader) {
			for {
				r, err := http.ReadRequest(in)
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, r.Body) // its content is irrelevant here
				_, _ = io.WriteString(conn, signedResponse(u.recordRequest(r), events(3)))
			}
		})
		require.NoError(t, f.store.Register("m-1", "model", upstreamAddress("i-1"), "bergen", "ready", 6))
		f.start()
		slow, err := f.network.Dial(context.Background(), "tcp", address(1, callersPort))
		require.NoError(t, err)
		defer func() { _ = slow.Close() }()
		_, err = fmt.Fprintf(slow, "POST /chat/x HTTP/1.1\r\nHost: a.example\r\n%s: slow\r\nApi-Key: k1\r\n%s: 1000,60\r\n%s: 6000\r\nContent-Length: 0\r\n\r\n",
			standin.HeaderID, standin.HeaderUsage, standin.HeaderDeadline)
		require.NoError(t, err)
		f.settle()
		resp := f.send(chat("next"))
		require.Less(t, resp.elapsed, time.Second, "status %d: %s", resp.status, resp.body)
		require.Equal(t, http.StatusOK, resp.status, resp.body)
	})
}
