package router

import (
	"testing"

	"github.com/arbutusmill/arbutusmill/contract"
	"github.com/arbutusmill/arbutusmill/serving"
	"github.com/arbutusmill/arbutusmill/vm"
	"github.com/stretchr/testify/require"
)

// Guards against a wrong reaction to an agent's refusal. A refusal that concerns only that
// agent lets the request go to another agent, a refusal of the request itself ends it, and
// a failure counts as run.
func TestRefusalsOfAgents(t *testing.T) {
	for kind, want := range map[contract.Kind]serving.Result{
		contract.Overloaded:     serving.Declined,
		contract.NotReady:       serving.Declined,
		contract.NoUpstream:     serving.Declined,
		contract.UpstreamFailed: serving.Failed,
		contract.KeyReused:      serving.Refused,
		contract.InProgress:     serving.Refused,
	} {
		a := &agentDispatch{Router: &Router{}, last: vm.VM{ID: "engine-1"}}
		at := a.refusedAttempt(kind, "")
		require.Equal(t, want, at.Result, kind)
		require.Equal(t, kind, at.Refusal.Kind)
	}
}
