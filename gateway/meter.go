package gateway

import (
	"context"
	"net"
	"time"

	"github.com/arbutusmill/arbutusmill/admission"
	"github.com/arbutusmill/arbutusmill/hosted"
)

// frameBytes is what the headers of one packet take on the link.
const frameBytes = 54

// packetBytes is the payload of a full packet.
const packetBytes = 1448

// linkMeter takes what goes over the VM's link.
type linkMeter struct {
	out   *admission.Link
	usage *admission.Usage
}

// bytesPerMbit turns Mbit/s into bytes a second.
const bytesPerMbit = 1e6 / 8

func newMeter(linkMbps float64) linkMeter {
	rate := linkMbps * bytesPerMbit
	return linkMeter{out: &admission.Link{BytesPerSecond: rate}, usage: &admission.Usage{BytesPerSecond: rate}}
}

// onLink is what n bytes of payload take on the link.
func onLink(n int) int { return n + (n/packetBytes+1)*frameBytes }

// meteredConn counts what a connection sends and receives.
type meteredConn struct {
	net.Conn
	meter linkMeter
}

// Write implements net.Conn.
func (m meteredConn) Write(b []byte) (int, error) {
	n, err := m.Conn.Write(b)
	now := time.Now()
	m.meter.out.Sent(now, onLink(n))
	m.meter.usage.Sent(now, onLink(n))
	return n, err
}

// Read implements net.Conn.
func (m meteredConn) Read(b []byte) (int, error) {
	n, err := m.Conn.Read(b)
	m.meter.usage.Received(time.Now(), onLink(n))
	return n, err
}

// meteredListener meters the connections that it accepts.
type meteredListener struct {
	net.Listener
	meter linkMeter
}

// Accept implements net.Listener.
func (l meteredListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return meteredConn{c, l.meter}, nil
}

// metered returns the network with everything that it sends counted.
func metered(n hosted.Network, meter linkMeter) hosted.Network {
	return hosted.Network{
		Listen: func(network, address string) (net.Listener, error) {
			l, err := n.Listen(network, address)
			if err != nil {
				return nil, err
			}
			return meteredListener{l, meter}, nil
		},
		Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := n.Dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return meteredConn{c, meter}, nil
		},
	}
}
