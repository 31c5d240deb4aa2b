package grant

import (
	"math"
	"slices"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/account"
)

// defaultDemandWindow is the time constant of a book's demand average.
const defaultDemandWindow = 5 * time.Minute

// issued is a reservation out of the holder's own row.
type issued struct {
	seq     int64
	tokens  int64
	used    int64
	settled bool
	since   int64 // a store revision from before it was issued
}

// lot is what a peer reserved for this holder out of its own row.
type lot struct {
	Part
	used     int64
	reserved int64
	through  int64 // the lender's durable watermark, as last heard
	lastUse  time.Time
	barred   bool // its lender was shut out
}

// left is what the lot still has for new reservations.
func (l *lot) left() int64 {
	if l.barred {
		return 0
	}
	return l.Tokens - l.used - l.reserved
}

// lent is a lot that this holder gave to a peer, kept by the peer's request id so
// that a repeated request gets the same lot.
type lent struct {
	part     Part
	borrower string
	since    int64
}

// book is one holder's side of one budget. Holder's lock guards it.
type book struct {
	budget   string
	granted  int64
	returned int64
	settled  int64 // by all settled reservations
	reserved int64 // by open reservations
	// exposures are by borrower; see LimitExposure.
	exposures map[string]*exposure

	queue          []issued // in order of seq; settled heads are cut off
	through        int64
	settledThrough int64
	durableThrough int64

	lots  []*lot
	lent  map[string]*lent // by request id
	waits []int64          // tokens that each waiting request wants
	worst int64            // the largest recent reservation

	lean     bool          // as the holder
	window   time.Duration // the time constant of demand
	demand   float64       // tokens a second, as of demandAt
	demandAt time.Time
	// demandSince is the first use.
	demandSince time.Time
	lastUse     time.Time
	lastReport  time.Time
	nextSync    time.Time
	lastSync    time.Time
	lowPause    time.Duration // before the next look while it runs low
	emptyUntil  time.Time
	absent      bool // the page has no such budget
	lacking     bool // the page had too little for all who waited
	folding     bool // the removal of the row was sent
}

// clear resets the book after its row was removed from the page.
func (b *book) clear() {
	b.granted, b.returned, b.settled, b.settledThrough = 0, 0, 0, 0
	b.durableThrough, b.folding = b.through, false
}

// waiting is what all waiting requests want together.
func (b *book) waiting() int64 {
	var n int64
	for _, w := range b.waits {
		n += w
	}
	return n
}

// smallest is the least that a waiting request wants, 0 when none waits.
func (b *book) smallest() int64 {
	if len(b.waits) == 0 {
		return 0
	}
	return slices.Min(b.waits)
}

// available is what the own row still has for new reservations.
func (b *book) available() int64 { return b.granted - b.returned - b.settled - b.reserved }

// atHand adds what is left of borrowed lots.
func (b *book) atHand() int64 {
	n := b.available()
	for _, l := range b.lots {
		n += l.left()
	}
	return n
}

// issue reserves n tokens of the own row.
func (b *book) issue(seq, n, since int64) {
	b.queue = append(b.queue, issued{seq: seq, tokens: n, since: since})
	b.reserved += n
}

// settle closes reservation seq. It reports false for one that is not open: a
// repeated settlement has no effect.
func (b *book) settle(seq, used int64) bool {
	i := b.find(seq)
	if i < 0 || b.queue[i].settled {
		return false
	}
	q := &b.queue[i]
	used = max(0, min(used, q.tokens))
	q.settled, q.used = true, used
	b.reserved -= q.tokens
	b.settled += used
	b.advance()
	return true
}

// advance moves the watermark over the settled heads of the queue.
func (b *book) advance() {
	i := 0
	for ; i < len(b.queue) && b.queue[i].settled; i++ {
		b.through = b.queue[i].seq
		b.settledThrough += b.queue[i].used
	}
	b.queue = b.queue[i:]
}

// find is a binary search, since seq numbers grow.
func (b *book) find(seq int64) int {
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

// spend adds used tokens to the demand average.
func (b *book) spend(now time.Time, used int64) {
	if b.demandAt.IsZero() {
		b.demandSince = now
	}
	b.demand = b.decayed(now) + float64(used)/b.window.Seconds()
	b.demandAt = now
	b.lastUse = now
}

// spendLent adds a lot's use to the demand average. Lean holders counted the whole lot
// when they lent it; what comes back unused was no demand.
func (b *book) spendLent(now time.Time, tokens, used int64) {
	if b.lean {
		used -= tokens
	}
	b.spend(now, used)
	b.demand = max(0, b.demand)
}

// tokensOf returns the amount of an open reservation, 0 for any other.
func (b *book) tokensOf(seq int64) int64 {
	if i := b.find(seq); i >= 0 {
		return b.queue[i].tokens
	}
	return 0
}

// decayed is the average as if nothing had been used before the first use.
func (b *book) decayed(now time.Time) float64 {
	if b.demandAt.IsZero() {
		return 0
	}
	age := now.Sub(b.demandAt).Seconds()
	return b.demand * math.Exp(-max(0, age)/b.window.Seconds())
}

// leastSpan bounds how much the average of a book's first moments is scaled up.
const leastSpan = time.Second

// demandNow is the average. For lean holders it is taken over the time since the first use
// where that is shorter than the window: a cut in a process's first seconds would otherwise
// find it holding far too little. Others share a budget by demand, and must not count more
// for having begun later.
func (b *book) demandNow(now time.Time) float64 {
	if !b.lean {
		return b.decayed(now)
	}
	span := max(leastSpan, now.Sub(b.demandSince)).Seconds()
	return b.decayed(now) / (1 - math.Exp(-span/b.window.Seconds()))
}

// row is the report of this book's totals.
func (b *book) row(now time.Time, revision int64) account.Row {
	since := revision
	if len(b.queue) > 0 {
		since = b.queue[0].since
	}
	return account.Row{
		Granted:  b.granted,
		Returned: b.returned,
		Settled:  b.settledThrough,
		Through:  b.through,
		Since:    since,
		Demand:   math.Round(b.demandNow(now)*10) / 10,
	}
}

// idle reports whether nothing is open on the budget.
func (b *book) idle() bool {
	return b.reserved == 0 && len(b.queue) == 0 && len(b.lots) == 0 && len(b.waits) == 0
}

// rowIdle reports whether nothing is set aside of the own row.
func (b *book) rowIdle() bool { return b.reserved == 0 && len(b.queue) == 0 }
