package gateway_test

import (
	"io"
	"net"
	"sync"
	"time"
)

// slowConn is a connection over a slow link: it delays received data by the link's rate, without
// blocking the sender.
type slowConn struct {
	net.Conn
	rate    int // bytes/s
	chunks  chan []byte
	pending []byte
	closed  chan struct{}
	once    sync.Once
}

// maxChunks is the maximum number of chunks in flight.
const maxChunks = 1 << 12

func newSlowConn(conn net.Conn, rate int) *slowConn {
	c := &slowConn{Conn: conn, rate: rate, chunks: make(chan []byte, maxChunks), closed: make(chan struct{})}
	go func() {
		defer close(c.chunks)
		for {
			chunk := make([]byte, 4<<10)
			n, err := conn.Read(chunk)
			c.chunks <- chunk[:n]
			if err != nil {
				return
			}
		}
	}()
	return c
}

// Close implements net.Conn.
func (c *slowConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// Read implements net.Conn.
func (c *slowConn) Read(b []byte) (int, error) {
	for len(c.pending) == 0 {
		chunk, ok := <-c.chunks
		if !ok {
			return 0, io.EOF
		}
		select {
		case <-time.After(time.Duration(len(chunk)) * time.Second / time.Duration(c.rate)):
			c.pending = chunk
		case <-c.closed:
			return 0, net.ErrClosed
		}
	}
	n := copy(b, c.pending)
	c.pending = c.pending[n:]
	return n, nil
}
