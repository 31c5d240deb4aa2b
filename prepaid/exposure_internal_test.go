package prepaid

import (
	"testing"

	"github.com/arbutusmill/arbutusmill/coord/member"
	"github.com/stretchr/testify/require"
)

// Guards against witnesses that are lost together with their lender or with its data centre.
func TestChooseWitnesses(t *testing.T) {
	at := func(id, vm, datacentre string) member.Member {
		return member.Member{ID: id, VM: vm, Datacentre: datacentre}
	}
	self := at("self/1", "self", "west")
	near1, near2 := at("near1/1", "near1", "west"), at("near2/1", "near2", "west")
	far1, far2 := at("far1/1", "far1", "east"), at("far2/1", "far2", "north")
	for _, c := range []struct {
		name              string
		reachable, ranked []member.Member
		unreachable       string
		want              []string
	}{
		{"one near, one far", nil, []member.Member{far1, far2, near1, near2}, "", []string{"far1/1", "near1/1"}},
		{"not on the own VM", nil, []member.Member{at("self/0", "self", "west"), near1, far1}, "", []string{"far1/1", "near1/1"}},
		{"one data centre", nil, []member.Member{near1, near2}, "", []string{"near1/1", "near2/1"}},
		{"no lender near", nil, []member.Member{far1, far2}, "", []string{"far1/1", "far2/1"}},
		{"one other lender", nil, []member.Member{near1}, "", []string{"near1/1"}},
		{"no other lender", nil, []member.Member{self}, "", []string{}},
		{"no answer", nil, []member.Member{near1, near2, far1}, "near1/1", []string{"far1/1", "near2/1"}},
		{"a reachable witness stays", []member.Member{near2}, []member.Member{near1, near2, far1, far2}, "", []string{"far1/1", "near2/1"}},
		{"both are reachable", []member.Member{far2, near2}, []member.Member{near1, far1}, "", []string{"far2/1", "near2/1"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			require.Equal(t, c.want, chooseWitnesses(self, c.reachable, c.ranked, func(id string) bool { return id == c.unreachable }))
		})
	}
}
