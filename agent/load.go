package agent

import (
	"net/http"

	"github.com/arbutusmill/arbutusmill/upstream"
)

// loadHeader is the load reported to routers in response headers.
type loadHeader upstream.Load

func (l loadHeader) set(h http.Header) { h.Set(upstream.LoadHeader, upstream.Load(l).String()) }

// load returns the current load of the upstream, as counted by this agent's queue.
func (a *Agent) load() loadHeader {
	s := a.queue.State()
	waiting := 0
	for _, n := range s.Waiting {
		waiting += n
	}
	return loadHeader{Running: s.Running, Waiting: waiting, Slots: s.Slots}
}
