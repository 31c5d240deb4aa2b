package gateway_test

import (
	"io"
	"net"
	"sync"
	"time"
)

// slowConn is a connection over a slow link: what arrives takes its time, and its sender does not
// wait for that.
type slowConn struct {
	net.Conn
	rate    int // bytes/s
	pieces  chan []byte
	arrived []byte
	closed  chan struct{}
	once    sync.Once
}

// mostPieces bounds what is on its way.
const mostPieces = 1 << 12

func newSlowConn(conn net.Conn, rate int) *slowConn {
	c := &slowConn{Conn: conn, rate: rate, pieces: make(chan []byte, mostPieces), closed: make(chan struct{})}
	go func() {
		defer close(c.pieces)
		for {
			piece := make([]byte, 4<<10)
			n, err := conn.Read(piece)
			c.pieces <- piece[:n]
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
	for len(c.arrived) == 0 {
		piece, ok := <-c.pieces
		if !ok {
			return 0, io.EOF
		}
		select {
		case <-time.After(time.Duration(len(piece)) * time.Second / time.Duration(c.rate)):
			c.arrived = piece
		case <-c.closed:
			return 0, net.ErrClosed
		}
	}
	n := copy(b, c.arrived)
	c.arrived = c.arrived[n:]
	return n, nil
}
