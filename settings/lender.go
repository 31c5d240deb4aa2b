package settings

import (
	"bytes"
	"os"
	"time"

	"github.com/arbutusmill/arbutusmill/fleet"
	"github.com/goccy/go-yaml"
	"github.com/rs/zerolog"
)

// Lender holds the settings of a process that holds budgets on the VM of an upstream. The
// platform fills them in from the template in deploy/.
type Lender struct {
	VM         string `yaml:"vm"`
	Datacentre string `yaml:"datacentre"`
	// Regions maps each data centre to its region.
	Regions   map[string]string `yaml:"regions"`
	Distances Distances         `yaml:"distances"`
	Listen    LenderListen      `yaml:"listen"`
	Store     HostedStore       `yaml:"store"`
	Log       Log               `yaml:"log"`
	Budgets   HostedBudgets     `yaml:"budgets"`
	Upstream  LocalUpstream     `yaml:"upstream"`
	Queueing  Queueing          `yaml:"queueing"`
	Limits    LenderLimits      `yaml:"limits"`
	Stop      LenderStop        `yaml:"stop"`
}

// LenderListen holds the addresses (host:port) that a lender listens on.
type LenderListen struct {
	// Admin is for health, metrics and dumps.
	Admin string `yaml:"admin"`
	// Link is for routers that borrow tokens. Only the system's own VMs may reach it.
	Link string `yaml:"link"`
}

// LocalUpstream is the upstream on the lender's VM.
type LocalUpstream struct {
	// Address is its host:port; "" means that there is none.
	Address string `yaml:"address"`
	// Interval is the interval between status queries, and Timeout the bound on each.
	Interval fleet.Duration `yaml:"interval"`
	Timeout  fleet.Duration `yaml:"timeout"`
	// PrefillPerMs is the number of prompt tokens that it prefills per millisecond.
	PrefillPerMs float64 `yaml:"prefill_tokens_per_ms"`
}

// LenderLimits bounds a lender's use of its VM.
type LenderLimits struct {
	// MemoryMB is the memory (MiB) that the process may use.
	MemoryMB int `yaml:"memory_mb"`
}

// LenderStop configures a planned stop.
type LenderStop struct {
	// Grace is the time from the signal to the end of the process.
	Grace fleet.Duration `yaml:"grace"`
}

// DefaultLender returns the default values. A file overrides them field by field.
func DefaultLender() Lender {
	g := DefaultGateway()
	s := Lender{
		Log:       g.Log,
		Distances: g.Distances,
		Store:     g.Store,
		Budgets:   g.Budgets,
		// An upstream that leaves keeps running for two seconds or more after it
		// reports so. Queries on the same VM cost nothing.
		Upstream: LocalUpstream{
			Interval: fleet.Duration(500 * time.Millisecond),
			Timeout:  fleet.Duration(300 * time.Millisecond),

			PrefillPerMs: g.Upstreams.PrefillPerMs,
		},
		Limits: LenderLimits{MemoryMB: 128},
		Stop:   LenderStop{Grace: g.Stop.Grace},
	}
	// Lenders reach the store while routers are disconnected from it, so their tokens
	// only have to outlast outages of the store itself.
	s.Budgets.Horizon = fleet.Duration(4 * time.Second)
	// Of 6, 8, 10 and 20 percent, 10 is best across an outage of the whole store and a crash
	// of all processes: less prolongs refusals in the former, more loses tokens in the latter.
	s.Budgets.MaxLoss = 0.1
	// A team that lost a tenth loses a hundredth with each further crash of all processes.
	s.Budgets.MinHeld = 0.01
	return s
}

// LoadLender reads and checks a lender's settings file.
func LoadLender(path string) (*Lender, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return ParseLender(b)
}

// ParseLender parses and checks a lender's settings. An unknown field is an error with its
// line and column.
func ParseLender(b []byte) (*Lender, error) {
	s := DefaultLender()
	if err := yaml.NewDecoder(bytes.NewReader(b), yaml.Strict()).Decode(&s); err != nil {
		return nil, Error.New("%s", yaml.FormatError(err, false, true))
	}
	if err := s.Check(); err != nil {
		return nil, err
	}
	return &s, nil
}

// Check returns an error that lists every invalid field.
func (s *Lender) Check() error {
	c := &checker{}
	c.require(s.VM != "", "vm", "is missing")
	c.require(s.Datacentre != "", "datacentre", "is missing")
	c.address("listen.admin", s.Listen.Admin)
	c.address("listen.link", s.Listen.Link)
	c.hosted(s.Store, s.Budgets, s.Log)
	c.positive("distances.between_regions", s.Distances.BetweenRegions)
	if s.Upstream.Address != "" {
		c.address("upstream.address", s.Upstream.Address)
	}
	c.positive("upstream.interval", s.Upstream.Interval)
	c.positive("upstream.timeout", s.Upstream.Timeout)
	c.require(s.Upstream.PrefillPerMs > 0, "upstream.prefill_tokens_per_ms", "must be positive")
	c.require(s.Limits.MemoryMB > 0, "limits.memory_mb", "must be positive")
	c.positive("stop.grace", s.Stop.Grace)
	return Error.Wrap(c.Err())
}

// hosted checks the settings shared by all processes on the operators' platform.
func (c *checker) hosted(s HostedStore, b HostedBudgets, l Log) {
	c.address("store.address", s.Address)
	c.positive("store.timeout", s.Timeout)
	c.positive("store.watch_wait", s.WatchWait)
	c.positive("store.watch_pause", s.WatchPause)
	c.positive("store.member_ttl", s.MemberTTL)
	c.positive("store.member_interval", s.MemberInterval)
	c.require(b.Pages > 0, "budgets.pages", "must be positive")
	c.positive("budgets.horizon", b.Horizon)
	c.require(b.MaxLoss >= 0 && b.MaxLoss <= 1, "budgets.most_lost", "must be between 0 and 1")
	c.require(b.MinHeld >= 0 && b.MinHeld <= b.MaxLoss, "budgets.least_held", "must be between 0 and budgets.most_lost")
	c.positive("budgets.demand_window", b.DemandWindow)
	c.positive("budgets.report", b.Report)
	c.positive("budgets.store_wait", b.StoreWait)
	c.positive("budgets.peer_wait", b.PeerWait)
	c.positive("budgets.wait", b.Wait)
	if _, err := zerolog.ParseLevel(l.Level); err != nil || l.Level == "" {
		c.Add("log.level", "%q is not a level", l.Level)
	}
}

// positive requires a duration above zero.
func (c *checker) positive(field string, d fleet.Duration) {
	c.require(d > 0, field, "must be positive, with a unit")
}
