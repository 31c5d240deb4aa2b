package gateway

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"github.com/arbutusmill/arbutusmill/coord/virtualtime"
	"github.com/stretchr/testify/require"
)

// takeConn calls the hook that the transport calls when it gives a connection to a request.
func takeConn(u *connUse, conn net.Conn) {
	httptrace.ContextClientTrace(u.trace(context.Background())).GotConn(httptrace.GotConnInfo{Conn: conn})
}

// Guards against a request on a connection whose last response is not judged yet: net/http gives a connection away
// before the response without a body reaches the request that it was for.
func TestConnectionIsTakenAfterItsLastResponseWasJudged(t *testing.T) {
	for _, keep := range []bool{true, false} {
		virtualtime.Test(t, func(t *testing.T) {
			near, far := net.Pipe()
			defer far.Close()
			dial := upstreamDialer(func(context.Context, string, string) (net.Conn, error) { return near, nil })
			conn, err := dial(context.Background(), "tcp", "10.2.0.1:80")
			require.NoError(t, err)
			first, second := connUse{id: "r1"}, connUse{id: "r2"}
			takeConn(&first, conn)
			var taken atomic.Bool
			go func() {
				takeConn(&second, conn)
				taken.Store(true)
			}()
			synctest.Wait()
			require.False(t, taken.Load(), "before the judgement")
			first.end(keep)
			synctest.Wait()
			require.True(t, taken.Load())
			require.Equal(t, keep, second.connected())
			require.Equal(t, !keep, second.refused)
			if !keep {
				_, err := conn.Write([]byte("x"))
				require.Error(t, err, "nothing is written after the judgement")
			}
			second.end(false)
		})
	}
}
