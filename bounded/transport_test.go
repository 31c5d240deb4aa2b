package bounded_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/iotest"

	"github.com/arbutusmill/arbutusmill/bounded"
	"github.com/stretchr/testify/require"
)

// readerConn is a connection of which a reader of its own reads.
type readerConn struct {
	net.Conn
	in io.Reader
}

func (c readerConn) Read(b []byte) (int, error) { return c.in.Read(b) }

// dialPeer returns a dial function to a peer that answers each request with the same bytes, and counts the connections. reader returns the
// reader of a connection.
func dialPeer(answer string, reader func(io.Reader) io.Reader, conns *int) func(context.Context, string, string) (net.Conn, error) {
	return func(context.Context, string, string) (net.Conn, error) {
		*conns++
		client, server := net.Pipe()
		go func() {
			in := bufio.NewReader(server)
			for {
				if _, err := http.ReadRequest(in); err != nil {
					return
				}
				_, _ = io.WriteString(server, answer) // an error shows at the other end
			}
		}()
		return readerConn{client, reader(client)}, nil
	}
}

// Guards against sound responses that are rejected, and against a connection that is used again after a broken one.
func TestSoundResponsesShareAConnection(t *testing.T) {
	for answer, sound := range map[string]bool{
		"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\n v\r\n w":                                                     true,
		"HTTP/1.1 200 OK\nContent-Length: 2\n\n v":                                                                 true,
		"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 204 No Content\r\nA:\r\nB:  v\r\n\r\n":             true,
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 599 Last\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n v\r\n0\r\n\r\n": true,
		"HTTP/1.1 204 No Content\r\nA: v\r\n w\r\n\r\n":                                                            false,
		"HTTP/1.1 204 No Content\nA: v\n\tw\n\n":                                                                   false,
		"HTTP/1.1 099 No Content\r\nContent-Length: 0\r\n\r\n":                                                     false,
		"HTTP/1.1 204 No Content\r\nA B: v\r\n\r\n":                                                                false,
	} {
		for name, reader := range map[string]func(io.Reader) io.Reader{"whole": func(r io.Reader) io.Reader { return r }, "by bytes": iotest.OneByteReader} {
			t.Run(fmt.Sprintf("%q %s", answer, name), func(t *testing.T) {
				conns := 0
				client := http.Client{Transport: bounded.Transport(&http.Transport{DialContext: dialPeer(answer, reader, &conns)})}
				defer client.CloseIdleConnections()
				for range 3 {
					requireSound(t, &client, sound)
				}
				require.Equal(t, map[bool]int{true: 1, false: 3}[sound], conns)
			})
		}
	}
}

// requireSound requires a whole response, or none if it is not sound.
func requireSound(t *testing.T, client *http.Client, sound bool) {
	resp, err := client.Get("http://peer:80/")
	require.Equal(t, sound, err == nil, "%v", err)
	if !sound {
		return
	}
	_, err = io.Copy(io.Discard, resp.Body)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
}
