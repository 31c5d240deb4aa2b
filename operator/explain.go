package operator

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/google/subcommands"
)

// explainCmd traces one request through the logs of gateways.
type explainCmd struct {
	around time.Duration
}

// Name implements subcommands.Command.
func (*explainCmd) Name() string { return "explain" }

// Synopsis implements subcommands.Command.
func (*explainCmd) Synopsis() string {
	return "follow one request through the logs of gateways"
}

// Usage implements subcommands.Command.
func (*explainCmd) Usage() string {
	return `explain [-around 3s] ID LOG...
Prints the lines of the request with that id, and between them what the same processes
noted about their dependencies around that time. Clocks of VMs may disagree, so lines are
put in order within a process only.
Example: arbutusmill explain c2a96e36da0a37c3 router-1.log router-2.log
`
}

// SetFlags implements subcommands.Command.
func (c *explainCmd) SetFlags(f *flag.FlagSet) {
	f.DurationVar(&c.around, "around", 3*time.Second, "how long before and after to look for events of dependencies")
}

// Execute implements subcommands.Command.
func (c *explainCmd) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() < 2 {
		fmt.Fprintln(os.Stderr, "explain: an id and at least one log are needed")
		return subcommands.ExitUsageError
	}
	var lines []logLine
	for _, path := range f.Args()[1:] {
		more, err := readLog(path)
		if err != nil {
			fmt.Fprintln(os.Stderr, "explain:", err)
			return subcommands.ExitUsageError
		}
		lines = append(lines, more...)
	}
	if !explain(os.Stdout, lines, f.Arg(0), c.around) {
		fmt.Fprintf(os.Stderr, "explain: no line has the id %q\n", f.Arg(0))
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// logLine is one line of a gateway's log.
type logLine struct {
	Time        time.Time `json:"time"`
	Event       string    `json:"event"`
	ID          string    `json:"id"`
	Incarnation string    `json:"life"`
	text        string
}

// requestEvents are the events of single requests. All others may explain a request: a process
// lost or regained a dependency, or changed its state of it. (A list of those would have to be
// extended with each new event.)
var requestEvents = map[string]bool{"request": true, "refused": true, "caller_connection_ended": true}

// readLog returns the lines that contain a JSON object with an event. It skips others, such
// as the Go runtime's output in a crash.
func readLog(path string) ([]logLine, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	var out []logLine
	scan := bufio.NewScanner(f)
	const maxLineBytes = 1 << 20
	scan.Buffer(nil, maxLineBytes)
	for scan.Scan() {
		text := scan.Text()
		_, object, _ := strings.Cut(text, "{")
		l := logLine{text: text}
		if json.Unmarshal([]byte("{"+object), &l) == nil && l.Event != "" {
			out = append(out, l)
		}
	}
	return out, scan.Err()
}

// explain prints the lines related to a request, by process. It reports whether the request has any.
func explain(w io.Writer, lines []logLine, id string, around time.Duration) bool {
	var incarnations []string
	times := map[string][]time.Time{}
	for _, l := range lines {
		if l.ID == id {
			if times[l.Incarnation] == nil {
				incarnations = append(incarnations, l.Incarnation)
			}
			times[l.Incarnation] = append(times[l.Incarnation], l.Time)
		}
	}
	for _, incarnation := range incarnations {
		fmt.Fprintf(w, "== %s\n", incarnation)
		for _, l := range relatedLines(lines, id, incarnation, times[incarnation], around) {
			fmt.Fprintln(w, l.text)
		}
	}
	return len(incarnations) > 0
}

// relatedLines returns the lines of one incarnation that belong to the request, and its events of
// no request within around of one of times, sorted by time.
func relatedLines(lines []logLine, id, incarnation string, times []time.Time, around time.Duration) []logLine {
	var out []logLine
	for _, l := range lines {
		if l.Incarnation != incarnation {
			continue
		}
		near := slices.ContainsFunc(times, func(t time.Time) bool { return l.Time.Sub(t).Abs() <= around })
		if l.ID == id || near && l.ID == "" && !requestEvents[l.Event] {
			out = append(out, l)
		}
	}
	slices.SortStableFunc(out, func(a, b logLine) int { return cmp.Compare(a.Time.UnixNano(), b.Time.UnixNano()) })
	return out
}
