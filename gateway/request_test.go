package gateway_test

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/arbutusmill/arbutusmill/platform/standin"
	"github.com/stretchr/testify/require"
)

// A caller's request reaches the upstream unchanged, with the router's own headers and
// without the key; the answer comes back byte for byte.
func TestRequestAndAnswerPassUnchanged(t *testing.T) {
	play(t, func(f *fleet) {
		f.config(0, "k1")
		u := f.upstream("i-1", "plain", 0)
		f.start()
		q := alert("r1")
		q.header = map[string]string{standin.HeaderTeam: "somebody-else", "X-Own": "kept", "Kv-From": "10.0.0.1:80/1"}
		a := f.ask(q)
		require.Equal(t, 200, a.status)
		require.Equal(t, standin.PlainAnswer("r1"), a.body)
		require.Equal(t, "signature-of-i-1", a.header.Get(standin.HeaderSignature))
		require.Equal(t, "r1", a.header.Get(standin.HeaderID))
		seen := u.Seen()
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
		require.Equal(t, "Go-http-client/1.1", h.Get("User-Agent"), "the caller's own")
	})
}

// The longest prefix decides; unknown routes and keys are refused, public routes need
// no key.
func TestRoutesAndKeys(t *testing.T) {
	play(t, func(f *fleet) {
		f.config(0, "k1")
		f.upstream("i-1", "plain", 0)
		f.start()
		q := level("r1")
		q.key = "unknown"
		require.Equal(t, 401, f.ask(q).status)
		q.path = "/other/x"
		require.Equal(t, 404, f.ask(q).status)
		q.path = "/level/deep/x"
		require.Equal(t, 503, f.ask(q).status, "public, and its service has no upstream")
	})
}

// A router that has read no configuration yet cannot say that a key or route is
// unknown: callers would give up a request that is allowed.
func TestNoConfigurationYet(t *testing.T) {
	play(t, func(f *fleet) {
		f.store.SetSilent(true)
		f.start()
		require.Equal(t, 503, f.ask(level("r1")).status)
		require.Equal(t, 503, f.ready())
		f.store.SetSilent(false)
		f.config(0, "k1")
		f.upstream("i-1", "plain", 0)
		time.Sleep(4 * time.Second)
		require.Equal(t, 200, f.ready())
		require.Equal(t, 200, f.ask(level("r2")).status)
	})
}

// A stream arrives event by event, and the time left is handed on as the deadline.
func TestStreamPassesEventByEvent(t *testing.T) {
	play(t, func(f *fleet) {
		f.config(1_000_000, "k1")
		u := f.upstream("i-1", "model", 10)
		f.start()
		a := f.ask(chat("r1"))
		require.Equal(t, 200, a.status)
		require.False(t, a.cut)
		require.Equal(t, events(10), a.body)
		require.Equal(t, "6000", u.Seen()[0].Header.Get(standin.HeaderDeadline))
	})
}

// An upstream breaks its connection in the middle of an event. The caller of a stream
// that may be resumed gets every event once: the second upstream goes on after the last
// whole event, and no piece of the broken one comes between.
func TestBrokenStreamIsResumed(t *testing.T) {
	play(t, func(f *fleet) {
		f.config(1_000_000, "k1")
		ups := []*standin.Upstream{f.upstream("i-1", "model", 10), f.upstream("i-2", "model", 10)}
		f.start()
		f.ask(review("r0")) // finds the preferred upstream
		home := 0
		if len(ups[1].Seen()) > 0 {
			home = 1
		}
		ups[home].SetMode(standin.BreakOff)
		a := f.ask(review("r1"))
		require.Equal(t, 200, a.status)
		require.False(t, a.cut)
		require.Equal(t, events(10), a.body)
		require.Equal(t, "signature-of-"+ups[home].ID, a.header.Get(standin.HeaderSignature))
		require.Equal(t, "4", ups[1-home].Seen()[0].LastEvent)
	})
}

// An upstream breaks off a stream that must not run twice. The caller's connection is
// broken too, so that the part does not look whole, and nothing runs again.
func TestBrokenStreamThatMustNotRunTwice(t *testing.T) {
	play(t, func(f *fleet) {
		f.config(1_000_000, "k1")
		ups := []*standin.Upstream{f.upstream("i-1", "model", 10), f.upstream("i-2", "model", 10)}
		f.start()
		for _, u := range ups {
			u.SetMode(standin.BreakOff)
		}
		a := f.ask(chat("r1"))
		require.True(t, a.cut)
		require.Equal(t, 1, ups[0].Runs("r1")+ups[1].Runs("r1"))
	})
}

// What a failure of the upstream means for a caller, by the kind of request. Unsafe
// requests run at most once and are never said not to have run when they may have.
func TestFailuresByKind(t *testing.T) {
	cases := []struct {
		name    string
		mode    standin.Mode
		q       question
		status  int
		runs    int
		arrived int
	}{
		{"unsafe, answer lost", standin.LoseAnswer, alert("r"), 502, 1, 1},
		{"unsafe, cut answer", standin.BreakOff, alert("r"), 502, 1, 1},
		{"unsafe, answer of another", standin.Crossed, alert("r"), 502, 1, 1},
		{"unsafe, no signature", standin.Unsigned, alert("r"), 502, 1, 1},
		{"unsafe, failed", standin.Fail, alert("r"), 500, 1, 1},
		{"unsafe, 503 without proof", standin.Full, alert("r"), 502, 1, 1},
		{"unsafe, declined by both", standin.Decline, alert("r"), 429, 0, 2},
		{"safe, answer lost by both", standin.LoseAnswer, level("r"), 502, 2, 2},
		{"safe, answers of another", standin.Crossed, level("r"), 502, 2, 2},
		{"safe, failed by both", standin.Fail, level("r"), 500, 2, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			play(t, func(f *fleet) {
				f.config(0, "k1")
				ups := []*standin.Upstream{f.upstream("i-1", "plain", 0), f.upstream("i-2", "plain", 0)}
				f.start()
				for _, u := range ups {
					u.SetMode(c.mode)
				}
				a := f.ask(c.q)
				require.Equal(t, c.status, a.status, a.body)
				require.Equal(t, c.runs, ups[0].Runs("r")+ups[1].Runs("r"))
				require.Equal(t, c.arrived, len(ups[0].Seen())+len(ups[1].Seen()))
			})
		})
	}
}

// One of two upstreams fails. Safe requests are sent to the other one, and so are
// requests that were provably not run.
func TestOtherUpstreamHelps(t *testing.T) {
	for _, c := range []struct {
		mode standin.Mode
		q    question
	}{
		{standin.LoseAnswer, level("r")},
		{standin.Fail, level("r")},
		{standin.Decline, level("r")},
		{standin.Decline, alert("r")},
	} {
		t.Run(string(c.mode)+c.q.path, func(t *testing.T) {
			play(t, func(f *fleet) {
				f.config(0, "k1")
				bad, good := f.upstream("i-1", "plain", 0), f.upstream("i-2", "plain", 0)
				f.start()
				bad.SetMode(c.mode)
				for range 6 {
					require.Equal(t, 200, f.ask(c.q).status)
				}
				require.NotEmpty(t, good.Seen())
			})
		})
	}
}

// An upstream is gone and its address belongs to another one. The new process says that
// it is not the expected one, and the request goes to an upstream of its own service.
func TestAddressUsedAgainByAnother(t *testing.T) {
	play(t, func(f *fleet) {
		f.config(0, "k1")
		f.upstream("i-1", "plain", 0)
		other := &standin.Upstream{ID: "i-9"}
		f.serve(addressOf("i-2"), other)
		f.register("i-2", "plain", "ready")
		f.start()
		for range 60 {
			require.Equal(t, 200, f.ask(alert("r")).status)
		}
		require.Empty(t, other.IDs())
		require.LessOrEqual(t, len(other.Seen()), 1, "it is asked once")
	})
}

// A caller leaves while its request runs. The upstream's connection is closed at once,
// so that it stops working for nobody.
func TestCallerLeaves(t *testing.T) {
	play(t, func(f *fleet) {
		f.config(1_000_000, "k1")
		u := f.upstream("i-1", "model", 100)
		f.start()
		ctx, cancel := context.WithTimeout(context.Background(), 95*time.Millisecond)
		defer cancel()
		q := chat("r1")
		q.ctx = ctx
		f.ask(q)
		time.Sleep(100 * time.Millisecond)
		require.True(t, u.Seen()[0].Left)
	})
}

// An upstream answers nothing. The caller has its final answer when the time of its
// route is over, and not later.
func TestTimeOfRouteIsOver(t *testing.T) {
	play(t, func(f *fleet) {
		f.config(0, "k1")
		f.upstream("i-1", "plain", 0).SetMode(standin.Hang)
		f.start()
		q := alert("r1")
		q.deadline = 5 * time.Second
		a := f.ask(q)
		require.Equal(t, 504, a.status)
		require.InDelta(t, time.Second, a.took, float64(50*time.Millisecond))
	})
}

// A safe request at an upstream that answers nothing goes to another one while there is
// time left.
func TestSilentUpstreamLeavesTimeForAnother(t *testing.T) {
	play(t, func(f *fleet) {
		f.config(0, "k1")
		ups := []*standin.Upstream{f.upstream("i-1", "plain", 0), f.upstream("i-2", "plain", 0)}
		f.start()
		ups[0].SetMode(standin.Hang)
		for range 3 {
			require.Equal(t, 200, f.ask(level("r")).status)
		}
	})
}

// A team with a prepaid budget sends a request to an engine and does not say how many
// tokens it may take. Served, it would be spent from nothing.
func TestUndeclaredTokens(t *testing.T) {
	play(t, func(f *fleet) {
		f.config(1_000_000, "k1")
		u := f.upstream("i-1", "model", 5)
		f.start()
		q := chat("r")
		q.usage = ""
		require.Equal(t, 400, f.ask(q).status)
		require.Empty(t, u.Seen())
	})
}

// A caller stops in the middle of its body. When its time is over it is told that the
// request did not run, and not that the request was wrong.
func TestBodyThatStops(t *testing.T) {
	play(t, func(f *fleet) {
		f.config(0, "k1")
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
		require.Empty(t, u.Seen())
	})
}

// A first send fails after a while and the request goes to another upstream. What that gets
// as its deadline is what is left for the caller, not the caller's whole time once more.
func TestRepeatGetsTheTimeThatIsLeft(t *testing.T) {
	play(t, func(f *fleet) {
		f.config(0, "k1")
		ups := []*standin.Upstream{f.upstream("i-1", "plain", 0), f.upstream("i-2", "plain", 0)}
		f.start()
		for _, u := range ups {
			u.SetMode(standin.Hang)
		}
		f.ask(level("r"))
		seen := append(ups[0].Seen(), ups[1].Seen()...)
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

// A body is larger than operators allow. The caller is told so before anything is sent, and
// the largest body that is allowed passes whole.
func TestOperatorsBoundBodies(t *testing.T) {
	play(t, func(f *fleet) {
		f.config(0, "k1")
		u := f.upstream("i-1", "plain", 0)
		f.start()
		q := alert("r1")
		q.body = strings.Repeat("x", 65_537)
		require.Equal(t, 413, f.ask(q).status)
		require.Empty(t, u.Seen())
		q.body = q.body[1:]
		require.Equal(t, 200, f.ask(q).status)
		require.Equal(t, q.body, u.Seen()[0].Body)
	})
}

// A caller's stream comes late although it began in time. The log tells the longest pause
// between its events, and what this router had at the engine then.
func TestLogTellsTheLongestPause(t *testing.T) {
	play(t, func(f *fleet) {
		f.config(1_000_000, "k1")
		f.upstream("i-1", "model", 5)
		f.start()
		require.Equal(t, 200, f.ask(chat("r-1")).status)
		require.Contains(t, f.log.String(), "whole, longest pause 10 ms beside 1 requests with 0 unread tokens")
	})
}

// A caller asks for up to 3,000 tokens of output and leaves a quarter of a second into its
// stream. Charged for all 3,000, such callers took what their team had paid for, and others of
// the team were refused for tokens that nobody got. Charged are the prompt, what was passed
// on, and what the upstream may send until it learns that the connection is closed.
func TestCallerWhoLeavesIsChargedWhatWasDelivered(t *testing.T) {
	play(t, func(f *fleet) {
		f.config(1_000_000, "k1")
		f.upstream("i-1", "model", 500)
		f.start()
		ctx, cancel := context.WithTimeout(context.Background(), 255*time.Millisecond)
		defer cancel()
		q := chat("r-1")
		q.ctx, q.usage = ctx, "1000,3000"
		f.ask(q)
		time.Sleep(100 * time.Millisecond)
		const prompt, delivered, onTheWay, perEvent = 1000, 26, 51, 3
		used := int64(0)
		for line := range strings.Lines(f.log.String()) {
			if _, rest, ok := strings.Cut(line, `"used":`); ok && strings.Contains(line, `"id":"r-1"`) {
				digits, _, _ := strings.Cut(rest, ",")
				n, err := strconv.ParseInt(digits, 10, 64)
				require.NoError(t, err)
				used = n
			}
		}
		require.InDelta(t, prompt+(delivered+onTheWay)*perEvent, used, 2*perEvent)
		require.GreaterOrEqual(t, used, int64(prompt+delivered*perEvent))
	})
}
