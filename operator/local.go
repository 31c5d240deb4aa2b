package operator

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"time"

	"github.com/arbutusmill/arbutusmill/localfleet"
	"github.com/arbutusmill/arbutusmill/standin"
	"github.com/arbutusmill/arbutusmill/vm"
)

// demoFlags holds the flags of the demo command.
type demoFlags struct {
	log  string
	keep bool
}

func demoCommand() *command {
	d := &demoFlags{}
	return &command{
		name:     "demo",
		synopsis: "run a complete fleet on this machine and demonstrate its main functions",
		usage: `demo [-log FILE] [-keep]
Starts routers and lenders of three data centres on loopback, as the daemons run them, on
stand-ins of the platform and of upstreams, and demonstrates their guarantees: prompts are
streamed and billed, a call runs once, a budget is exhausted, a data centre is drained, a router
is disconnected from the store, and all processes are killed. Exit status 0 only if every step
passes.
Example: arbutusmill demo -log demo.log
`,
		flags: func(f *flag.FlagSet) {
			f.StringVar(&d.log, "log", "", "`file` for the processes' logs")
			f.BoolVar(&d.keep, "keep", false, "leave the fleet running until Ctrl-C")
		},
		run: d.run,
	}
}

func (d *demoFlags) run(ctx context.Context, _ []string) error {
	log := io.Discard
	if d.log != "" {
		file, err := os.Create(d.log)
		if err != nil {
			return usagef("-log: %v", err)
		}
		defer file.Close()
		log = file
	}
	return localfleet.RunDemo(ctx, localfleet.Options{Out: os.Stdout, Log: log, Colour: isTerminal(os.Stdout), Keep: d.keep})
}

// isTerminal reports whether a file is a terminal.
func isTerminal(f *os.File) bool {
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

type standinFlags struct {
	listen string
	vms    string
	engine standin.EngineOptions
}

func standinCommand() *command {
	s := &standinFlags{engine: standin.DefaultEngineOptions()}
	return &command{
		name:     "standin",
		synopsis: "run a stand-in of the platform, an engine or a plain service",
		usage: `standin [flags] platform|engine|service
Runs a small stand-in until SIGTERM. Faults are set over its /control paths.
Example: arbutusmill standin -listen 127.0.0.1:2379 -vms examples/brekke/vms.json platform
`,
		flags: func(f *flag.FlagSet) {
			f.StringVar(&s.listen, "listen", "127.0.0.1:0", "loopback `address` to listen on")
			f.StringVar(&s.vms, "vms", "", "`file` with the list of VMs (JSON), for the platform")
			f.DurationVar(&s.engine.Step, "step", s.engine.Step, "duration of one step of an engine")
			f.IntVar(&s.engine.Slots, "slots", s.engine.Slots, "maximum number of requests in one step of an engine")
			f.DurationVar(&s.engine.LoadLag, "load-lag", s.engine.LoadLag, "age of an engine's load report")
			f.BoolVar(&s.engine.ChecksFencing, "fencing", s.engine.ChecksFencing, "engine refuses orders with an old fencing number")
		},
		run: s.run,
	}
}

func (s *standinFlags) run(ctx context.Context, args []string) error {
	if len(args) != 1 {
		return usagef("expected one of platform, engine, service")
	}
	h, err := s.handler(ctx, args[0])
	if err != nil {
		return err
	}
	host, _, err := net.SplitHostPort(s.listen)
	if ip := net.ParseIP(host); err != nil || ip == nil || !ip.IsLoopback() {
		return usagef("-listen: %q is not a loopback address", s.listen)
	}
	ln, err := net.Listen("tcp", s.listen)
	if err != nil {
		return err
	}
	fmt.Printf("listening on %s\n", ln.Addr())
	server := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(ln); ctx.Err() == nil {
		return err
	}
	return nil
}

func (s *standinFlags) handler(ctx context.Context, kind string) (http.Handler, error) {
	switch kind {
	case "platform":
		vms, err := readVMs(s.vms)
		if err != nil {
			return nil, err
		}
		return standin.NewPlatform(vms).Handler(), nil
	case "engine":
		e := standin.NewEngine(s.engine)
		go e.Run(ctx)
		return e.Handler(), nil
	case "service":
		return standin.NewService().Handler(), nil
	}
	return nil, usagef("%q is none of platform, engine, service", kind)
}

func readVMs(path string) ([]vm.VM, error) {
	if path == "" {
		return []vm.VM{}, nil
	}
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, usagef("-vms: %v", err)
	}
	var list []vm.VM
	if err := json.Unmarshal(b, &list); err != nil {
		return nil, usagef("-vms: %s: %v", path, err)
	}
	return list, nil
}

func dumpCommand() *command {
	return &command{
		name:     "dump",
		synopsis: "print the state of a process",
		usage: `dump ADDRESS
Prints the state of a process, from its admin address.
Example: arbutusmill dump 127.0.0.1:8082
`,
		run: func(ctx context.Context, args []string) error {
			if len(args) != 1 {
				return usagef("expected one admin address")
			}
			return dump(ctx, args[0])
		},
	}
}

func dump(ctx context.Context, addr string) error {
	ctx, cancel := withCommandTimeout(ctx)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/debug/dump", nil)
	if err != nil {
		return usagef("%v", err)
	}
	resp, err := httpClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: status %d", addr, resp.StatusCode)
	}
	_, err = io.Copy(os.Stdout, resp.Body)
	return err
}

func versionCommand() *command {
	return &command{
		name:     "version",
		synopsis: "print the version",
		usage:    "version\nPrints the version of this binary and of Go.\nExample: arbutusmill version\n",
		run: func(context.Context, []string) error {
			info, ok := debug.ReadBuildInfo()
			if !ok {
				return fmt.Errorf("built without module information")
			}
			fmt.Printf("arbutusmill %s %s\n", info.Main.Version, info.GoVersion)
			return nil
		},
	}
}
