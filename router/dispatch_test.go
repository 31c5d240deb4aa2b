package router

import (
	"testing"

	"github.com/arbutusmill/arbutusmill/contract"
	"github.com/arbutusmill/arbutusmill/serving"
	"github.com/arbutusmill/arbutusmill/vm"
	"github.com/stretchr/testify/require"
)

// An agent refuses a request by its own word. Refusals of that agent alone send the
// request to another one, those of the request itself end it; a failure counts as run.
func TestRefusalsOfAgents(t *testing.T) {
	for kind, want := range map[contract.Kind]serving.Result{
		contract.Overloaded:     serving.Declined,
		contract.NotReady:       serving.Declined,
		contract.NoUpstream:     serving.Declined,
		contract.UpstreamFailed: serving.Failed,
		contract.KeyReused:      serving.Refused,
		contract.InProgress:     serving.Refused,
	} {
		a := &agents{Router: &Router{}, last: vm.VM{ID: "engine-1"}}
		at := a.refusedBy(kind, "")
		require.Equal(t, want, at.Result, kind)
		require.Equal(t, kind, at.Refusal.Kind)
	}
}
