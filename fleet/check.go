package fleet

import (
	"encoding/hex"
	"fmt"
	"net/http"
	"regexp"
	"slices"

	"github.com/arbutusmill/arbutusmill/contract"
	"github.com/arbutusmill/arbutusmill/fielderrors"
	"github.com/arbutusmill/arbutusmill/team"
)

// namePattern restricts the names of teams, services, presets and budgets, which become
// parts of store keys and paths.
var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._/-]{0,127}$`)

// ValidName reports whether a name matches the allowed pattern.
func ValidName(name string) bool { return namePattern.MatchString(name) }

// checker collects validation errors by field.
type checker struct{ fielderrors.List }

func (c *checker) name(field, name string) {
	if !ValidName(name) {
		c.Add(field, "%q is not a name (lower-case letters, digits, . _ / -)", name)
	}
}

func (c *checker) unique(seen map[string]bool, field, name string) {
	if seen[name] {
		c.Add(field, "%q is duplicated", name)
	}
	seen[name] = true
}

// Check validates the document and returns an error that lists each invalid field.
func (d *Document) Check() error {
	c := &checker{}
	services := c.services(d.Services)
	teams := c.teams(d.Teams, services)
	c.presets(d, teams, services)
	return Error.Wrap(c.Err())
}

func (c *checker) services(list []*Service) map[string]bool {
	names, models := map[string]bool{}, map[string]bool{}
	for i, s := range list {
		at := fmt.Sprintf("services[%d]", i)
		if s == nil {
			c.Add(at, "is empty")
			continue
		}
		c.name(at+".name", s.Name)
		c.unique(names, at+".name", s.Name)
		c.service(at, s)
		for _, m := range s.Models {
			c.unique(models, at+".models", m)
		}
	}
	return names
}

func (c *checker) service(at string, s *Service) {
	if s.Timeout <= 0 {
		c.Add(at+".timeout", "must be positive")
	}
	if s.PriceTokens < 0 || s.MaxOutputTokens < 0 {
		c.Add(at+".price_tokens, .max_output_tokens", "must not be negative")
	}
	switch s.Kind {
	case KindEngine:
		if len(s.Models) == 0 {
			c.Add(at+".models", "an engine service needs at least one")
		}
	case KindPlain:
		if len(s.Models) > 0 {
			c.Add(at+".models", "a plain service has none")
		}
	default:
		c.Add(at+".kind", "%q is neither engine nor plain", s.Kind)
	}
	for _, m := range s.IdempotentMethods {
		if !slices.Contains(methods, m) {
			c.Add(at+".idempotent_methods", "%q is not an HTTP method", m)
		}
	}
}

var methods = []string{http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut,
	http.MethodPatch, http.MethodDelete, http.MethodOptions}

func (c *checker) teams(list []*team.Team, services map[string]bool) map[string]bool {
	names, keys := map[string]bool{}, map[string]bool{}
	for i, t := range list {
		at := fmt.Sprintf("teams[%d]", i)
		if t == nil {
			c.Add(at, "is empty")
			continue
		}
		c.name(at+".name", t.Name)
		c.unique(names, at+".name", t.Name)
		for _, k := range t.Keys {
			c.key(at+".key_sha256", k)
			c.unique(keys, at+".key_sha256", k)
		}
		for s, b := range t.Budgets {
			c.name(at+".budgets."+s, b)
			if s != team.DefaultBudget && !services[s] {
				c.Add(at+".budgets", "there is no service %q", s)
			}
		}
		for _, s := range t.Services {
			if !services[s] {
				c.Add(at+".services", "there is no service %q", s)
			}
		}
	}
	return names
}

func (c *checker) key(at, k string) {
	if b, err := hex.DecodeString(k); err != nil || len(b) != 32 {
		c.Add(at, "is not a SHA-256 hash in hex")
	}
}

func (c *checker) presets(d *Document, teams, services map[string]bool) {
	names := map[string]bool{}
	for i, p := range d.Presets {
		at := fmt.Sprintf("presets[%d]", i)
		if p == nil {
			c.Add(at, "is empty")
			continue
		}
		c.name(at+".name", p.Name)
		c.unique(names, at+".name", p.Name)
		c.class(at+".default", p.Default)
		for j, r := range p.Rules {
			at := fmt.Sprintf("%s.rules[%d]", at, j)
			c.class(at+".class", r.Class)
			if r.Team != "" && !teams[r.Team] {
				c.Add(at+".team", "there is no team %q", r.Team)
			}
			if r.Service != "" && !services[r.Service] {
				c.Add(at+".service", "there is no service %q", r.Service)
			}
		}
	}
	if !names[d.Preset] {
		c.Add("preset", "there is no preset %q", d.Preset)
	}
}

func (c *checker) class(at, name string) {
	if _, ok := contract.ParseClass(name); !ok {
		c.Add(at, "%q is neither urgent, normal nor deferrable", name)
	}
}
