package lender

import (
	"errors"
	"testing"

	"github.com/arbutusmill/arbutusmill/platform"
	"github.com/arbutusmill/arbutusmill/settings"
	"github.com/stretchr/testify/require"
)

// A lender is a home while its upstream serves. One lost answer changes nothing, for each
// change moves budgets; two in a row, or the upstream's own word, do.
func TestHomeWhileTheUpstreamServes(t *testing.T) {
	serves := platform.Report{State: "ready"}
	leaves := platform.Report{State: "draining", Leaving: true}
	silent := errors.New("no answer")
	for _, c := range []struct {
		name    string
		reports []platform.Report
		errs    []error
		home    bool
	}{
		{"not before the first answer", []platform.Report{{}}, []error{silent}, false},
		{"serves", []platform.Report{serves}, []error{nil}, true},
		{"leaves", []platform.Report{serves, leaves}, []error{nil, nil}, false},
		{"one answer lost", []platform.Report{serves, {}}, []error{nil, silent}, true},
		{"two answers lost", []platform.Report{serves, {}, {}}, []error{nil, silent, silent}, false},
		{"lost, answered, lost", []platform.Report{serves, {}, serves, {}}, []error{nil, silent, nil, silent}, true},
		{"back again", []platform.Report{serves, {}, {}, serves}, []error{nil, silent, silent, nil}, true},
		{"a plain service that does not report", []platform.Report{{}}, []error{platform.ErrNoReport}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			n := &neighbour{}
			for i, r := range c.reports {
				n.fit, _ = n.judge(r, c.errs[i])
			}
			require.Equal(t, c.home, n.fit)
		})
	}
}

// An upstream crashes and is back before it was asked twice in vain, or even once. What the
// lender knew of its cache and queue is then of an earlier life, and only its start tells so.
func TestRestartBetweenTwoQuestions(t *testing.T) {
	n := &neighbour{}
	serves := func(born int64) news { return n.take(platform.Report{State: "ready", Born: born}, nil) }
	require.Equal(t, news{report: platform.Report{State: "ready", Born: 1}, fit: true, changed: true, why: "state ready"}, serves(1))
	require.False(t, serves(1).restarted)
	again := serves(2)
	require.True(t, again.restarted)
	require.False(t, again.changed)
	n.take(platform.Report{}, errors.New("no answer"))
	require.False(t, serves(2).restarted, "it was late once")
	require.EqualValues(t, 2, n.born)
}

// The platform knows no upstream beside this process, and leaves the field empty.
func TestNoUpstreamBeside(t *testing.T) {
	s, err := settings.ParseLender([]byte("vm: a\ndatacentre: b\nlisten: {admin: \"127.0.0.1:1\", link: \"127.0.0.1:2\"}\n" +
		"store: {address: \"127.0.0.1:3\"}\nupstream:\n  address: \nlimits:\n  memory_mb: 100\n"))
	require.NoError(t, err)
	require.Empty(t, s.Upstream.Address)
}
