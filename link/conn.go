package link

import (
	"cmp"
	"context"
	"crypto/tls"
	"encoding/json"
	"io"
	"net"
	"time"

	"github.com/arbutusmill/arbutusmill/bounded"
	"github.com/sourcegraph/jsonrpc2"
)

// clientConn makes calls on one connection. Its only goroutine writes their messages one after the
// other, so that a call whose context ends does not wait for a write, its own or one before it, to a peer
// that does not read.
type clientConn struct {
	*jsonrpc2.Conn
	requests chan request
}

// request is a message for the writing goroutine.
type request struct {
	method string
	params json.RawMessage
	// sent receives the result of the write. It has a buffer, since the call may have ended.
	sent chan sendResult
}

type sendResult struct {
	response jsonrpc2.Waiter
	err      error
}

func newClientConn(conn *jsonrpc2.Conn) *clientConn {
	c := &clientConn{Conn: conn, requests: make(chan request)}
	go c.write()
	return c
}

// write writes the messages of calls until the connection ends.
func (c *clientConn) write() {
	for {
		select {
		case <-c.DisconnectNotify():
			return
		case r := <-c.requests:
			response, err := c.DispatchCall(context.Background(), r.method, r.params)
			r.sent <- sendResult{response, err}
		}
	}
}

// call sends a message and waits for the response until the context ends.
func (c *clientConn) call(ctx context.Context, method string, params, result any) error {
	response, err := c.send(ctx, method, params)
	if err != nil {
		return err
	}
	return response.Wait(ctx, result)
}

// send waits until a message is written, the context ends or the connection does.
func (c *clientConn) send(ctx context.Context, method string, params any) (jsonrpc2.Waiter, error) {
	// The message may be written after the call has ended and its caller has changed the parameters.
	encoded, err := json.Marshal(params)
	if err != nil {
		return jsonrpc2.Waiter{}, err
	}
	r := request{method: method, params: encoded, sent: make(chan sendResult, 1)}
	select {
	case c.requests <- r:
	case <-c.DisconnectNotify():
		return jsonrpc2.Waiter{}, jsonrpc2.ErrClosed
	case <-ctx.Done():
		return jsonrpc2.Waiter{}, ctx.Err()
	}
	select {
	case s := <-r.sent:
		return s.response, s.err
	case <-ctx.Done():
		return jsonrpc2.Waiter{}, ctx.Err()
	}
}

// maxWriteBytes is the size of the parts in which messages are written. The timeout applies to each part,
// since a large message takes long on a slow link.
const maxWriteBytes = 32 << 10

// timeoutWriter is a connection that is closed if a part of a message is not written within the timeout.
// The rest of the message would be missing from the stream, so the connection can't be used again.
type timeoutWriter struct {
	net.Conn
	timeout time.Duration
}

// Limits on a message that is read. Beyond them the connection is closed.
const (
	// defaultMaxMessageBytes is several times the largest message, 2 MB of exposure limits for a new witness.
	defaultMaxMessageBytes = 16 << 20
	// maxMessageTime is the time from a message's first bytes to its end.
	maxMessageTime = time.Minute
)

// newStream returns a stream of messages whose writes have a timeout of maxMissedHeartbeats intervals. onTooLong may be
// nil; it is called with the error for a message of more than maxBytes; 0 stands for the default.
func newStream(nc net.Conn, heartbeat time.Duration, maxBytes int64, onTooLong func(error)) jsonrpc2.ObjectStream {
	conn := &timeoutWriter{Conn: nc, timeout: maxMissedHeartbeats * heartbeat}
	in := &messageReader{conn: conn}
	in.limited = bounded.NewReader(in, cmp.Or(maxBytes, defaultMaxMessageBytes), "control message")
	plain := jsonrpc2.NewPlainObjectStream(struct {
		io.Reader
		io.Writer
		io.Closer
	}{in.limited, conn, conn})
	return limitedStream{ObjectStream: plain, in: in, onTooLong: onTooLong}
}

// messageReader reads messages, each of which must end within maxMessageTime.
type messageReader struct {
	conn    net.Conn
	limited *bounded.Reader
	began   bool
}

// Read implements io.Reader.
func (r *messageReader) Read(b []byte) (int, error) {
	n, err := r.conn.Read(b)
	if n > 0 && !r.began {
		r.began = true
		_ = r.conn.SetReadDeadline(time.Now().Add(maxMessageTime)) // fails only for a closed connection
	}
	return n, err
}

// next begins the next message, for whose first bytes there is no deadline.
func (r *messageReader) next() {
	r.limited.Reset()
	r.began = false
	_ = r.conn.SetReadDeadline(time.Time{}) // fails only for a closed connection
}

// limitedStream is a stream whose messages are read by a messageReader.
type limitedStream struct {
	jsonrpc2.ObjectStream
	in        *messageReader
	onTooLong func(error)
}

// ReadObject implements jsonrpc2.ObjectStream.
func (s limitedStream) ReadObject(v any) error {
	s.in.next()
	err := s.ObjectStream.ReadObject(v)
	if s.onTooLong != nil && bounded.IsTooLong(err) {
		s.onTooLong(err)
	}
	return err
}

// Write implements net.Conn.
func (w *timeoutWriter) Write(b []byte) (written int, err error) {
	for written < len(b) && err == nil {
		var n int
		if err = w.SetWriteDeadline(time.Now().Add(w.timeout)); err == nil {
			n, err = w.Conn.Write(b[written:min(len(b), written+maxWriteBytes)])
			written += n
		}
	}
	if err != nil {
		_ = w.Close()
	}
	return written, err
}

// Close implements net.Conn. It sends no TLS alert, which would wait for a peer that does not read.
func (w *timeoutWriter) Close() error {
	if secure, ok := w.Conn.(*tls.Conn); ok {
		_ = secure.NetConn().Close() // the error of the next line tells
	}
	return w.Conn.Close()
}
