package vm_test

import (
	"testing"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/virtualtime"
	"github.com/arbutusmill/arbutusmill/vm"
	"github.com/stretchr/testify/require"
)

// An agent says that it is leaving while the list calls it live. It must get nothing
// more; but when it is back under the same name, without ever having left the list,
// it must get work again, or restarts would eat up the fleet.
func TestLeavingByItsOwnWord(t *testing.T) {
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
		require.Len(t, v.AllAgents(), 3, "evidence is asked of leaving ones too")
	})
}
