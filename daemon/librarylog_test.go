package daemon

import (
	"fmt"
	"io"
	"log"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// reportingWriter reports a collision to the standard logger during its first writes, as the log's
// buffer does when it is full, and passes the lines on.
type reportingWriter struct {
	reports int
	lines   chan string
}

func (w *reportingWriter) Write(p []byte) (int, error) {
	if w.reports > 0 {
		w.reports--
		log.Println("collision")
	}
	w.lines <- string(p)
	return len(p), nil
}

// captureFor captures the standard logger until the test ends.
func captureFor(t *testing.T, to io.Writer) {
	flags, out := log.Flags(), log.Writer()
	t.Cleanup(func() {
		log.SetFlags(flags)
		if !t.Failed() { // a line that waits for itself holds the lock for good
			log.SetOutput(out)
		}
	})
	captureLibraryLog(zerolog.New(to))
}

// Guards against a process that stops for good while its log is read slowly: a full buffer of the log
// reports a collision to the standard logger, which waits for its own lock.
func TestReportOfAFullLogBlocksNoLine(t *testing.T) {
	w := &reportingWriter{reports: 3, lines: make(chan string, 16)}
	captureFor(t, w)
	done := make(chan struct{})
	go func() {
		log.Println("unsolicited response")
		close(done)
	}()
	timeout := time.After(10 * time.Second) // for a line that waits for itself; others take microseconds
	for _, message := range []string{"unsolicited response", "collision", "collision", "collision"} {
		select {
		case line := <-w.lines:
			require.Contains(t, line, `"from":"library"`)
			require.Contains(t, line, message)
		case <-timeout:
			t.Fatal("a line of a library waits for itself")
		}
	}
	<-done
}

// Guards against libraries that wait for a slow reader of the log, and against lines that are lost
// without a count.
func TestLinesOfLibrariesAreBounded(t *testing.T) {
	w := &reportingWriter{lines: make(chan string)}
	captureFor(t, w)
	for n := range 10 * maxLibraryLines {
		log.Println("line", n)
	}
	counted := int64(0)
	for n := range 2 * maxLibraryLines {
		line := <-w.lines
		var dropped int64
		if _, rest, ok := strings.Cut(line, `"dropped_lines":`); ok {
			_, err := fmt.Sscan(strings.SplitN(rest, ",", 2)[0], &dropped)
			require.NoError(t, err)
		}
		counted += dropped + 1
		if counted == 10*maxLibraryLines {
			return
		}
		require.LessOrEqual(t, n, maxLibraryLines+1)
	}
	t.Fatalf("%d of %d lines are accounted for", counted, 10*maxLibraryLines)
}
