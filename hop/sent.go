package hop

import (
	"context"
	"net/http/httptrace"
	"sync/atomic"
)

// Sent records whether a request got a connection. Until then nothing can have reached
// the server, so the request was certainly not run; afterwards it may have been.
type Sent struct{ got atomic.Bool }

// Trace returns a context for the request to record.
func (s *Sent) Trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { s.got.Store(true) },
	})
}

// Connected reports whether the request got a connection.
func (s *Sent) Connected() bool { return s.got.Load() }
