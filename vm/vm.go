// Package vm describes the VMs of a fleet: the platform's list of them, which lags,
// and newer information that a process received from the VMs themselves.
package vm

import (
	"context"
	"strings"
)

// Role is the function of a VM's process.
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

// VM is one entry of the platform's list.
type VM struct {
	ID         string `json:"id" yaml:"id"`
	Datacentre string `json:"datacentre" yaml:"datacentre"`
	Role       Role   `json:"role" yaml:"role"`
	State      State  `json:"state" yaml:"state"`
	// Link is the address (host:port) for control messages.
	Link string `json:"link" yaml:"link"`
	// Work is an agent's address for requests.
	Work string `json:"work,omitempty" yaml:"work,omitempty"`
	// Service is the service of an agent's upstream.
	Service string `json:"service,omitempty" yaml:"service,omitempty"`
}

// Lister reads the platform's list of VMs. The list lags behind changes.
type Lister interface {
	// List returns the live and leaving VMs.
	List(ctx context.Context) ([]VM, error)
}

// IDOf returns the id of the VM in an incarnation's name.
func IDOf(incarnation string) string {
	id, _, _ := strings.Cut(incarnation, "#")
	return id
}
