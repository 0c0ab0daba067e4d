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

// processRun is the record of one process of a sender.
type processRun struct {
	StartedAt    time.Time
	ReadyAt      time.Time // zero if it never became ready
	TerminatedAt time.Time // when SIGTERM was first sent; zero if it was not
	KilledAt     time.Time // when SIGKILL was sent; zero if it was not
	EndedAt      time.Time
	Err          error    // exit error of the process
	HarnessErr   error    // why its log or its system calls were not served to the end; nil if they were
	BadLines     []string // log lines that report a broken rule or a crash
}

// managedSender runs the processes of one sender, which share a folder and an address.
type managedSender struct {
	name          string
	program       string
	dir           string // holds its state folder, configuration and log
	listenAddress string
	agent         *agent
	makeConfig    func(discovery string) []byte
	systemCalls   *systemCalls // nil if its processes run without a filter

	faultMu sync.Mutex // serializes the faults of the process

	mu   sync.Mutex
	cmd  *exec.Cmd
	runs []*processRun
	done chan struct{} // closed when the process has exited
}

const readyTimeout = 10 * time.Second

func (s *managedSender) stateDir() string   { return filepath.Join(s.dir, "state") }
func (s *managedSender) configPath() string { return filepath.Join(s.dir, "config.json") }

// writeConfig writes the configuration with the agent's current address.
func (s *managedSender) writeConfig() error {
	return os.WriteFile(s.configPath(), s.makeConfig(s.agent.address()), 0o600)
}

// launchedProcess is a process that has been started.
type launchedProcess struct {
	ready <-chan struct{} // closed once it is ready
	ended <-chan struct{} // closed once it has exited
}

// startAndWait starts a process and waits until it is ready.
func (s *managedSender) startAndWait() error {
	launched, err := s.launch()
	if err != nil {
		return err
	}
	select {
	case <-launched.ready:
		return nil
	case <-launched.ended:
		return fmt.Errorf("%s exited before it was ready", s.name)
	case <-time.After(readyTimeout):
		return fmt.Errorf("%s was not ready within %v", s.name, readyTimeout)
	}
}

// launch starts a process and does not wait until it is ready.
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
	supervisorEnded, err := s.systemCalls.start(cmd, s.dir)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	s.cmd, s.done = cmd, done
	s.runs = append(s.runs, run)
	s.mu.Unlock()
	go func() {
		defer log.Close()
		isReady := false
		scanner := bufio.NewScanner(out)
		for scanner.Scan() {
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
		harnessErrs := []error{scanner.Err()}
		err := cmd.Wait()
		if supervisorEnded != nil {
			harnessErrs = append(harnessErrs, <-supervisorEnded)
		}
		if harnessErr := errors.Join(harnessErrs...); harnessErr != nil {
			fmt.Fprintln(log, "soak: the process ran without its log or supervisor:", harnessErr)
		}
		s.mu.Lock()
		run.HarnessErr = errors.Join(harnessErrs...)
		run.EndedAt, run.Err = time.Now(), err
		s.mu.Unlock()
		close(done)
	}()
	return &launchedProcess{ready: ready, ended: done}, nil
}

// signal sends a signal to the current process, and records the time of SIGTERM and SIGKILL.
func (s *managedSender) signal(sig syscall.Signal) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cmd == nil {
		return errors.New("no process was started")
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

// kill ends the process with SIGKILL and waits until it has exited.
func (s *managedSender) kill() {
	s.signal(syscall.SIGKILL)
	<-s.done
}

// stop ends the process with SIGTERM, and with SIGKILL if it has not exited after timeout.
func (s *managedSender) stop(timeout time.Duration) {
	s.signal(syscall.SIGTERM)
	select {
	case <-s.done:
	case <-time.After(timeout):
		s.kill()
	}
}

// upgrade starts a new process beside the running one, and stops the old one once the new one is ready.
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

// suspend stops the current process with SIGSTOP for a duration.
func (s *managedSender) suspend(duration time.Duration) {
	s.mu.Lock()
	cmd := s.cmd
	s.mu.Unlock()
	if cmd == nil {
		return
	}
	cmd.Process.Signal(syscall.SIGSTOP) // an error means that it has exited
	time.Sleep(duration)
	cmd.Process.Signal(syscall.SIGCONT)
}

// reload writes the configuration again and sends SIGHUP.
func (s *managedSender) reload() error {
	if err := s.writeConfig(); err != nil {
		return err
	}
	return s.signal(syscall.SIGHUP)
}

// history returns copies of the process records so far.
func (s *managedSender) history() []processRun {
	s.mu.Lock()
	defer s.mu.Unlock()
	var runs []processRun
	for _, run := range s.runs {
		runs = append(runs, *run)
	}
	return runs
}
