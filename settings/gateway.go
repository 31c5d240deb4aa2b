package settings

import (
	"bytes"
	"os"
	"time"

	"github.com/arbutusmill/arbutusmill/fleet"
	"github.com/goccy/go-yaml"
)

// Gateway are the settings of a router on the operators' platform. The platform fills
// them in from the template in deploy/.
type Gateway struct {
	VM         string `yaml:"vm"`
	Datacentre string `yaml:"datacentre"`
	// Regions maps each data centre to its region.
	Regions   map[string]string `yaml:"regions"`
	Listen    GatewayListen     `yaml:"listen"`
	Store     HostedStore       `yaml:"store"`
	Log       Log               `yaml:"log"`
	Budgets   HostedBudgets     `yaml:"budgets"`
	Repeats   Repeats           `yaml:"repeats"`
	Upstreams Upstreams         `yaml:"upstreams"`
	Cold      Cold              `yaml:"cold"`
	Limits    GatewayLimits     `yaml:"limits"`
	Stop      Stop              `yaml:"stop"`
}

// GatewayListen are the addresses (host:port) that a gateway listens on.
type GatewayListen struct {
	// Callers is for callers.
	Callers string `yaml:"callers"`
	// Ready is for the balancer's question whether to send callers here.
	Ready string `yaml:"ready"`
	// Admin is for health, metrics and dumps.
	Admin string `yaml:"admin"`
	// Link is for control messages of other routers. Only the system's own VMs may
	// reach it.
	Link string `yaml:"link"`
}

// HostedStore is how a process on the operators' platform reaches its store.
type HostedStore struct {
	// Address is host:port.
	Address string `yaml:"address"`
	// Timeout bounds one call.
	Timeout fleet.Duration `yaml:"timeout"`
	// WatchWait is how long one waiting call of a watch waits.
	WatchWait fleet.Duration `yaml:"watch_wait"`
	// WatchPause follows each call of a watch that brought events.
	WatchPause fleet.Duration `yaml:"watch_pause"`
	// MemberTTL is the lease of a process's own entry, and MemberInterval the pause
	// between two renewals of it.
	MemberTTL      fleet.Duration `yaml:"member_ttl"`
	MemberInterval fleet.Duration `yaml:"member_interval"`
}

// HostedBudgets is how a process on the operators' platform holds prepaid budgets.
type HostedBudgets struct {
	// Pages is the number of values that the accounts are spread over; the same
	// for the whole fleet, for its life.
	Pages int `yaml:"pages"`
	// Horizon is the longest cut from the store that a router's tokens should
	// outlast at recent demand.
	Horizon fleet.Duration `yaml:"horizon"`
	// MostLost is the share of what is left of a budget that is kept available while the
	// store answers well (0..1): what is available is lost when the process dies. 0 is no
	// such bound, for processes that are cut off from the store without a warning.
	MostLost float64 `yaml:"most_lost"`
	// DemandWindow is the time constant of the average of recent demand.
	DemandWindow fleet.Duration `yaml:"demand_window"`
	// Report is the longest time that use stays unreported.
	Report fleet.Duration `yaml:"report"`
	// StoreWait bounds what one request waits for the store's tokens, PeerWait
	// what it waits for those of one other process, and Wait all of it.
	StoreWait fleet.Duration `yaml:"store_wait"`
	PeerWait  fleet.Duration `yaml:"peer_wait"`
	Wait      fleet.Duration `yaml:"wait"`
}

// Repeats bounds the sends beyond the first of each request, for the whole fleet.
type Repeats struct {
	// Ratio is the share of a service's requests that may be repeated.
	Ratio float64 `yaml:"ratio"`
	// Extra is the number of repeats allowed beside that in each window.
	Extra float64 `yaml:"extra"`
	// Window is the span in which both are counted.
	Window fleet.Duration `yaml:"window"`
}

// Cold bounds the requests in any second to an upstream that has just started, from all routers
// together: Overshoot times the rate that its service names, and Slack.
type Cold struct {
	Overshoot float64 `yaml:"overshoot"`
	Slack     float64 `yaml:"slack"`
}

// Upstreams is how upstreams are called.
type Upstreams struct {
	// DialTimeout bounds the start of a connection.
	DialTimeout fleet.Duration `yaml:"dial_timeout"`
	// IdleTimeout is how long a kept connection to an upstream may be unused.
	IdleTimeout fleet.Duration `yaml:"idle_timeout"`
	// PrefillPerMs is the prompt tokens that an engine reads in a millisecond.
	PrefillPerMs float64 `yaml:"prefill_tokens_per_ms"`
	// AnnounceTimeout bounds one message to the process beside an engine.
	AnnounceTimeout fleet.Duration `yaml:"announce_timeout"`
}

// GatewayLimits bound what a gateway takes on.
type GatewayLimits struct {
	// Concurrent is the most requests in progress.
	Concurrent int `yaml:"concurrent_requests"`
	// WriteTimeout bounds the wait for a slow caller to take one piece.
	WriteTimeout fleet.Duration `yaml:"write_timeout"`
	// MemoryMB is the memory (MiB) that the process may use.
	MemoryMB int `yaml:"memory_mb"`
	// LinkMbps is the rate (Mbit/s) of the VM's network link; 0 is no limit.
	LinkMbps float64 `yaml:"link_mbps"`
}

// Stop is how a planned stop goes.
type Stop struct {
	// Notice is how long callers' new connections are still served while the
	// balancer learns that this router is leaving.
	Notice fleet.Duration `yaml:"notice"`
	// Grace is the time from the signal to the end of the process.
	Grace fleet.Duration `yaml:"grace"`
}

// DefaultGateway returns the default values. A file overrides them field by field.
func DefaultGateway() Gateway {
	return Gateway{
		Log: Log{Level: "info"},
		Store: HostedStore{
			// A call takes some milliseconds; a store that is slow by a factor
			// of 80 still answers within the bound.
			Timeout: fleet.Duration(1500 * time.Millisecond),
			// A store that loses its history may leave a waiting call without
			// the changes of that time, and one that is lost silently leaves it
			// without an answer; only its end tells. Changes must be in force
			// within two seconds all the same, and a few processes only wait.
			WatchWait: fleet.Duration(time.Second),
			// Small beside the two seconds in which changes must be in force.
			WatchPause: fleet.Duration(300 * time.Millisecond),
			// Three times the cuts from the store that are usual.
			MemberTTL: fleet.Duration(30 * time.Second),
			// Three renewals may be lost before an entry ends. An entry that
			// ended sooner is seen by its process among the others', and
			// written again at once.
			MemberInterval: fleet.Duration(7500 * time.Millisecond),
		},
		Budgets: HostedBudgets{
			// Each page is a writer that reports once a second: with 16 of them a fleet
			// of 30 routers made a tenth more calls of the store. All budgets of a page
			// have one home, so a few keep a death from reaching all teams.
			Pages: 4,
			// Cuts of seven to nine seconds are usual.
			Horizon:      fleet.Duration(10 * time.Second),
			DemandWindow: fleet.Duration(10 * time.Second),
			Report:       fleet.Duration(time.Second),
			StoreWait:    fleet.Duration(400 * time.Millisecond),
			// The home may have to ask the store in this time; a store that is
			// slow by a factor of 100 answers within it.
			PeerWait: fleet.Duration(500 * time.Millisecond),
			// Two peers and the store, one after the other.
			Wait: fleet.Duration(1200 * time.Millisecond),
		},
		Repeats: Repeats{Ratio: 0.2, Extra: 50, Window: fleet.Duration(10 * time.Second)},
		Upstreams: Upstreams{
			DialTimeout:  fleet.Duration(400 * time.Millisecond),
			IdleTimeout:  fleet.Duration(3 * time.Second),
			PrefillPerMs: 50,
			// Small beside the goals for the first event, and many times a
			// way between data centres.
			AnnounceTimeout: fleet.Duration(40 * time.Millisecond),
		},
		Cold:   Cold{Overshoot: 1},
		Limits: GatewayLimits{Concurrent: 2000, WriteTimeout: fleet.Duration(10 * time.Second), MemoryMB: 128},
		// The balancer asks once a second and needs two misses.
		Stop: Stop{Notice: fleet.Duration(3 * time.Second), Grace: fleet.Duration(8 * time.Second)},
	}
}

// LoadGateway reads and checks a gateway's settings file.
func LoadGateway(path string) (*Gateway, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return ParseGateway(b)
}

// ParseGateway reads and checks a gateway's settings. An unknown field is an error with
// its line and column.
func ParseGateway(b []byte) (*Gateway, error) {
	s := DefaultGateway()
	if err := yaml.NewDecoder(bytes.NewReader(b), yaml.Strict()).Decode(&s); err != nil {
		return nil, Error.New("%s", yaml.FormatError(err, false, true))
	}
	if err := s.Check(); err != nil {
		return nil, err
	}
	return &s, nil
}

// Check verifies all settings and names each wrong field.
func (s *Gateway) Check() error {
	c := &checker{}
	c.require(s.VM != "", "vm", "is missing")
	c.require(s.Datacentre != "", "datacentre", "is missing")
	c.address("listen.callers", s.Listen.Callers)
	c.address("listen.ready", s.Listen.Ready)
	c.address("listen.admin", s.Listen.Admin)
	c.address("listen.link", s.Listen.Link)
	c.hosted(s.Store, s.Budgets, s.Log)
	c.require(s.Repeats.Ratio >= 0, "repeats.ratio", "must not be negative")
	c.require(s.Repeats.Extra >= 0, "repeats.extra", "must not be negative")
	c.require(s.Cold.Overshoot >= 1, "cold.overshoot", "must be 1 or more")
	c.require(s.Cold.Slack >= 0, "cold.slack", "must not be negative")
	c.require(s.Upstreams.PrefillPerMs > 0, "upstreams.prefill_tokens_per_ms", "must be positive")
	c.require(s.Limits.Concurrent > 0, "limits.concurrent_requests", "must be positive")
	c.require(s.Limits.LinkMbps >= 0, "limits.link_mbps", "must not be negative")
	c.require(s.Limits.MemoryMB > 0, "limits.memory_mb", "must be positive")
	c.require(s.Stop.Notice < s.Stop.Grace, "stop.notice", "must be shorter than stop.grace")
	c.positive("repeats.window", s.Repeats.Window)
	c.positive("upstreams.dial_timeout", s.Upstreams.DialTimeout)
	c.positive("upstreams.idle_timeout", s.Upstreams.IdleTimeout)
	c.positive("upstreams.announce_timeout", s.Upstreams.AnnounceTimeout)
	c.positive("limits.write_timeout", s.Limits.WriteTimeout)
	c.positive("stop.notice", s.Stop.Notice)
	return Error.Wrap(c.Err())
}
