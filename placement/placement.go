// Package placement chooses the upstream for a request. It is a pure function of the
// known state of the upstreams.
//
// For model engines the load is prefill: it takes most of an engine's time, unless a
// prompt's leading parts are cached there. So requests that share a part go to the same
// engine, found by rendezvous hashing without messages between routers, as long as that
// engine's backlog costs less time than prefilling the part again elsewhere.
package placement

import (
	"time"

	"github.com/arbutusmill/arbutusmill/coord/rendezvous"
	"github.com/arbutusmill/arbutusmill/datacentre"
	"github.com/arbutusmill/arbutusmill/directory"
	"github.com/arbutusmill/arbutusmill/prefill"
	"github.com/arbutusmill/arbutusmill/serving"
)

// Upstream is one candidate and its state as known to the router.
type Upstream struct {
	Incarnation directory.Incarnation
	Datacentre  string
	// Slots is the number of requests that it runs at once.
	Slots int
	// Running is the number of this router's requests there that have not ended.
	Running int
	// PendingPrefill is the number of prompt tokens of this router's requests there whose first
	// event has not arrived, without those probably cached.
	PendingPrefill int64
	// Reply is its lender's reply to the announcement of the request's prompt; nil if there
	// is none. It overrides PendingPrefill and Cached, which are this router's own estimates.
	Reply *prefill.AnnounceReply
	// Cached is how many leading tokens of the request's prompt it probably has
	// cached, estimated from what this router sent there.
	Cached int64
	// Avoid is set if it failed recently.
	Avoid bool
	// Excluded is set if the request must not be sent there now.
	Excluded bool
	// FailureShare is the share of its recent answers that failed, 0 to 1.
	FailureShare float64
	// StallProne is set if prefills delay its streams for too long.
	StallProne bool
	// EventInterval is the recent time between two events of its streams; 0 if unknown.
	EventInterval time.Duration
}

// Rates are the parameters that are the same for all upstreams of a choice.
type Rates struct {
	// PrefillPerMs is the prefill rate in tokens per millisecond.
	PrefillPerMs float64
	// FetchPerMs is the rate at which engines transfer cached tokens, in tokens per
	// millisecond.
	FetchPerMs float64
	// Routers is the number of routers that send to the same upstreams.
	Routers int
	// Datacentre is the router's data centre.
	Datacentre string
	// Topology has the distance of the router from each data centre; nil if the fleet does not span several regions.
	Topology *datacentre.Topology
}

// Weights of the cost estimate.
const (
	// occupancyCost is scaled by the square of the estimated share of taken slots:
	// a batch slows down each of its requests, and a full one makes the next wait.
	occupancyCost = 200 * time.Millisecond
	// failureCost is scaled by the share of failures.
	failureCost = 2 * time.Second
	// MinFetchTokens is the minimum number of tokens for a transfer; below it the
	// set-up of the transfer takes longer than prefilling them.
	MinFetchTokens = 1000
	// duplicateWeight is the cost, in tokens, of prefilling a shared token at an engine that
	// is not preferred: the preferred one will prefill it again for the next request. With 0,
	// twice as many shared tokens are prefilled again under low load; 0.4 and 1 differ little.
	duplicateWeight = 0.4
	// assumedCacheShare is the share of the shared parts that the preferred engine is
	// assumed to have cached although this router never sent them there: other routers
	// send to it too.
	assumedCacheShare = 0.8
)

// Choice is the upstream for a request.
type Choice struct {
	Index int
	// FetchFrom is the index of an upstream that probably has more of the prompt
	// cached, or -1.
	FetchFrom int
	// Fetched is the number of leading tokens that are transferred from there.
	Fetched int64
	// PrefillTokens is the number of tokens that the chosen upstream must prefill.
	PrefillTokens int64
	// Cost is the estimated time to the first event.
	Cost time.Duration
	// Backlog is the backlog of the chosen upstream in tokens, as reported by its lender; -1 if
	// not reported.
	Backlog int64
	// Preferred is the index of the preferred upstream for the prompt's shared parts in the region of the chosen
	// one, -1 if it has none.
	Preferred int
	// Crossing is what crosses to another region.
	Crossing serving.Crossing
}

// AffinityKey returns the ID of the part by which requests are grouped: the last one that other
// requests may share. The very last part belongs to the request alone.
func AffinityKey(parts []prefill.Part) string {
	switch len(parts) {
	case 0:
		return ""
	case 1:
		return parts[0].ID
	}
	return parts[len(parts)-2].ID
}

// Shared returns the parts of a prompt that other requests may share: all but the last.
func Shared(parts []prefill.Part) []prefill.Part { return parts[:max(0, len(parts)-1)] }

// sharedTokens returns the tokens of the shared parts.
func sharedTokens(parts []prefill.Part) int64 { return prefill.TokensOf(Shared(parts)) }

// Choose returns the upstream with the lowest estimated cost, or false when there is
// none. Avoided upstreams are used only when no other is left, excluded ones never. tie
// returns the index in [0, n) at which to start, which decides between equal costs.
func Choose(r *serving.Request, ups []Upstream, rates Rates, tie func(n int) int) (Choice, bool) {
	usable := usableIndexes(ups)
	if len(usable) == 0 {
		return Choice{}, false
	}
	var c Choice
	if r.Prompt == 0 {
		c = chooseForPlain(ups, usable, rates, tie)
	} else {
		c = chooseForPrompt(r, ups, usable, rates, tie)
	}
	if rates.Topology != nil {
		c.Crossing.Region, c.Crossing.Reason = crossing(r, ups, usable, ups[c.Index].Datacentre, *rates.Topology)
	}
	return c, true
}

func usableIndexes(ups []Upstream) []int {
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

// chooseForPlain chooses the upstream for a request without a prompt.
func chooseForPlain(ups []Upstream, usable []int, rates Rates, tie func(int) int) Choice {
	avg := averageOf(ups, usable)
	best := Choice{Index: -1, FetchFrom: -1, Backlog: -1, Preferred: -1}
	start := tie(len(usable))
	for k := range usable {
		i := usable[(start+k)%len(usable)]
		c := baseCost(ups[i], avg, rates)
		if best.Index < 0 || c < best.Cost {
			best.Index, best.Cost = i, c
		}
	}
	return best
}

// averageLoad is the average load of the usable upstreams from this router's requests.
type averageLoad struct {
	running        float64
	pendingPrefill float64
}

func averageOf(ups []Upstream, usable []int) averageLoad {
	var l averageLoad
	for _, i := range usable {
		l.running += float64(ups[i].Running)
		l.pendingPrefill += float64(ups[i].PendingPrefill)
	}
	n := float64(len(usable))
	return averageLoad{running: l.running / n, pendingPrefill: l.pendingPrefill / n}
}

// otherRouters returns the number of other routers. Each is assumed to have the same load
// as this one, spread evenly: this router's requests at one upstream are no estimate of
// theirs.
func (r Rates) otherRouters() float64 { return float64(max(0, r.Routers-1)) }

// streams estimates the number of requests of all routers that run at an upstream.
func (avg averageLoad) streams(u Upstream, rates Rates) float64 {
	return float64(u.Running) + avg.running*rates.otherRouters()
}

// baseCost returns the part of the cost that is the same for plain services and engines.
func baseCost(u Upstream, avg averageLoad, rates Rates) time.Duration {
	taken := avg.streams(u, rates) / float64(max(1, u.Slots))
	c := time.Duration(float64(occupancyCost) * taken * taken)
	c += time.Duration(float64(failureCost) * u.FailureShare)
	return c + rates.distanceCost(u.Datacentre)
}

// backlog estimates the tokens that an engine prefills before a new prompt.
func (u Upstream) backlog(avg averageLoad, rates Rates) float64 {
	if u.Reply != nil {
		return float64(u.Reply.Backlog)
	}
	return float64(u.PendingPrefill) + avg.pendingPrefill*rates.otherRouters()
}

// reportedBacklog returns the backlog for Choice.Backlog.
func (u Upstream) reportedBacklog() int64 {
	if u.Reply == nil {
		return -1
	}
	return u.Reply.Backlog
}

func chooseForPrompt(r *serving.Request, ups []Upstream, usable []int, rates Rates, tie func(int) int) Choice {
	avg := averageOf(ups, usable)
	sep := separate(r, ups, usable, rates)
	regions := groupByRegion(r, ups, usable, sep.preferable, rates)
	best := Choice{Index: -1}
	start := tie(len(usable))
	for k := range usable {
		i := usable[(start+k)%len(usable)]
		u, preferred := ups[i], regions.of(i).preferred
		cached := cachedTokens(r, ups, i, i == preferred)
		f := regions.fetch(i, cached, rates)
		waitTokens := float64(max(0, r.Prompt-cached)) + f.waitTokens + regions.lacking(r, i, cached, f)
		if i != preferred {
			waitTokens += duplicateWeight * float64(max(0, sharedTokens(r.Parts)-max(cached, f.leading)))
		}
		waitTokens += u.backlog(avg, rates)
		c := baseCost(u, avg, rates) + time.Duration(waitTokens/rates.PrefillPerMs*float64(time.Millisecond))
		c += sep.cost(r, u, avg.streams(u, rates))
		if best.Index < 0 || c < best.Cost {
			best = Choice{Index: i, FetchFrom: f.from, Fetched: f.leading, PrefillTokens: max(0, r.Prompt-cached) - f.tokens, Cost: c,
				Backlog: u.reportedBacklog(), Preferred: preferred, Crossing: serving.Crossing{Fetched: f.crossing}}
		}
	}
	return best
}

// largestCache returns the upstream that probably has most of the prompt cached and how many
// leading tokens; -1 if none has any. Others fetch them from there: an engine that is new to
// a prompt, or whose set of prompts has changed, would otherwise prefill them again.
func largestCache(r *serving.Request, ups []Upstream, usable []int, preferred int) (source int, tokens int64) {
	source = -1
	for _, i := range usable {
		if n := cachedTokens(r, ups, i, i == preferred); n > tokens {
			source, tokens = i, n
		}
	}
	return source, tokens
}

// cachedTokens estimates how many leading tokens of the prompt an upstream has cached.
func cachedTokens(r *serving.Request, ups []Upstream, i int, preferred bool) int64 {
	if i < 0 {
		return 0
	}
	u := ups[i]
	switch {
	case u.Reply != nil:
		return u.Reply.Cached
	case preferred:
		return max(u.Cached, int64(assumedCacheShare*float64(sharedTokens(r.Parts))))
	}
	return u.Cached
}

// preferredEngine returns the preferred upstream for the request's shared parts, -1 if it has
// none. All routers with the same usable upstreams find the same one; if a router avoids an
// upstream, only the prompts that prefer it move.
func preferredEngine(r *serving.Request, ups []Upstream, usable []int) int {
	key := AffinityKey(r.Parts)
	if key == "" {
		return -1
	}
	ids := make([]string, len(usable))
	for k, i := range usable {
		ids[k] = ups[i].Incarnation.ID
	}
	id := rendezvous.Pick(key, ids)
	for _, i := range usable {
		if ups[i].Incarnation.ID == id {
			return i
		}
	}
	return -1
}
