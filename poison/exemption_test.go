package poison

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func crashNow(r *Registry, now time.Time, p Prompt, service, upstream string) {
	r.Add(now, Evidence{Prompt: p, Crashes: []Crash{{Upstream: upstream, Service: service, UnixMS: r.CrashTime(now, p, service)}}})
}

// Guards against a cleared prompt on trial again, since the clock of a router that has the crashes was hours ahead and
// was corrected before the prompt was answered.
func TestAnswerClearsCrashesOfAClockThatStepsBack(t *testing.T) {
	for _, ahead := range []time.Duration{2 * time.Second, 59 * time.Second, 90 * time.Second, time.Hour, 30 * time.Hour} {
		t.Run(ahead.String(), func(t *testing.T) {
			now := time.UnixMilli(1_700_000_000_000)
			var stepped, owner Registry
			for n := range 2 {
				crashNow(&stepped, now.Add(ahead), "p", "chat", fmt.Sprint("i-", n))
			}
			e := overWire(t, stepped.Known(now.Add(ahead), "p"))
			owner.Add(now.Add(5*time.Millisecond), e)
			now = now.Add(time.Second)
			stepped.Expire(now) // its clock is corrected, and Expire runs each second
			now = now.Add(9 * time.Second)
			owner.RecordAnswer(now, "p", "chat")
			for range 5 {
				now = now.Add(5 * time.Second)
				stepped.Add(now, overWire(t, owner.Known(now, "p")))
				owner.Add(now, overWire(t, stepped.Known(now, "p")))
				require.Equal(t, Clear, owner.Known(now, "p").Standing(), "at the owner")
				require.Equal(t, Clear, stepped.Known(now, "p").Standing(), "at the router whose clock was corrected")
			}
		})
	}
}

// Guards against a refusal that lasts for hours, since the clock of the router that observed the crashes was ahead.
func TestRefusalPeriodDoesNotDependOnAStepOfTheClock(t *testing.T) {
	now := time.UnixMilli(1_700_000_000_000)
	var r Registry
	for n := range 3 {
		crashNow(&r, now.Add(5*time.Hour), "p", "chat", fmt.Sprint("i-", n))
	}
	r.Expire(now)
	require.Equal(t, Proven, r.Known(now, "p").Standing())
	require.Equal(t, OnTrial, r.Known(now.Add(refusalPeriod+time.Second), "p").Standing())
}

// Guards against a prompt that three routers whose clocks differ never prove.
func TestDeadlyPromptIsProvenWhateverTheClocks(t *testing.T) {
	for _, off := range []time.Duration{0, 2 * time.Second, 59 * time.Second, 61 * time.Second, time.Hour, 48 * time.Hour, 5 * 365 * 24 * time.Hour} {
		for _, sign := range []time.Duration{-1, 1} {
			now := time.UnixMilli(1_700_000_000_000)
			clocks := []time.Duration{0, sign * off, 0}
			routers := make([]Registry, 3) // 0 is the owner
			for n := range 3 {
				now = now.Add(time.Second)
				crashNow(&routers[n], now.Add(clocks[n]), "p", "chat", fmt.Sprint("i-", n))
				reply, _ := routers[0].Add(now, overWire(t, routers[n].Known(now.Add(clocks[n]), "p")))
				routers[n].Add(now.Add(clocks[n]), overWire(t, reply))
			}
			for n := range 3 {
				routers[n].Add(now.Add(clocks[n]), overWire(t, routers[0].Known(now, "p")))
				require.Equal(t, Proven, routers[n].Known(now.Add(clocks[n]), "p").Standing(), "router %d, off by %v", n, sign*off)
			}
		}
	}
}

// Guards against a prompt that crashes more than three engines, since another service answered it before they crashed.
func TestCrashesAfterAnAnswerCountForOtherServicesThatAnswered(t *testing.T) {
	now := time.UnixMilli(1_700_000_000_000)
	var r Registry
	crashNow(&r, now, "p", "chat", "i-1")
	r.RecordAnswer(now.Add(time.Second), "p", "chat")
	now = now.Add(time.Hour)
	for n := range 3 {
		crashNow(&r, now, "p", "code", fmt.Sprint("i-1", n))
	}
	require.Equal(t, Proven, r.Known(now, "p").ForService("chat").Standing())
}

// Guards against a prompt that stays suspect at a service that has just answered it, since a crash of another
// service was assigned a later time than its clock shows.
func TestAnswerFollowsRecordedCrashesOfOtherServices(t *testing.T) {
	now := time.UnixMilli(1_700_000_000_000)
	var r Registry
	crashNow(&r, now, "p", "chat", "i-1")
	r.RecordAnswer(now, "p", "chat")
	crashNow(&r, now, "p", "chat", "i-2")
	r.RecordAnswer(now, "p", "code")
	require.Equal(t, Clear, r.Known(now, "p").ForService("code").Standing())
	require.Equal(t, Suspect, r.Known(now, "p").ForService("chat").Standing())
}
