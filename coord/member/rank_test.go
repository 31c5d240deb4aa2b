package member

import (
	"fmt"
	"testing"

	"github.com/arbutusmill/arbutusmill/coord/store"
)

// BenchmarkRankingsAfterAChange ranks the lenders for 64 pages after each change of a member, as every process does while pages
// may be closed.
func BenchmarkRankingsAfterAChange(b *testing.B) {
	for _, lenders := range []int{600, 1200} {
		b.Run(fmt.Sprint(lenders), func(b *testing.B) {
			g := &Group{Prefix: "m/", Report: nopReporter{}}
			items := make([]store.Item, lenders)
			for i := range items {
				id := fmt.Sprintf("side-%d/1", i)
				items[i] = store.Item{Key: "m/" + id, Revision: 1, Value: fmt.Appendf(nil, `{"id":%q,"role":"lender","vm":"side-%d","address":"a:1"}`, id, i)}
			}
			g.Reset(items)
			for b.Loop() {
				items[0].Revision++
				g.Changed(store.Event{Item: items[0]})
				for page := range 64 {
					g.Rank(fmt.Sprint("page-", page), "lender")
				}
			}
		})
	}
}
