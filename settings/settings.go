// Package settings reads a process's settings from YAML. Unknown fields are
// errors, all defaults are in one place, and each error names its field.
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

// Roles in a settings file.
const (
	RoleRouter = "router"
	RoleAgent  = "agent"
)

// Settings holds the settings of a router or an agent.
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
	// StopNotice is the time between reporting not ready and refusing new
	// work, in which the balancer detects it.
	StopNotice fleet.Duration `yaml:"stop_notice"`
}

// Listen holds the addresses (host:port) that a process listens on.
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

// Platform configures access to external systems.
type Platform struct {
	// Store is the base URL of the key-value service.
	Store string `yaml:"store"`
	// VMs is the URL of the list of VMs.
	VMs string `yaml:"vms"`
	// Timeout bounds one call.
	Timeout fleet.Duration `yaml:"timeout"`
	// ListInterval is the interval between reads of the list of VMs.
	ListInterval fleet.Duration `yaml:"list_interval"`
	// ListLag is the maximum delay of that list.
	ListLag fleet.Duration `yaml:"list_lag"`
	// ConfigInterval is the interval between reads of the configuration
	// in addition to the watch.
	ConfigInterval fleet.Duration `yaml:"config_interval"`
}

// Security configures authentication between processes and TLS for callers.
type Security struct {
	// Callers is the certificate of a router's listener for callers.
	Callers KeyPair `yaml:"callers_tls"`
	// Processes is the certificate and CA for mutual TLS between processes.
	Processes MutualTLS `yaml:"processes_tls"`
	// SharedSecret replaces mutual TLS where every address is a loopback
	// address.
	SharedSecret string `yaml:"shared_secret"`
}

// KeyPair holds paths of PEM files; either both are set or neither.
type KeyPair struct {
	Cert string `yaml:"cert_file"`
	Key  string `yaml:"key_file"`
}

// MutualTLS holds paths of PEM files; either all are set or none.
type MutualTLS struct {
	Cert string `yaml:"cert_file"`
	Key  string `yaml:"key_file"`
	CA   string `yaml:"ca_file"`
}

// Configured reports whether mutual TLS is configured.
func (m MutualTLS) Configured() bool { return m.Cert != "" }

// Log configures the log.
type Log struct {
	// Level is debug, info, warn or error.
	Level string `yaml:"level"`
}

// Values of Budgets.Favour.
const (
	FavourAvailability = "availability"
	FavourExactness    = "exactness"
)

// Budgets configures how a router holds tokens.
type Budgets struct {
	// Pages is the number of account pages; it is the same for the whole fleet
	// and never changes.
	Pages int `yaml:"pages"`
	// Favour is availability (few false refusals) or exactness (the last
	// tokens are kept in one place).
	Favour string `yaml:"favour"`
	// HoldersPerDatacentre is the number of routers of a data centre that have
	// their own grants of a page; the others borrow from them.
	HoldersPerDatacentre int `yaml:"holders_per_datacentre"`
	// AdoptFrom is the minimum demand (tokens per second) of other routers at
	// which a router takes grants of a budget that it has not used; if negative,
	// it takes grants of all budgets.
	AdoptFrom float64        `yaml:"adopt_from_tokens_per_second"`
	Rebalance fleet.Duration `yaml:"rebalance"`
	Report    fleet.Duration `yaml:"report"`
	// PlacementInterval is the interval between scans of all pages for budgets whose tokens
	// this router should hold although it has received no request for them.
	PlacementInterval fleet.Duration `yaml:"place"`
	// PeerTimeout bounds one request for a lot.
	PeerTimeout fleet.Duration `yaml:"peer_timeout"`
	// LotIdle is the time after which an unused lot is returned.
	LotIdle fleet.Duration `yaml:"lot_idle"`
	// RecoverInterval is the interval between checks for dead holders.
	RecoverInterval fleet.Duration `yaml:"recover_interval"`
	// ForfeitAfter is the time after which missing evidence is considered lost.
	ForfeitAfter fleet.Duration `yaml:"forfeit_after"`
}

// Ledger configures how charges are stored.
type Ledger struct {
	// Shards is the number of shards; it is the same for the whole fleet and
	// never changes.
	Shards int `yaml:"shards"`
	// Window is the number of recent segments whose ids stay in memory.
	Window int `yaml:"window_segments"`
	// Flush is the interval of the group commit.
	Flush fleet.Duration `yaml:"flush"`
	// Backlog is the maximum number of charges that wait in one process.
	Backlog int `yaml:"backlog_charges"`
}

// Limits bounds callers' requests.
type Limits struct {
	BodyBytes   int64 `yaml:"body_bytes"`
	HeaderBytes int   `yaml:"header_bytes"`
	// Concurrent is the maximum number of requests in progress in a router.
	Concurrent int `yaml:"concurrent_requests"`
	// WriteTimeout bounds one write to a slow caller.
	WriteTimeout fleet.Duration `yaml:"write_timeout"`
}

// Links configures the connections between processes.
type Links struct {
	// Heartbeat is the interval of heartbeats; three without a response close
	// a connection.
	Heartbeat fleet.Duration `yaml:"heartbeat"`
	// DialTimeout is how long messages wait for a connection to be opened.
	DialTimeout fleet.Duration `yaml:"dial_timeout"`
}

// Upstream configures the upstream on an agent's VM.
type Upstream struct {
	// Service is the name of the configured service that it serves.
	Service string `yaml:"service"`
	// URL is the upstream's base address.
	URL string `yaml:"url"`
	// Slots is the maximum number of requests that run at once.
	Slots int `yaml:"slots"`
	// Queue is the maximum number of requests that wait, per class.
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
			Rebalance:         fleet.Duration(time.Minute),
			Report:            fleet.Duration(5 * time.Minute),
			PlacementInterval: fleet.Duration(time.Minute),
			PeerTimeout:       fleet.Duration(500 * time.Millisecond),
			LotIdle:           fleet.Duration(5 * time.Second),
			RecoverInterval:   fleet.Duration(10 * time.Second),
			ForfeitAfter:      fleet.Duration(time.Hour),
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

// Parse parses and checks settings. An unknown field is an error with its line
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
