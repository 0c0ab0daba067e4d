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

// processRun is one process of a sender.
type processRun struct {
	StartedAt    time.Time
	ReadyAt      time.Time // zero if it never was
	TerminatedAt time.Time // SIGTERM; zero if there was none
	KilledAt     time.Time // SIGKILL
	EndedAt      time.Time
	Err          error    // with which it ended
	BadLines     []string // lines of its log that say that a rule was broken, or of a crash
}

// managedSender is a sender: its processes, one after the other, share a folder and an address.
type managedSender struct {
	name          string
	program       string
	dir           string // holds its folder, configuration and log
	listenAddress string
	agent         *agent
	makeConfig    func(discovery string) []byte

	faultMu sync.Mutex // faults of the process come one after the other

	mu   sync.Mutex
	cmd  *exec.Cmd
	runs []*processRun
	done chan struct{} // closed when the process has ended
}

const readyTimeout = 10 * time.Second

func (s *managedSender) stateDir() string   { return filepath.Join(s.dir, "state") }
func (s *managedSender) configPath() string { return filepath.Join(s.dir, "config.json") }

// writeConfig writes the configuration with the agent's address of the moment.
func (s *managedSender) writeConfig() error {
	return os.WriteFile(s.configPath(), s.makeConfig(s.agent.address()), 0o600)
}

// launchedProcess is a process that has been started.
type launchedProcess struct {
	ready <-chan struct{} // closed once it is ready
	ended <-chan struct{} // closed once it has ended
}

// startAndWait begins a process and waits until it is ready.
func (s *managedSender) startAndWait() error {
	launched, err := s.launch()
	if err != nil {
		return err
	}
	select {
	case <-launched.ready:
		return nil
	case <-launched.ended:
		return fmt.Errorf("%s ended before it was ready", s.name)
	case <-time.After(readyTimeout):
		return fmt.Errorf("%s was not ready within %v", s.name, readyTimeout)
	}
}

// launch starts a process.
func (s *managedSender) launch() (*launchedProcess, error) {
	if err := os.MkdirAll(s.stateDir(), 0o700); err != nil {
		return nil, err
	}
	if err := s.writeConfig(); err != nil {
		return nil, err
	}
	log, err := os.OpenFile(filepath.Join(s.dir, "log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(s.program)
	cmd.Env = append(os.Environ(), "BALANCER_NAME="+s.name, "BALANCER_LISTEN="+s.listenAddress, "BALANCER_STATE="+s.stateDir(),
		"BALANCER_DISCOVERY="+s.agent.address(), "BALANCER_CONFIG="+s.configPath(), "BALANCER_LOG=debug", "BALANCER_OPERATOR=")
	out, err := cmd.StderrPipe()
	if err != nil {
		return nil, err
	}
	run, ready, done := &processRun{StartedAt: time.Now()}, make(chan struct{}), make(chan struct{})
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	s.mu.Lock()
	s.cmd, s.done = cmd, done
	s.runs = append(s.runs, run)
	s.mu.Unlock()
	go func() {
		defer log.Close()
		isReady := false
		for scanner := bufio.NewScanner(out); scanner.Scan(); {
			line := scanner.Text()
			fmt.Fprintln(log, line)
			s.mu.Lock()
			if strings.Contains(line, "msg=ready ") && !isReady {
				isReady, run.ReadyAt = true, time.Now()
				close(ready)
			}
			if strings.Contains(line, `msg="rule broken"`) || strings.HasPrefix(line, "panic:") || strings.HasPrefix(line, "fatal error:") {
				run.BadLines = append(run.BadLines, line)
			}
			s.mu.Unlock()
		}
		err := cmd.Wait()
		s.mu.Lock()
		run.EndedAt, run.Err = time.Now(), err
		s.mu.Unlock()
		close(done)
	}()
	return &launchedProcess{ready: ready, ended: done}, nil
}

// signal sends a signal to the process of the moment and notes what ends it.
func (s *managedSender) signal(sig syscall.Signal) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cmd == nil {
		return errors.New("never started")
	}
	run := s.runs[len(s.runs)-1]
	switch sig {
	case syscall.SIGTERM:
		run.TerminatedAt = earliest(run.TerminatedAt, time.Now())
	case syscall.SIGKILL:
		run.KilledAt = time.Now()
	}
	return s.cmd.Process.Signal(sig)
}

// kill ends the process with SIGKILL.
func (s *managedSender) kill() {
	s.signal(syscall.SIGKILL)
	<-s.done
}

// stop ends the process with SIGTERM, and SIGKILL after the time that a planned restart leaves.
func (s *managedSender) stop(timeout time.Duration) {
	s.signal(syscall.SIGTERM)
	select {
	case <-s.done:
	case <-time.After(timeout):
		s.kill()
	}
}

// upgrade starts a new process beside the one that runs, and ends that one once the new one is ready.
func (s *managedSender) upgrade(timeout time.Duration) error {
	s.mu.Lock()
	old, run, done := s.cmd, s.runs[len(s.runs)-1], s.done
	s.mu.Unlock()
	if err := s.startAndWait(); err != nil {
		return err
	}
	s.mu.Lock()
	run.TerminatedAt = time.Now()
	s.mu.Unlock()
	old.Process.Signal(syscall.SIGTERM)
	select {
	case <-done:
	case <-time.After(timeout):
		s.mu.Lock()
		run.KilledAt = time.Now()
		s.mu.Unlock()
		old.Process.Kill()
		<-done
	}
	return nil
}

// suspend holds the process of the moment up for a while.
func (s *managedSender) suspend(duration time.Duration) {
	s.mu.Lock()
	cmd := s.cmd
	s.mu.Unlock()
	if cmd == nil {
		return
	}
	cmd.Process.Signal(syscall.SIGSTOP) // an error says that it has ended
	time.Sleep(duration)
	cmd.Process.Signal(syscall.SIGCONT)
}

// reload writes the configuration anew and sends SIGHUP.
func (s *managedSender) reload() error {
	if err := s.writeConfig(); err != nil {
		return err
	}
	return s.signal(syscall.SIGHUP)
}

// history copies the processes so far.
func (s *managedSender) history() []processRun {
	s.mu.Lock()
	defer s.mu.Unlock()
	var runs []processRun
	for _, run := range s.runs {
		runs = append(runs, *run)
	}
	return runs
}
