package gateway_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/arbutusmill/arbutusmill/platform/standin"
	"github.com/stretchr/testify/require"
)

// secondService is the service "none", which moves from v1 to v2 beside "plain", with upstreams on the same VMs.
type secondService struct {
	r        *rolloutFleet
	old, new []*standin.Upstream
	ordered  time.Time
	state    string
	endedAt  time.Time
	statuses map[int]int
}

// startSecond starts upstreams of a version of the second service beside those of the first one with numbers from first on.
func (s *secondService) start(version string, first int, mode standin.Mode) (ups []*standin.Upstream) {
	for n := range rolloutUpstreams {
		u := &standin.Upstream{ID: fmt.Sprint("j-", first+n), Pause: 10 * time.Millisecond}
		u.SetMode(mode)
		address := strings.Replace(upstreamAddress(fmt.Sprint("i-", first+n)), ":80", ":81", 1)
		s.r.serve(address, u)
		require.NoError(s.r.t, s.r.store.RegisterVersion(u.ID, "none", address, "bergen", "ready", version, 6, 0))
		ups = append(ups, u)
	}
	return ups
}

func (s *secondService) order(mode standin.Mode) {
	s.new, s.ordered = s.start("v2", 20, mode), time.Now()
	require.NoError(s.r.t, s.r.store.OrderRollout("none", "v2", rolloutDuration))
}

// step sends some requests, and observes the state that operators see.
func (s *secondService) step(clients map[int]*http.Client) {
	state, _, err := s.r.store.RolloutStatus("none")
	require.NoError(s.r.t, err)
	if state != s.state {
		s.state, s.endedAt = state, time.Now()
	}
	for n := range 4 {
		vm := 1 + (n+s.r.rng.IntN(s.r.routers))%s.r.routers
		if clients[vm] == nil {
			clients[vm] = s.r.client()
		}
		req, client := level(fmt.Sprintf("%x", s.r.rng.Uint64())), clients[vm]
		req.path, req.vm = "/level/deep/x", vm
		go func() {
			resp := s.r.sendWith(client, req)
			s.r.mu.Lock()
			defer s.r.mu.Unlock()
			s.statuses[resp.status]++
		}()
	}
}

// check checks how the roll-out ended, and the bound on a bad version.
func (s *secondService) check(mode standin.Mode) {
	t, deadline := s.r.t, s.ordered.Add(rolloutDuration)
	if mode == standin.Serve {
		require.Equal(t, "completed", s.state)
		require.False(t, s.endedAt.After(deadline), s.endedAt.Sub(s.ordered))
		require.Zero(t, s.r.count(s.old, s.endedAt.Add(time.Millisecond), time.Now()), "sent to stopped upstreams")
		return
	}
	require.Equal(t, "rolled_back", s.state)
	toNew, toOld := s.r.count(s.new, s.ordered, deadline), s.r.count(s.old, s.ordered, deadline)
	require.LessOrEqual(t, float64(toNew), 0.1*float64(toNew+toOld)+50)
	require.Zero(t, s.r.count(s.new, s.endedAt.Add(time.Second), time.Now()))
}

// Guards against roll-outs of two services that mix what they count, or that wait for each other: the versions have the same name,
// their canaries are on the same VMs, and one of them may be bad, or may lose the router that decides.
func TestTwoServicesAtOnce(t *testing.T) {
	modes := []standin.Mode{standin.Serve, standin.Fail}
	for _, first := range modes {
		for _, second := range modes {
			for _, cut := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s and %s, the first one's decider is cut off %t", first, second, cut), func(t *testing.T) {
					withFleet(t, func(f *fleet) { playTwoServices(f, first, second, cut) })
				})
			}
		}
	}
}

func playTwoServices(f *fleet, first, second standin.Mode, cut bool) {
	r := startRolloutFleet(f, 51, 6)
	s := &secondService{r: r, statuses: map[int]int{}}
	s.old = s.start("v1", 1, standin.Serve)
	time.Sleep(2 * time.Second)
	r.order(first, 0)
	clients, decider := map[int]*http.Client{}, 0
	r.play(r.duration+3*time.Second, func(elapsed time.Duration) {
		if s.ordered.IsZero() && elapsed >= 900*time.Millisecond {
			s.order(second)
		}
		if cut && decider == 0 && elapsed >= 1500*time.Millisecond {
			decider = r.candidate(0)
			f.disconnect(decider)
			f.network.SetBlackholed(address(decider, linkPort), true)
		}
		s.step(clients)
	})
	time.Sleep(2 * time.Second) // what still runs ends
	if first == standin.Serve {
		require.Equal(f.t, "completed", r.state, r.reasons())
		require.LessOrEqual(f.t, r.endedAt.Sub(r.ordered), r.duration)
	} else {
		require.Equal(f.t, "rolled_back", r.state)
		r.checkBound()
	}
	if !cut {
		s.check(second)
		return
	}
	want := map[standin.Mode]string{standin.Serve: "completed", standin.Fail: "rolled_back"}
	require.Equal(f.t, want[second], s.state, "the other service's verdict does not depend on the first one's decider")
	require.LessOrEqual(f.t, s.endedAt.Sub(s.ordered), rolloutDuration)
}
