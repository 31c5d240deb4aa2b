package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/arbutusmill/arbutusmill/platform/standin"
	"github.com/stretchr/testify/assert"
)

// brokenHeads returns heads of signed responses that no sound upstream sends, without the blank line. %s stands for the request's id.
func brokenHeads() map[string]string {
	heads := map[string]string{}
	const fields = standin.HeaderID + ": %s\r\n" + standin.HeaderSignature + ": s\r\n"
	for _, status := range []string{"000", "001", "099", "101", "199", "600", "999", "-20", "+99"} {
		heads["status "+status] = "HTTP/1.1 " + status + " OK\r\n" + fields
	}
	for _, version := range []string{"HTTP/0.9", "HTTP/2.0"} {
		heads[version] = version + " 200 OK\r\n" + fields
	}
	for _, line := range []string{
		"X Bad: v", "X-Bad : v", "X-Bad\t: v", "X\tBad: v", "X\x01Bad: v", "X\x7fBad: v", "X-B\xe4d: v", "X[Bad]: v", ": v", "X-Bad", "X-Bad: \x01",
		"Content-Length : 1", "Content Length: 1", "Transfer-Encoding : chunked",
	} {
		heads[fmt.Sprintf("line %q", line)] = "HTTP/1.1 200 OK\r\n" + fields + line + "\r\n"
	}
	heads["blank line after the status line"] = "HTTP/1.1 200 OK\r\n " + standin.HeaderSignature + ": s\r\n" + fields
	for _, line := range []string{" X-Bad: v", "\tX-Bad: v", " v", " "} {
		for name, informational := range map[string]string{"": "", " after an informational response": "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"} {
			heads[fmt.Sprintf("line %q%s", line, name)] = informational + "HTTP/1.1 200 OK\r\n" + fields + line + "\r\n"
		}
	}
	return heads
}

// Guards against responses with a broken head that reach the caller as the upstream's answer: with a status or a version that HTTP/1.1 does not
// have, or with a line that is no header field or that continues the one before it.
func TestBrokenHeadIsNoAnswer(t *testing.T) {
	for name, head := range brokenHeads() {
		for kind, newRequest := range map[string]func(id string) request{"once": alert, "twice": level, "stream": chat, "resumable stream": review} {
			for _, later := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, %s, later %t", name, kind, later), func(t *testing.T) {
					withFleet(t, func(f *fleet) {
						f.putConfig(0, "k1")
						service, body := "plain", "ok"
						if strings.Contains(kind, "stream") {
							service, body = "model", events(3)
						}
						u := f.rawUpstream("i-1", brokenAfter(later, head, body))
						f.register("i-1", service, "ready")
						f.start()
						if later {
							resp := f.send(newRequest("r0"))
							assert.Equal(t, body, resp.body)
							f.settle()
						}
						resp := f.send(newRequest("r"))
						assert.NoError(t, resp.err)
						assert.Equal(t, http.StatusBadGateway, resp.status)
						assert.Empty(t, resp.header.Values(standin.HeaderSignature))
						assert.Contains(t, u.receivedIDs(), "r")
					})
				})
			}
		}
	}
}

// brokenAfter answers the first request of a connection with a broken head, or, with later, the one after a whole response.
func brokenAfter(later bool, head, body string) func(u *rawUpstream, conn net.Conn, in *bufio.Reader) {
	return func(u *rawUpstream, conn net.Conn, in *bufio.Reader) {
		for first := true; ; first = false {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body) // its content is irrelevant here
			id := u.recordRequest(r)
			if !later || !first {
				_, _ = fmt.Fprintf(conn, head+"\r\n%s", id, body)
				return
			}
			_, _ = io.WriteString(conn, signedResponse(id, body))
		}
	}
}

// Guards against a request that may run again and ends with the broken response of its first upstream although another one answers.
func TestRequestGoesOnAfterABrokenHead(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.putConfig(0, "k1")
		broken := f.rawUpstream("i-1", func(u *rawUpstream, conn net.Conn, in *bufio.Reader) {
			if r, err := http.ReadRequest(in); err == nil {
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 000 OK\r\n"+standin.HeaderID+": %s\r\n"+standin.HeaderSignature+": s\r\n\r\n", u.recordRequest(r))
			}
		})
		f.upstream("i-2", "plain", 0)
		f.start()
		for n := range 10 {
			resp := f.send(level(fmt.Sprint("r", n)))
			assert.Equal(t, http.StatusOK, resp.status)
			assert.Equal(t, standin.PlainAnswer(fmt.Sprint("r", n)), resp.body)
		}
		assert.NotEmpty(t, broken.receivedIDs())
	})
}

// earlyAnswer answers each request, before its body was read, with a response without a length. Then it reads the body if it is sound, and
// ends the connection: unless all was read, the write of the body fails and the end of the response looks like an orderly one.
func earlyAnswer(body string, sound bool) func(u *rawUpstream, conn net.Conn, in *bufio.Reader) {
	return func(u *rawUpstream, conn net.Conn, in *bufio.Reader) {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, unframedResponse(u.recordRequest(r), body))
		if sound {
			_, _ = io.Copy(io.Discard, r.Body) // its content is irrelevant here
		}
	}
}

// Guards against a part of an answer that the caller gets as whole: an upstream answers a long upload at once, without a length, and resets
// the connection while the upload is still being written.
func TestAnswerThatIsResetDuringTheUploadIsNotWhole(t *testing.T) {
	for kind, newRequest := range map[string]func(id string) request{"once": alert, "twice": level, "stream": chat, "resumable stream": review} {
		for _, sound := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, sound %t", kind, sound), func(t *testing.T) {
				withFleet(t, func(f *fleet) {
					f.putConfig(0, "k1")
					service, body := "plain", "a body"
					if strings.Contains(kind, "stream") {
						service, body = "model", events(2)
					}
					f.rawUpstream("i-1", earlyAnswer(body, sound))
					f.register("i-1", service, "ready")
					f.start()
					for n := range 40 {
						req := newRequest(fmt.Sprint("r", n))
						req.body = strings.Repeat("x", 60_000)
						resp := f.send(req)
						whole := resp.err == nil && !resp.truncated && resp.status == http.StatusOK
						assert.Equal(t, sound, whole, "status %d, body %q", resp.status, resp.body)
						time.Sleep(100 * time.Millisecond) // the fleet's clock is virtual
					}
				})
			})
		}
	}
}
