package gateway

import (
	"context"
	"net"
	"time"

	"github.com/arbutusmill/arbutusmill/admission"
	"github.com/arbutusmill/arbutusmill/hosted"
)

// packetHeaderBytes is the size of the headers of one packet on the link.
const packetHeaderBytes = 54

// maxPacketPayload is the payload of a full packet.
const maxPacketPayload = 1448

// linkMeter measures the traffic on the VM's link.
type linkMeter struct {
	outbound *admission.Link
	usage    *admission.Usage
}

// bytesPerMbit converts Mbit/s to bytes per second.
const bytesPerMbit = 1e6 / 8

func newLinkMeter(linkMbps float64) linkMeter {
	rate := linkMbps * bytesPerMbit
	return linkMeter{outbound: &admission.Link{BytesPerSecond: rate}, usage: &admission.Usage{BytesPerSecond: rate}}
}

// bytesOnLink returns the size on the link of n bytes of payload.
func bytesOnLink(n int) int { return n + (n/maxPacketPayload+1)*packetHeaderBytes }

// meteredConn counts the bytes that a connection sends and receives.
type meteredConn struct {
	net.Conn
	meter linkMeter
}

// Write implements net.Conn.
func (m meteredConn) Write(b []byte) (int, error) {
	n, err := m.Conn.Write(b)
	now := time.Now()
	m.meter.outbound.Sent(now, bytesOnLink(n))
	m.meter.usage.Sent(now, bytesOnLink(n))
	return n, err
}

// Read implements net.Conn.
func (m meteredConn) Read(b []byte) (int, error) {
	n, err := m.Conn.Read(b)
	m.meter.usage.Received(time.Now(), bytesOnLink(n))
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

// meteredNetwork returns a network whose connections are metered.
func meteredNetwork(n hosted.Network, meter linkMeter) hosted.Network {
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
