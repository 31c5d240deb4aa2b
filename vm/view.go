package vm

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"
)

// View is one process's view of the fleet's VMs: the platform's list, and newer
// information received from the VMs themselves. Each request reads it, so the lists are
// built when something changes and not per request. Callers must not modify returned
// lists.
type View struct {
	mu      sync.Mutex
	listed  map[string]VM
	leaving map[string]time.Time // time of the VM's own report, which overrides the list
	updated time.Time

	routers []VM
	agents  map[string][]VM // by service
}

// NewView returns an empty view.
func NewView() *View { return &View{listed: map[string]VM{}, leaving: map[string]time.Time{}} }

// leavingTTL is how long a VM's own report that it leaves is valid. A VM may restart under
// the same id while the list shows it as live all the time, so the report must expire; a
// VM that is still leaving then refuses the next request and is marked again.
const leavingTTL = 5 * time.Second

// Set replaces the list. VMs that are missing from it are dropped.
func (v *View) Set(list []VM) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.listed = map[string]VM{}
	for _, m := range list {
		v.listed[m.ID] = m
	}
	v.updated = time.Now()
	for id, since := range v.leaving {
		if v.updated.Sub(since) > leavingTTL {
			delete(v.leaving, id)
		}
	}
	v.indexLocked()
}

// indexLocked rebuilds the lists of VMs that accept new work, sorted by id.
func (v *View) indexLocked() {
	v.routers, v.agents = nil, map[string][]VM{}
	for _, id := range slices.Sorted(maps.Keys(v.listed)) {
		m := v.listed[id]
		switch {
		case m.State != Live || !v.leaving[id].IsZero():
		case m.Role == Router:
			v.routers = append(v.routers, m)
		case m.Role == Agent:
			v.agents[m.Service] = append(v.agents[m.Service], m)
		}
	}
}

// MarkLeaving records that a VM itself reported that it is leaving.
func (v *View) MarkLeaving(id string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.leaving[id] = time.Now()
	v.indexLocked()
}

// Get returns a listed VM.
func (v *View) Get(id string) (VM, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	m, ok := v.listed[id]
	return m, ok
}

// Agents returns the agents of a service that accept new work, sorted by id.
func (v *View) Agents(service string) []VM {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.agents[service]
}

// Routers returns the routers that accept new work, sorted by id.
func (v *View) Routers() []VM {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.routers
}

// AllAgents returns every listed agent, leaving ones included, sorted by id.
func (v *View) AllAgents() []VM {
	return slices.DeleteFunc(v.All(), func(m VM) bool { return m.Role != Agent })
}

// All returns every listed VM, sorted by id.
func (v *View) All() []VM {
	v.mu.Lock()
	defer v.mu.Unlock()
	var out []VM
	for _, id := range slices.Sorted(maps.Keys(v.listed)) {
		out = append(out, v.listed[id])
	}
	return out
}

// Follow reads the list at once and at each interval until the context ends. failed is
// called with the error of each failed read.
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

// Refresh reads the list once, within timeout.
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

// ViewState is the content of a view, for debug dumps.
type ViewState struct {
	VMs     []VM     `json:"vms"`
	Leaving []string `json:"leaving_by_own_word"`
	Updated string   `json:"updated"`
}

// State returns the content of the view.
func (v *View) State() ViewState {
	all := v.All()
	v.mu.Lock()
	defer v.mu.Unlock()
	s := ViewState{VMs: all, Updated: v.updated.Format(time.RFC3339)}
	for id := range v.leaving {
		s.Leaving = append(s.Leaving, id)
	}
	slices.Sort(s.Leaving)
	return s
}
