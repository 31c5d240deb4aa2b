// Package ledger makes charges durable, each exactly once. Router and agent both
// keep the charge of a request until the ledger has acknowledged it, and both may
// send it as often as they like; the ledger drops repeats by the request's id.
//
// A shard is a log of segments in the store. A segment is created by
// compare-and-swap on an absent key, so the log itself is the fence: of two owners
// that write segment n only one succeeds, and the other reads the winner's segment
// before it can write n+1. No clock and no election decides who is right.
package ledger

import (
	"fmt"

	"github.com/arbutusmill/arbutusmill/coord/rendezvous"
	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("ledger")

// ErrBacklogFull says that as many charges wait as may be kept; the caller must take no new
// work rather than lose one.
var ErrBacklogFull = errs.New("too many charges wait for the ledger")

// Charge is the bill of one request.
type Charge struct {
	// ID is the request's identity: team and idempotency key. It is unique.
	ID     string `json:"id"`
	Team   string `json:"team"`
	Budget string `json:"budget"`
	// Service is what was used.
	Service string `json:"service"`
	// Tokens is the amount.
	Tokens int64 `json:"tokens"`
	// Floor is the number of a segment of the shard that existed before
	// the request started: the charge cannot be in that one or an earlier.
	Floor int64 `json:"floor,omitempty"`
	// Unix is the second of settlement, for reports only.
	Unix int64 `json:"unix"`
}

// Segment is one group commit.
type Segment struct {
	// Writer is the owner's incarnation, Nonce its count of writes; together
	// they tell a lost answer from another owner's segment.
	Writer  string   `json:"writer"`
	Nonce   int64    `json:"nonce"`
	Charges []Charge `json:"charges"`
}

// Layout tells where shards are. It is fixed for the life of a fleet.
type Layout struct {
	// Prefix is the key prefix of the whole ledger.
	Prefix string
	// Shards is their number.
	Shards int
}

// Shard returns the number of the shard that keeps a team's charges.
func (l Layout) Shard(team string) int { return rendezvous.Bucket(team, l.Shards) }

// segmentPrefix is the common prefix of a shard's segments.
func (l Layout) segmentPrefix(shard int) string { return fmt.Sprintf("%s%03d/seg/", l.Prefix, shard) }

// segmentKey is the key of segment n, n from 1.
func (l Layout) segmentKey(shard int, n int64) string {
	return fmt.Sprintf("%s%012d", l.segmentPrefix(shard), n)
}

// snapshotKey is the key of the shard's totals.
func (l Layout) snapshotKey(shard int) string { return fmt.Sprintf("%s%03d/snap", l.Prefix, shard) }
