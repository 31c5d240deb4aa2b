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

// explainCmd follows one request through the logs of routers.
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
	Time  time.Time `json:"time"`
	Event string    `json:"event"`
	ID    string    `json:"id"`
	Life  string    `json:"life"`
	text  string
}

// ofRequests are the events of single requests. All others may explain a request: what a process
// lost, regained or began to believe. (A list of those would have to follow each new event.)
var ofRequests = map[string]bool{"request": true, "refused": true, "caller_connection_ended": true}

// readLog reads the lines that are JSON objects; others, such as a runtime's last words,
// are passed over.
func readLog(path string) ([]logLine, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	var out []logLine
	scan := bufio.NewScanner(f)
	const longest = 1 << 20
	scan.Buffer(nil, longest)
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

// explain prints a request's way; it reports whether there is any.
func explain(w io.Writer, lines []logLine, id string, around time.Duration) bool {
	var lives []string
	at := map[string][]time.Time{}
	for _, l := range lines {
		if l.ID == id {
			if at[l.Life] == nil {
				lives = append(lives, l.Life)
			}
			at[l.Life] = append(at[l.Life], l.Time)
		}
	}
	for _, life := range lives {
		fmt.Fprintf(w, "== %s\n", life)
		for _, l := range chosen(lines, id, life, at[life], around) {
			fmt.Fprintln(w, l.text)
		}
	}
	return len(lives) > 0
}

// chosen lists the lines of one process that tell of the request, in order.
func chosen(lines []logLine, id, life string, at []time.Time, around time.Duration) []logLine {
	var out []logLine
	for _, l := range lines {
		if l.Life != life {
			continue
		}
		near := slices.ContainsFunc(at, func(t time.Time) bool { return l.Time.Sub(t).Abs() <= around })
		if l.ID == id || near && l.ID == "" && !ofRequests[l.Event] {
			out = append(out, l)
		}
	}
	slices.SortStableFunc(out, func(a, b logLine) int { return cmp.Compare(a.Time.UnixNano(), b.Time.UnixNano()) })
	return out
}
