package poison

import (
	"encoding/json"
	"fmt"
	"time"
)

// document is the stored form of the evidence. Times are wall-clock times, the only clock that
// writers and readers share. Clocks that differ by seconds shift trials by the same amount.
type document struct {
	Prompts []storedPrompt `json:"prompts"`
}

type storedPrompt struct {
	Prompt   Prompt        `json:"prompt"`
	Answered []string      `json:"answered,omitempty"`
	Crashes  []storedCrash `json:"ends"`
}

type storedCrash struct {
	Upstream string `json:"upstream"`
	Service  string `json:"service"`
	UnixMS   int64  `json:"unix_ms"`
}

// KeepersKey is the rendezvous key that selects the processes that keep the evidence on prompts.
// The first of them writes the document.
const KeepersKey = "prompts"

// maxStoredPrompts limits a document to about ten kilobytes; it is written at most once a second.
const maxStoredPrompts = 128

// Encode returns the document of the first maxStoredPrompts prompts.
func Encode(now time.Time, all []Evidence) ([]byte, error) {
	var d document
	for _, e := range all[:min(len(all), maxStoredPrompts)] {
		p := storedPrompt{Prompt: e.Prompt, Answered: e.Answered}
		for _, c := range e.Crashes {
			p.Crashes = append(p.Crashes, storedCrash{Upstream: c.Upstream, Service: c.Service, UnixMS: now.Add(-c.Age).UnixMilli()})
		}
		d.Prompts = append(d.Prompts, p)
	}
	return json.Marshal(d)
}

// Decode parses a document. A crash in the future is treated as happening now. The error
// identifies a prompt or crash whose name is missing.
func Decode(now time.Time, value []byte) ([]Evidence, error) {
	var d document
	if err := json.Unmarshal(value, &d); err != nil {
		return nil, err
	}
	var all []Evidence
	for n, p := range d.Prompts {
		if p.Prompt == "" {
			return nil, fmt.Errorf("prompts[%d].prompt is missing", n)
		}
		e := Evidence{Prompt: p.Prompt, Answered: p.Answered}
		for k, c := range p.Crashes {
			if c.Upstream == "" {
				return nil, fmt.Errorf("prompts[%d].ends[%d].upstream is missing", n, k)
			}
			if age := max(0, now.Sub(time.UnixMilli(c.UnixMS))); age < evidenceTTL {
				e.Crashes = append(e.Crashes, Crash{Upstream: c.Upstream, Service: c.Service, Age: age})
			}
		}
		if len(e.Crashes) > 0 {
			all = append(all, e)
		}
	}
	return all, nil
}
