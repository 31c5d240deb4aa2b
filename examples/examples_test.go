// Package examples_test checks that the example settings are complete and valid.
package examples_test

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/arbutusmill/arbutusmill/fleet"
	"github.com/arbutusmill/arbutusmill/settings"
	"github.com/arbutusmill/arbutusmill/vm"
	"github.com/stretchr/testify/require"
)

// Every VM in an example's list must have settings that match the list, and every agent's
// service must be in the configuration.
func TestExamples(t *testing.T) {
	for _, name := range []string{"brekke", "lakeshore"} {
		raw, err := os.ReadFile(filepath.Join(name, "fleet.yaml"))
		require.NoError(t, err)
		doc, err := fleet.Parse(raw)
		require.NoError(t, err, name)
		services := map[string]bool{}
		for _, s := range doc.Services {
			services[s.Name] = true
		}
		raw, err = os.ReadFile(filepath.Join(name, "vms.json"))
		require.NoError(t, err)
		var list []vm.VM
		require.NoError(t, json.Unmarshal(raw, &list))
		require.Len(t, list, 3+12+3)
		for _, m := range list {
			s, err := settings.Load(filepath.Join(name, m.ID+".yaml"))
			require.NoError(t, err, m.ID)
			require.Equal(t, m, vm.VM{ID: s.VM, Datacentre: s.Datacentre, Role: vm.Role(s.Role), State: vm.Live,
				Link: s.Listen.Link, Work: s.Listen.Work, Service: s.Upstream.Service})
			require.True(t, m.Role == vm.Router || services[m.Service], m.ID)
		}
	}
}

func TestGatewayExample(t *testing.T) {
	s, err := settings.LoadGateway(filepath.Join("hosted", "gateway.yaml"))
	require.NoError(t, err)
	require.Equal(t, "bergen-entry-1", s.VM)
}

func TestLenderExample(t *testing.T) {
	s, err := settings.LoadLender(filepath.Join("hosted", "lender.yaml"))
	require.NoError(t, err)
	require.Equal(t, "bergen-engine-1", s.VM)
	require.Less(t, s.Budgets.Horizon, settings.DefaultGateway().Budgets.Horizon)
}

// The error for an invalid file must name each invalid field and each unknown one.
func TestInvalidGatewaySettings(t *testing.T) {
	_, err := settings.ParseGateway([]byte("vm: a\ndatacentre: b\nlisten: {callers: \"nowhere\"}\nrepeats: {ratio: -1}\nstop: {notice: 9s}\n"))
	for _, field := range []string{"listen.callers", "listen.link", "store.address", "repeats.ratio", "stop.notice"} {
		require.ErrorContains(t, err, field)
	}
	_, err = settings.ParseGateway([]byte("vm: a\ndata_center: b\n"))
	require.ErrorContains(t, err, "data_center")
}
