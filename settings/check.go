package settings

import (
	"net"
	"net/url"
	"time"

	"github.com/arbutusmill/arbutusmill/fielderrors"
	"github.com/arbutusmill/arbutusmill/fleet"
	"github.com/rs/zerolog"
)

// checker collects errors by field.
type checker struct{ fielderrors.List }

func (c *checker) require(ok bool, field, format string, args ...any) {
	if !ok {
		c.Add(field, format, args...)
	}
}

// Check returns an error that lists every invalid field.
func (s *Settings) Check() error {
	c := &checker{}
	c.require(fleet.ValidName(s.VM), "vm", "%q is not a name (lower-case letters, digits, . _ / -)", s.VM)
	c.require(fleet.ValidName(s.Datacentre), "datacentre", "%q is not a name", s.Datacentre)
	c.role(s)
	c.address("listen.link", s.Listen.Link)
	c.address("listen.admin", s.Listen.Admin)
	c.url("platform.store", s.Platform.Store)
	c.url("platform.vms", s.Platform.VMs)
	c.durations(s)
	c.security(s)
	c.numbers(s)
	if _, err := zerolog.ParseLevel(s.Log.Level); err != nil || s.Log.Level == "" {
		c.Add("log.level", "%q is not a level", s.Log.Level)
	}
	return Error.Wrap(c.Err())
}

func (c *checker) role(s *Settings) {
	switch s.Role {
	case RoleRouter:
		c.address("listen.callers", s.Listen.Callers)
		c.require(s.Listen.Work == "", "listen.work", "is for agents only")
		c.require(s.Upstream.URL == "", "upstream", "is for agents only")
	case RoleAgent:
		c.address("listen.work", s.Listen.Work)
		c.require(s.Listen.Callers == "", "listen.callers", "is for routers only")
		c.url("upstream.url", s.Upstream.URL)
		c.require(fleet.ValidName(s.Upstream.Service), "upstream.service", "%q is not a name", s.Upstream.Service)
		c.require(s.Upstream.Slots > 0, "upstream.slots", "must be positive")
		c.require(s.Upstream.Queue >= 0, "upstream.queue", "must not be negative")
	default:
		c.Add("role", "%q is neither router nor agent", s.Role)
	}
}

func (c *checker) address(field, addr string) {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		c.Add(field, "%q is not host:port", addr)
		return
	}
	c.require(net.ParseIP(host) != nil, field, "%q is not an IP number", host)
}

func (c *checker) url(field, raw string) {
	u, err := url.Parse(raw)
	ok := err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != ""
	c.require(ok, field, "%q is not an http or https URL", raw)
}

func (c *checker) durations(s *Settings) {
	positive := []struct {
		field string
		value fleet.Duration
	}{
		{"platform.timeout", s.Platform.Timeout},
		{"platform.list_interval", s.Platform.ListInterval},
		{"platform.list_lag", s.Platform.ListLag},
		{"platform.config_interval", s.Platform.ConfigInterval},
		{"budgets.rebalance", s.Budgets.Rebalance},
		{"budgets.report", s.Budgets.Report},
		{"budgets.place", s.Budgets.PlacementInterval},
		{"budgets.peer_timeout", s.Budgets.PeerTimeout},
		{"budgets.lot_idle", s.Budgets.LotIdle},
		{"budgets.recover_interval", s.Budgets.RecoverInterval},
		{"budgets.forfeit_after", s.Budgets.ForfeitAfter},
		{"ledger.flush", s.Ledger.Flush},
		{"limits.write_timeout", s.Limits.WriteTimeout},
		{"links.heartbeat", s.Links.Heartbeat},
		{"links.dial_timeout", s.Links.DialTimeout},
		{"stop_timeout", s.StopTimeout},
	}
	for _, p := range positive {
		c.require(p.value > 0, p.field, "must be positive, with a unit")
	}
	c.require(s.StopNotice >= 0, "stop_notice", "must not be negative")
	c.require(time.Duration(s.StopNotice) < time.Duration(s.StopTimeout), "stop_notice", "must be shorter than stop_timeout")
}

func (c *checker) security(s *Settings) {
	p := s.Security.Processes
	all := p.Cert != "" && p.Key != "" && p.CA != ""
	none := p.Cert == "" && p.Key == "" && p.CA == ""
	c.require(all || none, "security.processes_tls", "needs cert_file, key_file and ca_file")
	k := s.Security.Callers
	c.require((k.Cert == "") == (k.Key == ""), "security.callers_tls", "needs cert_file and key_file")
	if all {
		return
	}
	c.require(s.Security.SharedSecret != "", "security", "needs processes_tls or shared_secret")
	for field, addr := range map[string]string{"listen.link": s.Listen.Link, "listen.work": s.Listen.Work} {
		// Without TLS only loopback is allowed: an eavesdropper on a network
		// could replay a secret sent in the clear.
		c.require(addr == "" || isLoopback(addr), field, "%q is not a loopback address; processes_tls is needed there", addr)
	}
}

func isLoopback(addr string) bool {
	host, _, err := net.SplitHostPort(addr)
	ip := net.ParseIP(host)
	return err == nil && ip != nil && ip.IsLoopback()
}

func (c *checker) numbers(s *Settings) {
	b := s.Budgets
	c.require(b.Pages > 0, "budgets.pages", "must be positive")
	c.require(b.HoldersPerDatacentre > 0, "budgets.holders_per_datacentre", "must be positive")
	c.require(b.Favour == FavourAvailability || b.Favour == FavourExactness,
		"budgets.favour", "%q is neither availability nor exactness", b.Favour)
	c.require(s.Ledger.Shards > 0, "ledger.shards", "must be positive")
	c.require(s.Ledger.Window > 0, "ledger.window_segments", "must be positive")
	c.require(s.Ledger.Backlog > 0, "ledger.backlog_charges", "must be positive")
	c.require(s.Limits.BodyBytes > 0, "limits.body_bytes", "must be positive")
	c.require(s.Limits.HeaderBytes > 0, "limits.header_bytes", "must be positive")
	c.require(s.Limits.Concurrent > 0, "limits.concurrent_requests", "must be positive")
}
