// Package scenario_test runs scripted scenarios with separate processes on loopback:
// the daemons, the operators' commands and the stand-ins of a fleet.
package scenario_test

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"regexp"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/arbutusmill/arbutusmill/daemon"
	"github.com/arbutusmill/arbutusmill/operator"
	"github.com/google/subcommands"
	"github.com/rogpeppe/go-internal/testscript"
	"github.com/stretchr/testify/require"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"arbutusmilld": func() { runMain(daemon.Register) },
		"arbutusmill":  func() { runMain(operator.Register) },
	})
}

// runMain is the main function of a binary with the registered subcommands.
func runMain(register func(*subcommands.Commander)) {
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	flag.Parse()
	c := subcommands.NewCommander(flag.CommandLine, "arbutusmill")
	register(c)
	os.Exit(int(c.Execute(ctx)))
}

func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:   "testdata/script",
		Setup: setup,
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"await":   await,
			"request": request,
			"expand":  expand,
			"hangup":  hangup,
		},
		RequireExplicitExec: true,
	})
}

// addressVariables are the script variables that setup sets to free addresses.
var addressVariables = []string{"STORE", "ENGINE", "SERVICE", "CALLERS", "CALLERS2", "LINK1", "LINK2", "LINK3", "LINK4",
	"ADMIN1", "ADMIN2", "ADMIN3", "ADMIN4", "WORK1", "WORK2"}

// Ports are assigned in sequence from below the range that the system assigns to
// outgoing connections. A port within that range could be taken before its process
// listens on it.
const (
	firstPort = 15000
	lastPort  = 32000
	portStep  = 100
)

var nextPort atomic.Int64

func setup(env *testscript.Env) error {
	nextPort.CompareAndSwap(0, firstPort+int64(os.Getpid())%((lastPort-firstPort)/portStep)*portStep)
	for _, name := range addressVariables {
		addr, err := freeAddr()
		if err != nil {
			return err
		}
		env.Setenv(name, addr)
	}
	return nil
}

// freeAddr returns the next free address, and begins again at firstPort after lastPort.
func freeAddr() (string, error) {
	for range lastPort - firstPort {
		port := firstPort + nextPort.Add(1)%(lastPort-firstPort)
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err == nil {
			return l.Addr().String(), l.Close()
		}
	}
	return "", fmt.Errorf("no free port from %d to %d", firstPort, lastPort)
}

// expand FILE... replaces $NAME in the files by the values of the script's variables.
func expand(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		path := ts.MkAbs(name)
		ts.Check(os.WriteFile(path, []byte(os.Expand(ts.ReadFile(name), ts.Getenv)), 0o600))
	}
}

// hangup sends SIGHUP to every background process of the script.
func hangup(ts *testscript.TestScript, _ bool, _ []string) {
	for _, c := range ts.BackgroundCmds() {
		ts.Check(c.Process.Signal(syscall.SIGHUP))
	}
}

// awaitTimeout bounds each await, for example the start of a process.
const awaitTimeout = 20 * time.Second

// await URL PATTERN sends GET requests until one returns status 200 and a body that
// matches the pattern.
func await(ts *testscript.TestScript, _ bool, args []string) {
	pattern, err := regexp.Compile(args[1])
	ts.Check(err)
	deadline := time.Now().Add(awaitTimeout)
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	last := ""
	for time.Now().Before(deadline) {
		resp, err := http.Get(args[0])
		if err == nil {
			b, _ := io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			last = string(b)
			if resp.StatusCode == http.StatusOK && pattern.MatchString(last) {
				return
			}
		}
		<-ticker.C
	}
	ts.Fatalf("%s: no response matched %q; last response: %.2000s", args[0], args[1], last)
}

// request [-H 'NAME: VALUE']... [-f FILE] METHOD URL [BODY] sends a request whose body
// is a file or the given text, and writes the status, headers and body of the response
// to standard output. A body "@N" is N bytes long.
func request(ts *testscript.TestScript, _ bool, args []string) {
	header := http.Header{}
	for len(args) > 1 && args[0] == "-H" {
		name, value, _ := strings.Cut(args[1], ": ")
		header.Set(name, value)
		args = args[2:]
	}
	body := ""
	if args[0] == "-f" {
		body = ts.ReadFile(args[1])
		args = args[2:]
	}
	if len(args) > 2 {
		body = args[2]
	}
	var n int
	if _, err := fmt.Sscanf(body, "@%d", &n); err == nil {
		body = strings.Repeat("x", n)
	}
	req, err := http.NewRequest(args[0], args[1], strings.NewReader(body))
	ts.Check(err)
	req.Header = header
	resp, err := http.DefaultClient.Do(req)
	ts.Check(err)
	defer resp.Body.Close()
	var out bytes.Buffer
	fmt.Fprintf(&out, "status %d\n", resp.StatusCode)
	ts.Check(resp.Header.Write(&out))
	out.WriteString("\n")
	_, err = io.Copy(&out, resp.Body)
	ts.Check(err)
	_, err = ts.Stdout().Write(out.Bytes())
	ts.Check(err)
}

// Guards against scripts that find no free port, since the id of the test's process makes them begin near the
// end of the range.
func TestPortsBeginAgain(t *testing.T) {
	nextPort.Store(lastPort - 2)
	defer nextPort.Store(0)
	for range 5 {
		_, err := freeAddr()
		require.NoError(t, err)
	}
}
