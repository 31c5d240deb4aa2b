// Package catalog is the configuration that operators put in force: routes, services,
// teams and limits, as one value that is swapped whole.
package catalog

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kind says what may be repeated on a route.
type Kind int

// The kinds of routes.
const (
	// Unsafe requests run at most once.
	Unsafe Kind = iota
	// Safe requests are idempotent.
	Safe
	// Streaming requests are answered by a series of events. They run at most
	// once, unless the route is resumable.
	Streaming
)

// Config is one version of the configuration.
type Config struct {
	// Version grows with each change, in uneven steps.
	Version  int64
	Routes   []Route
	Services map[string]Service
	Teams    []Team
	Limits   Limits
}

// Route sends the requests of a host and path to a service.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Targets are the services with their weights; the weights' sum is positive.
	Targets []Target
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// Goal is the time within which an answer (the first event of a stream) is on time.
	Goal time.Duration
	// GapGoal is the longest pause between two events that is still on time.
	GapGoal time.Duration
	// MaxRuns is the most upstreams that one request may be run on.
	MaxRuns int
	// Rank is the priority; 0 goes first.
	Rank int
	// Public routes need no key.
	Public bool
	// Generative requests name a model, their tokens and the parts of their prompt.
	Generative bool
	// Resumable streams may go on at another upstream after their last event.
	Resumable bool
	// Regions are those in which requests may be served.
	Regions Regions
}

// Target is one service of a route.
type Target struct {
	Service string
	Weight  int
}

// Idempotent reports whether a request of the route may run more than once.
func (r *Route) Idempotent() bool { return r.Kind == Safe || r.Kind == Streaming && r.Resumable }

// Service is what stands behind routes.
type Service struct {
	Name string
	// MaxConnections is what one upstream accepts from all callers together.
	MaxConnections int
	// Engine is nil for plain services.
	Engine *Engine
	Cold   ColdStart
}

// ColdStart is what upstreams bear that have just started.
type ColdStart struct {
	// Duration is how long an upstream is cold after its start.
	Duration time.Duration
	// PerSecond is the requests a second that a cold one bears; 0 is no bound.
	PerSecond float64
}

// Engine is what the upstreams of a model service have in common.
type Engine struct {
	// Slots is the most requests that run in one batch.
	Slots int
	// CacheTokens is the memory for running requests and cached prompt parts.
	CacheTokens int64
	// TokensPerEvent is the most tokens that one event of a stream holds.
	TokensPerEvent int64
	// BytesPerToken is what one token's cache entry takes on a link.
	BytesPerToken int64
	// LinkMbps is the rate of a transfer between two engines.
	LinkMbps float64
}

// Team is a customer with keys and, perhaps, a prepaid budget.
type Team struct {
	Name string
	Keys []string
	// Rank goes before that of a route; nil leaves the route's.
	Rank *int
	// Prepaid is the total of tokens that the team may use; 0 is no limit.
	Prepaid int64
	// Regions are those in which its requests may be served.
	Regions Regions
}

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Table is a Config with its look-ups made ready. It is never changed.
type Table struct {
	*Config
	// hosts maps host and prefix to a route.
	hosts map[string]map[string]*Route
	keys  map[string]*Team
	names map[string]*Team
}

// NewTable prepares a configuration.
func NewTable(c *Config) *Table {
	t := &Table{Config: c, hosts: map[string]map[string]*Route{}, keys: map[string]*Team{}, names: map[string]*Team{}}
	for i := range c.Routes {
		r := &c.Routes[i]
		if t.hosts[r.Host] == nil {
			t.hosts[r.Host] = map[string]*Route{}
		}
		t.hosts[r.Host][r.Prefix] = r
	}
	for i := range c.Teams {
		t.names[c.Teams[i].Name] = &c.Teams[i]
		for _, k := range c.Teams[i].Keys {
			t.keys[k] = &c.Teams[i]
		}
	}
	return t
}

// Route returns the route of the host whose prefix is the longest that begins path.
func (t *Table) Route(host, path string) *Route {
	prefixes := t.hosts[host]
	for i := len(path); i > 0; i-- {
		if path[i-1] != '/' {
			continue
		}
		if r := prefixes[path[:i]]; r != nil {
			return r
		}
	}
	return nil
}

// Team returns the team that holds the key.
func (t *Table) Team(key string) *Team { return t.keys[key] }

// TeamNamed returns the team of that name, nil if there is none.
func (t *Table) TeamNamed(name string) *Team { return t.names[name] }

// KeysNeeded reports whether requests on routes that are not public need a key.
func (t *Table) KeysNeeded() bool { return len(t.Teams) > 0 }

// Target chooses the service of one request by the weights of the route. The same id
// gets the same service.
func (r *Route) Target(id string) string {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	if total <= 0 {
		return ""
	}
	at := int(xxhash.Sum64String(id) % uint64(total))
	for _, t := range r.Targets {
		if at -= t.Weight; at < 0 {
			return t.Service
		}
	}
	return ""
}
