package gateway

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync/atomic"
	"time"
)

// upstreamConn is a connection to an upstream.
type upstreamConn struct {
	net.Conn
	// number identifies the connection in this process's logs.
	number uint64
	opened time.Time
	// exchanges is the number of requests that got the connection.
	exchanges atomic.Int64
}

// upstreamDialer returns a dial function that returns an *upstreamConn.
func upstreamDialer(dial dialFunc) dialFunc {
	var last atomic.Uint64
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &upstreamConn{Conn: conn, number: last.Add(1), opened: time.Now()}, nil
	}
}

// connUse is one request's use of a connection; conn is nil until it has one.
type connUse struct {
	conn *upstreamConn
	// exchange is the request's place among those that the connection carried, from 1.
	exchange int64
}

// trace returns a context with which a request must be sent for u to record its connection.
func (u *connUse) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		u.conn = info.Conn.(*upstreamConn)
		u.exchange = u.conn.exchanges.Add(1)
	}})
}

// connected reports whether the request got a connection. Without one, no upstream can have run it.
func (u *connUse) connected() bool { return u.conn != nil }
