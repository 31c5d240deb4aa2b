package main

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// event is one line of the record: what a stand-in saw, and when.
type event struct {
	at   time.Time
	who  string
	what string
}

// recorder collects events. It is safe for concurrent use.
type recorder struct {
	mu     sync.Mutex
	events []event
}

func (r *recorder) add(who, what string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, event{time.Now(), who, what})
}

// of returns the events of stand-ins whose names begin with a prefix.
func (r *recorder) of(prefix string) (out []event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range r.events {
		if strings.HasPrefix(e.who, prefix) {
			out = append(out, e)
		}
	}
	return out
}

// addFiles adds what engines wrote to their files: lines of a time in nanoseconds and a text.
func (r *recorder) addFiles(dir string) error {
	files, err := filepath.Glob(filepath.Join(dir, "i-*.seen"))
	if err != nil {
		return err
	}
	for _, name := range files {
		if err := r.addFile(name); err != nil {
			return err
		}
	}
	return nil
}

func (r *recorder) addFile(name string) error {
	file, err := os.Open(name)
	if err != nil {
		return err
	}
	defer file.Close()
	who := "engine " + strings.TrimSuffix(filepath.Base(name), ".seen")
	lines := bufio.NewScanner(file)
	r.mu.Lock()
	defer r.mu.Unlock()
	for lines.Scan() {
		at, what, _ := strings.Cut(lines.Text(), " ")
		ns, err := strconv.ParseInt(at, 10, 64)
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		r.events = append(r.events, event{time.Unix(0, ns), who, what})
	}
	return lines.Err()
}

// write writes all events in the order of their times, in seconds since the start.
func (r *recorder) write(path string, start time.Time) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	slices.SortStableFunc(r.events, func(a, b event) int { return a.at.Compare(b.at) })
	var b strings.Builder
	for _, e := range r.events {
		fmt.Fprintf(&b, "%9.4f %s: %s\n", e.at.Sub(start).Seconds(), e.who, e.what)
	}
	return os.WriteFile(path, []byte(b.String()), 0o644)
}
