package bounded_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/iotest"
	"testing/synctest"

	"github.com/arbutusmill/arbutusmill/bounded"
	"github.com/arbutusmill/arbutusmill/coord/virtualtime"
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
		"HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09azAZ: v\r\nContent-Length: 0\r\n\r\n":                                 true,
		"HTTP/1.1 299 Unknown\r\nContent-Length: 2\r\n\r\nok":                                                      true,
		"HTTP/1.1 418 Unknown\r\nContent-Length: 2\r\n\r\nok":                                                      true,
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

// peerEnds are the ways in which a peer ends the connection on which it answered an upload early, without a length.
var peerEnds = map[string]struct {
	// read is how much of the upload it reads before, reset whether it resets the connection.
	read  int64
	reset bool
	whole bool
}{
	"reset during the upload":  {read: 1 << 20, reset: true},
	"closed with bytes unread": {read: 1 << 20},
	"reset before the upload":  {reset: true},
	"reset after the upload":   {read: uploadBytes, reset: true},
	"closed after the upload":  {read: uploadBytes, whole: true},
}

// uploadBytes is the size of an upload. It is larger than what sockets buffer.
const uploadBytes = 8 << 20

// Guards against a part of a response without a length that counts as whole: a reset during the upload is reported to the write, and the
// reads after it return a plain end.
func TestResponseThatIsResetDuringTheUploadIsAnError(t *testing.T) {
	for name, end := range peerEnds {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer l.Close()
			go func() {
				for conn, err := l.Accept(); err == nil; conn, err = l.Accept() {
					in := bufio.NewReader(conn)
					_, _ = http.ReadRequest(in) // the client sends no other
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\na part")
					_, _ = io.CopyN(io.Discard, in, end.read) // an error shows at the other end
					if end.reset {
						_ = conn.(*net.TCPConn).SetLinger(0)
					}
					_ = conn.Close()
				}
			}()
			client := http.Client{Transport: bounded.Transport(&http.Transport{})}
			for range 30 {
				require.Equal(t, end.whole, upload(&client, l.Addr().String()) == nil)
			}
		})
	}
}

// upload sends a body and returns an error unless it gets a whole response.
func upload(client *http.Client, address string) error {
	body := io.MultiReader(bytes.NewReader(make([]byte, uploadBytes))) // net/http cannot send it again
	req, err := http.NewRequest(http.MethodPost, "http://"+address, body)
	if err != nil {
		return err
	}
	req.ContentLength = uploadBytes
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

// Guards against a response without a length that counts as whole although its peer closed the connection while the sender of the upload paused.
func TestResponseEndsAfterItsRequest(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		rest, restWriter := io.Pipe()
		client := http.Client{Transport: bounded.Transport(&http.Transport{DialContext: func(context.Context, string, string) (net.Conn, error) {
			client, server := net.Pipe()
			go func() {
				_, _ = http.ReadRequest(bufio.NewReader(server)) // the client sends no other
				_, _ = io.WriteString(server, "HTTP/1.1 200 OK\r\n\r\na part")
				_ = server.Close()
			}()
			return client, nil
		}})}
		resp, err := client.Post("http://peer:80/", "text/plain", rest)
		require.NoError(t, err)
		defer resp.Body.Close()
		ended := make(chan error, 1)
		go func() {
			_, err := io.Copy(io.Discard, resp.Body)
			ended <- err
		}()
		synctest.Wait()
		require.Empty(t, ended)
		_, _ = io.WriteString(restWriter, "the rest") // an error shows at the other end
		require.Error(t, <-ended)
	})
}
