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

// rawUpstream is an upstream of plain requests whose bytes a test writes itself.
type rawUpstream struct {
	mu    sync.Mutex
	conns int
	ids   []string
}

// request notes one and returns its id.
func (u *rawUpstream) request(r *http.Request) string {
	u.mu.Lock()
	defer u.mu.Unlock()
	id := r.Header.Get(standin.HeaderID)
	u.ids = append(u.ids, id)
	return id
}

func (u *rawUpstream) seen() []string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]string(nil), u.ids...)
}

func (u *rawUpstream) connections() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.conns
}

// rawUpstream registers an upstream that plays each of its connections.
func (f *fleet) rawUpstream(id string, play func(u *rawUpstream, conn net.Conn, in *bufio.Reader)) *rawUpstream {
	l, err := f.network.Listen("tcp", addressOf(id))
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
				play(u, conn, bufio.NewReader(conn))
			}()
		}
	}()
	f.register(id, "plain", "ready")
	return u
}

// signed is a whole answer.
func signed(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n"+standin.HeaderID+": %s\r\n"+standin.HeaderSignature+": s\r\n"+
		"Content-Length: %d\r\n\r\n%s", id, len(body), body)
}

// unframed is the beginning of an answer that has no length: its connection's end ends it.
func unframed(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n"+standin.HeaderID+": %s\r\n"+standin.HeaderSignature+": s\r\n"+
		"Connection: close\r\n\r\n%s", id, body)
}

// An upstream closes a kept connection at the moment at which the next request comes. The
// HTTP client would send the request once more by itself: a request that must not run
// twice could run twice, and repeats would pass the retry budget uncounted.
func TestStaleConnectionIsNotRepeatedByTheClient(t *testing.T) {
	bare := question{path: "/alert/x", key: "k1", deadline: time.Second}
	get, keyed := bare, bare
	get.method = http.MethodGet
	keyed.header = map[string]string{"Idempotency-Key": "caller's own"}
	for name, q := range map[string]question{"get": get, "with a key": keyed} {
		t.Run(name, func(t *testing.T) {
			play(t, func(f *fleet) {
				f.config(0, "k1")
				u := f.rawUpstream("i-1", func(u *rawUpstream, conn net.Conn, in *bufio.Reader) {
					for n := range 2 {
						req, err := http.ReadRequest(in)
						if err != nil {
							return
						}
						_, _ = io.Copy(io.Discard, req.Body) // its bytes do not matter here
						id := u.request(req)
						if n == 1 {
							return
						}
						_, _ = io.WriteString(conn, signed(id, "ok")) // a failure shows at the caller
					}
				})
				f.start()
				q.id = "r1"
				require.Equal(t, 200, f.ask(q).status)
				q.id = "r2"
				require.Equal(t, 502, f.ask(q).status)
				require.Equal(t, []string{"r1", "r2"}, u.seen())
			})
		})
	}
}

// An upstream answers before it has read a long body, keeps the connection and reads on.
// The next request must not come where the rest of that body is due.
func TestEarlyAnswerToALongBody(t *testing.T) {
	play(t, func(f *fleet) {
		f.config(0, "k1")
		const size = 60_000
		rest := make(chan []byte, 1)
		u := f.rawUpstream("i-1", func(u *rawUpstream, conn net.Conn, in *bufio.Reader) {
			req, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			id := u.request(req)
			if id != "r1" {
				_, _ = io.Copy(io.Discard, req.Body) // its bytes do not matter here
			}
			_, _ = io.WriteString(conn, signed(id, "early")) // a failure shows at the caller
			if id == "r1" {
				time.Sleep(200 * time.Millisecond)
				b, _ := io.ReadAll(in) // ends with the connection
				rest <- b
			}
		})
		f.start()
		q := alert("r1")
		q.body = strings.Repeat("x", size)
		require.Equal(t, 200, f.ask(q).status)
		require.Equal(t, 200, f.ask(alert("r2")).status)
		require.Equal(t, 2, u.connections())
		require.Empty(t, strings.Trim(string(<-rest), "x"), "only bytes of the first body")
	})
}

// An answer without a length ends with its connection. Whole, it reaches the caller; when
// the connection breaks instead, the part must not look whole.
func TestAnswersWithoutLength(t *testing.T) {
	for _, broken := range []bool{false, true} {
		t.Run(fmt.Sprint("broken ", broken), func(t *testing.T) {
			play(t, func(f *fleet) {
				f.config(0, "k1")
				f.rawUpstream("i-1", func(u *rawUpstream, conn net.Conn, in *bufio.Reader) {
					req, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, req.Body)                                // a close before its end may lose the answer
					_, _ = io.WriteString(conn, unframed(u.request(req), "half of it")) // a failure shows at the caller
					if broken {
						conn.(*memnet.Conn).Reset()
						return
					}
					_, _ = io.WriteString(conn, " and the rest")
				})
				f.start()
				a := f.ask(alert("r1"))
				if broken {
					require.Equal(t, 502, a.status)
					return
				}
				require.Equal(t, 200, a.status)
				require.Equal(t, "half of it and the rest", a.body)
			})
		})
	}
}

// An upstream sends a second answer to a request after the first, on the kept connection.
// It must reach nobody: the next request on that connection has another id.
func TestSecondAnswerReachesNobody(t *testing.T) {
	for _, late := range []time.Duration{0, 100 * time.Millisecond} {
		t.Run(late.String(), func(t *testing.T) {
			play(t, func(f *fleet) {
				f.config(0, "k1")
				f.rawUpstream("i-1", func(u *rawUpstream, conn net.Conn, in *bufio.Reader) {
					for {
						req, err := http.ReadRequest(in)
						if err != nil {
							return
						}
						_, _ = io.Copy(io.Discard, req.Body) // its bytes do not matter here
						id := u.request(req)
						_, _ = io.WriteString(conn, signed(id, "of "+id))
						time.Sleep(late)
						_, _ = io.WriteString(conn, signed(id, "of "+id))
					}
				})
				f.start()
				for n := range 4 {
					q := alert(fmt.Sprint("r", n))
					a := f.ask(q)
					if a.status == 200 {
						require.Equal(t, "of "+q.id, a.body)
					} else {
						require.Equal(t, 502, a.status)
					}
				}
			})
		})
	}
}
