package prepaid

import (
	"slices"

	"github.com/arbutusmill/arbutusmill/coord/member"
	"github.com/arbutusmill/arbutusmill/datacentre"
)

// nextWitnesses returns the witnesses that this lender should have.
func (b *Budgets) nextWitnesses(reachable, ranked []member.Member) []string {
	if b.regions.several {
		return chooseRegionalWitnesses(b.members.Self, b.regions.topology, reachable, ranked, b.isUnreachable)
	}
	return chooseWitnesses(b.members.Self, reachable, ranked, b.isUnreachable)
}

// chooseRegionalWitnesses chooses one witness in another region, which survives the loss of the own one, and one in the own region,
// in another data centre if there is a lender. Reachable witnesses stay where they serve.
func chooseRegionalWitnesses(self member.Member, t datacentre.Topology, reachable, ranked []member.Member, unreachable func(id string) bool) []string {
	var candidates []member.Member
	for _, m := range ranked {
		if m.VM != self.VM && !unreachable(m.ID) {
			candidates = append(candidates, m)
		}
	}
	own := func(m member.Member) bool { return t.Region(m.Datacentre) == t.Region(self.Datacentre) }
	var chosen []member.Member
	add := func(from []member.Member, wanted func(member.Member) bool) bool {
		i := slices.IndexFunc(from, func(m member.Member) bool { return wanted(m) && !slices.Contains(chosen, m) })
		if i < 0 || len(chosen) == maxWitnesses {
			return false
		}
		chosen = append(chosen, from[i])
		return true
	}
	elsewhere := func(m member.Member) bool { return !own(m) }
	otherDatacentre := func(m member.Member) bool { return own(m) && m.Datacentre != self.Datacentre }
	_ = add(reachable, elsewhere) || add(candidates, elsewhere)
	_ = add(reachable, own) || add(candidates, otherDatacentre) || add(candidates, own)
	anyone := func(member.Member) bool { return true }
	for len(chosen) < maxWitnesses && (add(reachable, anyone) || add(candidates, anyone)) {
		continue
	}
	return sortedIDs(chosen)
}

// sortedIDs returns the members' ids in the order that lists of witnesses have.
func sortedIDs(members []member.Member) []string {
	out := make([]string, 0, len(members))
	for _, m := range members {
		out = append(out, m.ID)
	}
	slices.Sort(out)
	return out
}
