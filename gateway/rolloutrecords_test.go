package gateway_test

import (
	"context"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/store"
	"github.com/arbutusmill/arbutusmill/platform/standin"
	"github.com/stretchr/testify/require"
)

// recordKey is the key of the system's own record of the roll-out.
const recordKey = "arbutusmill/rollout/plain"

// Guards against a completing write that conflicts and is tried again too late: another router had written the
// record too.
func TestConflictAtTheCompletingWrite(t *testing.T) {
	withFleet(t, func(f *fleet) {
		r := startRolloutFleet(f, 13, 5)
		r.order(standin.Serve, 0)
		rewritten := false
		r.play(r.duration+time.Second, func(elapsed time.Duration) {
			if !rewritten && elapsed >= r.duration-650*time.Millisecond { // after the last record
				rewritten = true
				r.rewriteRecord()
			}
		})
		require.Equal(t, "completed", r.state, r.reasons())
		require.Contains(t, r.log.String(), "rollout_conflict")
		require.LessOrEqual(t, r.endedAt.Sub(r.ordered), r.duration)
	})
}

// Guards against a router that decided for a moment, and decides again later from what it knew then.
func TestDeciderWithoutReportsIsSuspended(t *testing.T) {
	withFleet(t, func(f *fleet) {
		r := startRolloutFleet(f, 16, 5)
		r.order(standin.Serve, 0)
		reported, stopped := false, false
		r.play(r.duration+time.Second, func(elapsed time.Duration) {
			r.startStopped()
			if !reported && elapsed >= time.Second {
				reported = r.reportToSecond()
			}
			if !stopped && elapsed >= 4*time.Second {
				stopped = true
				require.Contains(t, r.log.String(), "rollout_suspended")
				r.restart(r.candidate(0))
			}
		})
		require.True(t, reported && stopped)
		require.Equal(t, "completed", r.state, r.reasons())
		require.LessOrEqual(t, r.endedAt.Sub(r.ordered), r.duration)
		r.checkOldStopped()
	})
}

// rewriteRecord writes the record with the value that it has.
func (r *rolloutFleet) rewriteRecord() {
	it, err := r.store.Get(context.Background(), recordKey)
	require.NoError(r.t, err)
	_, err = r.store.CompareAndSwap(context.Background(), recordKey, it.Revision, it.Value, 0)
	require.NoError(r.t, err)
}

// Guards against a good version that is not completed beside processes that write records without counts.
func TestRecordsOfOlderProcesses(t *testing.T) {
	withFleet(t, func(f *fleet) {
		r := startRolloutFleet(f, 14, 5)
		r.order(standin.Serve, 0)
		dropped := 0
		r.play(r.duration+time.Second, func(elapsed time.Duration) {
			if elapsed >= time.Duration(dropped+1)*1300*time.Millisecond && elapsed < r.duration-time.Second {
				dropped++
				r.dropCounts()
			}
		})
		require.Equal(t, 5, dropped)
		require.Equal(t, "completed", r.state, r.reasons())
		require.LessOrEqual(t, r.endedAt.Sub(r.ordered), r.duration)
		r.checkOldStopped()
	})
}

// dropCounts writes the record without what was observed.
func (r *rolloutFleet) dropCounts() {
	it, err := r.store.Get(context.Background(), recordKey)
	require.NoError(r.t, err)
	var record map[string]any
	require.NoError(r.t, json.Unmarshal(it.Value, &record))
	delete(record, "observed")
	value, err := json.Marshal(record)
	require.NoError(r.t, err)
	_, err = r.store.CompareAndSwap(context.Background(), recordKey, it.Revision, value, 0)
	require.NoError(r.t, err)
}

// Guards against writes to the store that grow with the number of routers, and against a large record.
func TestWritesOfARollOut(t *testing.T) {
	// A write at most each 0.5 s, and those of the routers that wrote as deciders: at the start two may.
	const maxWrites, maxBytes = 16 + 3, 4 << 10
	for _, routers := range []int{6, 30} {
		withFleet(t, func(f *fleet) {
			r := startRolloutFleet(f, 15, routers)
			r.order(standin.Serve, 0)
			writes, revision, size := 0, store.Revision(0), 0
			r.play(r.duration+time.Second, func(time.Duration) {
				it, err := r.store.Get(context.Background(), recordKey)
				require.NoError(t, err)
				if it.Revision != revision {
					revision, size = it.Revision, max(size, len(it.Value))
				}
			})
			for line := range strings.Lines(r.log.String()) {
				if strings.Contains(line, `"rollout_recorded"`) || strings.Contains(line, `"rollout_stored"`) {
					writes++
				}
			}
			t.Logf("%d routers: %d writes, %d bytes at most", routers, writes, size)
			require.Equal(t, "completed", r.state)
			require.LessOrEqual(t, writes, maxWrites)
			require.GreaterOrEqual(t, writes, 10, "too little would be known after a restart")
			require.Less(t, size, maxBytes)
		})
	}
}
