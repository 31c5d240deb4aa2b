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

// process is a router or lender that can be restarted, with its proxy to the store.
type process struct {
	t                    *testing.T
	role, name, settings string
	additional           settingsFields
	// callersAddress is the address of a router's listener for callers.
	callersAddress string
	store          *proxy
	log            *os.File

	// restarting is held from the end of one incarnation to the start of the next.
	restarting sync.Mutex

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{} // closed when the current incarnation has ended
}

// start starts the next incarnation.
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
		_ = cmd.Wait() // the cause of the exit is in the process's log
		close(exited)
	}()
}

// signal sends a signal to the current incarnation if it is running. It returns a channel that is
// closed at the incarnation's end.
func (p *process) signal(s os.Signal) chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.exited:
	default:
		_ = p.cmd.Process.Signal(s) // it may have exited just now
	}
	return p.exited
}

// restart stops the current incarnation with a signal, waits for its exit and starts the next one.
func (p *process) restart(s os.Signal) {
	p.restarting.Lock()
	defer p.restarting.Unlock()
	p.stop(s)
	p.start()
}

// stop sends a signal and waits for the process to exit. A process that is still running after
// stopGrace is killed, as the platform does.
func (p *process) stop(s os.Signal) {
	exited := p.signal(s)
	select {
	case <-exited:
	case <-time.After(stopGrace):
		p.signal(syscall.SIGKILL)
		<-exited
	}
}
