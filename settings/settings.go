// Package settings reads a process's settings from YAML: strictly, with all
// defaults in one place, and each mistake named by its field.
package settings

import (
	"bytes"
	"os"
	"time"

	"github.com/arbutusmill/arbutusmill/fleet"
	"github.com/goccy/go-yaml"
	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("settings")

// Role names in a settings file.
const (
	RoleRouter = "router"
	RoleAgent  = "agent"
)

// Settings are those of one process.
type Settings struct {
	// Role is router or agent.
	Role string `yaml:"role"`
	// VM is the id of this VM, as in the platform's list.
	VM         string `yaml:"vm"`
	Datacentre string `yaml:"datacentre"`
	// Regions maps each data centre to its region.
	Regions  map[string]string `yaml:"regions"`
	Listen   Listen            `yaml:"listen"`
	Platform Platform          `yaml:"platform"`
	Security Security          `yaml:"security"`
	Log      Log               `yaml:"log"`
	Budgets  Budgets           `yaml:"budgets"`
	Ledger   Ledger            `yaml:"ledger"`
	Limits   Limits            `yaml:"limits"`
	Links    Links             `yaml:"links"`
	// Upstream is for agents only.
	Upstream Upstream `yaml:"upstream"`
	// StopTimeout bounds a planned stop.
	StopTimeout fleet.Duration `yaml:"stop_timeout"`
	// StopNotice is the time between the not-ready answer and the end of
	// new work, for the balancer to notice.
	StopNotice fleet.Duration `yaml:"stop_notice"`
}

// Listen are the addresses (host:port) a process listens on.
type Listen struct {
	// Callers is a router's address for callers.
	Callers string `yaml:"callers"`
	// Work is an agent's address for routers.
	Work string `yaml:"work"`
	// Link is the address for control messages.
	Link string `yaml:"link"`
	// Admin is the address for health, metrics and dumps.
	Admin string `yaml:"admin"`
}

// Platform is where the outside systems are.
type Platform struct {
	// Store is the base URL of the key-value service.
	Store string `yaml:"store"`
	// VMs is the URL of the list of VMs.
	VMs string `yaml:"vms"`
	// Timeout bounds one call.
	Timeout fleet.Duration `yaml:"timeout"`
	// ListInterval is the pause between two reads of the list of VMs.
	ListInterval fleet.Duration `yaml:"list_interval"`
	// ListLag is the longest time by which that list is late.
	ListLag fleet.Duration `yaml:"list_lag"`
	// ConfigInterval is the pause between two reads of the configuration
	// beside the watch.
	ConfigInterval fleet.Duration `yaml:"config_interval"`
}

// Security is how processes and callers are known.
type Security struct {
	// Callers is the certificate of a router's callers' address.
	Callers KeyPair `yaml:"callers_tls"`
	// Processes is the certificate and authority between processes.
	Processes MutualTLS `yaml:"processes_tls"`
	// SharedSecret stands in for mutual TLS where every address is a
	// loopback address.
	SharedSecret string `yaml:"shared_secret"`
}

// KeyPair names PEM files; both are empty or none.
type KeyPair struct {
	Cert string `yaml:"cert_file"`
	Key  string `yaml:"key_file"`
}

// MutualTLS names PEM files; all are empty or none.
type MutualTLS struct {
	Cert string `yaml:"cert_file"`
	Key  string `yaml:"key_file"`
	CA   string `yaml:"ca_file"`
}

// Set reports whether mutual TLS is configured.
func (m MutualTLS) Set() bool { return m.Cert != "" }

// Log is how events are written.
type Log struct {
	// Level is debug, info, warn or error.
	Level string `yaml:"level"`
}

// Budget weights.
const (
	FavourAvailability = "availability"
	FavourExactness    = "exactness"
)

// Budgets is how a router holds tokens.
type Budgets struct {
	// Pages is the number of account pages; the same for the whole fleet, for
	// its life.
	Pages int `yaml:"pages"`
	// Favour is availability (few false refusals) or exactness (the last
	// tokens kept together).
	Favour string `yaml:"favour"`
	// HoldersPerDatacentre is how many routers of a data centre have grants
	// of one page of their own; the others borrow from them.
	HoldersPerDatacentre int `yaml:"holders_per_datacentre"`
	// AdoptFrom is the demand (tokens a second) of others from which a router
	// takes grants of a budget that it has not used; negative adopts all.
	AdoptFrom float64        `yaml:"adopt_from_tokens_per_second"`
	Rebalance fleet.Duration `yaml:"rebalance"`
	Report    fleet.Duration `yaml:"report"`
	// Place is the pause between two looks at all pages for budgets that this
	// router should hold tokens of although nobody asked here.
	Place fleet.Duration `yaml:"place"`
	// PeerTimeout bounds one request for a lot.
	PeerTimeout fleet.Duration `yaml:"peer_timeout"`
	// LotIdle is the time after which an unused lot goes back.
	LotIdle fleet.Duration `yaml:"lot_idle"`
	// RecoverInterval is the pause between two looks for dead holders.
	RecoverInterval fleet.Duration `yaml:"recover_interval"`
	// ForfeitAfter is the time after which missing evidence counts as lost.
	ForfeitAfter fleet.Duration `yaml:"forfeit_after"`
}

// Ledger is how charges are kept.
type Ledger struct {
	// Shards is the number of shards; the same for the whole fleet, for its
	// life.
	Shards int `yaml:"shards"`
	// Window is the number of recent segments whose ids stay in memory.
	Window int `yaml:"window_segments"`
	// Flush is the interval of the group commit.
	Flush fleet.Duration `yaml:"flush"`
	// Backlog is the most charges that wait in one process.
	Backlog int `yaml:"backlog_charges"`
}

// Limits bound what callers may send.
type Limits struct {
	BodyBytes   int64 `yaml:"body_bytes"`
	HeaderBytes int   `yaml:"header_bytes"`
	// Concurrent is the most requests in progress in a router.
	Concurrent int `yaml:"concurrent_requests"`
	// WriteTimeout bounds the wait for a slow caller to take one piece.
	WriteTimeout fleet.Duration `yaml:"write_timeout"`
}

// Links is how processes watch each other.
type Links struct {
	// Heartbeat is the interval of heartbeats; three without an answer end
	// a connection.
	Heartbeat fleet.Duration `yaml:"heartbeat"`
	// DialTimeout bounds a connection's start.
	DialTimeout fleet.Duration `yaml:"dial_timeout"`
}

// Upstream is what an agent stands beside.
type Upstream struct {
	// Service is the service of the configuration that it serves.
	Service string `yaml:"service"`
	// URL is the upstream's base address.
	URL string `yaml:"url"`
	// Slots is the most requests that run at once.
	Slots int `yaml:"slots"`
	// Queue is the most requests that wait, for each class.
	Queue int `yaml:"queue"`
}

// Default returns the default values. A file overrides them field by field.
func Default() Settings {
	return Settings{
		Log:         Log{Level: "info"},
		StopTimeout: fleet.Duration(2 * time.Minute),
		StopNotice:  fleet.Duration(3 * time.Second),
		Platform: Platform{
			Timeout:        fleet.Duration(2 * time.Second),
			ListInterval:   fleet.Duration(2 * time.Second),
			ListLag:        fleet.Duration(30 * time.Second),
			ConfigInterval: fleet.Duration(20 * time.Second),
		},
		Budgets: Budgets{
			Pages: 4, Favour: FavourAvailability, HoldersPerDatacentre: 3, AdoptFrom: -1,
			Rebalance:       fleet.Duration(time.Minute),
			Report:          fleet.Duration(5 * time.Minute),
			Place:           fleet.Duration(time.Minute),
			PeerTimeout:     fleet.Duration(500 * time.Millisecond),
			LotIdle:         fleet.Duration(5 * time.Second),
			RecoverInterval: fleet.Duration(10 * time.Second),
			ForfeitAfter:    fleet.Duration(time.Hour),
		},
		Ledger: Ledger{Shards: 4, Window: 600, Flush: fleet.Duration(time.Second), Backlog: 50_000},
		Limits: Limits{BodyBytes: 1 << 20, HeaderBytes: 32 << 10, Concurrent: 4096,
			WriteTimeout: fleet.Duration(30 * time.Second)},
		Links: Links{Heartbeat: fleet.Duration(2 * time.Second), DialTimeout: fleet.Duration(time.Second)},
		Upstream: Upstream{
			Slots: 8, Queue: 64,
		},
	}
}

// Load reads and checks a settings file.
func Load(path string) (*Settings, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return Parse(b)
}

// Parse reads and checks settings. An unknown field is an error with its line
// and column.
func Parse(b []byte) (*Settings, error) {
	s := Default()
	if err := yaml.NewDecoder(bytes.NewReader(b), yaml.Strict()).Decode(&s); err != nil {
		return nil, Error.New("%s", yaml.FormatError(err, false, true))
	}
	if err := s.Check(); err != nil {
		return nil, err
	}
	return &s, nil
}
