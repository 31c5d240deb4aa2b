package ledger

import (
	"context"
	"maps"

	"github.com/arbutusmill/arbutusmill/coord/store"
)

// Reader reads the ledger without owning any of it, for operators.
type Reader struct {
	Store  store.Store
	Layout Layout
}

// Each calls visit for every charge of the shard that keeps the team's, or of
// all shards when team is empty. Visit returns false to stop.
func (r Reader) Each(ctx context.Context, team string, visit func(Charge) bool) error {
	for _, n := range r.shards(team) {
		on := true
		shard := OpenShard(r.Store, r.Layout, n, "", 0)
		err := shard.walk(ctx, 1, func(_ int64, seg Segment) bool {
			for _, c := range seg.Charges {
				if team == "" || c.Team == team {
					on = on && visit(c)
				}
			}
			return on
		})
		if err != nil || !on {
			return err
		}
	}
	return nil
}

// Totals returns the billed tokens by budget: snapshots plus the segments after
// them, two store calls a shard in a ledger of any age.
func (r Reader) Totals(ctx context.Context, team string) (map[string]int64, error) {
	out := map[string]int64{}
	for _, n := range r.shards(team) {
		snap, err := readSnapshot(ctx, r.Store, r.Layout.snapshotKey(n))
		if err != nil {
			return nil, err
		}
		totals := maps.Clone(snap.Budgets)
		shard := OpenShard(r.Store, r.Layout, n, "", 0)
		err = shard.walk(ctx, snap.Upto+1, func(_ int64, seg Segment) bool {
			for _, c := range seg.Charges {
				totals[c.Budget] += c.Tokens
			}
			return true
		})
		if err != nil {
			return nil, err
		}
		for budget, tokens := range totals {
			out[budget] += tokens
		}
	}
	return out, nil
}

// shards lists the shards to read: a team's own, or all.
func (r Reader) shards(team string) []int {
	if team != "" {
		return []int{r.Layout.Shard(team)}
	}
	all := make([]int, r.Layout.Shards)
	for n := range all {
		all[n] = n
	}
	return all
}
