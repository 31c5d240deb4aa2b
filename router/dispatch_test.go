package router

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/arbutusmill/arbutusmill/contract"
	"github.com/arbutusmill/arbutusmill/link"
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

// Guards against a router that follows the redirect with which an upstream answered, instead of passing it on.
func TestRedirectIsNotFollowed(t *testing.T) {
	for _, status := range []int{301, 302, 303, 307, 308} {
		agent := httptest.NewServer(http.RedirectHandler("/elsewhere", status))
		client := newAgentClient(link.Security{})
		resp, err := client.Post(agent.URL, "text/plain", strings.NewReader("tide?"))
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		require.Equal(t, status, resp.StatusCode)
		client.CloseIdleConnections()
		agent.Close()
	}
}
