package vm_test

import (
	"testing"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/virtualtime"
	"github.com/arbutusmill/arbutusmill/vm"
	"github.com/stretchr/testify/require"
)

// An agent reports that it is leaving while the list shows it as live. It must get no new
// work. After a restart under the same id, without having been missing from the list, it
// must get work again; otherwise each restart would remove a VM from use.
func TestLeavingReportedByTheVM(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		list := []vm.VM{{ID: "e-2", Role: vm.Agent, State: vm.Live, Service: "s"},
			{ID: "e-1", Role: vm.Agent, State: vm.Live, Service: "s"},
			{ID: "e-3", Role: vm.Agent, State: vm.Leaving, Service: "s"}}
		v := vm.NewView()
		v.Set(list)
		require.Len(t, v.Agents("s"), 2)
		v.MarkLeaving("e-1")
		require.Len(t, v.Agents("s"), 1)
		time.Sleep(2 * time.Second)
		v.Set(list)
		require.Len(t, v.Agents("s"), 1)
		time.Sleep(4 * time.Second)
		v.Set(list)
		require.Len(t, v.Agents("s"), 2)
		require.Len(t, v.AllAgents(), 3, "leaving agents are asked for evidence too")
	})
}
