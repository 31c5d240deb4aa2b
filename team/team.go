// Package team defines the customers: their names, their keys, and which budget
// pays for which service.
package team

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"encoding/hex"
)

// DefaultBudget is the key in Budgets that applies to services without an entry.
const DefaultBudget = "default"

// Team is one customer.
type Team struct {
	Name string `yaml:"name" json:"name"`
	// Keys are the SHA-256 hashes (hex) of the keys that callers may use. Several
	// keys may be valid at once, so that a key can be rotated.
	Keys []string `yaml:"key_sha256" json:"key_sha256"`
	// Budgets maps a service to the budget that pays for it.
	Budgets map[string]string `yaml:"budgets" json:"budgets"`
	// Services lists the services that the team may use; empty means all.
	Services []string `yaml:"services,omitempty" json:"services,omitempty"`
}

// Budget returns the budget that pays for a service.
func (t *Team) Budget(service string) string {
	if b := t.Budgets[service]; b != "" {
		return b
	}
	return t.Budgets[DefaultBudget]
}

// MayUse reports whether the team may use a service.
func (t *Team) MayUse(service string) bool {
	if len(t.Services) == 0 {
		return true
	}
	for _, s := range t.Services {
		if s == service {
			return true
		}
	}
	return false
}

// HashKey returns the stored form of a key: its SHA-256 hash in hex.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// keyBytes is the entropy of a new key.
const keyBytes = 32

// NewKey returns a new random key in plain text.
func NewKey() string {
	b := make([]byte, keyBytes)
	_, _ = rand.Read(b) // never returns an error
	return "am_" + base64.RawURLEncoding.EncodeToString(b)
}

// Directory finds the team of a key.
type Directory struct {
	byHash map[string]*Team
}

// NewDirectory indexes the teams' keys.
func NewDirectory(teams []*Team) *Directory {
	d := &Directory{byHash: map[string]*Team{}}
	for _, t := range teams {
		for _, k := range t.Keys {
			d.byHash[k] = t
		}
	}
	return d
}

// Authenticate returns the team of a key, and false for an unknown key. The lookup
// uses the key's hash, which a caller cannot control, and the stored hash is compared
// in constant time.
func (d *Directory) Authenticate(key string) (*Team, bool) {
	h := HashKey(key)
	t, ok := d.byHash[h]
	if !ok {
		return nil, false
	}
	for _, k := range t.Keys {
		if subtle.ConstantTimeCompare([]byte(k), []byte(h)) == 1 {
			return t, true
		}
	}
	return nil, false
}
