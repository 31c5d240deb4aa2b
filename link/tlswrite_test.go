package link_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"io"
	"math/big"
	"testing"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/virtualtime"
	"github.com/arbutusmill/arbutusmill/link"
	"github.com/arbutusmill/arbutusmill/memnet"
	"github.com/stretchr/testify/require"
)

// Guards against connections with TLS that outlast the timeout of a write: closing one sends an alert first,
// which waits for the peer that does not read.
func TestWriteTimeoutEndsATLSConnection(t *testing.T) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour)}
	cert, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	require.NoError(t, err)
	config := &tls.Config{Certificates: []tls.Certificate{{Certificate: [][]byte{cert}, PrivateKey: key}}}
	virtualtime.Test(t, func(t *testing.T) {
		var network memnet.Network
		ln, err := network.Listen("tcp", peerAddress)
		require.NoError(t, err)
		s := &link.Server{Security: link.Security{Server: config}, Heartbeat: heartbeat}
		ctx, stop := context.WithCancel(t.Context())
		served := make(chan struct{})
		go func() { s.Serve(ctx, ln); close(served) }()
		defer func() { stop(); <-served }()
		nc, err := network.Dial(ctx, "tcp", peerAddress)
		require.NoError(t, err)
		defer nc.Close()
		require.NoError(t, nc.SetDeadline(time.Now().Add(time.Minute)))
		conn := tls.Client(nc, &tls.Config{InsecureSkipVerify: true, SessionTicketsDisabled: true})
		handshaken := make(chan error, 1)
		go func() { handshaken <- conn.Handshake() }()
		require.NoError(t, <-handshaken)
		began := time.Now()
		for err == nil {
			_, err = io.WriteString(conn, `{"jsonrpc":"2.0","id":1,"method":"hello","params":{"from":"router-1/A"}}`)
			time.Sleep(time.Millisecond)
		}
		require.ErrorIs(t, err, io.ErrClosedPipe)
		require.InDelta(t, writeTimeout, time.Since(began), float64(3*time.Millisecond))
	})
}
