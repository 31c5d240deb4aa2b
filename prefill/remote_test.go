package prefill

import (
	"fmt"
	"testing"
	"time"

	"github.com/arbutusmill/arbutusmill/directory"
	"github.com/stretchr/testify/require"
)

// Another engine prefills parts of prompts that prefer this one. It is reported for a prompt with all
// these parts, not for one that shares only some of them, and no longer when remotePartTTL is over
// and the other engine may have evicted the parts.
func TestRemotePrefill(t *testing.T) {
	now := time.Unix(0, 0)
	e := NewEngine(now, 50)
	e.SetCacheCapacity(100_000)
	system, subject := Part{ID: "system", Tokens: 2_000}, Part{ID: "subject", Tokens: 10_000}
	e.RecordRemotePrefill(now, RemotePrefill{Parts: []Part{system, subject}, Engine: directory.Incarnation{ID: "i-2", StartUnixMS: 7}})
	prompt := Announcement{Prompt: 13_000, Parts: []Part{system, subject, {ID: "own", Tokens: 1_000}}}
	reply := e.Announce(now, prompt)
	require.Equal(t, AnnounceReply{PrefillTokens: 1_000, RemoteEngine: directory.Incarnation{ID: "i-2", StartUnixMS: 7}, RemoteTokens: 12_000}, reply)
	e.Withdraw(now, prompt, reply)
	require.Zero(t, e.State(now).Backlog, "tokens that were not added are not removed")

	alone := Announcement{Prompt: 3_000, Parts: []Part{system, {ID: "own-2", Tokens: 1_000}}}
	require.Zero(t, e.Announce(now, alone).RemoteTokens)

	now = now.Add(remotePartTTL)
	require.Zero(t, e.Announce(now, Announcement{Prompt: 12_000, Parts: []Part{system, subject}}).RemoteTokens)
}

// The engine itself has the parts cached as well: nothing is fetched.
func TestLocalAndRemotePrefill(t *testing.T) {
	now := time.Unix(0, 0)
	e := NewEngine(now, 50)
	e.SetCacheCapacity(100_000)
	prompt := Announcement{Prompt: 11_000, Parts: []Part{{ID: "subject", Tokens: 10_000}, {ID: "own", Tokens: 1_000}}}
	e.Announce(now, prompt)
	e.RecordRemotePrefill(now, RemotePrefill{Parts: prompt.Parts[:1], Engine: directory.Incarnation{ID: "i-2"}})
	require.Zero(t, e.Announce(now, prompt).RemoteTokens)
}

// Callers send new parts all the time. The records of other engines must stay bounded, and expired
// ones are evicted for new ones.
func TestRemotePartsAreBounded(t *testing.T) {
	now := time.Unix(0, 0)
	var p remoteParts
	for n := range maxRemoteParts + 10 {
		p.record(now, RemotePrefill{Parts: []Part{{ID: fmt.Sprint(n), Tokens: 1}}})
	}
	require.Len(t, p.byPart, maxRemoteParts)
	now = now.Add(remotePartTTL)
	p.record(now, RemotePrefill{Parts: []Part{{ID: "new", Tokens: 1}}})
	require.Len(t, p.byPart, 1)
}
