package relay

import "github.com/arbutusmill/arbutusmill/coord/rendezvous"

// rankKey is the key by which relays are ranked; all processes use the same.
const rankKey = "relay"

// RankRelays lists the relays that a follower asks, best first. The load pattern that it answers:
// hundreds of processes that each follow the store make more calls than the store takes, and
// all of them behind one relay would be too many for it.
//
// Candidates are ranked by rendezvous, so that all processes with the same view find the same
// few without a message: one for each mostFollowers of the fleet's processes. Each follower
// has its place among those by its own name; those after it come next, so that the followers
// of one that ends are spread. most bounds the list.
func RankRelays(follower string, candidates []string, processes, mostFollowers, most int) []string {
	ranked := rendezvous.Rank(rankKey, candidates)
	used := min(len(ranked), max(1, (processes+mostFollowers-1)/mostFollowers))
	if used == 0 {
		return nil
	}
	first := rendezvous.Bucket(follower, used)
	out := make([]string, 0, most)
	for i := range used {
		out = append(out, ranked[(first+i)%used])
	}
	out = append(out, ranked[used:]...)
	return out[:min(most, len(out))]
}
