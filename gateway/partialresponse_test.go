package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/arbutusmill/arbutusmill/platform/standin"
	"github.com/stretchr/testify/require"
)

// Guards against a part of an extra response, which ends inside a line of its head, that is taken with the head of the next response
// for one head: a request that ran would seem refused, or get the signature of another one.
func TestPartOfAnExtraResponseDoesNotChangeTheNext(t *testing.T) {
	parts := map[string]string{
		"status":   "HTTP/1.1 204 ",
		"header":   "HTTP/1.1 201 Created\r\nX-Node: a",
		"refusal":  "HTTP/1.1 503 Service Unavailable\r\n" + standin.HeaderNotRun + ": 1\r\nX-Node: a",
		"response": "HTTP/1.1 200 OK\r\n" + standin.HeaderSignature + ": other\r\nX-Node: a",
	}
	for name, part := range parts {
		t.Run(name, func(t *testing.T) {
			withFleet(t, func(f *fleet) {
				f.putConfig(0, "k1")
				var ran []string
				f.rawUpstream("i-1", func(u *rawUpstream, conn net.Conn, in *bufio.Reader) {
					for n := 0; ; n++ {
						r, err := http.ReadRequest(in)
						if err != nil {
							return
						}
						_, _ = io.Copy(io.Discard, r.Body) // its content is irrelevant here
						id := u.recordRequest(r)
						ran = append(ran, id)
						if n > 0 {
							_, _ = io.WriteString(conn, part)
						}
						_, _ = io.WriteString(conn, signedResponse(id, "of "+id))
					}
				})
				f.start()
				told := map[string]response{}
				for n := range 6 {
					id := fmt.Sprint("r", n)
					told[id] = f.send(alert(id))
					require.Contains(t, []int{http.StatusOK, http.StatusBadGateway}, told[id].status, id)
					if told[id].status == http.StatusOK {
						require.Equal(t, []string{"s"}, told[id].header.Values(standin.HeaderSignature), id)
					}
				}
				requireTrueRefusals(t, ran, told)
			})
		})
	}
}
