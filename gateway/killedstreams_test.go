package gateway_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// killRouters ends the routers of VMs 1 to n at once and without notice, and starts them again after a pause. They
// serve at the VMs numbered from the returned one on.
func (f *fleet) killRouters(n int, pause time.Duration) (first int) {
	for vm := 1; vm <= n; vm++ {
		f.kill(vm)
	}
	time.Sleep(pause)
	for vm := 1; vm <= n; vm++ {
		f.startVMAs(f.settings(vm).VM, nextRouter+vm)
	}
	time.Sleep(2 * time.Second)
	return nextRouter + 1
}

// leave removes the entries of the engines of a version and ends them.
func leave(f *fleet, engines []*versionedEngine, version string) {
	for _, e := range engines {
		if e.Version == version {
			require.NoError(f.t, f.store.Unregister(e.ID))
			e.crash()
		}
	}
}

// leaving is when the version that began a stream leaves, if it does.
type leaving struct{ before, meanwhile bool }

func (l leaving) serve() bool { return !l.before && !l.meanwhile }

// Guards against streams joined from two versions after all routers were killed at once: those that start know of
// no version before. The old version still serves, has just left, or leaves while no router runs.
func TestStreamTakenUpAfterAllRoutersWereKilled(t *testing.T) {
	const routers = 2
	for _, named := range []bool{true, false} {
		for name, leaves := range map[string]leaving{
			"both versions serve": {}, "left before": {before: true}, "left meanwhile": {meanwhile: true},
		} {
			t.Run(fmt.Sprintf("%s/named-%t", name, named), func(t *testing.T) {
				withVersions(t, routers, []string{"v1", "v2"}, func(f *fleet, engines []*versionedEngine) {
					c := &streamCaller{f: f, name: "s", key: "k1"}
					c.attempt(1, 10)
					version := c.versions[0]
					if leaves.before {
						leave(f, engines, version)
						f.settle()
					}
					if leaves.meanwhile {
						time.AfterFunc(time.Second, func() { leave(f, engines, version) })
					}
					first := f.killRouters(routers, 2*time.Second)
					if !named {
						c.first = ""
					}
					for vm := first; vm < first+routers; vm++ {
						result := c.takeUp(vm, 20)
						c.requireOneStream()
						if named && leaves.serve() {
							require.Equal(t, http.StatusOK, result.status)
							continue
						}
						require.Equal(t, http.StatusServiceUnavailable, result.status)
						require.NotEmpty(t, result.retryAfter)
					}
				})
			})
		}
	}
}

// Guards against refusals of streams whose version serves, after all routers were killed: the lenders that had the
// records withdrew with their upstreams, or stopped, and others ranked first then.
func TestRecordsOfStreamsOutliveTheirLenders(t *testing.T) {
	const routers = 2
	for name, end := range map[string]func(e *versionedEngine){
		"withdrawn": func(e *versionedEngine) { e.SetState("draining") },
		"stopped":   func(e *versionedEngine) { e.stopLender() },
	} {
		for n := range prompts {
			t.Run(fmt.Sprintf("%s/prompt-%d", name, n), func(t *testing.T) {
				withVersions(t, routers, []string{"v1", "v2"}, func(f *fleet, engines []*versionedEngine) {
					c := &streamCaller{f: f, name: fmt.Sprint("s", n), key: "k1"}
					c.attempt(1, 10)
					stays := engines[0]
					if c.versions[0] != stays.Version {
						stays = engines[1]
					}
					for _, e := range engines {
						if e != stays {
							end(e)
						}
					}
					result := c.attempt(f.killRouters(routers, 2*time.Second), all)
					require.True(t, result.complete, "status %d", result.status)
					c.requireOneStream()
				})
			})
		}
	}
}

// Guards against a restored store without a configuration that is taken for the store of a new fleet, which has
// served no stream yet: the only version that is listed is not the one that began the caller's stream.
func TestStreamTakenUpAfterAStoreWithoutConfigurationWasRestored(t *testing.T) {
	withFleet(t, func(f *fleet) {
		older := f.store.Copy()
		f.putConfig(0, "k1")
		old := []*versionedEngine{f.startVersioned("i-1", "v1", streamEvents)}
		f.startVM(1)
		time.Sleep(2 * time.Second)
		c := &streamCaller{f: f, name: "s", key: "k1"}
		c.attempt(1, 10)
		leave(f, old, "v1")
		replacement := f.startVersioned("i-2", "v2", streamEvents)
		f.kill(1)
		f.store.Restore(older)
		f.startVM(2)
		time.Sleep(time.Second)
		replacement.register()
		f.putConfig(0, "k1")
		time.Sleep(2 * time.Second)
		c.first = ""
		require.Equal(t, http.StatusServiceUnavailable, c.takeUp(2, 20).status)
		c.requireOneStream()
	})
}
