package relay

import (
	"bytes"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"strings"
	"testing"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/store"
	"github.com/stretchr/testify/require"
)

// routes returns a configuration of n routes whose names share no common parts.
func routes(n int) []byte {
	var b strings.Builder
	for i := range n {
		h := fnv.New64a()
		_, _ = fmt.Fprint(h, i) // writes to a hash never fail
		fmt.Fprintf(&b, `{"name":"r-%x","host":"%x.example","prefix":"/%x/","type":"streaming","timeout_ms":12000,`+
			`"latency_goal_ms":800,"priority":1,"service":"model","max_attempts":2,"sticky":true,"resumable":false},`,
			uint32(h.Sum64()), uint16(h.Sum64()>>8), uint32(h.Sum64()>>16))
	}
	return []byte(b.String())
}

// serveAndUnpack passes a reply through its encoding between two processes.
func serveAndUnpack(t *testing.T, tc *testCluster, after store.Revision) (Reply, int) {
	reply, err := tc.hubs[0].Serve(tc.ctx, Request{Store: "s", Positions: []Position{{Prefix: keys, After: after}}})
	require.NoError(t, err)
	wire, err := json.Marshal(reply)
	require.NoError(t, err)
	var out Reply
	require.NoError(t, json.Unmarshal(wire, &out))
	require.NoError(t, out.Unpack())
	return out, len(wire)
}

// Guards against large values that are sent uncompressed or arrive changed, in a whole copy and as
// a change: a configuration of 2,000 routes must take less than a third of its size.
func TestLargeValuesArePacked(t *testing.T) {
	withCluster(t, 1, 1, func(tc *testCluster) {
		time.Sleep(time.Second)
		large := routes(2000)
		tc.put("config", string(large))
		tc.put("small", "value")
		time.Sleep(watchDelay)
		for _, after := range []store.Revision{0, 1} {
			out, size := serveAndUnpack(t, tc, after)
			require.Less(t, size, len(large)/3)
			got := map[string]string{}
			for _, c := range out.Updates[0].Changes {
				got[c.Key] = string(c.Value)
			}
			require.Equal(t, "value", got[keys+"small"])
			if after == 0 {
				require.Equal(t, string(large), got[keys+"config"])
			}
		}
		tc.requireConverged() // a hub in the same process passes the value uncompressed
		larger := append(large, large...)
		tc.put("config", string(larger))
		time.Sleep(watchDelay)
		out, _ := serveAndUnpack(t, tc, 2)
		require.Len(t, out.Updates[0].Changes, 1)
		require.True(t, bytes.Equal(larger, out.Updates[0].Changes[0].Value), "must not be the previous packed value")
	})
}

// Guards against a relay that sends a value which cannot be decompressed, or which would exhaust
// memory when decompressed.
func TestCorruptPackedValueIsRejected(t *testing.T) {
	var p packer
	bomb := p.packed(Change{Key: "k", Value: make([]byte, 2*store.MaxValueBytes)})
	for _, b := range [][]byte{[]byte("nonsense"), bomb} {
		r := Reply{Updates: []Update{{Changes: []Change{{Key: "k", Packed: b}}}}}
		require.ErrorIs(t, r.Unpack(), ErrInvalidReply)
	}
}
