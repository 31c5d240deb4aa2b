package relay

import "github.com/arbutusmill/arbutusmill/coord/rendezvous"

// rankKey is the rendezvous key for ranking relays; all processes use the same one.
const rankKey = "relay"

// RankRelays lists the relays that a follower polls, best first. If hundreds of processes each
// followed the store, they would make more calls than the store can serve, and a single relay
// could not serve all of them either.
//
// Candidates are ranked by rendezvous hashing, so that all processes with the same view choose
// the same few relays without coordination: one for each maxFollowers of the fleet's processes.
// Each follower starts at a relay chosen by its own name and continues with those after it, so
// that the followers of a relay that ends are spread over the others. limit bounds the list.
func RankRelays(follower string, candidates []string, processes, maxFollowers, limit int) []string {
	used, others := SplitRelays(candidates, processes, maxFollowers)
	out := append(StartingWith(follower, used), others...)
	return out[:min(limit, len(out))]
}

// SplitRelays returns the relays in use, one for each maxFollowers of the processes, and the other candidates in the
// order in which they replace them. All processes with the same view find the same ones.
func SplitRelays(candidates []string, processes, maxFollowers int) (used, others []string) {
	ranked := rendezvous.Rank(rankKey, candidates)
	n := min(len(ranked), max(1, (processes+maxFollowers-1)/maxFollowers))
	return ranked[:n], ranked[n:]
}

// StartingWith returns the relays in the same circular order, beginning with one that the follower's name chooses.
func StartingWith(follower string, relays []string) []string {
	out := make([]string, 0, len(relays))
	if len(relays) == 0 {
		return out
	}
	first := rendezvous.Bucket(follower, len(relays))
	for i := range relays {
		out = append(out, relays[(first+i)%len(relays)])
	}
	return out
}
