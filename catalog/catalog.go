// Package catalog holds the active configuration: routes, services, teams and limits, as one value
// that is replaced as a whole.
package catalog

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kind determines whether requests of a route may be retried.
type Kind int

// The kinds of routes.
const (
	// Unsafe requests run at most once.
	Unsafe Kind = iota
	// Safe requests are idempotent.
	Safe
	// Streaming requests are answered by a series of events. They run at most once, unless the
	// route is resumable.
	Streaming
)

// Config is one version of the configuration.
type Config struct {
	// Version increases with each change, not always by one.
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
	// Targets are the services with their weights; the sum of the weights is positive.
	Targets []Target
	// Timeout is the maximum time that a caller waits.
	Timeout time.Duration
	// Goal is the latency objective for the answer; for a stream, for its first event.
	Goal time.Duration
	// GapGoal is the objective for the longest gap between two events.
	GapGoal time.Duration
	// MaxRuns is the maximum number of upstreams on which one request may run.
	MaxRuns int
	// Rank is the priority; 0 is the most urgent.
	Rank int
	// Public routes need no key.
	Public bool
	// Generative requests carry a model, token counts and the parts of their prompt.
	Generative bool
	// Resumable streams may continue at another upstream after their last event.
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

// Service is a group of upstreams to which routes send requests.
type Service struct {
	Name string
	// MaxConnections is the maximum number of connections to one upstream from all callers
	// together.
	MaxConnections int
	// Engine is nil for plain services.
	Engine *Engine
	Cold   ColdStart
}

// ColdStart describes the load that upstreams sustain just after their start.
type ColdStart struct {
	// Duration is how long an upstream is cold after its start.
	Duration time.Duration
	// PerSecond is the number of requests per second that a cold upstream sustains; 0 is no bound.
	PerSecond float64
}

// Engine holds the common properties of the upstreams of a model service.
type Engine struct {
	// Slots is the maximum number of requests that run in one batch.
	Slots int
	// CacheTokens is the memory, in tokens, for running requests and cached prompt parts.
	CacheTokens int64
	// TokensPerEvent is the maximum number of tokens in one event of a stream.
	TokensPerEvent int64
	// BytesPerToken is the size of one token's cache entry in a transfer.
	BytesPerToken int64
	// LinkMbps is the rate of a transfer between two engines.
	LinkMbps float64
}

// Team is a customer with keys and an optional prepaid budget.
type Team struct {
	Name string
	Keys []string
	// Rank overrides that of a route; nil keeps the route's.
	Rank *int
	// Prepaid is the total number of tokens that the team may use; 0 is no limit.
	Prepaid int64
	// NoTokens is set if the team has paid for none, so that all its requests for tokens are refused.
	NoTokens bool
	// Regions are those in which its requests may be served.
	Regions Regions
}

// Limits bounds the requests that callers may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Table is an immutable Config with lookup indexes.
type Table struct {
	*Config
	// routes maps host and prefix to a route.
	routes     map[string]map[string]*Route
	teamsByKey map[string]*Team
	teams      map[string]*Team
}

// NewTable builds the lookup indexes of a configuration.
func NewTable(c *Config) *Table {
	t := &Table{Config: c, routes: map[string]map[string]*Route{}, teamsByKey: map[string]*Team{}, teams: map[string]*Team{}}
	for i := range c.Routes {
		r := &c.Routes[i]
		if t.routes[r.Host] == nil {
			t.routes[r.Host] = map[string]*Route{}
		}
		t.routes[r.Host][r.Prefix] = r
	}
	for i := range c.Teams {
		t.teams[c.Teams[i].Name] = &c.Teams[i]
		for _, k := range c.Teams[i].Keys {
			t.teamsByKey[k] = &c.Teams[i]
		}
	}
	return t
}

// Route returns the host's route with the longest prefix that matches path, nil if there is none.
func (t *Table) Route(host, path string) *Route {
	prefixes := t.routes[host]
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

// Team returns the team that holds the key, nil if there is none.
func (t *Table) Team(key string) *Team { return t.teamsByKey[key] }

// TeamNamed returns the team of that name, nil if there is none.
func (t *Table) TeamNamed(name string) *Team { return t.teams[name] }

// KeysNeeded reports whether requests on routes that are not public need a key.
func (t *Table) KeysNeeded() bool { return len(t.Teams) > 0 }

// Target chooses the service of one request by the weights of the route. Equal ids get the same
// service.
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
