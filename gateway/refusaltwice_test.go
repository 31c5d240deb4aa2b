package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/arbutusmill/arbutusmill/platform/standin"
	"github.com/stretchr/testify/require"
)

// refusal returns the bytes of a refusal, which states that the request did not run. An empty id is left out.
func refusal(status int, id string) string {
	text := fmt.Sprintf("HTTP/1.1 %d %s\r\n"+standin.HeaderNotRun+": 1\r\nContent-Length: 0\r\n", status, http.StatusText(status))
	if id != "" {
		text += standin.HeaderID + ": " + id + "\r\n"
	}
	return text + "\r\n"
}

// copyingUpstream is an upstream that sends copies of its refusals where the next response is expected.
type copyingUpstream struct {
	// incarnation is the one that it runs requests for; it refuses all others with status 421.
	incarnation string
	// refuses reports whether it refuses the n-th request that arrives, counted from 0, and with which status.
	refuses func(n int) (status int, refused bool)
	// withoutID leaves the id out of its refusals.
	withoutID bool

	ran []string
}

// serve handles a connection. A copy of a refusal is sent before the response to the next request.
func (c *copyingUpstream) serve(u *rawUpstream, conn net.Conn, in *bufio.Reader) {
	pending := ""
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body) // its content is irrelevant here
		id := u.recordRequest(r)
		_, _ = io.WriteString(conn, pending)
		pending = ""
		status, refused := c.refuses(len(u.receivedIDs()) - 1)
		if r.Header.Get(standin.HeaderInstance) != c.incarnation {
			status, refused = http.StatusMisdirectedRequest, true
		}
		if !refused {
			c.ran = append(c.ran, id)
			_, _ = io.WriteString(conn, signedResponse(id, "of "+id))
			continue
		}
		if c.withoutID {
			id = ""
		}
		pending = refusal(status, id)
		_, _ = io.WriteString(conn, pending)
	}
}

func refusesNone(int) (int, bool) { return 0, false }

// requireTrueRefusals requires that no request ran twice, and none ran whose caller was told that it did not.
func requireTrueRefusals(t *testing.T, ran []string, told map[string]response) {
	t.Helper()
	for id, resp := range told {
		runs := len(slices.DeleteFunc(slices.Clone(ran), func(r string) bool { return r != id }))
		require.LessOrEqual(t, runs, 1, "%s ran twice", id)
		switch resp.status {
		case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
			require.Zero(t, runs, "%s ran, and its caller got %d", id, resp.status)
		case http.StatusOK:
			require.Equal(t, "of "+id, resp.body)
		}
	}
}

// Guards against a copy of a refusal that answers a later attempt of the same request: the request is refused since its
// address is listed under an earlier incarnation, too, and goes on there under the running one. Believed, the copy makes
// the request run a second time at a further upstream.
func TestCopyOfARefusalDoesNotAnswerTheNextAttempt(t *testing.T) {
	const rounds = 10 // the choice between upstreams is random
	for round := range 2 * rounds {
		further := round >= rounds
		t.Run(fmt.Sprintf("round %d, further upstream %v", round%rounds, further), func(t *testing.T) {
			withFleet(t, func(f *fleet) {
				f.putConfig(0, "k1")
				up := &copyingUpstream{incarnation: "i-1", refuses: refusesNone}
				f.rawUpstream("i-1", up.serve)
				sound := &copyingUpstream{incarnation: "i-2", refuses: refusesNone}
				if further {
					f.rawUpstream("i-2", sound.serve)
				}
				f.start()
				told := map[string]response{}
				for n := range 8 {
					ended := fmt.Sprint("ended-", n)
					require.NoError(t, f.store.Register(ended, "plain", upstreamAddress("i-1"), "bergen", "ready", 6))
					f.settle()
					id := fmt.Sprint("r", n)
					told[id] = f.send(alert(id))
					require.NoError(t, f.store.Unregister(ended)) // a request is sent to four addresses at most
				}
				requireTrueRefusals(t, append(slices.Clone(up.ran), sound.ran...), told)
				for id, resp := range told {
					require.Equal(t, http.StatusOK, resp.status, "%s: %s", id, resp.body)
				}
			})
		})
	}
}

// Guards against a copy of a refusal that answers another request on the connection: with its id, which tells that it is
// a copy, and without one.
func TestCopyOfARefusalDoesNotAnswerAnotherRequest(t *testing.T) {
	for _, withoutID := range []bool{false, true} {
		for _, status := range []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest} {
			t.Run(fmt.Sprintf("%d without id %v", status, withoutID), func(t *testing.T) {
				withFleet(t, func(f *fleet) {
					f.putConfig(0, "k1")
					up := &copyingUpstream{incarnation: "i-1", withoutID: withoutID,
						refuses: func(n int) (int, bool) { return status, n%3 == 1 }}
					f.rawUpstream("i-1", up.serve)
					f.start()
					told := map[string]response{}
					for n := range 30 {
						id := fmt.Sprint("r", n)
						told[id] = f.send(alert(id))
						time.Sleep(10 * time.Millisecond)
					}
					requireTrueRefusals(t, up.ran, told)
					if withoutID {
						return // its refusals are believed only as the first response on a connection
					}
					for id, resp := range told {
						require.NotEqual(t, http.StatusBadGateway, resp.status, "%s: %s", id, resp.body)
					}
				})
			})
		}
	}
}

// Guards against a connection that stays in use after an extra response without a body: all further responses would
// reach the request after their own.
func TestExtraResponseEndsItsConnection(t *testing.T) {
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
				if id == "r1" {
					_, _ = io.WriteString(conn, refusal(http.StatusServiceUnavailable, "r0"))
				}
				time.Sleep(5 * time.Millisecond) // so that the extra response is read before the request's own
				_, _ = io.WriteString(conn, signedResponse(id, "of "+id))
			}
		})
		f.start()
		statuses := map[string]int{}
		for _, id := range []string{"r0", "r1", "r2", "r3"} {
			statuses[id] = f.send(alert(id)).status
		}
		require.Equal(t, map[string]int{"r0": 200, "r1": 502, "r2": 200, "r3": 200}, statuses)
	})
}

// Guards against a refusal that belongs to no request: an upstream sends one without an id, late, after a complete
// response. The next request on the connection runs.
func TestRefusalWithoutIDIsNotBelieved(t *testing.T) {
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
					_, _ = io.WriteString(conn, refusal(http.StatusServiceUnavailable, ""))
				}
				_, _ = io.WriteString(conn, signedResponse(id, "of "+id))
			}
		})
		f.start()
		told := map[string]response{}
		for n := range 6 {
			id := fmt.Sprint("r", n)
			told[id] = f.send(alert(id))
		}
		requireTrueRefusals(t, ran, told)
	})
}

// Guards against a caller that is told "may have run" for a refusal that cannot be a copy.
func TestRefusalWithoutIDIsBelievedOnANewConnection(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.putConfig(0, "k1")
		up := &copyingUpstream{incarnation: "i-1", withoutID: true,
			refuses: func(int) (int, bool) { return http.StatusServiceUnavailable, true }}
		f.rawUpstream("i-1", up.serve)
		f.start()
		require.Equal(t, http.StatusTooManyRequests, f.send(alert("r1")).status)
	})
}

// Guards against a copy of a refusal that answers the same request when its caller sends it again.
func TestCopyOfARefusalDoesNotAnswerARequestThatComesAgain(t *testing.T) {
	for name, kind := range map[string]func(id string) request{"unsafe": alert, "safe": level} {
		t.Run(name, func(t *testing.T) {
			withFleet(t, func(f *fleet) {
				f.putConfig(0, "k1")
				up := &copyingUpstream{incarnation: "i-1", refuses: func(n int) (int, bool) { return http.StatusServiceUnavailable, n%2 == 0 }}
				f.rawUpstream("i-1", up.serve)
				f.start()
				for n := range 10 {
					id := fmt.Sprint("r", n)
					require.Equal(t, http.StatusTooManyRequests, f.send(kind(id)).status)
					resp := f.send(kind(id))
					require.Equal(t, http.StatusOK, resp.status, resp.body)
				}
				require.Len(t, up.ran, 10)
			})
		})
	}
}
