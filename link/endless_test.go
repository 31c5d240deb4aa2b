package link_test

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/arbutusmill/arbutusmill/bounded"
	"github.com/arbutusmill/arbutusmill/coord/virtualtime"
	"github.com/arbutusmill/arbutusmill/link"
	"github.com/arbutusmill/arbutusmill/memnet"
	"github.com/arbutusmill/arbutusmill/platform/standin"
	"github.com/stretchr/testify/require"
)

// endlessMessages are messages without end. The slow one ends with its time, the others with their size.
var endlessMessages = map[string]*standin.Endless{
	"string":     {Begin: `{"jsonrpc":"2.0","id":1,"method":"`, Part: "0123456789abcdef"},
	"parameters": {Begin: `{"jsonrpc":"2.0","id":1,"method":"hello","params":[0`, Part: ",0"},
	"whitespace": {Part: "\n"},
	"slow":       {Begin: `{"jsonrpc":"2.0","id":1,"method":"`, Part: "0", Pause: time.Second},
}

// maxMessage is the limit on messages in the tests.
const maxMessage = 1 << 20

// maxTaken is what an end of a connection may take of one message.
const maxTaken = maxMessage + 1<<20

// Guards against a process that sends a message without end: the other end keeps it and runs out of memory.
func TestMessageWithoutEnd(t *testing.T) {
	for name, of := range endlessMessages {
		t.Run("to a server, "+name, func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				e := &standin.Endless{Begin: of.Begin, Part: of.Part, Pause: of.Pause}
				var network memnet.Network
				serveMethods(t, &network, nil)
				conn, err := network.Dial(t.Context(), "tcp", peerAddress)
				require.NoError(t, err)
				defer conn.Close()
				require.NoError(t, conn.SetDeadline(time.Now().Add(5*time.Minute)))
				began := time.Now()
				e.Send(conn) // until the server closes
				require.LessOrEqual(t, e.Taken(), int64(maxTaken))
				require.LessOrEqual(t, time.Since(began), 2*time.Minute)
			})
		})
		t.Run("to a client, "+name, func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				e := &standin.Endless{Begin: of.Begin, Part: of.Part, Pause: of.Pause}
				var network memnet.Network
				ln, err := network.Listen("tcp", peerAddress)
				require.NoError(t, err)
				defer ln.Close()
				go answerWithoutEnd(ln, e)
				p := newPool(&network)
				p.DialTimeout, p.MaxMessageBytes = 10*time.Second, maxMessage
				defer p.Close()
				tooLong := make(chan error, 1)
				p.OnTooLong = func(err error) { tooLong <- err }
				require.ErrorIs(t, p.Call(t.Context(), peerAddress, "m", nil, nil), link.ErrDown)
				synctest.Wait()
				require.LessOrEqual(t, e.Taken(), int64(maxTaken))
				if of.Pause == 0 {
					require.True(t, bounded.IsTooLong(<-tooLong))
				}
				time.Sleep(2 * time.Second) // the slow one sees the close at its next byte
			})
		})
	}
}

func answerWithoutEnd(ln net.Listener, e *standin.Endless) {
	conn, err := ln.Accept()
	if err != nil {
		return
	}
	defer conn.Close()
	go func() { _, _ = io.Copy(io.Discard, conn) }() // ends with the connection
	e.Send(conn)
}

// Guards against a limit on all messages of a connection together.
func TestConnectionOutlivesManyLargeMessages(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		var network memnet.Network
		serveMethods(t, &network, map[string]link.Handler{"length": link.Handle(length)})
		p := newPool(&network)
		defer p.Close()
		large := strings.Repeat("x", 400<<10)
		for range 6 {
			var n int
			require.NoError(t, p.Call(t.Context(), peerAddress, "length", large, &n))
			require.Equal(t, len(large), n)
			time.Sleep(2 * time.Minute) // messages have deadlines, idle connections have none
		}
	})
}

func length(_ context.Context, in string) (int, error) { return len(in), nil }
