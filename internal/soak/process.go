package soak

import (
	"bufio"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Life is one process of a sender.
type Life struct {
	Started time.Time
	Ready   time.Time // zero if it never was
	Term    time.Time // SIGTERM; zero if there was none
	Killed  time.Time // SIGKILL
	Ended   time.Time
	Err     error    // with which it ended
	Bad     []string // lines of its log that say that a rule was broken, or of a crash
}

// process is a sender: its processes, one after the other, share a folder and an address.
type process struct {
	name    string
	program string
	dir     string // holds its folder, configuration and log
	listen  string
	agent   *agent
	config  func(discovery string) []byte

	steps sync.Mutex // faults of the process come one after the other

	mu    sync.Mutex
	cmd   *exec.Cmd
	lives []*Life
	done  chan struct{} // closed when the process has ended
}

const readyLimit = 10 * time.Second

func (p *process) stateDir() string   { return filepath.Join(p.dir, "state") }
func (p *process) configPath() string { return filepath.Join(p.dir, "config.json") }

// writeConfig writes the configuration with the agent's address of the moment.
func (p *process) writeConfig() error {
	return os.WriteFile(p.configPath(), p.config(p.agent.addr()), 0o600)
}

// running is a process that has been started.
type running struct {
	ready <-chan struct{} // closed once it is ready
	ended <-chan struct{} // closed once it has ended
}

// start begins a process and waits until it is ready.
func (p *process) start() error {
	x, err := p.begin()
	if err != nil {
		return err
	}
	select {
	case <-x.ready:
		return nil
	case <-x.ended:
		return fmt.Errorf("%s ended before it was ready", p.name)
	case <-time.After(readyLimit):
		return fmt.Errorf("%s was not ready within %v", p.name, readyLimit)
	}
}

// begin starts a process.
func (p *process) begin() (*running, error) {
	if err := os.MkdirAll(p.stateDir(), 0o700); err != nil {
		return nil, err
	}
	if err := p.writeConfig(); err != nil {
		return nil, err
	}
	log, err := os.OpenFile(filepath.Join(p.dir, "log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(p.program)
	cmd.Env = append(os.Environ(), "BALANCER_NAME="+p.name, "BALANCER_LISTEN="+p.listen, "BALANCER_STATE="+p.stateDir(),
		"BALANCER_DISCOVERY="+p.agent.addr(), "BALANCER_CONFIG="+p.configPath(), "BALANCER_LOG=debug", "BALANCER_OPERATOR=")
	out, err := cmd.StderrPipe()
	if err != nil {
		return nil, err
	}
	life, ready, done := &Life{Started: time.Now()}, make(chan struct{}), make(chan struct{})
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p.mu.Lock()
	p.cmd, p.done = cmd, done
	p.lives = append(p.lives, life)
	p.mu.Unlock()
	go func() {
		defer log.Close()
		isReady := false
		for s := bufio.NewScanner(out); s.Scan(); {
			line := s.Text()
			fmt.Fprintln(log, line)
			p.mu.Lock()
			if strings.Contains(line, "msg=ready ") && !isReady {
				isReady, life.Ready = true, time.Now()
				close(ready)
			}
			if strings.Contains(line, `msg="rule broken"`) || strings.HasPrefix(line, "panic:") || strings.HasPrefix(line, "fatal error:") {
				life.Bad = append(life.Bad, line)
			}
			p.mu.Unlock()
		}
		err := cmd.Wait()
		p.mu.Lock()
		life.Ended, life.Err = time.Now(), err
		p.mu.Unlock()
		close(done)
	}()
	return &running{ready: ready, ended: done}, nil
}

// signal sends a signal to the process of the moment and notes what ends it.
func (p *process) signal(sig syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return errors.New("never started")
	}
	life := p.lives[len(p.lives)-1]
	switch sig {
	case syscall.SIGTERM:
		life.Term = earliest(life.Term, time.Now())
	case syscall.SIGKILL:
		life.Killed = time.Now()
	}
	return p.cmd.Process.Signal(sig)
}

// kill ends the process with SIGKILL.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// stop ends the process with SIGTERM, and SIGKILL after the time that a planned restart leaves.
func (p *process) stop(leave time.Duration) {
	p.signal(syscall.SIGTERM)
	select {
	case <-p.done:
	case <-time.After(leave):
		p.kill()
	}
}

// upgrade starts a new process beside the one that runs, and ends that one once the new one is ready.
func (p *process) upgrade(leave time.Duration) error {
	p.mu.Lock()
	old, life, done := p.cmd, p.lives[len(p.lives)-1], p.done
	p.mu.Unlock()
	if err := p.start(); err != nil {
		return err
	}
	p.mu.Lock()
	life.Term = time.Now()
	p.mu.Unlock()
	old.Process.Signal(syscall.SIGTERM)
	select {
	case <-done:
	case <-time.After(leave):
		p.mu.Lock()
		life.Killed = time.Now()
		p.mu.Unlock()
		old.Process.Kill()
		<-done
	}
	return nil
}

// freeze holds the process of the moment up for a while.
func (p *process) freeze(span time.Duration) {
	p.mu.Lock()
	cmd := p.cmd
	p.mu.Unlock()
	if cmd == nil {
		return
	}
	cmd.Process.Signal(syscall.SIGSTOP) // an error says that it has ended
	time.Sleep(span)
	cmd.Process.Signal(syscall.SIGCONT)
}

// reload writes the configuration anew and sends SIGHUP.
func (p *process) reload() error {
	if err := p.writeConfig(); err != nil {
		return err
	}
	return p.signal(syscall.SIGHUP)
}

// history copies the processes so far.
func (p *process) history() []Life {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []Life
	for _, l := range p.lives {
		out = append(out, *l)
	}
	return out
}
