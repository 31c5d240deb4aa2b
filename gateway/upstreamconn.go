package gateway

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/arbutusmill/arbutusmill/bounded"
)

// upstreamConn is a connection to an upstream. It carries a further request only after the response to the one before was
// judged; net/http would send one as soon as a response without a body is parsed.
type upstreamConn struct {
	net.Conn
	// number identifies the connection in this process's logs.
	number uint64
	opened time.Time
	// turn holds a value unless a request uses the connection. It guards the fields below.
	turn chan struct{}
	// exchanges is the number of requests that got the connection.
	exchanges int64
	// lastID is the id of the request that got the connection last.
	lastID string
	// retired is set once the connection must not carry a further request. It is closed then.
	retired bool
}

// upstreamDialer returns a dial function that returns an *upstreamConn.
func upstreamDialer(dial dialFunc) dialFunc {
	var last atomic.Uint64
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		c := &upstreamConn{Conn: conn, number: last.Add(1), opened: time.Now(), turn: make(chan struct{}, 1)}
		c.turn <- struct{}{}
		return c, nil
	}
}

// connUse is one request's use of a connection; conn is nil until it has one.
type connUse struct {
	// id is the request's.
	id   string
	conn *upstreamConn
	// exchange is the request's place among those that the connection carried, from 1.
	exchange int64
	ended    bool
	// refused is set if the connection was retired before the request could be written to it.
	refused bool
}

// trace returns a context with which a request must be sent for u to take its connection. It waits until the response to
// the request before was judged, which that request's goroutine does as soon as it has the response.
func (u *connUse) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		c := bounded.DialedConn(info.Conn).(*upstreamConn)
		<-c.turn
		if c.exchanges > 0 && c.lastID == u.id {
			// A copy of the last response could not be told from the response to this request.
			c.retire()
		}
		if c.retired {
			u.refused = true
			c.turn <- struct{}{}
			return
		}
		c.exchanges++
		c.lastID = u.id
		u.conn, u.exchange = c, c.exchanges
	}})
}

// connected reports whether the request got a connection. Without one, no upstream can have run it.
func (u *connUse) connected() bool { return u.conn != nil }

// end ends the use. The connection is closed unless it may carry a further request. Only the first call counts.
func (u *connUse) end(keep bool) {
	if u.conn == nil || u.ended {
		return
	}
	u.ended = true
	if !keep {
		u.conn.retire()
	}
	u.conn.turn <- struct{}{}
}

// retire closes the connection, so that nothing more is written to it. The caller holds the turn.
func (c *upstreamConn) retire() {
	c.retired = true
	_ = c.Close() // the transport may have closed it
}

// releasingReader reads a response and ends the use of its connection at the end of the response: net/http gives the
// connection to other requests then, and the last bytes may still have to wait for a slow caller.
type releasingReader struct {
	io.Reader
	use *connUse
}

// Read implements io.Reader.
func (r *releasingReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if errors.Is(err, io.EOF) {
		r.use.end(true)
	}
	return n, err
}
