package localfleet

import (
	"context"
	"io"
	"net"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// echo answers what it gets until its listener is closed.
func echo(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go func() { _, _ = io.Copy(conn, conn) }() // ends with the connection
	}
}

// ping reports whether a connection still carries a byte both ways.
func ping(conn net.Conn) bool {
	if _, err := conn.Write([]byte{1}); err != nil {
		return false
	}
	_, err := io.ReadFull(conn, make([]byte, 1))
	return err == nil
}

// A process is cut off from one address: its connections there end and no new ones begin, those to
// others go on, until the cut is over.
func TestCutOff(t *testing.T) {
	server := newLink(net.Listen)
	var addresses []string
	for range 2 {
		l, err := server.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		go echo(l)
		addresses = append(addresses, l.Addr().String())
	}
	client := newLink(net.Listen)
	dial := func(address string) (net.Conn, error) { return client.Dial(context.Background(), "tcp", address) }
	cut, err := dial(addresses[0])
	require.NoError(t, err)
	other, err := dial(addresses[1])
	require.NoError(t, err)
	require.True(t, ping(cut))

	client.cutOff(addresses[0])
	require.False(t, ping(cut))
	require.True(t, ping(other))
	_, err = dial(addresses[0])
	require.ErrorIs(t, err, syscall.ECONNREFUSED)

	client.reconnect(addresses[0])
	again, err := dial(addresses[0])
	require.NoError(t, err)
	require.True(t, ping(again))

	server.kill()
	require.False(t, ping(again))
	require.False(t, ping(other))
	_, err = dial(addresses[1])
	require.ErrorIs(t, err, syscall.ECONNREFUSED, "nobody listens")
}
