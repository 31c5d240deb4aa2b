package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"github.com/arbutusmill/arbutusmill/platform/standin"
	"github.com/stretchr/testify/require"
)

// versions are those of the engines' software: each event names the one that sent it.
var versions = []string{"v1", "v2"}

// maxTakeUps is how often a caller takes up a stream that broke off.
const maxTakeUps = 3

// takenStream is a stream that its caller takes up again.
type takenStream struct {
	// first is the attempt that brought the first event, version that of its engine.
	first, version string
	// received is the number of events received.
	received int
}

// setHeaders sets the headers with which a stream is taken up.
func (s *takenStream) setHeaders(h http.Header) {
	if s != nil {
		h.Set(standin.HeaderResumes, s.first)
		h.Set(standin.HeaderLastEvent, strconv.Itoa(s.received))
	}
}

// takeUp takes up a stream that broke off, each time through any router.
func (g *loadGenerator) takeUp(client *http.Client, rng *rand.Rand, o outcome) {
	if o.route != "review" || o.events == 0 {
		return
	}
	stream := takenStream{first: o.id, version: versionOf(o.body)}
	for n := 1; n <= maxTakeUps && o.err != nil; n++ {
		stream.received += int(o.events)
		taken := stream
		routers := g.fleet.ofRole("gateway")
		o = g.sendAttempt(client, routers[rng.IntN(len(routers))],
			outcome{id: fmt.Sprintf("%s-up-%d", stream.first, n), route: o.route, team: o.team, taken: &taken})
	}
}

// versionOf returns the version that sent the first event of a body, "" if there is none.
func versionOf(body string) string {
	if line, _, ok := strings.Cut(body, "\n\n"); ok {
		if _, version, ok := strings.Cut(line, " of "); ok {
			return version
		}
	}
	return ""
}

// expectedEvents returns the complete stream of a request: the events that its caller has not received, of the version that
// began it.
func expectedEvents(o *outcome) string {
	begin, version := 1, versionOf(o.body)
	if o.taken != nil {
		begin, version = o.taken.received+1, o.taken.version
	}
	var b strings.Builder
	for n := begin; n <= events; n++ {
		b.WriteString(standin.VersionedEvent(n, version))
	}
	return b.String()
}

// checkStreams checks that no caller holds events of two versions, over all its attempts and all routers.
func (tf *testFleet) checkStreams(g *loadGenerator) {
	taken := map[int]int{}
	for _, o := range g.outcomes {
		if serviceOf(o.route) != "model" || o.status != http.StatusOK && o.taken == nil {
			continue
		}
		if o.taken != nil {
			taken[o.status]++
		}
		if whole := strings.LastIndex(o.body, "\n\n"); o.status == http.StatusOK && whole >= 0 {
			require.True(tf.t, strings.HasPrefix(expectedEvents(&o), o.body[:whole+2]), "%s through %s, which takes up %+v, got:\n%s", o.id, o.router, o.taken, o.body)
		}
	}
	used := map[string]bool{}
	for _, u := range tf.upstreams {
		if u.service == "model" && len(u.IDs()) > 0 {
			used[u.Version] = true
		}
	}
	require.True(tf.t, slices.ContainsFunc(versions, func(v string) bool { return used[v] }))
	tf.t.Logf("streams taken up by status: %v, versions used: %v", taken, used)
}
