package poison

import (
	"encoding/json"
	"fmt"
	"time"
)

// document is what is stored of prompts. Times are of the wall clock: processes that read it know
// no other that their writers knew. Clocks that differ by seconds shift trials by as much.
type document struct {
	Prompts []storedPrompt `json:"prompts"`
}

type storedPrompt struct {
	Prompt   Prompt      `json:"prompt"`
	Answered []string    `json:"answered,omitempty"`
	Ends     []storedEnd `json:"ends"`
}

type storedEnd struct {
	Upstream string `json:"upstream"`
	Service  string `json:"service"`
	UnixMS   int64  `json:"unix_ms"`
}

// KeepersKey is the key by which all processes find, by rendezvous, the same ones that keep what is
// known of prompts. The first of them writes the document.
const KeepersKey = "prompts"

// mostStored bounds the prompts in a document: some ten kilobytes, written at most once a second.
const mostStored = 128

// Encode makes a document of evidence, the first mostStored prompts of it.
func Encode(now time.Time, all []Evidence) ([]byte, error) {
	var d document
	for _, e := range all[:min(len(all), mostStored)] {
		p := storedPrompt{Prompt: e.Prompt, Answered: e.Answered}
		for _, end := range e.Crashes {
			p.Ends = append(p.Ends, storedEnd{Upstream: end.Upstream, Service: end.Service, UnixMS: now.Add(-end.Age).UnixMilli()})
		}
		d.Prompts = append(d.Prompts, p)
	}
	return json.Marshal(d)
}

// Decode reads a document. An end in the future counts as one of this moment; of a prompt or an end
// that lacks its name, the error tells which.
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
		for k, end := range p.Ends {
			if end.Upstream == "" {
				return nil, fmt.Errorf("prompts[%d].ends[%d].upstream is missing", n, k)
			}
			if age := max(0, now.Sub(time.UnixMilli(end.UnixMS))); age < rememberedFor {
				e.Crashes = append(e.Crashes, Crash{Upstream: end.Upstream, Service: end.Service, Age: age})
			}
		}
		if len(e.Crashes) > 0 {
			all = append(all, e)
		}
	}
	return all, nil
}
