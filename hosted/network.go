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

// Within returns a dial function that fails if connecting takes longer than the timeout.
func (n Network) Within(timeout time.Duration) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		return n.Dial(ctx, network, address)
	}
}

// Listening is one address to listen on.
type Listening struct {
	// Field is the name of the setting that has the address.
	Field   string
	Address string
	// Into receives the listener.
	Into *net.Listener
}

// ListenAll opens all addresses; an error names the setting.
func (n Network) ListenAll(all []Listening) error {
	var err error
	for _, l := range all {
		if *l.Into, err = n.Listen("tcp", l.Address); err != nil {
			return process.Error.New("%s: %w", l.Field, err)
		}
	}
	return nil
}
