package ledger

import (
	"context"
	"maps"

	"github.com/arbutusmill/arbutusmill/coord/store"
)

// Reader reads the ledger without owning a shard, for operator tools.
type Reader struct {
	Store  store.Store
	Layout Layout
}

// Each calls visit for each charge of the team, or of all teams when team is
// empty, until visit returns false.
func (r Reader) Each(ctx context.Context, team string, visit func(Charge) bool) error {
	for _, n := range r.shards(team) {
		more := true
		shard := OpenShard(r.Store, r.Layout, n, "", 0)
		err := shard.walk(ctx, 1, func(_ int64, seg Segment) bool {
			for _, c := range seg.Charges {
				if team == "" || c.Team == team {
					more = more && visit(c)
				}
			}
			return more
		})
		if err != nil || !more {
			return err
		}
	}
	return nil
}

// Totals returns the billed tokens by budget: snapshots plus the segments after
// them, which takes two store calls per shard whatever the length of the log.
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

// shards lists the shards to read: the team's shard, or all when team is empty.
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
