package prefill

import (
	"time"

	"github.com/arbutusmill/arbutusmill/directory"
)

const (
	// elsewhereFor is how long an engine is believed to keep a part of prompts that it read. It
	// keeps those that are asked for; a transfer of one that it gave up brings nothing, and the
	// part is read as it would have been.
	elsewhereFor = 30 * time.Second
	// mostElsewhere bounds the parts that are remembered of other engines.
	mostElsewhere = 4096
)

// RemotePrefill says that an engine reads the leading parts of a prompt that others share.
type RemotePrefill struct {
	Parts []Part         `json:"parts"`
	Engine    directory.Incarnation `json:"by"`
}

// places is who else keeps which parts of prompts. The load pattern that it answers: prompts that
// share a part prefer one engine, and go elsewhere while that is busy. The next router that finds it
// idle has the part read there again, though an engine next to it keeps the part: half of all shared
// tokens that were read again on busy days. The preferred engine's side is where all routers ask.
type places struct {
	by map[string]place // by the last of the leading parts
}

type place struct {
	by     directory.Incarnation
	tokens int64
	at     time.Time
}

// note remembers who read the parts last.
func (p *places) note(now time.Time, e RemotePrefill) {
	if len(e.Parts) == 0 {
		return
	}
	if p.by == nil {
		p.by = map[string]place{}
	}
	if len(p.by) >= mostElsewhere {
		p.forget(now)
	}
	if len(p.by) >= mostElsewhere {
		return
	}
	p.by[e.Parts[len(e.Parts)-1].ID] = place{by: e.Engine, tokens: TokensOf(e.Parts), at: now}
}

func (p *places) forget(now time.Time) {
	for id, known := range p.by {
		if now.Sub(known.at) >= elsewhereFor {
			delete(p.by, id)
		}
	}
}

// find returns who keeps most of a prompt's leading parts, and how many tokens these have; 0 if
// nobody is known.
func (p *places) find(now time.Time, parts []Part) (by directory.Incarnation, tokens int64) {
	for i := len(parts) - 1; i >= 0; i-- {
		if known, ok := p.by[parts[i].ID]; ok && now.Sub(known.at) < elsewhereFor {
			return known.by, known.tokens
		}
	}
	return directory.Incarnation{}, 0
}
