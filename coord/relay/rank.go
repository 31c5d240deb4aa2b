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
	ranked := rendezvous.Rank(rankKey, candidates)
	used := min(len(ranked), max(1, (processes+maxFollowers-1)/maxFollowers))
	if used == 0 {
		return nil
	}
	first := rendezvous.Bucket(follower, used)
	out := make([]string, 0, limit)
	for i := range used {
		out = append(out, ranked[(first+i)%used])
	}
	out = append(out, ranked[used:]...)
	return out[:min(limit, len(out))]
}
