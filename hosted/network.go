package hosted

import (
	"context"
	"net"
	"time"

	"github.com/arbutusmill/arbutusmill/process"
)

// keepAlive detects an upstream or a peer that becomes unreachable during a request: without
// keep-alive probes a caller would wait for its whole deadline.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: 500 * time.Millisecond, Count: 3}

// Network opens listeners and connections.
type Network struct {
	// Listen opens a listening address, as net.Listen does.
	Listen func(network, address string) (net.Listener, error)
	// Dial connects, as net.Dialer.DialContext does.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// TCP returns the network of a real process.
func TCP() Network {
	d := &net.Dialer{KeepAliveConfig: keepAlive, Control: setUserTimeout}
	return Network{Listen: net.Listen, Dial: d.DialContext}
}

// DialTimeout returns a dial function that fails if connecting takes longer than the timeout.
func (n Network) DialTimeout(timeout time.Duration) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		return n.Dial(ctx, network, address)
	}
}

// ListenAddress is one address to listen on.
type ListenAddress struct {
	// Setting is the name of the setting that has the address.
	Setting string
	Address string
	// Listener receives the listener.
	Listener *net.Listener
}

// ListenAll opens all addresses; an error names the setting.
func (n Network) ListenAll(all []ListenAddress) error {
	var err error
	for _, l := range all {
		if *l.Listener, err = n.Listen("tcp", l.Address); err != nil {
			return process.Error.New("%s: %w", l.Setting, err)
		}
	}
	return nil
}
