package hop

import (
	"context"
	"net/http/httptrace"
	"sync/atomic"
)

// Sent notes whether a request got a connection. Before that nothing can have reached
// the other side, so "not run" is true; after that it may have.
type Sent struct{ got atomic.Bool }

// Trace returns a context whose request is watched.
func (s *Sent) Trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { s.got.Store(true) },
	})
}

// Connected reports whether the request got a connection.
func (s *Sent) Connected() bool { return s.got.Load() }
