package agent

import (
	"net/http"

	"github.com/arbutusmill/arbutusmill/upstream"
)

// loadHeader is the load that answers carry back to routers.
type loadHeader upstream.Load

func (l loadHeader) set(h http.Header) { h.Set(upstream.LoadHeader, upstream.Load(l).String()) }

// load is this agent's own view of its upstream, without lag.
func (a *Agent) load() loadHeader {
	s := a.queue.State()
	waiting := 0
	for _, n := range s.Waiting {
		waiting += n
	}
	return loadHeader{Running: s.Running, Waiting: waiting, Slots: s.Slots}
}
