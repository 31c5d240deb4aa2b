package gateway_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a copy of a response that answers a later request with the same id.
func TestCopyOfAResponseDoesNotAnswerAnEqualID(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.putConfig(0, "k1")
		f.rawUpstream("i-1", func(u *rawUpstream, conn net.Conn, in *bufio.Reader) {
			pending := ""
			for {
				r, err := http.ReadRequest(in)
				if err != nil {
					return
				}
				body, _ := io.ReadAll(r.Body) // always complete here
				_, _ = io.WriteString(conn, pending)
				pending = signedResponse(u.recordRequest(r), "of "+string(body))
				_, _ = io.WriteString(conn, pending)
			}
		})
		f.start()
		for _, body := range []string{"one", "two"} {
			req := alert("equal")
			req.body = body
			require.Equal(t, "of "+body, f.send(req).body)
		}
	})
}
