package gateway

import (
	"context"
	"net"
	"time"

	"github.com/arbutusmill/arbutusmill/admission"
)

// frameBytes is what the headers of one packet take on the link.
const frameBytes = 54

// packetBytes is the payload of a full packet.
const packetBytes = 1448

// metered counts what a connection sends on the VM's link.
type metered struct {
	net.Conn
	link *admission.Link
}

// Write implements net.Conn.
func (m metered) Write(b []byte) (int, error) {
	n, err := m.Conn.Write(b)
	packets := n/packetBytes + 1
	m.link.Sent(time.Now(), n+packets*frameBytes)
	return n, err
}

// meteredListener meters the connections that it accepts.
type meteredListener struct {
	net.Listener
	link *admission.Link
}

// Accept implements net.Listener.
func (l meteredListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return metered{c, l.link}, nil
}

// metered returns the network with everything that it sends counted.
func (n Network) metered(link *admission.Link) Network {
	return Network{
		Listen: func(network, address string) (net.Listener, error) {
			l, err := n.Listen(network, address)
			if err != nil {
				return nil, err
			}
			return meteredListener{l, link}, nil
		},
		Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := n.Dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return metered{c, link}, nil
		},
	}
}
