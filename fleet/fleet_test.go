package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/arbutusmill/arbutusmill/contract"
	"github.com/arbutusmill/arbutusmill/coord/store/memstore"
	"github.com/arbutusmill/arbutusmill/coord/virtualtime"
	"github.com/arbutusmill/arbutusmill/fleet"
	"github.com/stretchr/testify/require"
)

func document(preset string) *fleet.Document {
	return &fleet.Document{Preset: preset, Presets: []*fleet.Preset{
		{Name: "ordinary", Default: "normal"}, {Name: "peak", Default: "urgent"}, {Name: "maintenance", Default: "deferrable"},
	}}
}

// A slow read returns an older document after the watch delivered a newer one. The
// process must not go back to the older one.
func TestConfigurationNeverGoesBack(t *testing.T) {
	var c fleet.Current
	require.True(t, c.UpdateIfNewer(fleet.NewSnapshot(2, document("peak"))))
	require.False(t, c.UpdateIfNewer(fleet.NewSnapshot(1, document("ordinary"))))
	require.False(t, c.UpdateIfNewer(fleet.NewSnapshot(2, document("ordinary"))), "the document of a generation never changes")
	require.Equal(t, "peak", c.Load().Preset.Name)
}

// Two operators activate different presets concurrently. One must succeed, the other must
// get an error, and the rejected preset must not become active later.
func TestTwoOperatorsRace(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		r := fleet.Registry{Store: memstore.New()}
		_, err := r.Apply(t.Context(), document("ordinary"), 0, "first")
		require.NoError(t, err)
		errs := make(chan error, 2)
		for i, preset := range []string{"peak", "maintenance"} {
			go func() {
				_, err := r.Apply(t.Context(), document(preset), 1, fmt.Sprint("op", i))
				errs <- err
			}()
		}
		one, two := <-errs, <-errs
		if one == nil {
			one, two = two, one
		}
		require.ErrorIs(t, one, fleet.ErrGenerationMismatch)
		require.NoError(t, two)
		stored, err := r.Get(t.Context())
		require.NoError(t, err)
		require.Equal(t, int64(2), stored.Generation)
	})
}

// An apply takes effect and its answer is lost. The retry must detect its own write, and
// neither report a conflict nor create another generation.
func TestLostAnswerOfAnApply(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		s := memstore.New()
		r := fleet.Registry{Store: s}
		s.SetFaults(memstore.Faults{LoseResponses: 1})
		generation, err := r.Apply(t.Context(), document("peak"), 0, "op")
		require.NoError(t, err)
		require.Equal(t, int64(1), generation)
	})
}

// The store goes down, which ends the watch, and a change is applied after it is back.
// The follower must apply it within seconds.
func TestFollowerRecoversAfterOutage(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		s := memstore.New()
		r := fleet.Registry{Store: s}
		var c fleet.Current
		go r.Follow(t.Context(), &c, 20*time.Second, nil)
		time.Sleep(time.Second)
		s.SetFaults(memstore.Faults{Down: true})
		time.Sleep(10 * time.Minute)
		s.SetFaults(memstore.Faults{})
		_, err := r.Apply(t.Context(), document("peak"), 0, "op")
		require.NoError(t, err)
		time.Sleep(3 * time.Second)
		require.NotNil(t, c.Load())
		require.Equal(t, "peak", c.Load().Preset.Name)
	})
}

func TestPresetRules(t *testing.T) {
	p := &fleet.Preset{Default: "normal", Rules: []fleet.Rule{
		{Team: "pilots", Class: "urgent"}, {Task: "review", Class: "deferrable"},
	}}
	require.Equal(t, contract.Urgent, p.Class("pilots", "assistant", "review"), "the first matching rule")
	require.Equal(t, contract.Deferrable, p.Class("ports", "assistant", "review"))
	require.Equal(t, contract.Normal, p.Class("ports", "assistant", ""))
}

func TestParseNamesTheField(t *testing.T) {
	for text, want := range map[string]string{
		"preset: a\nteam: []":                                             `[2:1] unknown field "team"`,
		"services: [{name: A B, kind: plain}]":                            "services[0].name",
		"services: [{name: a, kind: magic}]":                              `services[0].kind: "magic" is neither engine nor plain`,
		"services: [{name: a, kind: plain, timeout: 30}]":                 "not a duration with a unit",
		"services: [{name: a, kind: plain}, {name: a, kind: plain}]":      `services[1].name: "a" is duplicated`,
		"teams: [{name: t, budgets: {x: b}}]":                             `teams[0].budgets: there is no service "x"`,
		"presets: [{name: p, default: soon}]\npreset: p":                  `presets[0].default: "soon" is neither`,
		"presets: [{name: p, default: normal, rules: [{team: x}]}]":       `presets[0].rules[0].team: there is no team "x"`,
		"services: [{name: a, kind: plain, idempotent_methods: [FETCH]}]": `"FETCH" is not an HTTP method`,
	} {
		_, err := fleet.Parse([]byte(text))
		require.ErrorContains(t, err, want, text)
	}
}
