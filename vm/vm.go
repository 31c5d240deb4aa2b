// Package vm describes the machines of a fleet: the platform's lagging list of
// them, and what a process learnt sooner.
package vm

import (
	"context"
	"strings"
)

// Role is what a VM's process does.
type Role string

// The roles.
const (
	Router Role = "router"
	Agent  Role = "agent"
)

// State is a VM's state in the platform's list.
type State string

// The states.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// VM is one line of the platform's list.
type VM struct {
	ID         string `json:"id" yaml:"id"`
	Datacentre string `json:"datacentre" yaml:"datacentre"`
	Role       Role   `json:"role" yaml:"role"`
	State      State  `json:"state" yaml:"state"`
	// Link is the address (host:port) for control messages.
	Link string `json:"link" yaml:"link"`
	// Work is the address of an agent for requests.
	Work string `json:"work,omitempty" yaml:"work,omitempty"`
	// Service is what an agent's upstream serves.
	Service string `json:"service,omitempty" yaml:"service,omitempty"`
}

// Lister is the platform's list of VMs. It lags behind what happens.
type Lister interface {
	// List returns the live and leaving VMs.
	List(ctx context.Context) ([]VM, error)
}

// IDOf returns the VM of an incarnation's name.
func IDOf(incarnation string) string {
	id, _, _ := strings.Cut(incarnation, "#")
	return id
}
