// Package process is what routers and agents have in common: settings made into a
// log, a store, links to other processes, the list of VMs and the admin listener.
package process

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/incarnation"
	"github.com/arbutusmill/arbutusmill/coord/recovery"
	"github.com/arbutusmill/arbutusmill/coord/store"
	"github.com/arbutusmill/arbutusmill/etcd"
	"github.com/arbutusmill/arbutusmill/fleet"
	"github.com/arbutusmill/arbutusmill/link"
	"github.com/arbutusmill/arbutusmill/observe"
	"github.com/arbutusmill/arbutusmill/settings"
	"github.com/arbutusmill/arbutusmill/vm"
	"github.com/rs/zerolog"
	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("process")

// Keys in the platform's store, and names that other VMs use too.
const (
	Prefix       = "arbutusmill/"
	PagePrefix   = Prefix + "budget/"
	LedgerPrefix = Prefix + "ledger/"
	ClaimPrefix  = Prefix + "claim/"
	LifePrefix   = Prefix + "incarnation/"
	FenceKey     = Prefix + "fences"
)

// Base is the common part of a process.
type Base struct {
	Settings *settings.Settings
	Log      zerolog.Logger
	Store    store.Store
	Lister   vm.Lister
	View     *vm.View
	Links    *link.Pool
	Security link.Security
	Lives    incarnation.Registry
	Fences   recovery.Fences
	Admin    *observe.Admin
	// Incarnation names this life of the process.
	Incarnation string
	// Open opens a listening address; net.Listen but in local fleets.
	Open Opener
}

// Opener opens a listening address, as net.Listen does.
type Opener func(network, address string) (net.Listener, error)

// idleConns bounds the kept connections to one address.
const idleConns = 256

// New makes the common part; it makes no call.
func New(s *settings.Settings, log io.Writer, open Opener) (*Base, error) {
	security, err := processSecurity(s.Security)
	if err != nil {
		return nil, err
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idleConns}}
	st := &etcd.Store{URL: s.Platform.Store, Client: client, Timeout: time.Duration(s.Platform.Timeout)}
	return &Base{
		Settings: s,
		Open:     open,
		Log:      observe.NewLogger(log, s.Log.Level, s.VM),
		Store:    st,
		Lister:   &vm.HTTPList{URL: s.Platform.VMs, Client: client},
		View:     vm.NewView(),
		Security: security,
		Links: &link.Pool{From: s.VM, Security: security, Heartbeat: time.Duration(s.Links.Heartbeat),
			DialTimeout: time.Duration(s.Links.DialTimeout)},
		Lives:  incarnation.Registry{Store: st, Prefix: LifePrefix},
		Fences: recovery.Fences{Store: st, Key: FenceKey},
		Admin:  &observe.Admin{},
	}, nil
}

// Begin takes the process's incarnation. The store is needed for it: without a
// new number a restarted process could be taken for its former life.
func (b *Base) Begin(ctx context.Context) error {
	name, err := b.Lives.Begin(ctx, b.Settings.VM, b.Settings.Role)
	if err != nil {
		return Error.Wrap(err)
	}
	b.Incarnation = name
	b.Log.Info().Str("incarnation", name).Msg("begun")
	return nil
}

// Follow keeps the list of VMs up to date until the context ends.
func (b *Base) Follow(ctx context.Context) {
	b.View.Follow(ctx, b.Lister, time.Duration(b.Settings.Platform.ListInterval), func(err error) {
		b.Log.Warn().Err(err).Msg("vm_list_failed")
	})
}

// FollowConfig keeps the configuration up to date until the context ends.
func (b *Base) FollowConfig(ctx context.Context, current *fleet.Current) {
	registry := fleet.Registry{Store: b.Store}
	registry.Follow(ctx, current, time.Duration(b.Settings.Platform.ConfigInterval), func(err error) {
		b.Log.Warn().Err(err).Msg("configuration_failed")
	})
}

func processSecurity(s settings.Security) (link.Security, error) {
	if !s.Processes.Set() {
		return link.Security{Secret: s.SharedSecret}, nil
	}
	cert, err := tls.LoadX509KeyPair(s.Processes.Cert, s.Processes.Key)
	if err != nil {
		return link.Security{}, Error.New("security.processes_tls: %w", err)
	}
	pem, err := os.ReadFile(s.Processes.CA)
	if err != nil {
		return link.Security{}, Error.New("security.processes_tls.ca_file: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return link.Security{}, Error.New("security.processes_tls.ca_file: no certificate in it")
	}
	return link.Security{
		Server: &tls.Config{Certificates: []tls.Certificate{cert}, ClientCAs: pool,
			ClientAuth: tls.RequireAndVerifyClientCert, MinVersion: tls.VersionTLS13},
		Client: &tls.Config{Certificates: []tls.Certificate{cert}, RootCAs: pool, MinVersion: tls.VersionTLS13},
	}, nil
}

// Listen opens a TCP address of a settings field.
func (b *Base) Listen(field, addr string) (net.Listener, error) {
	ln, err := b.Open("tcp", addr)
	if err != nil {
		return nil, Error.New("%s: %w", field, err)
	}
	return ln, nil
}

// Duties runs the duties of a process, a goroutine for each, and waits for them.
type Duties struct {
	ctx context.Context
	wg  sync.WaitGroup
}

// NewDuties returns duties that end with the context.
func NewDuties(ctx context.Context) *Duties { return &Duties{ctx: ctx} }

// Go starts one duty.
func (d *Duties) Go(duty func(context.Context)) { d.wg.Go(func() { duty(d.ctx) }) }

// Every starts a duty that does one thing at each interval.
func (d *Duties) Every(interval time.Duration, do func(context.Context)) {
	d.Go(func(ctx context.Context) {
		t := time.NewTicker(interval)
		defer t.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-t.C:
				do(ctx)
			}
		}
	})
}

// Serve starts an HTTP server; it is closed when the duties' context ends.
func (d *Duties) Serve(s *http.Server, ln net.Listener, secure *tls.Config) {
	if secure != nil {
		ln = tls.NewListener(ln, secure)
	}
	d.Go(func(ctx context.Context) {
		stop := context.AfterFunc(ctx, func() { _ = s.Close() })
		defer stop()
		if err := s.Serve(ln); err != nil && !errors.Is(err, http.ErrServerClosed) {
			_ = s.Close()
		}
	})
}

// lastBytes bounds the wait for the ends of answers whose handlers have returned: time enough for
// a busy VM to write a few kilobytes. A caller that does not read is not waited for longer.
const lastBytes = time.Second

// Finish lets a server's last answers get out before its duty ends. When a handler returns, the
// end of its answer may still be in a buffer, or wait for a slow connection; closing the server
// then would cut it, and the caller would see "unexpected EOF".
func Finish(s *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), lastBytes)
	defer cancel()
	if s.Shutdown(ctx) != nil {
		_ = s.Close() // who is left does not read
	}
}

// Wait waits for all duties to end.
func (d *Duties) Wait() { d.wg.Wait() }
