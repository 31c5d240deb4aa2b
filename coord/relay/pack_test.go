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

// routes is a configuration of many routes. Their names have nothing in common.
func routes(n int) []byte {
	var b strings.Builder
	for i := range n {
		h := fnv.New64a()
		_, _ = fmt.Fprint(h, i) // a hash takes everything
		fmt.Fprintf(&b, `{"name":"r-%x","host":"%x.example","prefix":"/%x/","type":"streaming","timeout_ms":12000,`+
			`"latency_goal_ms":800,"priority":1,"service":"model","max_attempts":2,"sticky":true,"resumable":false},`,
			uint32(h.Sum64()), uint16(h.Sum64()>>8), uint32(h.Sum64()>>16))
	}
	return []byte(b.String())
}

// serveAndUnpack passes a reply between two processes.
func serveAndUnpack(t *testing.T, w *world, after store.Revision) (Reply, int) {
	reply, err := w.hubs[0].Serve(w.ctx, Request{Store: "s", Positions: []Position{{Prefix: keys, After: after}}})
	require.NoError(t, err)
	wire, err := json.Marshal(reply)
	require.NoError(t, err)
	var out Reply
	require.NoError(t, json.Unmarshal(wire, &out))
	require.NoError(t, out.Unpack())
	return out, len(wire)
}

// A configuration of 2,000 routes passes from a relay to its followers in a third of its size, and
// is the same at the other end, in a whole copy and as a change.
func TestLargeValuesArePacked(t *testing.T) {
	play(t, 1, 1, func(w *world) {
		time.Sleep(time.Second)
		large := routes(2000)
		w.put("config", string(large))
		w.put("small", "value")
		time.Sleep(watchDelay)
		for _, after := range []store.Revision{0, 1} {
			out, size := serveAndUnpack(t, w, after)
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
		w.all() // a hub of the same process hands the value itself on
		larger := append(large, large...)
		w.put("config", string(larger))
		time.Sleep(watchDelay)
		out, _ := serveAndUnpack(t, w, 2)
		require.Len(t, out.Updates[0].Changes, 1)
		require.True(t, bytes.Equal(larger, out.Updates[0].Changes[0].Value), "not the one packed before")
	})
}

// A relay sends something that cannot be unpacked, or what would fill the memory.
func TestSpoiledPackedValueIsRefused(t *testing.T) {
	var p packer
	bomb := p.packed(Change{Key: "k", Value: make([]byte, 2*store.MaxValueBytes)})
	for _, b := range [][]byte{[]byte("nonsense"), bomb} {
		r := Reply{Updates: []Update{{Changes: []Change{{Key: "k", Packed: b}}}}}
		require.ErrorIs(t, r.Unpack(), ErrInvalidReply)
	}
}
