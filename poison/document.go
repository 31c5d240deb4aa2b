package poison

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"
)

// document is the stored form of the evidence. Times are the wall-clock times that the processes
// which observed the events assigned.
type document struct {
	Prompts []storedPrompt `json:"prompts"`
}

type storedPrompt struct {
	Prompt   Prompt        `json:"prompt"`
	Answered []string      `json:"answered,omitempty"`
	Crashes  []storedCrash `json:"ends"`
	// Answers are absent in documents of processes without them.
	Answers []storedAnswer `json:"answers,omitempty"`
}

type storedCrash struct {
	Upstream string `json:"upstream"`
	Service  string `json:"service"`
	UnixMS   int64  `json:"unix_ms"`
	// Generation is absent in documents of processes without it.
	Generation int `json:"generation,omitempty"`
}

type storedAnswer struct {
	Service string `json:"service"`
	UnixMS  int64  `json:"unix_ms"`
}

// KeepersKey is the rendezvous key that selects the processes that keep the evidence on prompts.
// The first of them writes the document.
const KeepersKey = "prompts"

const (
	// maxStoredPrompts limits the prompts with crashes in a document: it is written at most once a second.
	maxStoredPrompts = 128
	// maxStoredAnswered limits the prompts with answers only in a document.
	maxStoredAnswered = 32
)

// Encode returns the document of a list as ListAll returns it: the first maxStoredPrompts prompts with
// crashes and the first maxStoredAnswered with answers only.
func Encode(now time.Time, all []Evidence) ([]byte, error) {
	var d document
	crashed, answered := split(all)
	for _, e := range slices.Concat(limit(crashed, maxStoredPrompts), answered[:min(len(answered), maxStoredAnswered)]) {
		p := storedPrompt{Prompt: e.Prompt, Answered: e.Answered}
		for _, c := range e.Crashes {
			at, _ := eventTime(now, c.UnixMS, c.Age)
			p.Crashes = append(p.Crashes, storedCrash{Upstream: c.Upstream, Service: c.Service, UnixMS: at, Generation: c.Generation})
		}
		for _, a := range e.Answers {
			p.Answers = append(p.Answers, storedAnswer{Service: a.Service, UnixMS: a.UnixMS})
		}
		d.Prompts = append(d.Prompts, p)
	}
	return json.Marshal(d)
}

// split separates the prompts with crashes from those with answers only.
func split(all []Evidence) (crashed, answered []Evidence) {
	for _, e := range all {
		if len(e.Crashes) > 0 {
			crashed = append(crashed, e)
		} else {
			answered = append(answered, e)
		}
	}
	return crashed, answered
}

// Decode parses a document. The age of a crash or answer in the future is 0. The error identifies
// a prompt, crash or answer whose name is missing.
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
			if age := ageOf(now, c.UnixMS); age < evidenceTTL {
				e.Crashes = append(e.Crashes, Crash{Upstream: c.Upstream, Service: c.Service, Age: age, UnixMS: c.UnixMS, Generation: c.Generation})
			}
		}
		for k, a := range p.Answers {
			if a.Service == "" {
				return nil, fmt.Errorf("prompts[%d].answers[%d].service is missing", n, k)
			}
			if age := ageOf(now, a.UnixMS); age < evidenceTTL {
				e.Answers = append(e.Answers, Answer{Service: a.Service, Age: age, UnixMS: a.UnixMS})
			}
		}
		if len(e.Crashes)+len(e.Answers) > 0 {
			all = append(all, e)
		}
	}
	return all, nil
}
