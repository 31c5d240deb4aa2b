package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/arbutusmill/arbutusmill/platform/standin"
)

const (
	// daemon is the program of the deploy file; the harness runs in the repository's root.
	daemon = "target/arbutusmilld"
	host   = "fleet.example"
	// readyTimeout bounds the start of all processes.
	readyTimeout = 30 * time.Second
	// expiry is how long an engine that is gone remains listed: three heartbeat intervals of 1.2 s.
	expiry = 3600 * time.Millisecond
)

// zones are the data centres of the small deployment.
var zones = []string{"bergen-hall", "alesund-hall", "floro-hall"}

// fleet is the daemons and stand-ins of one case.
type fleet struct {
	dir, tmp string
	start    time.Time
	record   *recorder
	store    *standin.Store
	server   *http.Server
	address  string // of the store
	routers  []string

	mu        sync.Mutex
	processes []*os.Process
	engines   []*engineProcess
}

// engineProcess is an engine that runs as a separate process.
type engineProcess struct {
	id, service, zone, address string
	slots                      int
	process                    *os.Process
}

func newFleet(dir string) (*fleet, error) {
	tmp, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	f := &fleet{dir: dir, tmp: tmp, start: time.Now(), record: &recorder{}, store: standin.NewStore()}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f.address, f.server = ln.Addr().String(), &http.Server{Handler: f.store.Handler()}
	go func() { _ = f.server.Serve(ln) }() // ends with Close
	return f, nil
}

// close ends all processes, and writes the record.
func (f *fleet) close() {
	f.mu.Lock()
	for _, p := range f.processes {
		_ = p.Kill() // it may have ended
	}
	f.mu.Unlock()
	_ = f.server.Close()
	if err := f.record.addFiles(f.tmp); err != nil {
		fmt.Fprintln(os.Stderr, "harness:", err)
	}
	if err := f.record.write(filepath.Join(f.dir, "record.txt"), f.start); err != nil {
		fmt.Fprintln(os.Stderr, "harness:", err)
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.tmp)
	}
}

// run starts a process whose output goes to a file. It ends with the harness at the latest.
func (f *fleet) run(name string, env []string, program string, args ...string) (*os.Process, error) {
	log, err := os.OpenFile(filepath.Join(f.tmp, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	cmd := exec.Command(program, args...)
	cmd.Env = append([]string{"PATH=" + os.Getenv("PATH"), "HOME=" + f.tmp}, env...)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	go func() { _ = cmd.Wait() }()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.processes = append(f.processes, cmd.Process)
	return cmd.Process, nil
}

// The ports are below those that the system gives to outgoing connections, which could take a port before its process
// listens.
const (
	firstPort = 20_000
	lastPort  = 32_000
)

var nextPort atomic.Int64

// freeAddress returns a loopback address whose port is unused now.
func freeAddress() (string, error) {
	for range lastPort - firstPort {
		port := firstPort + (int64(os.Getpid())*97+nextPort.Add(1))%(lastPort-firstPort)
		address := fmt.Sprint("127.0.0.1:", port)
		if ln, err := net.Listen("tcp", address); err == nil {
			return address, ln.Close()
		}
	}
	return "", errors.New("no free port")
}

func freeAddresses(n int) ([]string, error) {
	out := make([]string, n)
	for i := range out {
		var err error
		if out[i], err = freeAddress(); err != nil {
			return nil, err
		}
	}
	return out, nil
}

// startEngine starts an engine and lists it. Arguments are those of engineMain.
func (f *fleet) startEngine(id, service, zone string, slots int, args ...string) (*engineProcess, error) {
	address, err := freeAddress()
	if err != nil {
		return nil, err
	}
	e := &engineProcess{id: id, service: service, zone: zone, address: address, slots: slots}
	f.engines = append(f.engines, e)
	return e, f.launch(e, args...)
}

// launch starts the process of an engine under its present id, and lists it once it listens.
func (f *fleet) launch(e *engineProcess, args ...string) (err error) {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	args = append([]string{"engine", "-id", e.id, "-address", e.address, "-dir", f.tmp, "-slots", fmt.Sprint(e.slots)}, args...)
	if e.process, err = f.run(e.id, nil, self, args...); err != nil {
		return err
	}
	if err := awaitListener(e.address); err != nil {
		return err
	}
	return f.store.Register(e.id, e.service, e.address, e.zone, "ready", e.slots)
}

// crash kills an engine. Its entry expires as that of an engine that says nothing.
func (f *fleet) crash(e *engineProcess) {
	f.record.add("platform", "SIGKILL to engine "+e.id)
	_ = e.process.Kill()
	id := e.id
	time.AfterFunc(expiry, func() { _ = f.store.Unregister(id) })
}

func awaitListener(address string) error {
	deadline := time.Now().Add(readyTimeout)
	for {
		conn, err := net.Dial("tcp", address)
		if err == nil {
			return conn.Close()
		}
		if time.Now().After(deadline) {
			return err
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// startDaemons starts a router in each given zone and a lender beside each engine of a service, with settings like
// those that the deploy templates give.
func (f *fleet) startDaemons(routerZones []string, service string) error {
	regions := map[string]string{}
	for _, z := range zones {
		regions[z] = "vestland"
	}
	for i, e := range f.engines {
		if e.service != service {
			continue
		}
		a, err := freeAddresses(2)
		if err != nil {
			return err
		}
		err = f.startDaemon("lender", fmt.Sprint("side-", e.zone, "-", i+1), map[string]any{"datacentre": e.zone, "regions": regions,
			"listen": map[string]any{"admin": a[0], "link": a[1]}, "upstream": map[string]any{"address": e.address},
			"limits": map[string]any{"memory_mb": 216}})
		if err != nil {
			return err
		}
	}
	for i, z := range routerZones {
		a, err := freeAddresses(4)
		if err != nil {
			return err
		}
		f.routers = append(f.routers, a[0])
		err = f.startDaemon("gateway", fmt.Sprint("edge-", z, "-", i+1), map[string]any{"datacentre": z, "regions": regions,
			"listen":  map[string]any{"callers": a[0], "ready": a[1], "admin": a[2], "link": a[3]},
			"repeats": map[string]any{"ratio": 0.2, "extra": 54, "window": "10s"},
			"limits":  map[string]any{"memory_mb": 134, "link_mbps": 1000.0}})
		if err != nil {
			return err
		}
		if err := awaitReady(a[1]); err != nil {
			return err
		}
	}
	return nil
}

// startDaemon starts a daemon with the command of the deploy file. JSON is YAML.
func (f *fleet) startDaemon(role, vm string, settings map[string]any) error {
	settings["vm"], settings["store"], settings["stop"] = vm, map[string]any{"address": f.address}, map[string]any{"grace": "8s"}
	b, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	path := filepath.Join(f.tmp, vm+".yaml")
	if err := os.WriteFile(path, b, 0o600); err != nil {
		return err
	}
	_, err = f.run(vm, []string{"ARBUTUSMILL_SETTINGS=" + path}, daemon, role)
	return err
}

// awaitReady asks for readiness as the platform does.
func awaitReady(address string) error {
	deadline := time.Now().Add(readyTimeout)
	for {
		resp, err := http.Get("http://" + address + "/arbutusmill/readyz")
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
			err = fmt.Errorf("readyz: status %d", resp.StatusCode)
		}
		if time.Now().After(deadline) {
			return err
		}
		time.Sleep(100 * time.Millisecond)
	}
}
