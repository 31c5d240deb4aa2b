package prefill

import (
	"fmt"
	"testing"
	"time"

	"github.com/arbutusmill/arbutusmill/directory"
	"github.com/stretchr/testify/require"
)

// Another engine reads parts for which prompts prefer this one. A prompt with these parts is told
// of it, one that shares fewer of them is told of none that does not hold, and all is forgotten
// when the other engine has probably given the parts up.
func TestReadElsewhere(t *testing.T) {
	now := time.Unix(0, 0)
	e := NewEngine(now, 50)
	e.SetCacheCapacity(100_000)
	system, subject := Part{ID: "system", Tokens: 2_000}, Part{ID: "subject", Tokens: 10_000}
	e.RecordRemotePrefill(now, RemotePrefill{Parts: []Part{system, subject}, Engine: directory.Incarnation{ID: "i-2", StartUnixMS: 7}})
	prompt := Announcement{Prompt: 13_000, Parts: []Part{system, subject, {ID: "own", Tokens: 1_000}}}
	told := e.Announce(now, prompt)
	require.Equal(t, AnnounceReply{PrefillTokens: 1_000, RemoteEngine: directory.Incarnation{ID: "i-2", StartUnixMS: 7}, RemoteTokens: 12_000}, told)
	e.Withdraw(now, prompt, told)
	require.Zero(t, e.State(now).Backlog, "what was not counted is not taken back")

	alone := Announcement{Prompt: 3_000, Parts: []Part{system, {ID: "own-2", Tokens: 1_000}}}
	require.Zero(t, e.Announce(now, alone).RemoteTokens)

	now = now.Add(elsewhereFor)
	require.Zero(t, e.Announce(now, Announcement{Prompt: 12_000, Parts: []Part{system, subject}}).RemoteTokens)
}

// The engine itself has read the parts since: nothing is fetched.
func TestReadHereAndElsewhere(t *testing.T) {
	now := time.Unix(0, 0)
	e := NewEngine(now, 50)
	e.SetCacheCapacity(100_000)
	prompt := Announcement{Prompt: 11_000, Parts: []Part{{ID: "subject", Tokens: 10_000}, {ID: "own", Tokens: 1_000}}}
	e.Announce(now, prompt)
	e.RecordRemotePrefill(now, RemotePrefill{Parts: prompt.Parts[:1], Engine: directory.Incarnation{ID: "i-2"}})
	require.Zero(t, e.Announce(now, prompt).RemoteTokens)
}

// Callers name ever new parts. What is remembered of other engines stays bounded, and room is made
// by what is old.
func TestPlacesAreBounded(t *testing.T) {
	now := time.Unix(0, 0)
	var p places
	for n := range mostElsewhere + 10 {
		p.note(now, RemotePrefill{Parts: []Part{{ID: fmt.Sprint(n), Tokens: 1}}})
	}
	require.Len(t, p.by, mostElsewhere)
	now = now.Add(elsewhereFor)
	p.note(now, RemotePrefill{Parts: []Part{{ID: "new", Tokens: 1}}})
	require.Len(t, p.by, 1)
}
