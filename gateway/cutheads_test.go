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

	"github.com/arbutusmill/arbutusmill/platform/standin"
	"github.com/stretchr/testify/assert"
)

// framings are the ways in which a response says where its body ends.
var framings = map[string]func(body string) (header, framed string){
	"length": func(body string) (string, string) { return fmt.Sprintf("Content-Length: %d\r\n", len(body)), body },
	"chunks": func(body string) (string, string) {
		return "Transfer-Encoding: chunked\r\n", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	},
	"end of the connection": func(body string) (string, string) { return "Connection: close\r\n", body },
}

// cutUpstream answers each request with a part of a response, up to a byte that moves on with each response, and closes the connection. If
// later is set, it answers the first request of each connection with the whole response.
type cutUpstream struct {
	framing func(body string) (header, framed string)
	body    string
	later   bool
	mu      sync.Mutex
	cut     int
	// headBytes is the size of the last head, cuts the number of responses that ended inside the head.
	headBytes, cuts int
}

func (c *cutUpstream) handle(u *rawUpstream, conn net.Conn, in *bufio.Reader) {
	for n := 0; ; n++ {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body) // its content is irrelevant here
		response, whole := c.next(u.recordRequest(r), n)
		_, _ = io.WriteString(conn, response)
		if !whole {
			return
		}
	}
}

// next returns the next response, and whether it is whole.
func (c *cutUpstream) next(id string, exchange int) (response string, whole bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	header, framed := c.framing(c.body)
	kind := ""
	if strings.HasPrefix(c.body, "id:") {
		kind = "Content-Type: text/event-stream\r\n"
	}
	// The fields that make a response count come first, the blank line last.
	head := "HTTP/1.1 200 OK\r\n" + standin.HeaderID + ": " + id + "\r\n" + standin.HeaderSignature + ": s\r\n" + kind + header + "X-Node: a\r\n\r\n"
	if c.later && exchange == 0 && !strings.Contains(header, "close") {
		return head + framed, true
	}
	c.headBytes = len(head)
	c.cut = (c.cut + 1) % len(head)
	c.cuts++
	return head[:c.cut], false
}

// Guards against a response whose head ended in the middle and that reaches the caller as a success, with an empty or short body that
// looks whole: ended after any byte of the head, as the first or a later response of its connection, plain and streamed, to requests that may
// run once or twice.
func TestHeadThatEndsInTheMiddleIsNoSuccess(t *testing.T) {
	requests := map[string]func(id string) request{"once": alert, "twice": level, "stream": chat, "resumable stream": review}
	for framing, frame := range framings {
		for name, newRequest := range requests {
			for _, later := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, %s, later %t", name, framing, later), func(t *testing.T) {
					withFleet(t, func(f *fleet) {
						c := &cutUpstream{framing: frame, body: "a whole body", later: later}
						service := "plain"
						if strings.Contains(name, "stream") {
							c.body, service = events(3), "model"
						}
						f.putConfig(0, "k1")
						f.rawUpstream("i-1", c.handle)
						f.register("i-1", service, "ready")
						f.start()
						for n := 0; c.headBytes == 0 || c.cuts < c.headBytes; n++ {
							resp := f.send(newRequest(fmt.Sprint("r", n)))
							if resp.err == nil && !resp.truncated && resp.status < 300 {
								assert.Equal(t, c.body, resp.body, "cut after %d bytes", c.cut)
							}
							if n > 3000 {
								t.Fatalf("only %d of %d responses were cut", c.cuts, c.headBytes)
							}
							f.settle()
						}
					})
				})
			}
		}
	}
}
