package pool

import "time"

// paceSpan is the number of events over which the pace of a stream is taken. Events come
// together now and then, so one pause alone says little.
const paceSpan = 4

// paceTold is the number of events after which a stream's pace is told, and again each
// time that so many more came: streams last seconds, and whoever waits for their ends
// learns too late that an engine is slow.
const paceTold = 12

// pace is how fast the events of one stream come.
type pace struct {
	recent [paceSpan]time.Time // of the last events, as a ring
	events int
	told   time.Time // when it was last told
	// least is the time that the engine takes for an event while nothing holds it up: the
	// shortest mean over some events in a row; 0 before there were enough.
	least time.Duration
	// mean is the time for an event since the pace was told before.
	mean time.Duration
}

// came notes an event, and reports whether the pace is to be told.
func (p *pace) came(now time.Time) bool {
	if p.events == 0 {
		p.told = now
	}
	oldest := &p.recent[p.events%paceSpan]
	if p.events >= paceSpan {
		if mean := now.Sub(*oldest) / paceSpan; p.least == 0 || mean < p.least {
			p.least = mean
		}
	}
	*oldest = now
	p.events++
	if p.events%paceTold != 0 {
		return false
	}
	p.mean, p.told = now.Sub(p.told)/paceTold, now
	return true
}
