package agent

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/arbutusmill/arbutusmill/bounded"
	"github.com/arbutusmill/arbutusmill/coord/virtualtime"
	"github.com/arbutusmill/arbutusmill/memnet"
	"github.com/stretchr/testify/require"
)

// Guards against an engine's response whose head ended in the middle and that counts as a success, after any byte of the head, as the
// first and as a later response of its connection.
func TestHeadOfAnEngineThatEndsInTheMiddleIsAnError(t *testing.T) {
	const body = `{"usage":{"completion_tokens":3}}`
	for _, framing := range []string{fmt.Sprintf("Content-Length: %d", len(body)), "Transfer-Encoding: chunked", "Connection: close"} {
		head := "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n" + framing + "\r\nX-Node: a\r\n\r\n"
		for _, later := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, later %t", framing, later), func(t *testing.T) {
				for cut := range len(head) {
					virtualtime.Test(t, func(t *testing.T) { requireHeadError(t, head[:cut], later) })
				}
			})
		}
	}
}

// Guards against a response of an engine that counts as a success although HTTP does not allow its head.
func TestBrokenHeadOfAnEngineIsAnError(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 000 OK\r\n", "HTTP/1.1 101 OK\r\n", "HTTP/1.1 600 OK\r\n", "HTTP/2.0 200 OK\r\n", "HTTP/1.1 200 OK\r\nX Bad: v\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n", "HTTP/1.1 200 OK\r\nX-Bad\x01: v\r\n", "HTTP/1.1 200 OK\r\nX-Node: a\r\n b\r\n",
	} {
		for _, later := range []bool{false, true} {
			t.Run(fmt.Sprintf("%q, later %t", head, later), func(t *testing.T) {
				virtualtime.Test(t, func(t *testing.T) { requireHeadError(t, head+"\r\n{}", later) })
			})
		}
	}
}

// requireHeadError requires an error of the request to which an engine answers with a part of a head; with later, the connection has carried
// a whole response before.
func requireHeadError(t *testing.T, part string, later bool) {
	var network memnet.Network
	l, err := network.Listen("tcp", "engine:80")
	require.NoError(t, err)
	defer l.Close()
	const whole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			in := bufio.NewReader(conn)
			for n := 0; ; n++ {
				r, err := http.ReadRequest(in)
				if err != nil {
					break
				}
				_, _ = io.Copy(io.Discard, r.Body) // its content is irrelevant here
				if !later || n > 0 {
					_, _ = io.WriteString(conn, part)
					break
				}
				_, _ = io.WriteString(conn, whole)
			}
			_ = conn.Close()
		}
	}()
	transport := bounded.Transport(&http.Transport{DialContext: network.Dial})
	defer transport.CloseIdleConnections()
	u := &upstreamClient{url: "http://engine:80", client: &http.Client{Transport: transport}}
	call := func() (*http.Response, error) {
		return u.call(t.Context(), &http.Request{Method: http.MethodPost, Header: http.Header{}, ContentLength: 5, Body: io.NopCloser(strings.NewReader("tide?"))}, "/chat")
	}
	if later {
		resp, err := call()
		require.NoError(t, err)
		_, err = io.ReadAll(resp.Body)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
	}
	_, err = call()
	require.Error(t, err, "after %q", part)
}

// Guards against a part of an engine's response that counts as whole: the engine answers at once, without a length, and ends the connection
// while the request is still being written.
func TestResponseOfAnEngineThatEndsDuringTheUploadIsAnError(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		var network memnet.Network
		l, err := network.Listen("tcp", "engine:80")
		require.NoError(t, err)
		defer l.Close()
		go func() {
			for conn, err := l.Accept(); err == nil; conn, err = l.Accept() {
				_, _ = http.ReadRequest(bufio.NewReader(conn)) // the client sends no other
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n{}")
				_ = conn.Close()
			}
		}()
		u := &upstreamClient{url: "http://engine:80", client: &http.Client{Transport: bounded.Transport(&http.Transport{DialContext: network.Dial})}}
		defer u.client.CloseIdleConnections()
		for range 40 {
			body := strings.NewReader(strings.Repeat("x", 60_000))
			resp, err := u.call(t.Context(), &http.Request{Method: http.MethodPost, Header: http.Header{}, ContentLength: body.Size(), Body: io.NopCloser(body)}, "/chat")
			if err != nil {
				continue // the write failed first
			}
			_, err = io.ReadAll(resp.Body)
			require.Error(t, err)
			require.NoError(t, resp.Body.Close())
		}
	})
}
