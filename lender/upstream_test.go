package lender

import (
	"errors"
	"testing"

	"github.com/arbutusmill/arbutusmill/platform"
	"github.com/arbutusmill/arbutusmill/settings"
	"github.com/stretchr/testify/require"
)

// A lender is a primary while its upstream serves. One lost answer changes nothing, since each
// change moves budgets; two in a row, or the upstream's own report, do.
func TestPrimaryWhileTheUpstreamServes(t *testing.T) {
	serves := platform.Report{State: "ready"}
	leaving := platform.Report{State: "draining", Leaving: true}
	noAnswer := errors.New("no answer")
	for _, c := range []struct {
		name    string
		reports []platform.Report
		errs    []error
		primary bool
	}{
		{"not before the first answer", []platform.Report{{}}, []error{noAnswer}, false},
		{"serves", []platform.Report{serves}, []error{nil}, true},
		{"leaves", []platform.Report{serves, leaving}, []error{nil, nil}, false},
		{"one answer lost", []platform.Report{serves, {}}, []error{nil, noAnswer}, true},
		{"two answers lost", []platform.Report{serves, {}, {}}, []error{nil, noAnswer, noAnswer}, false},
		{"lost, answered, lost", []platform.Report{serves, {}, serves, {}}, []error{nil, noAnswer, nil, noAnswer}, true},
		{"back again", []platform.Report{serves, {}, {}, serves}, []error{nil, noAnswer, noAnswer, nil}, true},
		{"a plain service that does not report", []platform.Report{{}}, []error{platform.ErrNoReport}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := &upstreamMonitor{}
			for i, r := range c.reports {
				m.eligible, _ = m.assess(r, c.errs[i])
			}
			require.Equal(t, c.primary, m.eligible)
		})
	}
}

// An upstream crashes and restarts before two polls, or even one, went unanswered. The lender's
// model of its cache and queue is then of the previous incarnation, which only the changed start
// time reveals.
func TestRestartBetweenTwoPolls(t *testing.T) {
	m := &upstreamMonitor{}
	serves := func(startedAt int64) observation {
		return m.observe(platform.Report{State: "ready", StartUnixMS: startedAt}, nil)
	}
	require.Equal(t, observation{report: platform.Report{State: "ready", StartUnixMS: 1}, eligible: true, changed: true, reason: "state ready"}, serves(1))
	require.False(t, serves(1).restarted)
	again := serves(2)
	require.True(t, again.restarted)
	require.False(t, again.changed)
	m.observe(platform.Report{}, errors.New("no answer"))
	require.False(t, serves(2).restarted, "one lost answer is no restart")
	require.EqualValues(t, 2, m.startedAt)
}

// On a VM without an upstream, the platform leaves the address field empty; such settings must be
// accepted.
func TestNoUpstreamOnTheVM(t *testing.T) {
	s, err := settings.ParseLender([]byte("vm: a\ndatacentre: b\nlisten: {admin: \"127.0.0.1:1\", link: \"127.0.0.1:2\"}\n" +
		"store: {address: \"127.0.0.1:3\"}\nupstream:\n  address: \nlimits:\n  memory_mb: 100\n"))
	require.NoError(t, err)
	require.Empty(t, s.Upstream.Address)
}
