package grant

import (
	"math"
	"slices"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/account"
)

// defaultDemandWindow is the default time constant of the demand average.
const defaultDemandWindow = 5 * time.Minute

// ownReservation is a reservation from the holder's own row.
type ownReservation struct {
	seq           int64
	tokens        int64
	used          int64
	settled       bool
	sinceRevision int64 // a store revision from before the reservation
}

// lot is a borrowed lot: tokens that a peer reserved for this holder in its own row.
type lot struct {
	Part
	used     int64
	reserved int64
	through  int64 // the lender's durable watermark, as last reported
	lastUse  time.Time
	blocked  bool // its lender is excluded
}

// left returns what the lot still has for new reservations.
func (l *lot) left() int64 {
	if l.blocked {
		return 0
	}
	return l.Tokens - l.used - l.reserved
}

// lentLot is a lot that this holder lent to a peer. It is stored by the peer's request
// id so that a retried request gets the same lot.
type lentLot struct {
	part          Part
	borrower      string
	sinceRevision int64
	at            time.Time
	// requestedAgain is set if the borrower repeated its request, and may have the lot.
	requestedAgain bool
}

// localBudget is one holder's state of one budget, guarded by the Holder's lock.
type localBudget struct {
	name     string
	granted  int64
	returned int64
	settled  int64 // used by all settled reservations of the holder's own row
	reserved int64 // held by its open reservations
	// exposures are by borrower; see LimitExposure.
	exposures map[string]*exposure

	queue          []ownReservation // in order of seq; settled heads are removed
	through        int64
	settledThrough int64
	durableThrough int64

	lots           []*lot
	lent           map[string]*lentLot // by request id
	waitingAmounts []int64             // tokens that each waiting request needs
	largestRecent  int64               // the largest recent reservation
	waiters        lendQueue           // requests of peers that wait for reserved tokens
	lastReserved   time.Time           // when a peer's request last found all tokens reserved
	poolFree       int64               // what the page had free at the last sync
	lotTime        time.Duration       // average time for which lent lots stay open; 0 is unknown
	scarce         bool                // lenders of the own lots have none left
	otherHolders   []string            // other holders with tokens at the last sync

	minimalRows  bool          // copy of Holder.minimalRows
	demandWindow time.Duration // time constant of demand
	demand       float64       // tokens a second, as of demandAt
	demandAt     time.Time
	firstUse     time.Time
	lastUse      time.Time
	lastReport   time.Time
	nextSync     time.Time
	lastSync     time.Time
	lowBackoff   time.Duration // between syncs while tokens run low
	// exhaustedUntil is until when requests for more than exhaustedUnspent, what was left at that sync, are refused.
	exhaustedUntil   time.Time
	exhaustedUnspent int64
	absent           bool  // the page has no account for it
	insufficient     bool  // the page had too little for all waiting requests
	removalPending   bool  // a write that removes the row was sent
	removedSettled   int64 // settled by the row that is being removed
}

// reset clears the row's totals after the row was removed from the page.
func (b *localBudget) reset() {
	b.granted, b.returned, b.settled, b.settledThrough = 0, 0, 0, 0
	b.durableThrough, b.removalPending, b.removedSettled = b.through, false, 0
}

// waiting returns the total that waiting requests need.
func (b *localBudget) waiting() int64 {
	var n int64
	for _, w := range b.waitingAmounts {
		n += w
	}
	return n
}

// smallestWaiting returns the smallest need of a waiting request, 0 if none waits.
func (b *localBudget) smallestWaiting() int64 {
	if len(b.waitingAmounts) == 0 {
		return 0
	}
	return slices.Min(b.waitingAmounts)
}

// available returns what the holder's own row still has for new reservations.
func (b *localBudget) available() int64 { return b.granted - b.returned - b.settled - b.reserved }

// spendable returns available plus what is left of borrowed lots.
func (b *localBudget) spendable() int64 {
	n := b.available()
	for _, l := range b.lots {
		n += l.left()
	}
	return n
}

// reserve opens a reservation of n tokens in the holder's own row.
func (b *localBudget) reserve(seq, n, since int64) {
	b.queue = append(b.queue, ownReservation{seq: seq, tokens: n, sinceRevision: since})
	b.reserved += n
}

// settle closes reservation seq. It returns false if none is open under seq, so a
// repeated settlement has no effect.
func (b *localBudget) settle(seq, used int64) bool {
	i := b.find(seq)
	if i < 0 || b.queue[i].settled {
		return false
	}
	q := &b.queue[i]
	used = max(0, min(used, q.tokens))
	q.settled, q.used = true, used
	b.reserved -= q.tokens
	b.settled += used
	b.advanceWatermark()
	return true
}

// advanceWatermark moves the watermark over the settled heads of the queue.
func (b *localBudget) advanceWatermark() {
	i := 0
	for ; i < len(b.queue) && b.queue[i].settled; i++ {
		b.through = b.queue[i].seq
		b.settledThrough += b.queue[i].used
	}
	b.queue = b.queue[i:]
}

// find returns the index of seq in the queue, or -1. The queue is sorted by seq.
func (b *localBudget) find(seq int64) int {
	lo, hi := 0, len(b.queue)
	for lo < hi {
		mid := (lo + hi) / 2
		if b.queue[mid].seq < seq {
			lo = mid + 1
		} else {
			hi = mid
		}
	}
	if lo < len(b.queue) && b.queue[lo].seq == seq {
		return lo
	}
	return -1
}

// recordUse adds used tokens to the demand average.
func (b *localBudget) recordUse(now time.Time, used int64) {
	if b.demandAt.IsZero() {
		b.firstUse = now
	}
	b.demand = b.decayedDemand(now) + float64(used)/b.demandWindow.Seconds()
	b.demandAt = now
	b.lastUse = now
}

// recordLotUse adds the use of a returned lot to the demand average. Under minimalRows the
// whole lot was counted when it was lent, so the unused part is subtracted.
func (b *localBudget) recordLotUse(now time.Time, tokens, used int64) {
	if b.minimalRows {
		used -= tokens
	}
	b.recordUse(now, used)
	b.demand = max(0, b.demand)
}

// tokensOf returns the amount of an open reservation, 0 for any other.
func (b *localBudget) tokensOf(seq int64) int64 {
	if i := b.find(seq); i >= 0 {
		return b.queue[i].tokens
	}
	return 0
}

// decayedDemand returns the average, with zero demand assumed before the first use.
func (b *localBudget) decayedDemand(now time.Time) float64 {
	if b.demandAt.IsZero() {
		return 0
	}
	age := now.Sub(b.demandAt).Seconds()
	return b.demand * math.Exp(-max(0, age)/b.demandWindow.Seconds())
}

// minDemandSpan bounds how much the average is scaled up shortly after the first use.
const minDemandSpan = time.Second

// currentDemand returns the demand average. Under minimalRows it is taken over the time since
// the first use if that is shorter than the window: otherwise a holder partitioned in its
// first seconds would hold far too few tokens. Without minimalRows, holders share a budget by
// demand, and one that starts late must not get a larger share for it.
func (b *localBudget) currentDemand(now time.Time) float64 {
	if !b.minimalRows {
		return b.decayedDemand(now)
	}
	span := max(minDemandSpan, now.Sub(b.firstUse)).Seconds()
	return b.decayedDemand(now) / (1 - math.Exp(-span/b.demandWindow.Seconds()))
}

// row returns the totals to report to the page, with only settlements up to the watermark.
func (b *localBudget) row(now time.Time, revision int64) account.Row {
	since := revision
	if len(b.queue) > 0 {
		since = b.queue[0].sinceRevision
	}
	return account.Row{
		Granted:  b.granted,
		Returned: b.returned,
		Settled:  b.settledThrough,
		Through:  b.through,
		Since:    since,
		Demand:   math.Round(b.currentDemand(now)*10) / 10,
	}
}

// idle reports whether the budget has no open reservations, lots or waiting requests.
func (b *localBudget) idle() bool {
	return b.reserved == 0 && len(b.queue) == 0 && len(b.lots) == 0 && len(b.waitingAmounts) == 0 && len(b.waiters.waiters) == 0
}

// ownRowIdle reports whether the holder's own row has no open reservations.
func (b *localBudget) ownRowIdle() bool { return b.reserved == 0 && len(b.queue) == 0 }
