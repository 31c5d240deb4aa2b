// Package streamversion holds records of which software version of a service began a stream. A stream may
// continue only at upstreams of that version, and its caller may take it up again at any router.
package streamversion

import (
	"sync"
	"time"
)

const (
	// MaxRecords bounds the records of a process. The oldest one is dropped for a new one.
	MaxRecords = 8192
	// MaxAttemptLen is the maximum length in bytes of the id of an attempt that is recorded.
	MaxAttemptLen = 128
	// Keepers is how many processes of a role may have a record: the second one in the ranking is used if the first
	// one does not reply, and members join and leave between a record and its use.
	Keepers = 2
	// MaxTTL bounds how long a record is kept: callers wait for a fraction of that.
	MaxTTL = 2 * time.Minute
)

// Stream identifies a stream. The team is part of it, so that a team learns nothing of another team's streams.
type Stream struct {
	// Attempt is the id of the caller's attempt that brought the stream's first event.
	Attempt string `json:"attempt"`
	Team    string `json:"team,omitempty"`
	Service string `json:"service"`
}

// Valid reports whether a stream with such an id can be recorded.
func (s Stream) Valid() bool { return s.Attempt != "" && len(s.Attempt) <= MaxAttemptLen }

// Record is the version that began a stream.
type Record struct {
	Stream
	// Version is the version of the upstream's software.
	Version string `json:"version"`
	// TTL is the time for which the stream's caller may take it up, at most MaxTTL. It is a duration, since the
	// clocks of two VMs differ.
	TTL time.Duration `json:"ttl_ns"`
}

// Registry holds records until they expire. It is safe for concurrent use; the zero value is empty.
type Registry struct {
	mu      sync.Mutex
	records map[Stream]record
	// added are the streams in the order in which they were added.
	added []Stream
}

type record struct {
	// version is "" if different versions were recorded.
	version      string
	since, until time.Time
	// settled is set while the record need not be sent to another process; sentTo is the last one that has it.
	settled bool
	sentTo  string
}

// Held is a record that a process holds.
type Held struct {
	// Record has the remaining time as its TTL.
	Record
	// SentTo is the other process that has the record, or "".
	SentTo string
}

// Add adds a record. A stream for which another version was recorded before has no known version any more.
func (r *Registry) Add(now time.Time, rec Record) {
	if !rec.Valid() || rec.Version == "" {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	until := now.Add(min(max(rec.TTL, 0), MaxTTL))
	if have, ok := r.records[rec.Stream]; ok {
		if have.version != rec.Version {
			have.version = ""
		}
		if have.until.Before(until) {
			have.until = until
		}
		r.records[rec.Stream] = have
		return
	}
	r.makeRoomLocked(now)
	if r.records == nil {
		r.records = map[Stream]record{}
	}
	r.records[rec.Stream] = record{version: rec.Version, since: now, until: until}
	r.added = append(r.added, rec.Stream)
}

// makeRoomLocked drops the oldest records as long as they have expired or there is no room.
func (r *Registry) makeRoomLocked(now time.Time) {
	for len(r.added) > 0 {
		oldest := r.added[0]
		if len(r.added) < MaxRecords && now.Before(r.records[oldest].until) {
			return
		}
		delete(r.records, oldest)
		r.added = r.added[1:]
	}
}

// Find returns the version that began a stream and the age of the record; found is false if it is not known.
func (r *Registry) Find(now time.Time, s Stream) (version string, age time.Duration, found bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec, ok := r.records[s]
	if !ok || rec.version == "" || !now.Before(rec.until) {
		return "", 0, false
	}
	return rec.version, now.Sub(rec.since), true
}

// Unsettled returns the records for which Settle was not called since they were added, or since UnsettleAll.
func (r *Registry) Unsettled(now time.Time) (out []Held) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.added {
		rec := r.records[s]
		if rec.settled || rec.version == "" || !now.Before(rec.until) {
			continue
		}
		out = append(out, Held{Record: Record{Stream: s, Version: rec.version, TTL: rec.until.Sub(now)}, SentTo: rec.sentTo})
	}
	return out
}

// Settle records that a record is where it should be, and which other process has it, "" for none.
func (r *Registry) Settle(s Stream, sentTo string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if rec, ok := r.records[s]; ok {
		rec.settled, rec.sentTo = true, sentTo
		r.records[s] = rec
	}
}

// UnsettleAll makes Unsettled return all records again.
func (r *Registry) UnsettleAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for s, rec := range r.records {
		rec.settled = false
		r.records[s] = rec
	}
}

// Len returns the number of records, expired ones included.
func (r *Registry) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.records)
}
