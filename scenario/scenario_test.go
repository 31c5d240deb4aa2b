// Package scenario_test runs scripted scenarios through separate processes on
// loopback: the daemons, the operators' commands and the stand-ins, as a fleet has
// them.
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
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"arbutusmilld": func() { runMain(daemon.Register) },
		"arbutusmill":  func() { runMain(operator.Register) },
	})
}

// runMain is the main function of a binary.
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

// ports are the names of the free addresses that each script gets.
var ports = []string{"STORE", "ENGINE", "SERVICE", "CALLERS", "CALLERS2", "LINK1", "LINK2", "LINK3", "LINK4",
	"ADMIN1", "ADMIN2", "ADMIN3", "ADMIN4", "WORK1", "WORK2"}

// Ports are taken in turn from a range below the one from which the system gives ports
// to connections: a port of that range could be given away before its process opens it.
const (
	firstPort = 15000
	lastPort  = 32000
	portStep  = 100
)

var nextPort atomic.Int64

func setup(env *testscript.Env) error {
	nextPort.CompareAndSwap(0, firstPort+int64(os.Getpid())%((lastPort-firstPort)/portStep)*portStep)
	for _, name := range ports {
		addr, err := freeAddr()
		if err != nil {
			return err
		}
		env.Setenv(name, addr)
	}
	return nil
}

func freeAddr() (string, error) {
	for {
		port := nextPort.Add(1)
		if port > lastPort {
			return "", fmt.Errorf("no free port up to %d", lastPort)
		}
		addr := fmt.Sprintf("127.0.0.1:%d", port)
		if ln, err := net.Listen("tcp", addr); err == nil {
			return addr, ln.Close()
		}
	}
}

// expand FILE... replaces $NAME in files by the script's variables.
func expand(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		path := ts.MkAbs(name)
		ts.Check(os.WriteFile(path, []byte(os.Expand(ts.ReadFile(name), ts.Getenv)), 0o600))
	}
}

// hangup sends SIGHUP to every process of the script that runs in the background.
func hangup(ts *testscript.TestScript, _ bool, _ []string) {
	for _, c := range ts.BackgroundCmds() {
		ts.Check(c.Process.Signal(syscall.SIGHUP))
	}
}

// awaitTimeout bounds the start of a process.
const awaitTimeout = 20 * time.Second

// await URL PATTERN waits until a GET answers 200 with a match in its body.
func await(ts *testscript.TestScript, _ bool, args []string) {
	pattern, err := regexp.Compile(args[1])
	ts.Check(err)
	deadline := time.Now().Add(awaitTimeout)
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
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
		<-tick.C
	}
	ts.Fatalf("%s never had %q; last %.2000s", args[0], args[1], last)
}

// request [-H 'NAME: VALUE']... [-f FILE] METHOD URL [BODY] sends a request, with a file
// or the text as its body; its status, headers and body become the standard output. A
// body "@N" is N bytes long.
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
