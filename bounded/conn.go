package bounded

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http/httptrace"
	"sync"
)

// dialFunc opens a connection, like net.Dialer.DialContext.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// checkedDialer returns a dial function that returns a *checkedConn.
func checkedDialer(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &checkedConn{Conn: conn, closed: make(chan struct{})}, nil
	}
}

// DialedConn returns the connection that the DialContext of a transport returned, given the one that httptrace reports.
func DialedConn(conn net.Conn) net.Conn {
	if c, ok := conn.(*checkedConn); ok {
		return c.Conn
	}
	return conn
}

// checkedConn is a connection that finds what net/http does not report of a response: folded lines in its head, and an end
// before the request was written.
type checkedConn struct {
	net.Conn

	closeOnce sync.Once
	closed    chan struct{}

	// writing is held during a write; it guards writeErr, the error of the first write that failed.
	writing  sync.Mutex
	writeErr error

	// mu guards the fields below. They belong to the last exchange and are nil before the first one.
	mu      sync.Mutex
	head    *headLines
	written <-chan struct{}
}

// Read implements net.Conn.
func (c *checkedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	written := c.scan(b[:n])
	if errors.Is(err, io.EOF) {
		err = c.checkEnd(written)
	}
	return n, err
}

// scan passes bytes that were read to the check of the head, and returns written of the last exchange.
func (c *checkedConn) scan(b []byte) (written <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.head != nil {
		c.head.scan(b)
	}
	return c.written
}

// checkEnd returns io.EOF, or an error if the connection ended before the request was written. A response without a length is whole only if
// its connection ends in order, and a reset is reported to a single call: after a write that failed with it, reads return io.EOF.
func (c *checkedConn) checkEnd(written <-chan struct{}) error {
	if written != nil {
		select {
		case <-written:
		case <-c.closed:
			return net.ErrClosed
		}
	}
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.writeErr != nil {
		return fmt.Errorf("the connection ended while the request was written: %w", c.writeErr)
	}
	return io.EOF
}

// Write implements net.Conn.
func (c *checkedConn) Write(b []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(b)
	if c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// Close implements net.Conn.
func (c *checkedConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// exchange is one request and the response to it. conn is nil over TLS, where the connection carries other bytes than those of the response.
type exchange struct {
	conn *checkedConn
	head *headLines

	writeOnce sync.Once
	// written is closed once net/http writes no more of the request, but for what it buffers.
	written chan struct{}
}

func newExchange() *exchange { return &exchange{written: make(chan struct{})} }

// trace returns a context with which the request must be sent for x to take its connection.
func (x *exchange) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn:      x.gotConn,
		WroteRequest: func(httptrace.WroteRequestInfo) { x.writeOnce.Do(func() { close(x.written) }) },
	})
}

func (x *exchange) gotConn(info httptrace.GotConnInfo) {
	x.conn, _ = info.Conn.(*checkedConn)
	if x.conn == nil {
		return
	}
	x.head = &headLines{}
	x.conn.mu.Lock()
	defer x.conn.mu.Unlock()
	x.conn.head, x.conn.written = x.head, x.written
}

// errFoldedLine is returned for a head with a line that begins with a space or tab. It continues the line before it, whose value is then not the
// one that the peer meant, such as that of a signature.
var errFoldedLine = errors.New("malformed response: a line of the head begins with a space or tab")

// checkLines returns an error if a line of the response's head is folded.
func (x *exchange) checkLines() error {
	if x.conn == nil {
		return nil
	}
	x.conn.mu.Lock()
	defer x.conn.mu.Unlock()
	if x.head.folded {
		return errFoldedLine
	}
	return nil
}

// close closes the connection, on which no further response can be told from the rest of this one.
func (x *exchange) close() {
	if x.conn != nil {
		_ = x.conn.Close() // the transport may have closed it
	}
}
