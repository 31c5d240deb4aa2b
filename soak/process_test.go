package soak

import (
	"os"
	"os/exec"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// process is a router or lender that is started again and again, with its way to the store.
type process struct {
	t                    *testing.T
	role, name, settings string
	// callers is where a router takes callers.
	callers string
	store   *proxy
	log     *os.File

	// restarting is held from the end of one life to the start of the next.
	restarting sync.Mutex

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{} // closed when the running life has ended
}

// start starts the next life.
func (p *process) start() {
	p.mu.Lock()
	defer p.mu.Unlock()
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), roleVariable+"="+p.role, "ARBUTUSMILL_SETTINGS="+p.settings)
	cmd.Stdout, cmd.Stderr = p.log, p.log
	require.NoError(p.t, cmd.Start())
	exited := make(chan struct{})
	p.cmd, p.exited = cmd, exited
	go func() {
		_ = cmd.Wait() // how it ended is in its log
		close(exited)
	}()
}

// signal sends a signal to the running life, if there is one.
func (p *process) signal(s os.Signal) chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.exited:
	default:
		_ = p.cmd.Process.Signal(s) // it may just have ended
	}
	return p.exited
}

// restart ends the running life by a signal, waits for its end, and starts the next one. A planned
// stop that does not end within its grace is killed, as the platform does.
func (p *process) restart(s os.Signal) {
	p.restarting.Lock()
	defer p.restarting.Unlock()
	p.end(s)
	p.start()
}

// end ends the running life for good.
func (p *process) end(s os.Signal) {
	exited := p.signal(s)
	select {
	case <-exited:
	case <-time.After(stopGrace):
		p.signal(syscall.SIGKILL)
		<-exited
	}
}
