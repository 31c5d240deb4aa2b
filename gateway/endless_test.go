package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/arbutusmill/arbutusmill/platform/standin"
	"github.com/stretchr/testify/require"
)

// signedHead begins a response to a request, with further header lines; its body ends with the connection.
func signedHead(status int, id, lines string) string {
	return fmt.Sprintf("HTTP/1.1 %d OK\r\n"+standin.HeaderID+": %s\r\n"+standin.HeaderSignature+": s\r\n%s", status, id, lines)
}

// endlessResponses are the ways in which an upstream answers without end: what precedes the part that it repeats.
var endlessResponses = map[string]struct {
	begin func(id string) string
	part  string
	pause time.Duration
}{
	"head":          {begin: func(id string) string { return signedHead(200, id, "") }, part: standin.EndlessHeadPart},
	"informational": {begin: func(string) string { return "" }, part: standin.EndlessInformational},
	"body":          {begin: func(id string) string { return signedHead(200, id, "\r\n") }, part: "0123456789abcdef"},
	"chunks": {begin: func(id string) string { return signedHead(200, id, "Transfer-Encoding: chunked\r\n\r\n") },
		part: "10\r\n0123456789abcdef\r\n"},
	"failure":   {begin: func(id string) string { return signedHead(500, id, "\r\n") }, part: "0123456789abcdef"},
	"slow head": {begin: func(id string) string { return signedHead(200, id, "") }, part: standin.EndlessHeadPart, pause: 20 * time.Millisecond},
	"slow body": {begin: func(id string) string { return signedHead(200, id, "\r\n") }, part: "x", pause: 20 * time.Millisecond},
	"event":     {begin: func(id string) string { return signedHead(200, id, "\r\ndata: ") }, part: "0123456789abcdef"},
}

// endlessUpstream registers an upstream that answers each request in such a way.
func (f *fleet) endlessUpstream(id, service, way string) (taken func() int64) {
	w := endlessResponses[way]
	var mu sync.Mutex
	var sent []*standin.Endless
	f.rawUpstream(id, func(u *rawUpstream, conn net.Conn, in *bufio.Reader) {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body) // its content is irrelevant here
		e := &standin.Endless{Begin: w.begin(u.recordRequest(r)), Part: w.part, Pause: w.pause}
		mu.Lock()
		sent = append(sent, e)
		mu.Unlock()
		e.Send(conn)
	})
	f.register(id, service, "ready")
	return func() (most int64) {
		mu.Lock()
		defer mu.Unlock()
		for _, e := range sent {
			most = max(most, e.Taken())
		}
		return most
	}
}

// Guards against an upstream that answers without end: the router keeps the bytes and runs out of memory, or waits for
// longer than the request has. The request ends as unknown, and further ones go to another upstream.
func TestResponseWithoutEnd(t *testing.T) {
	const (
		maxTaken     = 12 << 20 // a response of 8 MiB, and the framing of small chunks
		maxHeadTaken = 64 << 10
	)
	for way, w := range endlessResponses {
		t.Run(way, func(t *testing.T) {
			withFleet(t, func(f *fleet) {
				f.putConfig(1_000_000, "k1")
				service, send := "plain", alert
				if way == "event" {
					service, send = "model", chat
				}
				taken := f.endlessUpstream("i-1", service, way)
				f.start()
				began := time.Now()
				require.GreaterOrEqual(t, f.send(send("r")).status, 500)
				require.LessOrEqual(t, time.Since(began), 7*time.Second)
				time.Sleep(100 * time.Millisecond) // a slow stand-in sees the close at its next byte
				require.LessOrEqual(t, taken(), int64(maxTaken))
				if way == "head" || way == "informational" {
					require.LessOrEqual(t, taken(), int64(maxHeadTaken))
				}
				if w.pause == 0 {
					require.Equal(t, 1, strings.Count(f.log.String(), `"event":"response_too_long"`))
				}
				sound := f.upstream("i-2", service, 3)
				f.settle()
				require.Equal(t, 200, f.send(send("next")).status)
				require.Len(t, sound.Requests(), 1)
			})
		})
	}
}

// Guards against responses, and events of streams, that are each within their limit and together take the router's memory.
// Other callers still get theirs, also one of half a megabyte.
func TestSumOfLargeResponses(t *testing.T) {
	const callers = 100
	large := strings.Repeat("x", 900<<10)
	for service, send := range map[string]func(id string) request{"plain": alert, "model": chat} {
		t.Run(service, func(t *testing.T) {
			withFleet(t, func(f *fleet) {
				f.putConfig(1_000_000, "k1")
				f.rawUpstream("i-1", func(u *rawUpstream, conn net.Conn, in *bufio.Reader) {
					r, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body) // its content is irrelevant here
					id := u.recordRequest(r)
					switch id[0] {
					case 's':
						body := "data: " + large[:500<<10] + "\n\n"
						_, _ = io.WriteString(conn, signedHead(200, id, fmt.Sprintf("Connection: close\r\nContent-Length: %d\r\n\r\n", len(body)))+body)
						return
					case 'f':
						_, _ = io.WriteString(conn, signedHead(500, id, "\r\n")+large[:500<<10])
						return
					}
					_, _ = io.WriteString(conn, signedHead(200, id, "\r\ndata: ")+large)
					_, _ = io.Copy(io.Discard, in) // until the router closes
				})
				f.register("i-1", service, "ready")
				f.start()
				before := heapBytes()
				var wg sync.WaitGroup
				for n := range callers {
					wg.Go(func() { f.send(send(fmt.Sprint("r", n))) })
				}
				time.Sleep(500 * time.Millisecond)
				synctest.Wait()
				held := heapBytes() - before
				t.Logf("%d callers: %d MiB", callers, held>>20)
				require.Less(t, held, int64(48<<20), "a quarter of 128 MiB, and buffers")
				require.Equal(t, 200, f.send(send("sound")).status)
				wg.Wait()
				require.Positive(t, strings.Count(f.log.String(), `"event":"response_too_long"`))
				for n := range 100 { // all that was held was released
					require.Equal(t, 500, f.send(send(fmt.Sprint("failed-", n))).status)
					require.Equal(t, 200, f.send(send(fmt.Sprint("sound-", n))).status)
				}
			})
		})
	}
}

// heapBytes returns the size of the objects on the heap that are in use.
func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
