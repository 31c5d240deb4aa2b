package gateway_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/arbutusmill/arbutusmill/gateway"
	"github.com/arbutusmill/arbutusmill/platform/standin"
	"github.com/stretchr/testify/require"
)

// A caller's request reaches the upstream unchanged, with the router's own headers and
// without the key; the answer is returned byte for byte.
func TestRequestAndAnswerPassUnchanged(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.putConfig(0, "k1")
		u := f.upstream("i-1", "plain", 0)
		f.start()
		req := alert("r1")
		req.header = map[string]string{standin.HeaderTeam: "somebody-else", "X-Own": "kept", "Kv-From": "10.0.0.1:80/1"}
		resp := f.send(req)
		require.Equal(t, 200, resp.status)
		require.Equal(t, standin.PlainAnswer("r1"), resp.body)
		require.Equal(t, "signature-of-i-1", resp.header.Get(standin.HeaderSignature))
		require.Equal(t, "r1", resp.header.Get(standin.HeaderID))
		seen := u.Requests()
		require.Len(t, seen, 1)
		require.Equal(t, "POST", seen[0].Method)
		require.Equal(t, "/alert/x?y=1", seen[0].URI)
		require.Equal(t, "surge", seen[0].Body)
		h := seen[0].Header
		require.Equal(t, "pilots", h.Get(standin.HeaderTeam))
		require.Equal(t, "i-1", h.Get(standin.HeaderInstance))
		require.Equal(t, "kept", h.Get("X-Own"))
		require.Equal(t, "1", h.Get(standin.HeaderRank))
		for _, name := range []string{"Api-Key", "Kv-From", "Accept-Encoding"} {
			require.Empty(t, h.Values(name), name)
		}
		require.Equal(t, "Go-http-client/1.1", h.Get("User-Agent"), "the caller's own value")
	})
}

// The longest prefix selects the route; unknown routes and keys are refused, public routes
// need no key.
func TestRoutesAndKeys(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.putConfig(0, "k1")
		f.upstream("i-1", "plain", 0)
		f.start()
		req := level("r1")
		req.key = "unknown"
		require.Equal(t, 401, f.send(req).status)
		req.path = "/other/x"
		require.Equal(t, 404, f.send(req).status)
		req.path = "/level/deep/x"
		require.Equal(t, 503, f.send(req).status, "public, and its service has no upstream")
	})
}

// Guards against a router that reports a key or route as unknown before it has read a
// configuration: callers would not retry a request that is allowed.
func TestNoConfigurationYet(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.store.SetUnresponsive(true)
		f.start()
		require.Equal(t, 503, f.send(level("r1")).status)
		require.Equal(t, 503, f.readyStatus())
		f.store.SetUnresponsive(false)
		f.putConfig(0, "k1")
		f.upstream("i-1", "plain", 0)
		time.Sleep(4 * time.Second)
		require.Equal(t, 200, f.readyStatus())
		require.Equal(t, 200, f.send(level("r2")).status)
	})
}

// A stream arrives event by event, and the remaining time is forwarded as the deadline.
func TestStreamPassesEventByEvent(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.putConfig(1_000_000, "k1")
		u := f.upstream("i-1", "model", 10)
		f.start()
		resp := f.send(chat("r1"))
		require.Equal(t, 200, resp.status)
		require.False(t, resp.truncated)
		require.Equal(t, events(10), resp.body)
		require.Equal(t, "6000", u.Requests()[0].Header.Get(standin.HeaderDeadline))
	})
}

// Guards against lost, repeated or partial events when an upstream breaks its connection in
// the middle of an event. The caller of a stream that may be resumed gets every event once:
// the second upstream continues after the last complete event.
func TestBrokenStreamIsResumed(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.putConfig(1_000_000, "k1")
		ups := []*standin.Upstream{f.upstream("i-1", "model", 10), f.upstream("i-2", "model", 10)}
		f.start()
		f.send(review("r0")) // finds the preferred upstream
		preferred := 0
		if len(ups[1].Requests()) > 0 {
			preferred = 1
		}
		ups[preferred].SetMode(standin.Truncate)
		resp := f.send(review("r1"))
		require.Equal(t, 200, resp.status)
		require.False(t, resp.truncated)
		require.Equal(t, events(10), resp.body)
		require.Equal(t, "signature-of-"+ups[preferred].ID, resp.header.Get(standin.HeaderSignature))
		require.Equal(t, "4", ups[1-preferred].Requests()[0].LastEvent)
	})
}

// Guards against a truncated stream that looks complete, and against a second run, when an
// upstream truncates a stream that must not run twice. The caller's connection must break too.
func TestBrokenStreamThatMustNotRunTwice(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.putConfig(1_000_000, "k1")
		ups := []*standin.Upstream{f.upstream("i-1", "model", 10), f.upstream("i-2", "model", 10)}
		f.start()
		for _, u := range ups {
			u.SetMode(standin.Truncate)
		}
		resp := f.send(chat("r1"))
		require.True(t, resp.truncated)
		require.Equal(t, 1, ups[0].Runs("r1")+ups[1].Runs("r1"))
	})
}

// Guards against unsafe requests that run twice, or that are reported as not run when they may
// have run, for each kind of upstream failure.
func TestFailuresByKind(t *testing.T) {
	cases := []struct {
		name    string
		mode    standin.Mode
		req     request
		status  int
		runs    int
		arrived int
	}{
		{"unsafe, answer lost", standin.LoseAnswer, alert("r"), 502, 1, 1},
		{"unsafe, cut answer", standin.Truncate, alert("r"), 502, 1, 1},
		{"unsafe, answer of another", standin.WrongID, alert("r"), 502, 1, 1},
		{"unsafe, no signature", standin.Unsigned, alert("r"), 502, 1, 1},
		{"unsafe, failed", standin.Fail, alert("r"), 500, 1, 1},
		{"unsafe, 503 without proof", standin.Full, alert("r"), 502, 1, 1},
		{"unsafe, declined by both", standin.Decline, alert("r"), 429, 0, 2},
		{"safe, answer lost by both", standin.LoseAnswer, level("r"), 502, 2, 2},
		{"safe, answers of another", standin.WrongID, level("r"), 502, 2, 2},
		{"safe, failed by both", standin.Fail, level("r"), 500, 2, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withFleet(t, func(f *fleet) {
				f.putConfig(0, "k1")
				ups := []*standin.Upstream{f.upstream("i-1", "plain", 0), f.upstream("i-2", "plain", 0)}
				f.start()
				for _, u := range ups {
					u.SetMode(c.mode)
				}
				resp := f.send(c.req)
				require.Equal(t, c.status, resp.status, resp.body)
				require.Equal(t, c.runs, ups[0].Runs("r")+ups[1].Runs("r"))
				require.Equal(t, c.arrived, len(ups[0].Requests())+len(ups[1].Requests()))
			})
		})
	}
}

// Guards against failures that a second upstream can prevent: when one of two upstreams fails,
// safe requests and requests that provably did not run are sent to the other one.
func TestRetryOnAnotherUpstream(t *testing.T) {
	for _, c := range []struct {
		mode standin.Mode
		req  request
	}{
		{standin.LoseAnswer, level("r")},
		{standin.Fail, level("r")},
		{standin.Decline, level("r")},
		{standin.Decline, alert("r")},
	} {
		t.Run(string(c.mode)+c.req.path, func(t *testing.T) {
			withFleet(t, func(f *fleet) {
				f.putConfig(0, "k1")
				bad, good := f.upstream("i-1", "plain", 0), f.upstream("i-2", "plain", 0)
				f.start()
				bad.SetMode(c.mode)
				for range 6 {
					require.Equal(t, 200, f.send(c.req).status)
				}
				require.NotEmpty(t, good.Requests())
			})
		})
	}
}

// Guards against requests that run at the wrong service after an upstream's address was
// reassigned. The process there rejects them as misdirected, and the request goes to an upstream
// of its own service.
func TestAddressReusedByAnotherUpstream(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.putConfig(0, "k1")
		f.upstream("i-1", "plain", 0)
		other := &standin.Upstream{ID: "i-9"}
		f.serve(upstreamAddress("i-2"), other)
		f.register("i-2", "plain", "ready")
		f.start()
		for range 60 {
			require.Equal(t, 200, f.send(alert("r")).status)
		}
		require.Empty(t, other.IDs())
		require.LessOrEqual(t, len(other.Requests()), 1, "it receives one attempt")
	})
}

// Guards against upstreams that keep working on a request whose caller disconnected: the
// upstream's connection is closed at once.
func TestCallerDisconnects(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.putConfig(1_000_000, "k1")
		u := f.upstream("i-1", "model", 100)
		f.start()
		ctx, cancel := context.WithTimeout(context.Background(), 95*time.Millisecond)
		defer cancel()
		req := chat("r1")
		req.ctx = ctx
		f.send(req)
		time.Sleep(100 * time.Millisecond)
		require.True(t, u.Requests()[0].CallerGone)
	})
}

// Guards against callers that wait beyond their route's timeout when an upstream does not
// answer.
func TestRouteTimeout(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.putConfig(0, "k1")
		f.upstream("i-1", "plain", 0).SetMode(standin.Hang)
		f.start()
		req := alert("r1")
		req.deadline = 5 * time.Second
		resp := f.send(req)
		require.Equal(t, 504, resp.status)
		require.InDelta(t, time.Second, resp.elapsed, float64(50*time.Millisecond))
	})
}

// Guards against an unresponsive upstream that uses up the whole timeout of a safe request: the
// request must go to another upstream while there is time left.
func TestUnresponsiveUpstreamLeavesTimeForAnother(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.putConfig(0, "k1")
		ups := []*standin.Upstream{f.upstream("i-1", "plain", 0), f.upstream("i-2", "plain", 0)}
		f.start()
		ups[0].SetMode(standin.Hang)
		for range 3 {
			require.Equal(t, 200, f.send(level("r")).status)
		}
	})
}

// Guards against unaccounted tokens: a team with a prepaid budget sends a request to an engine
// without the number of tokens that it may use. It must be refused.
func TestUndeclaredTokens(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.putConfig(1_000_000, "k1")
		u := f.upstream("i-1", "model", 5)
		f.start()
		req := chat("r")
		req.usage = ""
		require.Equal(t, 400, f.send(req).status)
		require.Empty(t, u.Requests())
	})
}

// Guards against a wrong status when a caller stops sending in the middle of its body: after the
// timeout, the response must state that the request did not run, not that it was invalid.
func TestIncompleteBody(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.putConfig(0, "k1")
		u := f.upstream("i-1", "plain", 0)
		f.start()
		conn, err := f.network.Dial(context.Background(), "tcp", address(1, callersPort))
		require.NoError(t, err)
		defer func() { _ = conn.Close() }()
		go func() {
			_, _ = io.WriteString(conn, "POST /alert/x HTTP/1.1\r\nHost: a.example\r\nApi-Key: k1\r\n"+
				standin.HeaderID+": r\r\nContent-Length: 100\r\n\r\nhalf")
		}()
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		require.NoError(t, err)
		defer func() { _ = resp.Body.Close() }()
		require.Equal(t, 429, resp.StatusCode)
		require.Empty(t, u.Requests())
	})
}

// Guards against retries beyond the caller's deadline: when a first attempt fails after a while,
// the second upstream must get the remaining time as its deadline, not the whole time again.
func TestRetryGetsTheRemainingTime(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.putConfig(0, "k1")
		ups := []*standin.Upstream{f.upstream("i-1", "plain", 0), f.upstream("i-2", "plain", 0)}
		f.start()
		for _, u := range ups {
			u.SetMode(standin.Hang)
		}
		f.send(level("r"))
		seen := append(ups[0].Requests(), ups[1].Requests()...)
		require.Len(t, seen, 2)
		var deadlines []int
		for _, s := range seen {
			ms, err := strconv.Atoi(s.Header.Get(standin.HeaderDeadline))
			require.NoError(t, err)
			deadlines = append(deadlines, ms)
		}
		slices.Sort(deadlines)
		require.InDelta(t, 500, deadlines[0], 20)
		require.InDelta(t, 1000, deadlines[1], 20)
	})
}

// Guards against bodies that exceed max_body_bytes: they are refused with 413 before anything is
// sent, and the largest allowed body passes complete.
func TestMaxBodyBytes(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.putConfig(0, "k1")
		u := f.upstream("i-1", "plain", 0)
		f.start()
		req := alert("r1")
		req.body = strings.Repeat("x", 65_537)
		require.Equal(t, 413, f.send(req).status)
		require.Empty(t, u.Requests())
		req.body = req.body[1:]
		require.Equal(t, 200, f.send(req).status)
		require.Equal(t, req.body, u.Requests()[0].Body)
	})
}

// Guards against streams whose delays cannot be explained: the log must report the longest gap
// between the events of a stream, and this router's load on the engine at that time.
func TestLogReportsTheLongestGap(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.putConfig(1_000_000, "k1")
		f.upstream("i-1", "model", 5)
		f.start()
		require.Equal(t, 200, f.send(chat("r-1")).status)
		require.Contains(t, f.log.String(), "whole, longest pause 10 ms beside 1 requests with 0 unread tokens")
	})
}

// Guards against overcharging when a caller requests up to 3,000 tokens of output and disconnects
// a quarter of a second into its stream. If all 3,000 are charged, other callers of the team are
// refused for tokens that were never delivered. Only the prompt, the forwarded events and what the
// upstream may send until it detects the closed connection are charged.
func TestDisconnectedCallerIsChargedForDeliveredTokens(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.putConfig(1_000_000, "k1")
		f.upstream("i-1", "model", 500)
		f.start()
		ctx, cancel := context.WithTimeout(context.Background(), 255*time.Millisecond)
		defer cancel()
		req := chat("r-1")
		req.ctx, req.usage = ctx, "1000,3000"
		f.send(req)
		time.Sleep(100 * time.Millisecond)
		const prompt, delivered, inFlight, perEvent = 1000, 26, 51, 3
		used := f.usedTokens("r-1")
		require.InDelta(t, prompt+(delivered+inFlight)*perEvent, used, 2*perEvent)
		require.GreaterOrEqual(t, used, int64(prompt+delivered*perEvent))
	})
}

// usedTokens returns the tokens that a request was charged, by its log line.
func (f *fleet) usedTokens(id string) (used int64) {
	for line := range strings.Lines(f.log.String()) {
		if _, rest, ok := strings.Cut(line, `"used":`); ok && strings.Contains(line, `"id":"`+id+`"`) {
			digits, _, _ := strings.Cut(rest, ",")
			n, err := strconv.ParseInt(digits, 10, 64)
			require.NoError(f.t, err)
			used = n
		}
	}
	return used
}

// Guards against a charge for attempts that upstreams declined: they did not run.
func TestDeclinedAttemptsAreNotCharged(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.putConfig(1_000_000, "k1")
		declines, serves := f.upstream("i-1", "model", 5), f.upstream("i-2", "model", 5)
		f.start()
		declines.SetMode(standin.Decline)
		for n := range 6 {
			id := fmt.Sprint("served-", n)
			require.Equal(t, 200, f.send(chat(id)).status)
			require.EqualValues(t, 1000+5*3, f.usedTokens(id))
		}
		require.NotEmpty(t, declines.Requests(), "some were declined first")
		serves.SetMode(standin.Decline)
		require.Equal(t, 429, f.send(chat("declined")).status)
		require.Zero(t, f.usedTokens("declined"))
	})
}

// Guards against a request without an id, to which any response without one would belong.
func TestRequestWithoutIDIsRefused(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.putConfig(0, "k1")
		u := f.upstream("i-1", "plain", 0)
		f.start()
		resp := f.send(alert(""))
		require.Equal(t, http.StatusBadRequest, resp.status, resp.body)
		require.Contains(t, resp.body, standin.HeaderID)
		require.Empty(t, u.Requests())
	})
}

// Guards against a changed path: net/http writes the scheme before one that begins with two slashes.
func TestPathReachesTheUpstreamUnchanged(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.template = strings.Replace(configTemplate, `"prefix":"/alert/"`, `"prefix":"/"`, 1)
		f.putConfig(0, "k1")
		u := f.upstream("i-1", "plain", 0)
		f.start()
		for n, path := range []string{"//x", "//alert/x?y=1&z=//", "///", "//a%2Fb/%20", "//x?", "/x//y?%zz", "/?", "//a:b@c/d;e"} {
			req := alert(fmt.Sprint("r", n))
			req.path = path
			require.Equal(t, http.StatusOK, f.send(req).status, path)
			require.Equal(t, path, u.Requests()[n].URI)
		}
	})
}

// Guards against a path that is sent on in another form.
func TestPathThatWouldBeChangedIsRefused(t *testing.T) {
	for uri, want := range map[string]bool{"//x": true, "//a\"b": false, "//a b": false, "/a\"b": true, "//%zz": false} {
		require.Equal(t, want, gateway.CanForward(uri), uri)
	}
}

// Guards against a team without tokens that is served without a limit.
func TestTeamWithoutTokensIsRefused(t *testing.T) {
	for tokens, status := range map[string]int{`"prepaid": 0%.0d`: http.StatusPaymentRequired, `"prepaid": -5%.0d`: http.StatusPaymentRequired, `"priority":1%.0d`: http.StatusOK} {
		withFleet(t, func(f *fleet) {
			f.template = strings.Replace(configTemplate, `"prepaid":%d`, tokens, 1)
			f.putConfig(0, "k1")
			f.upstream("i-1", "plain", 0)
			f.upstream("i-2", "model", 3)
			f.start()
			prompt := request{id: "r1", path: "/chat/x", key: "k1", usage: "100,9", deadline: 5 * time.Second}
			require.Equal(t, status, f.send(prompt).status, tokens)
			require.Equal(t, http.StatusOK, f.send(alert("r2")).status, "needs no tokens")
		})
	}
}
