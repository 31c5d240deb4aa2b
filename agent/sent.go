package agent

import (
	"context"
	"net/http/httptrace"
	"sync/atomic"
)

// sentBody notes whether a request got a connection. Before that nothing can have
// reached the upstream, so "not run" is true; after that it may have.
type sentBody struct{ got atomic.Bool }

func (s *sentBody) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { s.got.Store(true) },
	})
}

func (s *sentBody) connected() bool { return s.got.Load() }
