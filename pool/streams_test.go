package pool

import (
	"testing"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/store"
	"github.com/arbutusmill/arbutusmill/directory"
	"github.com/arbutusmill/arbutusmill/prefill"
	"github.com/arbutusmill/arbutusmill/serving"
	"github.com/stretchr/testify/require"
)

// versionedPool returns a pool with the upstreams a, of version v1, and b, of version v2.
func versionedPool(now *time.Time) *Pool {
	p := poolOf(now)
	p.Directory.Decode = func(it store.Item) (directory.Upstream, error) {
		return directory.Upstream{Incarnation: directory.Incarnation{ID: it.Key, StartUnixMS: 1}, Version: string(it.Value), Address: it.Key,
			Service: "s", Slots: 6}, nil
	}
	p.Directory.Reset([]store.Item{{Key: "a", Value: []byte("v1")}, {Key: "b", Value: []byte("v2")}})
	return p
}

// Guards against streams that are sent to another version when their own upstream is avoided, tried or absent.
func TestStreamIsSentToItsVersionOnly(t *testing.T) {
	now := time.Unix(1000, 0)
	p := versionedPool(&now)
	r := plainRequest(now)
	r.StreamVersion = "v2"
	for range 50 {
		target, ok := p.Pick(r, nil)
		require.True(t, ok)
		require.Equal(t, "v2", target.Version)
		target.Done(serving.Attempt{Result: serving.Unknown}) // it is avoided from now on
	}
	_, ok := p.Pick(r, []serving.Attempt{{Upstream: directory.Incarnation{ID: "b", StartUnixMS: 1}}})
	require.False(t, ok)
	r.StreamVersion = "v3"
	_, ok = p.Pick(r, nil)
	require.False(t, ok)
}

// Guards against a stream that goes on somewhere although the version that sent its events is not known.
func TestStreamOfAnUnknownVersionGoesNowhere(t *testing.T) {
	now := time.Unix(1000, 0)
	p := versionedPool(&now)
	_, ok := p.Pick(plainRequest(now), []serving.Attempt{{Result: serving.Broken, Events: 3}})
	require.False(t, ok)
	target, ok := p.Pick(plainRequest(now), []serving.Attempt{{Result: serving.Broken, Events: 3, Version: "v1"}, {Version: "v2"}})
	require.True(t, ok)
	require.Equal(t, "v1", target.Version)
}

// Guards against an upstream that has restarted under its id, maybe with another version, before this router has its
// new entry: its lender knows the new incarnation.
func TestRestartedUpstreamHasNoKnownVersion(t *testing.T) {
	now := time.Unix(1000, 0)
	p := versionedPool(&now)
	p.Announce = func(time.Time, string, prefill.Announcement) (prefill.AnnounceReply, bool) {
		return prefill.AnnounceReply{StartUnixMS: 2}, true
	}
	p.Withdraw = func(string, prefill.Announcement, prefill.AnnounceReply) {}
	r := plainRequest(now)
	r.Prompt, r.Parts = 17_000, []prefill.Part{{ID: "subject", Tokens: 13_300}, {ID: "own", Tokens: 3_700}}
	target, ok := p.Pick(r, nil)
	require.True(t, ok)
	require.Empty(t, target.Version, "a stream that begins there has no known version")
	r.StreamVersion = "v1"
	_, ok = p.Pick(r, nil)
	require.False(t, ok)
}
