package prefill

import (
	"time"

	"github.com/arbutusmill/arbutusmill/directory"
)

const (
	// remotePartTTL is how long another engine is assumed to keep a part cached. It keeps parts
	// in use; if it has evicted one, the transfer yields nothing and the part is prefilled as
	// it would have been without it.
	remotePartTTL = 30 * time.Second
	// maxRemoteParts bounds the recorded parts of other engines.
	maxRemoteParts = 4096
)

// RemotePrefill reports that Engine prefills the shared leading parts of a prompt.
type RemotePrefill struct {
	Parts  []Part                `json:"parts"`
	Engine directory.Incarnation `json:"by"`
}

// remoteParts records which other engines have which parts cached. Prompts that share a part prefer
// one engine, and go elsewhere while it is busy. Without this record, the next router that finds the
// preferred engine idle has it prefill the part again although another engine has it cached; that was
// half of all shared tokens prefilled again on busy days. The record is kept with the preferred engine,
// where all routers announce their prompts.
type remoteParts struct {
	byPart map[string]remotePart // by the ID of the last of the leading parts
}

type remotePart struct {
	engine     directory.Incarnation
	tokens     int64
	recordedAt time.Time
}

// record stores the engine that last prefilled the parts.
func (p *remoteParts) record(now time.Time, e RemotePrefill) {
	if len(e.Parts) == 0 {
		return
	}
	if p.byPart == nil {
		p.byPart = map[string]remotePart{}
	}
	if len(p.byPart) >= maxRemoteParts {
		p.removeExpired(now)
	}
	if len(p.byPart) >= maxRemoteParts {
		return
	}
	p.byPart[e.Parts[len(e.Parts)-1].ID] = remotePart{engine: e.Engine, tokens: TokensOf(e.Parts), recordedAt: now}
}

func (p *remoteParts) removeExpired(now time.Time) {
	for id, part := range p.byPart {
		if now.Sub(part.recordedAt) >= remotePartTTL {
			delete(p.byPart, id)
		}
	}
}

// find returns the engine that has most of a prompt's leading parts cached, and their tokens; 0 if
// none is found.
func (p *remoteParts) find(now time.Time, parts []Part) (engine directory.Incarnation, tokens int64) {
	for i := len(parts) - 1; i >= 0; i-- {
		if found, ok := p.byPart[parts[i].ID]; ok && now.Sub(found.recordedAt) < remotePartTTL {
			return found.engine, found.tokens
		}
	}
	return directory.Incarnation{}, 0
}
