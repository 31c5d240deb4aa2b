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

// closedBody is a request body that the server closed when the response began: all data can
// be read, and one more read fails.
type closedBody struct{ rest *bytes.Reader }

func (c closedBody) Read(b []byte) (int, error) {
	if c.rest.Len() == 0 {
		return 0, http.ErrBodyReadAfterClose
	}
	return c.rest.Read(b)
}

// Guards against a stream that breaks after a few words with "use of closed network
// connection". On a busy VM the response begins before the agent's client has probed for the end
// of the request body. The server has closed that body by then, so the read fails, and the client
// closes the connection to the engine. A body of known length is not probed.
func TestStreamSurvivesClosedRequestBody(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		var network memnet.Network
		l, err := network.Listen("tcp", "engine:80")
		require.NoError(t, err)
		resume := make(chan struct{})
		s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.ReadAll(r.Body) // an error shows at the other end
			_, _ = io.WriteString(w, "first,")
			_ = http.NewResponseController(w).Flush()
			<-resume
			_, _ = io.WriteString(w, "last")
		})}
		go func() { _ = s.Serve(l) }() // ends with Close
		defer func() { _ = s.Close() }()
		transport := &http.Transport{DialContext: network.Dial}
		defer transport.CloseIdleConnections()
		u := &upstreamClient{url: "http://engine:80", client: &http.Client{Transport: transport}}
		r := &http.Request{Method: http.MethodPost, Header: http.Header{}, ContentLength: 5,
			Body: io.NopCloser(closedBody{bytes.NewReader([]byte("tide?"))})}

		resp, err := u.call(t.Context(), r, "/chat")
		require.NoError(t, err)
		synctest.Wait()
		close(resume)
		body, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		require.Equal(t, "first,last", string(body))
	})
}
