package process

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/arbutusmill/arbutusmill/coord/virtualtime"
	"github.com/arbutusmill/arbutusmill/memnet"
	"github.com/stretchr/testify/require"
)

// Guards against truncated responses in a planned stop: the handler of a stream has returned, but
// the end of its response is still unwritten since the VM is busy or the caller's connection is
// slow. Closing the server at that point gives the caller "unexpected EOF".
func TestResponseCompletesWhenProcessStops(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		var network memnet.Network
		l, err := network.Listen("tcp", "10.1.0.1:80")
		require.NoError(t, err)
		ctx, cancel := context.WithCancel(t.Context())
		tasks := NewTaskGroup(ctx)
		returned := make(chan struct{})
		s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			defer close(returned)
			_, _ = io.WriteString(w, "first,") // read by the caller below
			_ = http.NewResponseController(w).Flush()
			_, _ = io.WriteString(w, "last")
		})}
		tasks.Serve(s, l, nil)
		conn, err := network.Dial(ctx, "tcp", "10.1.0.1:80")
		require.NoError(t, err)
		_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
		require.NoError(t, err)
		received := readUntil(t, conn, "first,\r\n")
		<-returned
		rest := make(chan string, 1)
		go func() {
			synctest.Wait() // the process is stopping
			rest <- readBody(io.MultiReader(strings.NewReader(received), conn))
		}()
		ShutdownServer(s)
		cancel()
		tasks.Wait()
		require.Equal(t, "first,last", <-rest)
	})
}

// readUntil reads byte by byte, so that it consumes nothing after end.
func readUntil(t *testing.T, r io.Reader, end string) string {
	var b []byte
	for !strings.HasSuffix(string(b), end) {
		one := make([]byte, 1)
		_, err := io.ReadFull(r, one)
		require.NoError(t, err)
		b = append(b, one...)
	}
	return string(b)
}

// readBody returns the body of a response, or the text of the error that interrupted it.
func readBody(r io.Reader) string {
	resp, err := http.ReadResponse(bufio.NewReader(r), nil)
	if err != nil {
		return err.Error()
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return err.Error()
	}
	return string(body)
}
