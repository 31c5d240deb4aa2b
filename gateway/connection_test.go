package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/arbutusmill/arbutusmill/memnet"
	"github.com/arbutusmill/arbutusmill/platform/standin"
	"github.com/stretchr/testify/require"
)

// rawUpstream is an upstream of plain requests whose response bytes the test writes.
type rawUpstream struct {
	mu    sync.Mutex
	conns int
	ids   []string
}

// recordRequest records a request and returns its ID.
func (u *rawUpstream) recordRequest(r *http.Request) string {
	u.mu.Lock()
	defer u.mu.Unlock()
	id := r.Header.Get(standin.HeaderID)
	u.ids = append(u.ids, id)
	return id
}

func (u *rawUpstream) receivedIDs() []string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]string(nil), u.ids...)
}

func (u *rawUpstream) connections() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.conns
}

// rawUpstream registers an upstream that handles each of its connections with handle.
func (f *fleet) rawUpstream(id string, handle func(u *rawUpstream, conn net.Conn, in *bufio.Reader)) *rawUpstream {
	l, err := f.network.Listen("tcp", upstreamAddress(id))
	require.NoError(f.t, err)
	f.t.Cleanup(func() { _ = l.Close() })
	u := &rawUpstream{}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			u.mu.Lock()
			u.conns++
			u.mu.Unlock()
			go func() {
				defer func() { _ = conn.Close() }()
				handle(u, conn, bufio.NewReader(conn))
			}()
		}
	}()
	f.register(id, "plain", "ready")
	return u
}

// signedResponse returns the bytes of a complete response.
func signedResponse(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n"+standin.HeaderID+": %s\r\n"+standin.HeaderSignature+": s\r\n"+
		"Content-Length: %d\r\n\r\n%s", id, len(body), body)
}

// unframedResponse returns the beginning of a response without a length, which ends with its
// connection.
func unframedResponse(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n"+standin.HeaderID+": %s\r\n"+standin.HeaderSignature+": s\r\n"+
		"Connection: close\r\n\r\n%s", id, body)
}

// Guards against retries by the HTTP client itself, when an upstream closes an idle connection
// at the moment at which the next request arrives. A request that must not run twice could run
// twice, and retries would bypass the retry budget.
func TestStaleConnectionIsNotRetriedByTheClient(t *testing.T) {
	bare := request{path: "/alert/x", key: "k1", deadline: time.Second}
	get, keyed := bare, bare
	get.method = http.MethodGet
	keyed.header = map[string]string{"Idempotency-Key": "caller's own"}
	for name, req := range map[string]request{"get": get, "with a key": keyed} {
		t.Run(name, func(t *testing.T) {
			withFleet(t, func(f *fleet) {
				f.putConfig(0, "k1")
				u := f.rawUpstream("i-1", func(u *rawUpstream, conn net.Conn, in *bufio.Reader) {
					for n := range 2 {
						r, err := http.ReadRequest(in)
						if err != nil {
							return
						}
						_, _ = io.Copy(io.Discard, r.Body) // its content is irrelevant here
						id := u.recordRequest(r)
						if n == 1 {
							return
						}
						_, _ = io.WriteString(conn, signedResponse(id, "ok")) // the caller detects a failure
					}
				})
				f.start()
				req.id = "r1"
				require.Equal(t, 200, f.send(req).status)
				req.id = "r2"
				require.Equal(t, 502, f.send(req).status)
				require.Equal(t, []string{"r1", "r2"}, u.receivedIDs())
			})
		})
	}
}

// Guards against a request that is sent in the middle of an earlier body: an upstream answers
// before it has read a long body, keeps the connection open and reads on. The next request must
// use another connection.
func TestEarlyAnswerToALongBody(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.putConfig(0, "k1")
		const size = 60_000
		rest := make(chan []byte, 1)
		u := f.rawUpstream("i-1", func(u *rawUpstream, conn net.Conn, in *bufio.Reader) {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			id := u.recordRequest(r)
			if id != "r1" {
				_, _ = io.Copy(io.Discard, r.Body) // its content is irrelevant here
			}
			_, _ = io.WriteString(conn, signedResponse(id, "early")) // the caller detects a failure
			if id == "r1" {
				time.Sleep(200 * time.Millisecond)
				b, _ := io.ReadAll(in) // returns when the connection ends
				rest <- b
			}
		})
		f.start()
		req := alert("r1")
		req.body = strings.Repeat("x", size)
		require.Equal(t, 200, f.send(req).status)
		require.Equal(t, 200, f.send(alert("r2")).status)
		require.Equal(t, 2, u.connections())
		require.Empty(t, strings.Trim(string(<-rest), "x"), "only bytes of the first body")
	})
}

// Guards against a partial response that looks complete. A response without a length ends with
// its connection: after a proper close the caller gets it, after a reset the request must fail.
func TestAnswersWithoutLength(t *testing.T) {
	for _, broken := range []bool{false, true} {
		t.Run(fmt.Sprint("broken ", broken), func(t *testing.T) {
			withFleet(t, func(f *fleet) {
				f.putConfig(0, "k1")
				f.rawUpstream("i-1", func(u *rawUpstream, conn net.Conn, in *bufio.Reader) {
					r, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)                                              // closing the connection with unread bytes may lose the response
					_, _ = io.WriteString(conn, unframedResponse(u.recordRequest(r), "half of it")) // the caller detects a failure
					if broken {
						conn.(*memnet.Conn).Reset()
						return
					}
					_, _ = io.WriteString(conn, " and the rest")
				})
				f.start()
				resp := f.send(alert("r1"))
				if broken {
					require.Equal(t, 502, resp.status)
					return
				}
				require.Equal(t, 200, resp.status)
				require.Equal(t, "half of it and the rest", resp.body)
			})
		})
	}
}

// Guards against responses that reach the wrong caller: an upstream sends a second response to a
// request after the first, on the kept connection. It must be discarded, since the next request
// on that connection has another ID.
func TestSecondAnswerIsDiscarded(t *testing.T) {
	for _, late := range []time.Duration{0, 100 * time.Millisecond} {
		t.Run(late.String(), func(t *testing.T) {
			withFleet(t, func(f *fleet) {
				f.putConfig(0, "k1")
				f.rawUpstream("i-1", func(u *rawUpstream, conn net.Conn, in *bufio.Reader) {
					for {
						r, err := http.ReadRequest(in)
						if err != nil {
							return
						}
						_, _ = io.Copy(io.Discard, r.Body) // its content is irrelevant here
						id := u.recordRequest(r)
						_, _ = io.WriteString(conn, signedResponse(id, "of "+id))
						time.Sleep(late)
						_, _ = io.WriteString(conn, signedResponse(id, "of "+id))
					}
				})
				f.start()
				for n := range 4 {
					req := alert(fmt.Sprint("r", n))
					resp := f.send(req)
					if resp.status == 200 {
						require.Equal(t, "of "+req.id, resp.body)
					} else {
						require.Equal(t, 502, resp.status)
					}
				}
			})
		})
	}
}
