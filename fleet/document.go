// Package fleet defines the configuration that operators apply: teams, services,
// presets, and the active preset. It is one validated document, replaced as a whole.
package fleet

import (
	"bytes"
	"fmt"
	"time"

	"github.com/arbutusmill/arbutusmill/contract"
	"github.com/arbutusmill/arbutusmill/team"
	"github.com/goccy/go-yaml"
	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("configuration")

// MaxDocumentBytes bounds the document, well below the store's value limit.
const MaxDocumentBytes = 768 << 10

// Document is the whole configuration.
type Document struct {
	Teams    []*team.Team `yaml:"teams" json:"teams"`
	Services []*Service   `yaml:"services" json:"services"`
	Presets  []*Preset    `yaml:"presets" json:"presets"`
	// Preset is the name of the active preset.
	Preset string `yaml:"preset" json:"preset"`
}

// Service kinds.
const (
	KindEngine = "engine"
	KindPlain  = "plain"
)

// Service is a service for callers: models on engines, or a plain service.
type Service struct {
	Name string `yaml:"name" json:"name"`
	// Kind is engine or plain.
	Kind string `yaml:"kind" json:"kind"`
	// Models are the model names that an engine service serves.
	Models []string `yaml:"models,omitempty" json:"models,omitempty"`
	// PriceTokens is the cost of a call to a plain service, in tokens.
	PriceTokens int64 `yaml:"price_tokens,omitempty" json:"price_tokens,omitempty"`
	// MaxOutputTokens is the maximum and the default of a request's output tokens.
	MaxOutputTokens int64 `yaml:"max_output_tokens,omitempty" json:"max_output_tokens,omitempty"`
	// IdempotentMethods are the methods of a plain service whose calls may be
	// retried; all others run at most once.
	IdempotentMethods []string `yaml:"idempotent_methods,omitempty" json:"idempotent_methods,omitempty"`
	// Timeout bounds a request from its arrival to its end.
	Timeout Duration `yaml:"timeout,omitempty" json:"timeout,omitempty"`
}

// Preset is a named set of priorities.
type Preset struct {
	Name string `yaml:"name" json:"name"`
	// Rules are evaluated in order; the first that matches gives the class.
	Rules []Rule `yaml:"rules,omitempty" json:"rules,omitempty"`
	// Default is the class if no rule matches.
	Default string `yaml:"default" json:"default"`
}

// Rule assigns a class to matching requests. An empty field matches everything.
type Rule struct {
	Team    string `yaml:"team,omitempty" json:"team,omitempty"`
	Service string `yaml:"service,omitempty" json:"service,omitempty"`
	// Task is the value of the caller's X-Task header, such as "review".
	Task  string `yaml:"task,omitempty" json:"task,omitempty"`
	Class string `yaml:"class" json:"class"`
}

// Duration is a time.Duration written with its unit, such as 30s.
type Duration time.Duration

// UnmarshalYAML reads a duration with its unit.
func (d *Duration) UnmarshalYAML(b []byte) error {
	var s string
	if err := yaml.Unmarshal(b, &s); err != nil {
		return err
	}
	return d.UnmarshalText([]byte(s))
}

// MarshalYAML writes the duration with its unit.
func (d Duration) MarshalYAML() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	if err != nil {
		return fmt.Errorf("%q is not a duration with a unit, such as 30s", b)
	}
	*d = Duration(v)
	return nil
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// Defaults of a service.
const (
	DefaultTimeout         = Duration(2 * time.Minute)
	DefaultMaxOutputTokens = 1024
)

// Parse decodes a document strictly: an unknown field is an error with its line
// and column. Defaults are set and the document is validated.
func Parse(b []byte) (*Document, error) {
	if len(b) > MaxDocumentBytes {
		return nil, Error.New("document has %d bytes; the maximum is %d", len(b), MaxDocumentBytes)
	}
	doc := &Document{}
	dec := yaml.NewDecoder(bytes.NewReader(b), yaml.Strict())
	if err := dec.Decode(doc); err != nil {
		return nil, Error.New("%s", yaml.FormatError(err, false, true))
	}
	doc.setDefaults()
	return doc, doc.Check()
}

func (d *Document) setDefaults() {
	for _, s := range d.Services {
		if s == nil {
			continue
		}
		if s.Timeout == 0 {
			s.Timeout = DefaultTimeout
		}
		if s.Kind == KindEngine && s.MaxOutputTokens == 0 {
			s.MaxOutputTokens = DefaultMaxOutputTokens
		}
	}
}

// Class returns the class that the preset assigns to a request.
func (p *Preset) Class(teamName, service, task string) contract.Class {
	for _, r := range p.Rules {
		if matches(r.Team, teamName) && matches(r.Service, service) && matches(r.Task, task) {
			c, _ := contract.ParseClass(r.Class)
			return c
		}
	}
	c, _ := contract.ParseClass(p.Default)
	return c
}

func matches(want, have string) bool { return want == "" || want == have }
