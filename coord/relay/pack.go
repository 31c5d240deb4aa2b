package relay

import (
	"bytes"
	"compress/flate"
	"context"
	"fmt"
	"io"
	"sync"

	"github.com/arbutusmill/arbutusmill/coord/store"
)

// packFrom is the size from which a value is packed. Smaller ones go through any link in a few
// milliseconds.
const packFrom = 8 << 10

// packer packs large values, each revision of a key once for all followers.
type packer struct {
	mu    sync.Mutex
	known map[string]packed // by key
}

type packed struct {
	revision store.Revision
	value    []byte
}

// pack replaces the large values of a reply by packed ones. A configuration of 2,000 routes has
// 500 kB. Over a link of 10 Mbit/s that has 3 to spare, such an answer takes longer than a follower
// waits; it would turn from relay to relay and know of no change for 3.4 s, nor of upstreams that
// leave. Packed, less than a third is left (TestLargeValuesArePacked).
func (p *packer) pack(r Reply) {
	for _, u := range r.Updates {
		for i, c := range u.Changes {
			if len(c.Value) >= packFrom {
				u.Changes[i].Packed, u.Changes[i].Value = p.packed(c), nil
			}
		}
	}
}

func (p *packer) packed(c Change) []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	if have, ok := p.known[c.Key]; ok && have.revision == c.Revision {
		return have.value
	}
	var b bytes.Buffer
	w, _ := flate.NewWriter(&b, flate.BestSpeed) // fails only for a level that does not exist
	_, _ = w.Write(c.Value)                      // a buffer takes everything
	_ = w.Close()
	if p.known == nil {
		p.known = map[string]packed{}
	}
	p.known[c.Key] = packed{c.Revision, b.Bytes()}
	return b.Bytes()
}

// Serve is Follow for followers in other processes: large values are packed.
func (h *Hub) Serve(ctx context.Context, r Request) (Reply, error) {
	reply, err := h.Follow(ctx, r)
	if err == nil {
		h.packer.pack(reply)
	}
	return reply, err
}

// Unpack restores the values of a reply of Serve. An error wraps ErrNonsense.
func (r Reply) Unpack() error {
	for _, u := range r.Updates {
		for i, c := range u.Changes {
			if c.Packed == nil {
				continue
			}
			// Whatever a relay sends, no more is unpacked than the store can hold.
			limited := io.LimitReader(flate.NewReader(bytes.NewReader(c.Packed)), store.MaxValueBytes+1)
			value, err := io.ReadAll(limited)
			if err != nil {
				return Error.Wrap(fmt.Errorf("%w: %s: %w", ErrInvalidReply, c.Key, err))
			}
			if len(value) > store.MaxValueBytes {
				return Error.Wrap(fmt.Errorf("%w: %s is too large", ErrInvalidReply, c.Key))
			}
			u.Changes[i].Value, u.Changes[i].Packed = value, nil
		}
	}
	return nil
}
