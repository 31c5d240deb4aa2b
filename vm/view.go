package vm

import (
	"context"
	"slices"
	"sync"
	"time"
)

// View is what one process knows of the fleet's VMs: the platform's list, and what
// it learnt sooner from the VMs themselves.
type View struct {
	mu      sync.Mutex
	listed  map[string]VM
	leaving map[string]bool // on the VM's own word, whatever the list says
	updated time.Time
}

// NewView returns an empty view.
func NewView() *View { return &View{listed: map[string]VM{}, leaving: map[string]bool{}} }

// Set replaces the list. A VM that is gone from it is forgotten.
func (v *View) Set(list []VM) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.listed = map[string]VM{}
	for _, m := range list {
		v.listed[m.ID] = m
	}
	for id := range v.leaving {
		if _, ok := v.listed[id]; !ok {
			delete(v.leaving, id)
		}
	}
	v.updated = time.Now()
}

// MarkLeaving notes that a VM said itself that it is leaving.
func (v *View) MarkLeaving(id string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.leaving[id] = true
}

// MarkLive notes that a VM took work again: it was replaced under its old name.
func (v *View) MarkLive(id string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	delete(v.leaving, id)
}

// Get returns a listed VM.
func (v *View) Get(id string) (VM, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	m, ok := v.listed[id]
	return m, ok
}

// Agents returns the agents of a service that take new work, sorted by id.
func (v *View) Agents(service string) []VM {
	return v.filter(func(m VM) bool { return m.Role == Agent && m.Service == service && m.State == Live })
}

// AllAgents returns every listed agent, leaving ones included.
func (v *View) AllAgents() []VM {
	v.mu.Lock()
	defer v.mu.Unlock()
	var out []VM
	for _, m := range v.listed {
		if m.Role == Agent {
			out = append(out, m)
		}
	}
	sortByID(out)
	return out
}

// Routers returns the live routers, sorted by id.
func (v *View) Routers() []VM {
	return v.filter(func(m VM) bool { return m.Role == Router && m.State == Live })
}

func (v *View) filter(keep func(VM) bool) []VM {
	v.mu.Lock()
	defer v.mu.Unlock()
	var out []VM
	for id, m := range v.listed {
		if keep(m) && !v.leaving[id] {
			out = append(out, m)
		}
	}
	sortByID(out)
	return out
}

func sortByID(list []VM) {
	slices.SortFunc(list, func(a, b VM) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
}

// Follow reads the list at each interval until the context ends.
func (v *View) Follow(ctx context.Context, l Lister, interval time.Duration, failed func(error)) {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		if err := v.Refresh(ctx, l, interval); err != nil && ctx.Err() == nil {
			failed(err)
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// Refresh reads the list once.
func (v *View) Refresh(ctx context.Context, l Lister, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	list, err := l.List(ctx)
	if err != nil {
		return err
	}
	v.Set(list)
	return nil
}

// ViewState is a view as dumps show it.
type ViewState struct {
	VMs     []VM     `json:"vms"`
	Leaving []string `json:"leaving_by_own_word"`
	Updated string   `json:"updated"`
}

// State returns the whole view.
func (v *View) State() ViewState {
	all := v.filter(func(VM) bool { return true })
	v.mu.Lock()
	defer v.mu.Unlock()
	s := ViewState{VMs: all, Updated: v.updated.Format(time.RFC3339)}
	for id := range v.leaving {
		s.Leaving = append(s.Leaving, id)
	}
	slices.Sort(s.Leaving)
	return s
}
