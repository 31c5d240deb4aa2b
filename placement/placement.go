// Package placement chooses the upstream for a request. It is a pure decision: what is
// known of the upstreams comes in, the choice goes out.
//
// For model engines the load is prefill: reading a prompt takes most of an engine's
// time, unless its leading parts are cached there. So requests that share a part go to
// the same engine, found by rendezvous hashing without any message between routers, as
// long as that engine's queue costs less time than reading the part again elsewhere.
package placement

import (
	"time"

	"github.com/arbutusmill/arbutusmill/coord/rendezvous"
	"github.com/arbutusmill/arbutusmill/directory"
	"github.com/arbutusmill/arbutusmill/prefill"
	"github.com/arbutusmill/arbutusmill/serving"
)

// Upstream is one candidate as the router believes it to be.
type Upstream struct {
	Life       directory.Incarnation
	Datacentre string
	// Slots is how many requests it runs at once.
	Slots int
	// Running is this router's requests there that have not ended.
	Running int
	// PendingPrefill is the prompt tokens of this router's requests there whose first
	// event has not come, without those believed cached.
	PendingPrefill int64
	// Reply is what the process beside it has just told of the request's prompt; nil if
	// nobody did. It goes before Unread and Cached, which are this router's own guess.
	Reply *prefill.AnnounceReply
	// Cached is how many leading tokens of the request's prompt it is believed to
	// have cached, by what this router sent there.
	Cached int64
	// Avoid says that it failed lately.
	Avoid bool
	// Excluded says that it must not be sent the request now.
	Excluded bool
	// FailureShare is the share of its recent answers that failed, 0 to 1.
	FailureShare float64
	// StallProne says that its streams are held up too long while it reads prompts.
	StallProne bool
	// EventInterval is the time between two events of its streams lately; 0 is not known.
	EventInterval time.Duration
}

// Rates are what the choice assumes of upstreams.
type Rates struct {
	// PrefillPerMs is the prompt tokens that an engine reads in a millisecond.
	PrefillPerMs float64
	// FetchPerMs is the tokens of cached prompt that engines pass on in a
	// millisecond.
	FetchPerMs float64
	// Routers is how many routers send to the same upstreams.
	Routers int
	// Datacentre is the router's data centre.
	Datacentre string
}

// Weights of the choice.
const (
	// crowdedCost is added in proportion to the slots believed taken, squared:
	// a batch slows down each of its requests, and a full one makes the next wait.
	crowdedCost = 200 * time.Millisecond
	// farCost prefers an upstream of the own data centre when all else is alike:
	// about two of the networks' one-way delays, and bytes between data centres
	// are paid for.
	farCost = 3 * time.Millisecond
	// failureCost is what an upstream that fails every request costs.
	failureCost = 2 * time.Second
	// MinFetchTokens is the fewest tokens that are worth a transfer; below it the
	// set-up of the transfer takes longer than reading them.
	MinFetchTokens = 1000
	// scatterWeight is what it costs, in tokens, to read a shared token elsewhere than
	// at the prompt's home: the home will read it again for the next request. With 0
	// twice as many shared tokens were read again on calm days; 0.4 and 1 differ little.
	scatterWeight = 0.4
	// homeTrust is the share of the shared parts that the home engine is believed
	// to have cached although this router never sent them there: other routers
	// send to it too.
	homeTrust = 0.8
)

// Choice is the upstream for a request.
type Choice struct {
	Index int
	// FetchFrom is the index of an upstream that should have more of the prompt
	// cached, or -1.
	FetchFrom int
	// Fetched is the leading tokens that it then gets from there.
	Fetched int64
	// PrefillTokens is the tokens that the chosen one must read.
	PrefillTokens int64
	// Cost is the estimated time to the first event.
	Cost time.Duration
	// Backlog is the tokens that the process beside the chosen one told of before the prompt; -1
	// if nobody told.
	Backlog int64
	// Preferred is the index of the upstream that the prompt prefers for its shared parts, -1 if it
	// has none.
	Preferred int
}

// AffinityKey is the part of a prompt by which requests are brought together: the last one
// that others may share. The very last part belongs to the request alone.
func AffinityKey(parts []prefill.Part) string {
	switch len(parts) {
	case 0:
		return ""
	case 1:
		return parts[0].ID
	}
	return parts[len(parts)-2].ID
}

// Shared are the parts of a prompt that others may share: all but the last.
func Shared(parts []prefill.Part) []prefill.Part { return parts[:max(0, len(parts)-1)] }

// shared is their tokens.
func shared(parts []prefill.Part) int64 { return prefill.TokensOf(Shared(parts)) }

// Choose returns the upstream with the least estimated cost, or false when there is
// none. Upstreams to avoid are taken only when no other is left, closed ones never.
func Choose(r *serving.Request, ups []Upstream, rates Rates, tie func(n int) int) (Choice, bool) {
	usable := candidates(ups)
	if len(usable) == 0 {
		return Choice{}, false
	}
	if r.Prompt == 0 {
		return choosePlain(ups, usable, rates, tie), true
	}
	return choosePrompt(r, ups, usable, rates, tie), true
}

func candidates(ups []Upstream) []int {
	var good, avoided []int
	for i, u := range ups {
		switch {
		case u.Excluded:
		case u.Avoid:
			avoided = append(avoided, i)
		default:
			good = append(good, i)
		}
	}
	if len(good) == 0 {
		return avoided
	}
	return good
}

// choosePlain takes the upstream with the most room.
func choosePlain(ups []Upstream, usable []int, rates Rates, tie func(int) int) Choice {
	m := mean(ups, usable)
	best := Choice{Index: -1, FetchFrom: -1, Backlog: -1, Preferred: -1}
	start := tie(len(usable))
	for k := range usable {
		i := usable[(start+k)%len(usable)]
		c := common(ups[i], m, rates)
		if best.Index < 0 || c < best.Cost {
			best.Index, best.Cost = i, c
		}
	}
	return best
}

// load is what the usable upstreams have on average, by this router's own requests.
type load struct {
	running float64
	unread  float64
}

func mean(ups []Upstream, usable []int) load {
	var l load
	for _, i := range usable {
		l.running += float64(ups[i].Running)
		l.unread += float64(ups[i].PendingPrefill)
	}
	n := float64(len(usable))
	return load{running: l.running / n, unread: l.unread / n}
}

// others is the number of routers beside this one. Each is assumed to have the same
// load as this one, spread evenly: the own requests at an upstream say little about
// what the others have there at this moment.
func (r Rates) others() float64 { return float64(max(0, r.Routers-1)) }

// streams is how many requests of all routers are believed to run at an upstream.
func (m load) streams(u Upstream, rates Rates) float64 {
	return float64(u.Running) + m.running*rates.others()
}

// common is the part of the cost that plain services and engines share.
func common(u Upstream, m load, rates Rates) time.Duration {
	taken := m.streams(u, rates) / float64(max(1, u.Slots))
	c := time.Duration(float64(crowdedCost) * taken * taken)
	c += time.Duration(float64(failureCost) * u.FailureShare)
	if u.Datacentre != rates.Datacentre {
		c += farCost
	}
	return c
}

// before is the tokens that an engine is believed to read before a new prompt.
func (u Upstream) before(m load, rates Rates) float64 {
	if u.Reply != nil {
		return float64(u.Reply.Backlog)
	}
	return float64(u.PendingPrefill) + m.unread*rates.others()
}

// toldBefore is Choice.Before.
func (u Upstream) toldBefore() int64 {
	if u.Reply == nil {
		return -1
	}
	return u.Reply.Backlog
}

func choosePrompt(r *serving.Request, ups []Upstream, usable []int, rates Rates, tie func(int) int) Choice {
	m := mean(ups, usable)
	apart := separate(r, ups, usable, rates)
	home := homeOf(r, ups, apart.homes)
	source, most := sourceOf(r, ups, usable, home)
	best := Choice{Index: -1}
	start := tie(len(usable))
	for k := range usable {
		i := usable[(start+k)%len(usable)]
		u := ups[i]
		cached := cachedAt(r, ups, i, i == home)
		unread := max(0, r.Prompt-cached)
		from := -1
		waitTokens := float64(unread)
		var fetched int64
		if more := most - cached; i != source && more >= MinFetchTokens {
			from, fetched = source, most
			waitTokens += float64(more) * (rates.PrefillPerMs/rates.FetchPerMs - 1)
			unread -= more
		}
		if i != home {
			waitTokens += scatterWeight * float64(max(0, shared(r.Parts)-max(cached, fetched)))
		}
		waitTokens += u.before(m, rates)
		c := common(u, m, rates) + time.Duration(waitTokens/rates.PrefillPerMs*float64(time.Millisecond))
		c += apart.cost(r, u, m.streams(u, rates))
		if best.Index < 0 || c < best.Cost {
			best = Choice{Index: i, FetchFrom: from, Fetched: fetched, PrefillTokens: unread, Cost: c, Backlog: u.toldBefore(), Preferred: home}
		}
	}
	return best
}

// sourceOf is the upstream that is believed to have most of the prompt cached, and how many
// of its leading tokens; -1 if none has any. Others fetch them from there: an engine that
// is new to a prompt, or whose share of prompts has changed, would read again what a
// neighbour has.
func sourceOf(r *serving.Request, ups []Upstream, usable []int, home int) (source int, tokens int64) {
	source = -1
	for _, i := range usable {
		if n := cachedAt(r, ups, i, i == home); n > tokens {
			source, tokens = i, n
		}
	}
	return source, tokens
}

// cachedAt is how many leading tokens of the prompt an upstream is believed to have cached.
func cachedAt(r *serving.Request, ups []Upstream, i int, home bool) int64 {
	if i < 0 {
		return 0
	}
	u := ups[i]
	switch {
	case u.Reply != nil:
		return u.Reply.Cached
	case home:
		return max(u.Cached, int64(homeTrust*float64(shared(r.Parts))))
	}
	return u.Cached
}

// homeOf is the upstream that routers prefer for the request's shared parts, -1 if it has
// none. All routers that can use the same upstreams find the same one; where one of them
// avoids an upstream, only the prompts at home there move.
func homeOf(r *serving.Request, ups []Upstream, usable []int) int {
	key := AffinityKey(r.Parts)
	if key == "" {
		return -1
	}
	ids := make([]string, len(usable))
	for k, i := range usable {
		ids[k] = ups[i].Life.ID
	}
	id := rendezvous.Pick(key, ids)
	for _, i := range usable {
		if ups[i].Life.ID == id {
			return i
		}
	}
	return -1
}
