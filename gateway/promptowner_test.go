package gateway

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/arbutusmill/arbutusmill/poison"
)

// BenchmarkFullOutbox sends 768 prompts to one peer, in batches.
func BenchmarkFullOutbox(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		o := &promptOutbox{maxBatch: 32, slots: make(chan struct{}, 4), wake: make(chan struct{}, 1),
			send: func(context.Context, string, string, []pendingPrompt) bool { return true }}
		o.setPeers(map[string]string{"a": "1"})
		for n := range maxPendingPrompts {
			o.add(poison.Prompt(fmt.Sprintf("%024x", n)), false)
		}
		o.due(time.Now())
		o.sendAll(context.Background(), "a")
	}
}
