// Package process contains what routers and agents have in common: from the settings
// it creates the log, store, links to other processes, list of VMs and admin listener.
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

	"github.com/arbutusmill/arbutusmill/bounded"
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

// Keys in the platform's store; other VMs use the same.
const (
	Prefix            = "arbutusmill/"
	PagePrefix        = Prefix + "budget/"
	LedgerPrefix      = Prefix + "ledger/"
	ClaimPrefix       = Prefix + "claim/"
	IncarnationPrefix = Prefix + "incarnation/"
	FenceKey          = Prefix + "fences"
)

// Base is the common part of a process.
type Base struct {
	Settings     *settings.Settings
	Log          zerolog.Logger
	Store        store.Store
	Lister       vm.Lister
	View         *vm.View
	Links        *link.Pool
	Security     link.Security
	Incarnations incarnation.Registry
	Fences       recovery.Fences
	Admin        *observe.Admin
	// Incarnation is the name of this incarnation of the process.
	Incarnation string
	// Open opens a listening address; net.Listen except in local fleets.
	Open Opener
}

// Opener opens a listening address, as net.Listen does.
type Opener func(network, address string) (net.Listener, error)

// maxIdleConnsPerHost bounds the idle connections to one address.
const maxIdleConnsPerHost = 256

// New creates the common part without calling other systems.
func New(s *settings.Settings, log io.Writer, open Opener) (*Base, error) {
	security, err := processSecurity(s.Security)
	if err != nil {
		return nil, err
	}
	client := &http.Client{
		Transport:     bounded.Transport(&http.Transport{MaxIdleConnsPerHost: maxIdleConnsPerHost}),
		CheckRedirect: bounded.KeepRedirects,
	}
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
		Incarnations: incarnation.Registry{Store: st, Prefix: IncarnationPrefix},
		Fences:       recovery.Fences{Store: st, Key: FenceKey},
		Admin:        &observe.Admin{},
	}, nil
}

// StartIncarnation starts a new incarnation of the process. It needs the store: without a new
// number a restarted process could be mistaken for its previous incarnation.
func (b *Base) StartIncarnation(ctx context.Context) error {
	name, err := b.Incarnations.Begin(ctx, b.Settings.VM, b.Settings.Role)
	if err != nil {
		return Error.Wrap(err)
	}
	b.Incarnation = name
	b.Log.Info().Str("incarnation", name).Msg("begun")
	return nil
}

// FollowVMs keeps the list of VMs up to date until the context ends.
func (b *Base) FollowVMs(ctx context.Context) {
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
	if !s.Processes.Configured() {
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
		return link.Security{}, Error.New("security.processes_tls.ca_file: contains no valid PEM certificate")
	}
	return link.Security{
		Server: &tls.Config{Certificates: []tls.Certificate{cert}, ClientCAs: pool,
			ClientAuth: tls.RequireAndVerifyClientCert, MinVersion: tls.VersionTLS13},
		Client: &tls.Config{Certificates: []tls.Certificate{cert}, RootCAs: pool, MinVersion: tls.VersionTLS13},
	}, nil
}

// Listen listens on the TCP address of a settings field; errors name the field.
func (b *Base) Listen(field, addr string) (net.Listener, error) {
	ln, err := b.Open("tcp", addr)
	if err != nil {
		return nil, Error.New("%s: %w", field, err)
	}
	return ln, nil
}

// TaskGroup runs background tasks of a process, a goroutine for each, and waits for them.
type TaskGroup struct {
	ctx context.Context
	wg  sync.WaitGroup
}

// NewTaskGroup returns an empty group; its tasks run until the context ends.
func NewTaskGroup(ctx context.Context) *TaskGroup { return &TaskGroup{ctx: ctx} }

// Go starts one task.
func (g *TaskGroup) Go(task func(context.Context)) { g.wg.Go(func() { task(g.ctx) }) }

// Every starts a task that calls do at each interval.
func (g *TaskGroup) Every(interval time.Duration, do func(context.Context)) {
	g.Go(func(ctx context.Context) {
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

// Serve starts an HTTP server that is closed when the context ends. It uses TLS if tlsConfig
// isn't nil.
func (g *TaskGroup) Serve(s *http.Server, ln net.Listener, tlsConfig *tls.Config) {
	if tlsConfig != nil {
		ln = tls.NewListener(ln, tlsConfig)
	}
	g.Go(func(ctx context.Context) {
		stop := context.AfterFunc(ctx, func() { _ = s.Close() })
		defer stop()
		if err := s.Serve(ln); err != nil && !errors.Is(err, http.ErrServerClosed) {
			_ = s.Close()
		}
	})
}

// shutdownTimeout bounds the wait for buffered responses whose handlers have returned: enough for a
// busy VM to write a few kilobytes. Callers that don't read are not waited for any longer.
const shutdownTimeout = time.Second

// ShutdownServer shuts a server down once its last responses are written, or after shutdownTimeout.
// When a handler returns, the end of its response may still be buffered or wait for a slow
// connection; closing the server at that point truncates it, and the caller sees "unexpected EOF".
func ShutdownServer(s *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if s.Shutdown(ctx) != nil {
		_ = s.Close() // the remaining callers don't read
	}
}

// Wait waits for all tasks to end.
func (g *TaskGroup) Wait() { g.wg.Wait() }
