package agent

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a request that reaches another address, with another method or for a second time, because the engine answered with a
// redirect: callers get the engine's answer as it is.
func TestRedirectOfAnEngineIsItsAnswer(t *testing.T) {
	for _, status := range []int{301, 302, 303, 307, 308} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			var requests atomic.Int64
			engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				requests.Add(1)
				w.Header().Set("Location", "/elsewhere")
				if r.URL.Path != "/elsewhere" {
					w.WriteHeader(status)
				}
			}))
			defer engine.Close()
			u := newUpstreamClient(engine.URL, 1)
			defer u.client.CloseIdleConnections()
			r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/chat", strings.NewReader("tide?"))
			resp, err := u.call(t.Context(), r, "/chat")
			require.NoError(t, err)
			require.NoError(t, resp.Body.Close())
			require.Equal(t, status, resp.StatusCode)
			require.EqualValues(t, 1, requests.Load())
		})
	}
}
