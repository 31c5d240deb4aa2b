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

// minPackBytes is the size from which a value is compressed. Smaller ones pass over any link in a
// few milliseconds.
const minPackBytes = 8 << 10

// packer compresses large values, each revision of a key once for all followers.
type packer struct {
	mu    sync.Mutex
	cache map[string]packed // by key
}

type packed struct {
	revision store.Revision
	value    []byte
}

// pack replaces the large values of a reply by compressed ones. A configuration of 2,000 routes
// has 500 kB. Over a link of 10 Mbit/s with 3 Mbit/s free, such an answer takes longer than a
// follower waits: it would switch from relay to relay and receive no change for 3.4 s, not even
// that an upstream leaves. Compression leaves less than a third (TestLargeValuesArePacked).
func (p *packer) pack(r Reply) {
	for _, u := range r.Updates {
		for i, c := range u.Changes {
			if len(c.Value) >= minPackBytes {
				u.Changes[i].Packed, u.Changes[i].Value = p.packed(c), nil
			}
		}
	}
}

func (p *packer) packed(c Change) []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	if have, ok := p.cache[c.Key]; ok && have.revision == c.Revision {
		return have.value
	}
	var b bytes.Buffer
	w, _ := flate.NewWriter(&b, flate.BestSpeed) // fails only for an invalid level
	_, _ = w.Write(c.Value)                      // writes to a bytes.Buffer never fail
	_ = w.Close()
	if p.cache == nil {
		p.cache = map[string]packed{}
	}
	p.cache[c.Key] = packed{c.Revision, b.Bytes()}
	return b.Bytes()
}

// Serve is Follow for followers in other processes: it compresses large values.
func (h *Hub) Serve(ctx context.Context, r Request) (Reply, error) {
	if !r.Eras {
		h.addEras(r.Positions)
	}
	reply, err := h.follow(ctx, r, true)
	if err != nil {
		return reply, err
	}
	if !r.Eras {
		reply.removeEras()
	}
	h.packer.pack(reply)
	return reply, nil
}

// Unpack decompresses the values of a reply of Serve. An error wraps ErrInvalidReply.
func (r Reply) Unpack() error {
	for _, u := range r.Updates {
		for i, c := range u.Changes {
			if c.Packed == nil {
				continue
			}
			// Never decompress more than the store can hold: the relay is not trusted.
			limited := io.LimitReader(flate.NewReader(bytes.NewReader(c.Packed)), store.MaxValueBytes+1)
			value, err := io.ReadAll(limited)
			if err != nil {
				return Error.Wrap(fmt.Errorf("%w: %s: %w", ErrInvalidReply, c.Key, err))
			}
			if len(value) > store.MaxValueBytes {
				return Error.Wrap(fmt.Errorf("%w: %s is too large when decompressed", ErrInvalidReply, c.Key))
			}
			u.Changes[i].Value, u.Changes[i].Packed = value, nil
		}
	}
	return nil
}
