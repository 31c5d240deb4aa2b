package hop

import (
	"context"
	"net/http/httptrace"
	"sync/atomic"
)

// ConnTracker records whether a request got a connection. Until then nothing can have reached
// the server, so the request was certainly not run; afterwards it may have been.
type ConnTracker struct{ got atomic.Bool }

// Trace returns a context for the request to record.
func (t *ConnTracker) Trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { t.got.Store(true) },
	})
}

// Connected reports whether the request got a connection.
func (t *ConnTracker) Connected() bool { return t.got.Load() }
