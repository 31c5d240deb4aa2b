package daemon

import (
	"log"
	"sync/atomic"

	"github.com/rs/zerolog"
)

// maxLibraryLines bounds the lines of libraries that wait to be logged; more are dropped and counted.
const maxLibraryLines = 64

// captureLibraryLog redirects the standard logger, which libraries use, to the process's log.
// net/http reports unsolicited responses and panics there, and the log's buffer its collisions.
func captureLibraryLog(to zerolog.Logger) {
	l := &libraryLog{lines: make(chan string, maxLibraryLines)}
	go l.run(to.With().Str("from", "library").Logger())
	log.SetFlags(0)
	log.SetOutput(l)
}

// libraryLog hands lines of the standard logger to a goroutine that logs them. The standard logger holds
// its lock during a Write, and writing a log line may itself report a collision to the standard
// logger: a Write that wrote the line would wait for the lock that its own caller holds.
type libraryLog struct {
	lines chan string
	// dropped counts the lines dropped since the last one that was logged.
	dropped atomic.Int64
}

// Write implements io.Writer; it never blocks.
func (l *libraryLog) Write(p []byte) (int, error) {
	select {
	case l.lines <- string(p):
	default:
		l.dropped.Add(1)
	}
	return len(p), nil
}

// run logs lines for as long as the process runs.
func (l *libraryLog) run(to zerolog.Logger) {
	for line := range l.lines {
		out := to
		if n := l.dropped.Swap(0); n > 0 {
			out = to.With().Int64("dropped_lines", n).Logger()
		}
		_, _ = out.Write([]byte(line)) // the process's log never fails
	}
}
