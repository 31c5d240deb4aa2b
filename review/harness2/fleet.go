package main

import (
	"fmt"
	"maps"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/goccy/go-yaml"
)

// daemonPath is the program of the deploy file, from the repository's root.
const daemonPath = "target/arbutusmilld"

// fields are the fields of a settings file.
type fields map[string]any

// daemon is one process of the system.
type daemon struct {
	name, role string
	settings   string
	// callers and ready are a router's addresses.
	callers, ready string
	cmd            *exec.Cmd
	log            *os.File
	exited         chan struct{}
}

// fleet is the system with the network between its processes.
type fleet struct {
	run     *caseRun
	network *network
	store   *platformStore
	// regions maps each data centre to its region.
	regions map[string]string
	daemons map[string]*daemon
	// storeProxy is the address of the store for all processes.
	storeProxy string
	callers    callerTable

	mu   sync.Mutex
	byVM map[string]int // process ids
}

func newFleet(c *caseRun, regions map[string]string) (*fleet, error) {
	s, err := c.newStore()
	if err != nil {
		return nil, err
	}
	f := &fleet{run: c, network: newNetwork(), store: s, regions: regions, daemons: map[string]*daemon{}, byVM: map[string]int{}}
	p, err := f.newProxy(storeEnd, s.address)
	if err != nil {
		return nil, err
	}
	f.storeProxy = p.address()
	return f, nil
}

// pids returns the processes that run, by name.
func (f *fleet) pids() map[string]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return maps.Clone(f.byVM)
}

// add writes the settings of a process, with the fields of the templates in deploy/ and the given ones.
func (f *fleet) add(role, name, datacentre string, more fields) (*daemon, error) {
	var err error
	listen := fields{}
	names := []string{"admin", "link"}
	if role == "gateway" {
		names = append(names, "callers", "ready")
	}
	for _, n := range names {
		if listen[n], err = freeAddress(); err != nil {
			return nil, err
		}
	}
	link := listen["link"].(string)
	linkProxy, err := f.newProxy(name, link)
	if err != nil {
		return nil, err
	}
	f.store.route(link, linkProxy.address())
	d := &daemon{name: name, role: role, settings: filepath.Join(f.run.dir, name+".yaml")}
	s := fields{"vm": name, "datacentre": datacentre, "regions": f.regions, "listen": listen,
		"store": fields{"address": f.storeProxy}, "stop": fields{"grace": "8s"}}
	if role == "gateway" {
		d.callers, d.ready = listen["callers"].(string), listen["ready"].(string)
		s["configuration"] = fields{"apply_within": "2000ms"}
		s["repeats"] = fields{"ratio": 0.2, "extra": 54, "window": "10s"}
		s["limits"] = fields{"memory_mb": 134, "descriptors": 4100, "link_mbps": 1000}
	} else {
		s["limits"] = fields{"memory_mb": 216}
	}
	for k, v := range more {
		s[k] = v
	}
	b, err := yaml.Marshal(s)
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(d.settings, b, 0o600); err != nil {
		return nil, err
	}
	if d.log, err = os.Create(filepath.Join(f.run.dir, name+".log")); err != nil {
		return nil, err
	}
	f.daemons[name] = d
	f.run.onClose(func() { f.stop(d) })
	return d, nil
}

// start starts a process with the command of the deploy file.
func (f *fleet) start(d *daemon) error {
	cmd := exec.Command(daemonPath, d.role)
	cmd.Env = append(os.Environ(), "ARBUTUSMILL_SETTINGS="+d.settings)
	cmd.Stdout, cmd.Stderr = d.log, d.log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	d.cmd, d.exited = cmd, exited
	f.mu.Lock()
	f.byVM[d.name] = cmd.Process.Pid
	f.mu.Unlock()
	go func() {
		_ = cmd.Wait() // the log has the cause
		close(exited)
	}()
	return nil
}

func (f *fleet) startAll() error {
	for _, d := range f.daemons {
		if err := f.start(d); err != nil {
			return err
		}
	}
	return nil
}

// signal sends a signal to the process that was started last.
func (d *daemon) signal(s syscall.Signal) {
	select {
	case <-d.exited:
	default:
		_ = d.cmd.Process.Signal(s) // it may have ended just now
	}
}

// stop kills a process and waits for its end.
func (f *fleet) stop(d *daemon) {
	if d.cmd == nil {
		return
	}
	d.signal(syscall.SIGKILL)
	<-d.exited
	if keep := os.Getenv("REVIEW_LOGS"); keep != "" {
		if b, err := os.ReadFile(d.log.Name()); err == nil {
			_ = os.WriteFile(filepath.Join(keep, d.name+".log"), b, 0o600)
		}
	}
	_ = d.log.Close()
}

// awaitReady waits until all routers report that they are ready.
func (f *fleet) awaitReady(timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	for _, d := range f.daemons {
		for d.ready != "" && !isReady(d.ready) {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", d.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func isReady(address string) bool {
	resp, err := http.Get("http://" + address + "/arbutusmill/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// logged returns the lines of a process's log that contain a text.
func (d *daemon) logged(text string) (out []string) {
	b, _ := os.ReadFile(d.log.Name())
	for line := range strings.SplitSeq(string(b), "\n") {
		if strings.Contains(line, text) {
			out = append(out, line)
		}
	}
	return out
}
