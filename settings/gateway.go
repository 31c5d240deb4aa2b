package settings

import (
	"bytes"
	"os"
	"time"

	"github.com/arbutusmill/arbutusmill/fleet"
	"github.com/goccy/go-yaml"
)

// Gateway holds the settings of a router on the operators' platform. The platform fills
// them in from the template in deploy/.
type Gateway struct {
	VM         string `yaml:"vm"`
	Datacentre string `yaml:"datacentre"`
	// Regions maps each data centre to its region.
	Regions       map[string]string `yaml:"regions"`
	Distances     Distances         `yaml:"distances"`
	Listen        GatewayListen     `yaml:"listen"`
	Store         HostedStore       `yaml:"store"`
	Configuration Configuration     `yaml:"configuration"`
	Log           Log               `yaml:"log"`
	Budgets       HostedBudgets     `yaml:"budgets"`
	Retries       Retries           `yaml:"repeats"`
	Upstreams     Upstreams         `yaml:"upstreams"`
	Cold          Cold              `yaml:"cold"`
	Rollouts      Rollouts          `yaml:"rollouts"`
	Queueing      Queueing          `yaml:"queueing"`
	Limits        GatewayLimits     `yaml:"limits"`
	Stop          Stop              `yaml:"stop"`
}

// GatewayListen holds the addresses (host:port) that a gateway listens on.
type GatewayListen struct {
	// Callers is for callers.
	Callers string `yaml:"callers"`
	// Ready is for the balancer's readiness checks.
	Ready string `yaml:"ready"`
	// Admin is for health, metrics and dumps.
	Admin string `yaml:"admin"`
	// Link is for control messages of other routers. Only the system's own VMs may
	// reach it.
	Link string `yaml:"link"`
}

// HostedStore configures store access of a process on the operators' platform.
type HostedStore struct {
	// Address is host:port.
	Address string `yaml:"address"`
	// Timeout bounds one call.
	Timeout fleet.Duration `yaml:"timeout"`
	// WatchWait is how long one watch call waits for events.
	WatchWait fleet.Duration `yaml:"watch_wait"`
	// WatchPause is the pause after each watch call that returned events.
	WatchPause fleet.Duration `yaml:"watch_pause"`
	// MemberTTL is the TTL of the lease on the process's own member entry, and
	// MemberInterval the interval between its renewals.
	MemberTTL      fleet.Duration `yaml:"member_ttl"`
	MemberInterval fleet.Duration `yaml:"member_interval"`
}

// Configuration bounds the use of a router's copy of what operators write.
type Configuration struct {
	// ApplyWithin is the time within which a change must be in force. A router refuses no request for good because of a copy that
	// the store has not confirmed for longer.
	ApplyWithin fleet.Duration `yaml:"apply_within"`
}

// HostedBudgets configures prepaid budgets of a process on the operators' platform.
type HostedBudgets struct {
	// Pages is the number of store values that the accounts are spread over; it is the
	// same for the whole fleet and never changes.
	Pages int `yaml:"pages"`
	// Horizon is the longest disconnection from the store that a router's tokens
	// should outlast at recent demand.
	Horizon fleet.Duration `yaml:"horizon"`
	// MaxLoss is the maximum share (0..1) of a budget's remaining tokens that is kept
	// available while the store responds normally: available tokens are lost when the
	// process dies. 0 means no bound, for processes that lose the store without warning.
	MaxLoss float64 `yaml:"most_lost"`
	// MinHeld is the minimum of that share: tokens lost with dead processes reduce MaxLoss down to it.
	MinHeld float64 `yaml:"least_held"`
	// DemandWindow is the time constant of the average of recent demand.
	DemandWindow fleet.Duration `yaml:"demand_window"`
	// Report is the maximum time for which usage stays unreported.
	Report fleet.Duration `yaml:"report"`
	// StoreWait bounds how long a request waits for tokens from the store, PeerWait
	// how long it waits for tokens from one other process, and Wait the total.
	StoreWait fleet.Duration `yaml:"store_wait"`
	PeerWait  fleet.Duration `yaml:"peer_wait"`
	Wait      fleet.Duration `yaml:"wait"`
	// Regional gives each region of a fleet its own primary lender of each page; it has no effect in a fleet of one region.
	// It is the same for the whole fleet.
	Regional bool `yaml:"regional"`
}

// Retries limits the retries of requests, for the whole fleet.
type Retries struct {
	// Ratio is the share of a service's requests that may be retried.
	Ratio float64 `yaml:"ratio"`
	// Extra is the number of additional retries allowed in each window.
	Extra float64 `yaml:"extra"`
	// Window is the period over which both are counted.
	Window fleet.Duration `yaml:"window"`
}

// Cold limits the requests per second from all routers together to an upstream that has just
// started: Overshoot times the rate configured for its service, plus Slack.
type Cold struct {
	Overshoot float64 `yaml:"overshoot"`
	Slack     float64 `yaml:"slack"`
}

// Rollouts bounds what a bad version of a service may get while the service moves to it.
type Rollouts struct {
	// MaxShare is the maximum share (0..1) of the service's requests from the order to its
	// deadline; MaxExtra is a number of requests beyond it.
	MaxShare float64 `yaml:"max_share"`
	MaxExtra int     `yaml:"max_extra"`
	// RollBack is the time after which a version that has proven bad gets nothing more.
	RollBack fleet.Duration `yaml:"roll_back"`
}

// Upstreams configures calls to upstreams.
type Upstreams struct {
	// DialTimeout bounds connection setup.
	DialTimeout fleet.Duration `yaml:"dial_timeout"`
	// IdleTimeout is how long an idle connection to an upstream is kept.
	IdleTimeout fleet.Duration `yaml:"idle_timeout"`
	// PrefillPerMs is the number of prompt tokens that an engine prefills per millisecond.
	PrefillPerMs float64 `yaml:"prefill_tokens_per_ms"`
	// AnnounceTimeout bounds one message to the lender on an engine's VM.
	AnnounceTimeout fleet.Duration `yaml:"announce_timeout"`
}

// GatewayLimits bounds the load that a gateway accepts and its use of resources.
type GatewayLimits struct {
	// Concurrent is the maximum number of requests in progress; 0 is as many as take two fifths of MemoryMB, and no more
	// than 2,000.
	Concurrent int `yaml:"concurrent_requests"`
	// Descriptors is the number of file descriptors that the process may use.
	Descriptors int `yaml:"descriptors"`
	// Connections is the maximum number of callers' connections; 0 is half of Descriptors without those that are
	// reserved, since each connection may need one to an upstream, but a quarter of Descriptors at least.
	Connections int `yaml:"connections"`
	// WriteTimeout bounds one write to a slow caller.
	WriteTimeout fleet.Duration `yaml:"write_timeout"`
	// MemoryMB is the memory (MiB) that the process may use.
	MemoryMB int `yaml:"memory_mb"`
	// BodiesMB is the memory (MiB) that the bodies of callers' requests may take together; 0 is a quarter of MemoryMB.
	BodiesMB int `yaml:"bodies_mb"`
	// LinkMbps is the rate (Mbit/s) of the VM's network link; 0 is no limit.
	LinkMbps float64 `yaml:"link_mbps"`
}

const (
	// maxDefaultConcurrent is the maximum number of requests in progress if it is not set.
	maxDefaultConcurrent = 2000
	// defaultConcurrentShare is the part of the process's memory that requests in progress may take if their number is not
	// set, and requestBytes what one takes without its body and response, with what the collector leaves.
	defaultConcurrentShare = 0.4
	requestBytes           = 48 << 10
)

// MaxConcurrent returns the maximum number of requests in progress.
func (l GatewayLimits) MaxConcurrent() int {
	if l.Concurrent > 0 {
		return l.Concurrent
	}
	return min(maxDefaultConcurrent, max(1, int(defaultConcurrentShare*float64(l.MemoryMB)*bytesPerMiB/requestBytes)))
}

// reservedDescriptors is the number of descriptors for files, and for connections to the store and other processes.
const reservedDescriptors = 500

// minConnectionsPart is the part of the descriptors that callers' connections may take at least if their number is not set.
const minConnectionsPart = 4

// MaxConnections returns the maximum number of callers' connections.
func (l GatewayLimits) MaxConnections() int {
	if l.Connections > 0 {
		return l.Connections
	}
	return max(1, l.Descriptors/minConnectionsPart, (l.Descriptors-reservedDescriptors)/2)
}

// defaultBodiesShare is the part of the process's memory that callers' bodies may take together if it is not set.
const defaultBodiesShare = 0.25

// bytesPerMiB converts MiB to bytes.
const bytesPerMiB = 1 << 20

// BodyBytes returns the bytes that the bodies of callers' requests may take together.
func (l GatewayLimits) BodyBytes() int64 {
	if l.BodiesMB > 0 {
		return int64(l.BodiesMB) * bytesPerMiB
	}
	return int64(defaultBodiesShare * float64(l.MemoryMB) * bytesPerMiB)
}

// Stop configures a planned stop.
type Stop struct {
	// Notice is how long new connections of callers are still served after the
	// router reports not ready, until the balancer detects it.
	Notice fleet.Duration `yaml:"notice"`
	// Grace is the time from the signal to the end of the process.
	Grace fleet.Duration `yaml:"grace"`
}

// DefaultGateway returns the default values. A file overrides them field by field.
func DefaultGateway() Gateway {
	return Gateway{
		Distances: defaultDistances(),
		Log:       Log{Level: "info"},
		Store: HostedStore{
			// A call takes a few milliseconds; a store that is 80 times slower
			// still responds within the timeout.
			Timeout: fleet.Duration(1500 * time.Millisecond),
			// A store that loses its history may omit the changes of that time
			// from a pending call, and one that fails silently never responds;
			// this shows only when the call ends. Changes must still take effect
			// within two seconds, and only a few processes have pending calls.
			WatchWait: fleet.Duration(time.Second),
			// Small compared with the two seconds in which changes must take effect.
			WatchPause: fleet.Duration(300 * time.Millisecond),
			// Three times the usual length of a disconnection from the store.
			MemberTTL: fleet.Duration(30 * time.Second),
			// Three renewals may be lost before an entry expires. A process that
			// sees in the member list that its entry expired earlier recreates it
			// at once.
			MemberInterval: fleet.Duration(7500 * time.Millisecond),
		},
		Configuration: Configuration{ApplyWithin: fleet.Duration(2 * time.Second)},
		Budgets: HostedBudgets{
			// Each page has a writer that reports once a second: with 16 pages a fleet
			// of 30 routers made a tenth more store calls. All budgets of a page share
			// one primary, so with several pages its failure doesn't affect all teams.
			Pages: 4,
			// Disconnections of seven to nine seconds are usual.
			Horizon:      fleet.Duration(10 * time.Second),
			DemandWindow: fleet.Duration(10 * time.Second),
			Report:       fleet.Duration(time.Second),
			StoreWait:    fleet.Duration(400 * time.Millisecond),
			// The primary may have to query the store in this time; a store that is
			// 100 times slower than usual responds within it.
			PeerWait: fleet.Duration(500 * time.Millisecond),
			// Two peers and the store, one after the other.
			Wait: fleet.Duration(1200 * time.Millisecond),
		},
		Retries: Retries{Ratio: 0.2, Extra: 50, Window: fleet.Duration(10 * time.Second)},
		Upstreams: Upstreams{
			DialTimeout:  fleet.Duration(400 * time.Millisecond),
			IdleTimeout:  fleet.Duration(3 * time.Second),
			PrefillPerMs: 50,
			// Small compared with the goals for the time to the first event, and
			// many times the one-way latency between data centres.
			AnnounceTimeout: fleet.Duration(40 * time.Millisecond),
		},
		Cold:     Cold{Overshoot: 1},
		Rollouts: Rollouts{MaxShare: 0.1, MaxExtra: 50, RollBack: fleet.Duration(5 * time.Second)},
		Limits:   GatewayLimits{Descriptors: 4096, WriteTimeout: fleet.Duration(10 * time.Second), MemoryMB: 128},
		// The balancer probes once a second and needs two failures. The platform lets a stop cut long requests only if
		// they were sent within three seconds of the signal, which a busy VM handles late.
		Stop: Stop{Notice: fleet.Duration(2500 * time.Millisecond), Grace: fleet.Duration(8 * time.Second)},
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

// ParseGateway parses and checks a gateway's settings. An unknown field is an error with
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

// Check returns an error that lists every invalid field.
func (s *Gateway) Check() error {
	c := &checker{}
	c.require(s.VM != "", "vm", "is missing")
	c.require(s.Datacentre != "", "datacentre", "is missing")
	c.address("listen.callers", s.Listen.Callers)
	c.address("listen.ready", s.Listen.Ready)
	c.address("listen.admin", s.Listen.Admin)
	c.address("listen.link", s.Listen.Link)
	c.hosted(s.Store, s.Budgets, s.Log)
	c.positive("configuration.apply_within", s.Configuration.ApplyWithin)
	c.positive("distances.between_regions", s.Distances.BetweenRegions)
	c.require(s.Retries.Ratio >= 0, "repeats.ratio", "must not be negative")
	c.require(s.Retries.Extra >= 0, "repeats.extra", "must not be negative")
	c.require(s.Cold.Overshoot >= 1, "cold.overshoot", "must be 1 or more")
	c.require(s.Cold.Slack >= 0, "cold.slack", "must not be negative")
	c.require(s.Rollouts.MaxShare > 0 && s.Rollouts.MaxShare <= 1, "rollouts.max_share", "must be above 0 and at most 1")
	c.require(s.Rollouts.MaxExtra >= 0, "rollouts.max_extra", "must not be negative")
	c.positive("rollouts.roll_back", s.Rollouts.RollBack)
	c.require(s.Upstreams.PrefillPerMs > 0, "upstreams.prefill_tokens_per_ms", "must be positive")
	c.require(s.Limits.Concurrent >= 0, "limits.concurrent_requests", "must not be negative")
	c.require(s.Limits.LinkMbps >= 0, "limits.link_mbps", "must not be negative")
	c.require(s.Limits.MemoryMB > 0, "limits.memory_mb", "must be positive")
	c.require(s.Limits.Descriptors > 0, "limits.descriptors", "must be positive")
	c.require(s.Limits.Connections >= 0, "limits.connections", "must not be negative")
	c.require(s.Limits.BodiesMB >= 0 && s.Limits.BodiesMB <= s.Limits.MemoryMB, "limits.bodies_mb", "must not be negative, nor above limits.memory_mb")
	c.require(s.Stop.Notice < s.Stop.Grace, "stop.notice", "must be shorter than stop.grace")
	c.positive("repeats.window", s.Retries.Window)
	c.positive("upstreams.dial_timeout", s.Upstreams.DialTimeout)
	c.positive("upstreams.idle_timeout", s.Upstreams.IdleTimeout)
	c.positive("upstreams.announce_timeout", s.Upstreams.AnnounceTimeout)
	c.positive("limits.write_timeout", s.Limits.WriteTimeout)
	c.positive("stop.notice", s.Stop.Notice)
	return Error.Wrap(c.Err())
}
