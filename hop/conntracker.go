package hop

import (
	"context"
	"net/http/httptrace"
	"sync/atomic"
)

// ConnTracker records whether a request got a connection. Until then nothing can have reached
// the server, so the request was certainly not run; afterwards it may have been.
type ConnTracker struct{ got, reused atomic.Bool }

// Trace returns a context with which a request must be sent for t to record its connection.
func (t *ConnTracker) Trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(c httptrace.GotConnInfo) {
			t.got.Store(true)
			t.reused.Store(c.Reused)
		},
	})
}

// Connected reports whether the request got a connection.
func (t *ConnTracker) Connected() bool { return t.got.Load() }

// Reused reports whether the connection had carried a request before.
func (t *ConnTracker) Reused() bool { return t.reused.Load() }
