package gateway_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/arbutusmill/arbutusmill/platform/standin"
	"github.com/stretchr/testify/require"
)

// Guards against an empty success: a caller that ends its side of the connection after its request counts as gone but still
// reads, and a handler that returns without a response completes one with status 200.
func TestRequestWithoutAnswerEndsItsConnection(t *testing.T) {
	for _, path := range []string{"/alert/x", "/level/x", "/chat/x"} {
		t.Run(path, func(t *testing.T) {
			withFleet(t, func(f *fleet) {
				f.putConfig(0, "k1")
				f.upstream("i-1", "plain", 0).SetMode(standin.Hang)
				f.upstream("i-2", "model", 3).SetMode(standin.Hang)
				f.start()
				ctx, cancel := context.WithCancel(context.Background())
				req := httptest.NewRequestWithContext(ctx, http.MethodPost, path, nil)
				req.Host = "a.example"
				for name, value := range map[string]string{standin.HeaderID: "r1", "Api-Key": "k1", standin.HeaderUsage: "100,9"} {
					req.Header.Set(name, value)
				}
				time.AfterFunc(10*time.Millisecond, cancel)
				w := httptest.NewRecorder()
				require.PanicsWithError(t, http.ErrAbortHandler.Error(), func() { f.gateways[1].gateway.ServeHTTP(w, req) }, "the response completes with status 200")
				require.Empty(t, w.Body.String())
			})
		})
	}
}
