package lender

import (
	"fmt"
	"testing"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/member"
	"github.com/arbutusmill/arbutusmill/link"
	"github.com/arbutusmill/arbutusmill/memnet"
	"github.com/arbutusmill/arbutusmill/streamversion"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// Guards against a lender that ends, or sends records to a process that did not take them, since it reads the list of processes while one that
// has failed is removed from it.
func TestRecordsMovePastManyFailedProcesses(t *testing.T) {
	var network memnet.Network // nobody listens
	k := &streamKeeper{incarnation: "own", log: zerolog.Nop(),
		links: &link.Pool{From: "own", Security: link.Security{TrustedNetwork: true}, Heartbeat: time.Second, DialTimeout: time.Second, Dial: network.Dial}}
	defer k.links.Close()
	keepers := map[string]member.Member{}
	for n := range 200 {
		vm := fmt.Sprint("vm-", n)
		keepers[vm] = member.Member{ID: vm + "/1", VM: vm, Address: fmt.Sprintf("10.0.0.1:%d", 1000+n)}
	}
	var records []streamversion.Held
	for n := range 2000 {
		records = append(records, streamversion.Held{Record: streamversion.Record{Version: "v1", TTL: time.Minute,
			Stream: streamversion.Stream{Attempt: fmt.Sprint("a-", n), Team: "pilots", Service: "model"}}})
	}
	left := k.moveTo(t.Context(), keepers, records)
	require.Len(t, left, len(records))
	require.Empty(t, keepers, "all of them failed")
}
