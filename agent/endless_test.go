package agent

import (
	"net/http"
	"testing"

	"github.com/arbutusmill/arbutusmill/bounded"
	"github.com/arbutusmill/arbutusmill/platform/standin"
	"github.com/stretchr/testify/require"
)

// discard is a sink that counts what it receives.
type discard struct{ bytes int }

func (*discard) start(int, http.Header) {}
func (d *discard) write(b []byte) error { d.bytes += len(b); return nil }

// Guards against an engine that sends a line or a body without end, which the agent would keep, and against a body that is
// cut off at the limit and passed on as complete.
func TestResponseWithoutEnd(t *testing.T) {
	for name, begin := range map[string]string{
		"line": standin.EndlessHead + "Content-Type: text/event-stream\r\n\r\ndata: ",
		"body": standin.EndlessBody,
	} {
		t.Run(name, func(t *testing.T) {
			e := &standin.Endless{Begin: begin, Part: "0123456789abcdef"}
			client := http.Client{Transport: bounded.Transport(&http.Transport{DialContext: e.Dial})}
			resp, err := client.Get("http://engine:80/")
			require.NoError(t, err)
			defer resp.Body.Close()
			var to discard
			_, err = copyEngineResponse(resp, 100, &to)
			require.True(t, bounded.IsTooLong(err), "%v", err)
			require.LessOrEqual(t, e.Taken(), int64(maxBufferedBody+(64<<10)))
			require.Zero(t, to.bytes)
		})
	}
}
