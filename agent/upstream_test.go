package agent

import (
	"bytes"
	"io"
	"net/http"
	"testing"
	"testing/synctest"

	"github.com/arbutusmill/arbutusmill/coord/virtualtime"
	"github.com/arbutusmill/arbutusmill/memnet"
	"github.com/stretchr/testify/require"
)

// closedAfter is the body of a router's request, as the server leaves it once the answer has
// begun: what was read is fine, one more read fails.
type closedAfter struct{ rest *bytes.Reader }

func (c closedAfter) Read(b []byte) (int, error) {
	if c.rest.Len() == 0 {
		return 0, http.ErrBodyReadAfterClose
	}
	return c.rest.Read(b)
}

// On a busy VM the engine's first events are on their way to the caller before the agent has
// looked for the end of the request's body. The server has closed that body by then, so the look
// fails, and the agent's client closes the connection to the engine: "ended" "why":"use of closed
// network connection", and the caller's stream breaks off after a few words. A body of known
// length needs no such look.
func TestStreamOutlivesItsRequestsBody(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		var network memnet.Network
		l, err := network.Listen("tcp", "engine:80")
		require.NoError(t, err)
		goOn := make(chan struct{})
		s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.ReadAll(r.Body) // an error shows at the other end
			_, _ = io.WriteString(w, "first,")
			_ = http.NewResponseController(w).Flush()
			<-goOn
			_, _ = io.WriteString(w, "last")
		})}
		go func() { _ = s.Serve(l) }() // ends with Close
		defer func() { _ = s.Close() }()
		transport := &http.Transport{DialContext: network.Dial}
		defer transport.CloseIdleConnections()
		u := &upstreamCaller{url: "http://engine:80", client: &http.Client{Transport: transport}}
		r := &http.Request{Method: http.MethodPost, Header: http.Header{}, ContentLength: 5,
			Body: io.NopCloser(closedAfter{bytes.NewReader([]byte("tide?"))})}

		resp, err := u.call(t.Context(), r, "/chat")
		require.NoError(t, err)
		synctest.Wait()
		close(goOn)
		body, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		require.Equal(t, "first,last", string(body))
	})
}
