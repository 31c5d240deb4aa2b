package localfleet

import (
	"context"
	"io"
	"net"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// echo sends back what it receives, until its listener is closed.
func echo(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go func() { _, _ = io.Copy(conn, conn) }() // ends with the connection
	}
}

// ping reports whether a connection still transmits a byte in both directions.
func ping(conn net.Conn) bool {
	if _, err := conn.Write([]byte{1}); err != nil {
		return false
	}
	_, err := io.ReadFull(conn, make([]byte, 1))
	return err == nil
}

// A process that is disconnected from one address must lose its connections to it and get no new ones
// until it is reconnected, while its connections to other addresses stay open.
func TestDisconnect(t *testing.T) {
	server := newProcessNetwork(net.Listen)
	var addresses []string
	for range 2 {
		l, err := server.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		go echo(l)
		addresses = append(addresses, l.Addr().String())
	}
	client := newProcessNetwork(net.Listen)
	dial := func(address string) (net.Conn, error) { return client.Dial(context.Background(), "tcp", address) }
	interrupted, err := dial(addresses[0])
	require.NoError(t, err)
	other, err := dial(addresses[1])
	require.NoError(t, err)
	require.True(t, ping(interrupted))

	client.disconnect(addresses[0])
	require.False(t, ping(interrupted))
	require.True(t, ping(other))
	_, err = dial(addresses[0])
	require.ErrorIs(t, err, syscall.ECONNREFUSED)

	client.reconnect(addresses[0])
	reconnected, err := dial(addresses[0])
	require.NoError(t, err)
	require.True(t, ping(reconnected))

	server.kill()
	require.False(t, ping(reconnected))
	require.False(t, ping(other))
	_, err = dial(addresses[1])
	require.ErrorIs(t, err, syscall.ECONNREFUSED, "no process listens")
}
