package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/arbutusmill/arbutusmill/poison"
	"github.com/stretchr/testify/require"
)

// Guards against interrupted requests that wait without a bound, and against room that is lost.
func TestWaitsForTrialsAreBounded(t *testing.T) {
	var w trialWaits
	for range 3 {
		for range maxTrialWaiting {
			require.True(t, w.enter())
		}
		require.False(t, w.enter())
		require.Equal(t, maxTrialWaiting, w.count())
		for range maxTrialWaiting {
			w.leave()
		}
		require.Zero(t, w.count())
	}
}

// Guards against a question to a prompt's owner for each waiting request, and against a trial that is lost because the request
// with the permission may not ask again after its first upstream could not be reached.
func TestWaitingRequestsShareQuestions(t *testing.T) {
	var w trialWaits
	now := time.UnixMilli(1_000_000)
	require.True(t, w.mayAsk(now, "p", "r-1"))
	require.False(t, w.mayAsk(now, "p", "r-2"))
	require.True(t, w.mayAsk(now, "q", "r-2"), "another prompt")
	w.permit(now, "p", "r-1")
	require.True(t, w.isPermitted("p", "r-1"))
	require.True(t, w.mayAsk(now, "p", "r-1"))
	require.False(t, w.mayAsk(now.Add(trialAskInterval-1), "p", "r-2"))
	require.True(t, w.mayAsk(now.Add(trialAskInterval), "p", "r-2"))
	for n := range 3 * maxTrialWaiting {
		w.mayAsk(now, "p", fmt.Sprint(n))
		w.mayAsk(now, poison.Prompt(fmt.Sprint("p-", n)), "r")
	}
	require.LessOrEqual(t, len(w.asked), maxTrialWaiting)
}

// Guards against requests that wait on although the standing of their prompt has changed.
func TestChangedStandingWakesAllWaitingRequests(t *testing.T) {
	var w trialWaits
	first, second := w.change(), w.change()
	w.notify()
	for _, changed := range []<-chan struct{}{first, second} {
		select {
		case <-changed:
		default:
			require.Fail(t, "not woken")
		}
	}
	select {
	case <-w.change():
		require.Fail(t, "woken before the next change")
	default:
	}
	w.notify()
	w.notify() // nobody waits
}
