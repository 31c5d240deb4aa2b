package streamversion_test

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/arbutusmill/arbutusmill/streamversion"
	"github.com/stretchr/testify/require"
)

var start = time.Unix(1000, 0)

func began(attempt, version string) streamversion.Record {
	return streamversion.Record{Stream: streamversion.Stream{Attempt: attempt, Team: "pilots", Service: "model"}, Version: version, TTL: 10 * time.Second}
}

func TestRecordIsFoundUntilItExpires(t *testing.T) {
	var r streamversion.Registry
	rec := began("a", "v1")
	r.Add(start, rec)
	version, age, found := r.Find(start.Add(9*time.Second), rec.Stream)
	require.True(t, found)
	require.Equal(t, "v1", version)
	require.Equal(t, 9*time.Second, age)
	_, _, found = r.Find(start.Add(10*time.Second), rec.Stream)
	require.False(t, found)
}

// Guards against a team that learns which version began another team's stream, and against a stream of another
// service with the same id.
func TestRecordOfAnotherTeamOrServiceIsNotFound(t *testing.T) {
	var r streamversion.Registry
	rec := began("a", "v1")
	r.Add(start, rec)
	for _, s := range []streamversion.Stream{{Attempt: "a", Team: "skippers", Service: "model"}, {Attempt: "a", Team: "pilots", Service: "other"}} {
		_, _, found := r.Find(start, s)
		require.False(t, found)
	}
}

// Guards against a guess when an attempt's id was used for streams of two versions.
func TestContradictingRecordsAreNotUsed(t *testing.T) {
	var r streamversion.Registry
	rec := began("a", "v1")
	r.Add(start, rec)
	r.Add(start, began("a", "v2"))
	r.Add(start, rec)
	_, _, found := r.Find(start, rec.Stream)
	require.False(t, found)
}

// Guards against records without a bound: of their number, of the time for which they are kept, and of their ids.
func TestRecordsAreBounded(t *testing.T) {
	var r streamversion.Registry
	for n := range streamversion.MaxRecords + 10 {
		r.Add(start, began(fmt.Sprint(n), "v1"))
	}
	require.Equal(t, streamversion.MaxRecords, r.Len())
	_, _, found := r.Find(start, began(fmt.Sprint(streamversion.MaxRecords+9), "v1").Stream)
	require.True(t, found, "the newest one is kept")

	r = streamversion.Registry{}
	long := began("long", "v1")
	long.TTL = time.Hour
	r.Add(start, long)
	_, _, found = r.Find(start.Add(streamversion.MaxTTL), long.Stream)
	require.False(t, found)
	r.Add(start, began(strings.Repeat("x", streamversion.MaxAttemptLen+1), "v1"))
	r.Add(start, began("", "v1"))
	r.Add(start, began("no-version", ""))
	require.Equal(t, 1, r.Len())
	r.Add(start.Add(time.Hour), began("later", "v1"))
	require.Equal(t, 1, r.Len(), "the expired one makes room")
}

// Guards against a full registry that takes more than a few megabytes, a part of what a process may use.
func TestSizeOfAFullRegistry(t *testing.T) {
	const maxBytes = 4 << 20
	heap := func() uint64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	before := heap()
	r := &streamversion.Registry{}
	for n := range streamversion.MaxRecords {
		rec := began(fmt.Sprintf("%032x", n), "v1.1")
		rec.Team, rec.Service = fmt.Sprint("team-", n), "tide-assist"
		r.Add(start, rec)
	}
	size := heap() - before
	require.Equal(t, streamversion.MaxRecords, r.Len())
	t.Logf("%d records: %d bytes, %d each", streamversion.MaxRecords, size, size/streamversion.MaxRecords)
	require.Less(t, size, uint64(maxBytes))
}

// Guards against records that stay at a process which nobody asks any more, against those that are sent again and
// again, and against a record of two versions that is sent as one of the first.
func TestRecordsAreUnsettledUntilTheyAreSent(t *testing.T) {
	var r streamversion.Registry
	rec, two := began("a", "v1"), began("two", "v1")
	r.Add(start, rec)
	r.Add(start, two)
	two.Version = "v2"
	r.Add(start, two)
	later := start.Add(4 * time.Second)
	rec.TTL -= 4 * time.Second
	require.Equal(t, []streamversion.Held{{Record: rec}}, r.Unsettled(later))
	r.Settle(rec.Stream, "lender-2")
	require.Empty(t, r.Unsettled(later))
	r.UnsettleAll()
	require.Equal(t, []streamversion.Held{{Record: rec, SentTo: "lender-2"}}, r.Unsettled(later))
	require.Empty(t, r.Unsettled(start.Add(time.Minute)), "expired")
}
