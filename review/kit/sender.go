package kit

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"
)

// Sender is one sender: its folder, its addresses and its configuration.
type Sender struct {
	Name      string
	Root      string // of the repository
	Dir       string // temporary; holds the state folder, the configuration and the logs
	Listen    string
	Discovery string
	Settings  map[string]any
	Known     map[string]any
	Record    *Record
	processes int
}

// Process is one process of a sender.
type Process struct {
	Name string
	cmd  *exec.Cmd
	done chan struct{}
	err  error
}

var runLine = regexp.MustCompile(`(?m)^run = "([^"]*)"`)

// runCommand returns the command of the deploy file that runs a sender.
func (s *Sender) runCommand() (string, error) {
	text, err := os.ReadFile(filepath.Join(s.Root, "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	m := runLine.FindSubmatch(text)
	if m == nil {
		return "", errors.New("deploy/balancer.toml has no run command")
	}
	return string(m[1]), nil
}

// Start starts a process of the sender. The operator address may be empty.
func (s *Sender) Start(operator string) (*Process, error) {
	run, err := s.runCommand()
	if err != nil {
		return nil, err
	}
	state, tmp := filepath.Join(s.Dir, "state"), filepath.Join(s.Dir, "tmp")
	for _, dir := range []string{state, tmp} {
		if err := os.MkdirAll(dir, 0o700); err != nil {
			return nil, err
		}
	}
	config, err := json.Marshal(map[string]any{"name": s.Name, "listen": s.Listen, "discovery": s.Discovery, "operator": operator,
		"seed":   fmt.Sprintf("%016x", 0x8c1f30d27a5be964+uint64(s.processes)),
		"limits": map[string]any{"cores": 1.0, "memory_mb": 128, "sockets": 512, "disk_mb": 3},
		"known":  s.Known, "settings": s.Settings})
	if err != nil {
		return nil, err
	}
	path := filepath.Join(s.Dir, "config.json")
	if err := os.WriteFile(path, config, 0o600); err != nil {
		return nil, err
	}
	s.processes++
	p := &Process{Name: fmt.Sprintf("%s, process %d", s.Name, s.processes), done: make(chan struct{})}
	log, err := os.Create(filepath.Join(s.Dir, fmt.Sprintf("log.%d", s.processes)))
	if err != nil {
		return nil, err
	}
	defer log.Close()
	p.cmd = exec.Command("/bin/sh", "-c", run)
	p.cmd.Dir = s.Root
	p.cmd.Stdout, p.cmd.Stderr = log, log
	for _, v := range os.Environ() {
		if !strings.HasPrefix(v, "BALANCER_") {
			p.cmd.Env = append(p.cmd.Env, v)
		}
	}
	p.cmd.Env = append(p.cmd.Env, "BALANCER_NAME="+s.Name, "BALANCER_LISTEN="+s.Listen, "BALANCER_DISCOVERY="+s.Discovery,
		"BALANCER_STATE="+state, "BALANCER_CONFIG="+path, "TMPDIR="+tmp, "BALANCER_LOG=debug")
	if operator != "" {
		p.cmd.Env = append(p.cmd.Env, "BALANCER_OPERATOR="+operator)
	}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	s.Record.Add("sender %s started: %s", p.Name, run)
	go func() {
		p.err = p.cmd.Wait()
		s.Record.Add("sender %s ended: %v", p.Name, p.err)
		close(p.done)
	}()
	return p, nil
}

// AwaitReady waits until the sender answers PING.
func (s *Sender) AwaitReady(p *Process, timeout time.Duration) error {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if p.Ended() {
			return fmt.Errorf("sender %s ended: %v", p.Name, p.err)
		}
		if Ping(s.Listen) {
			s.Record.Add("sender %s is ready", p.Name)
			return nil
		}
	}
	return fmt.Errorf("sender %s was not ready after %v", p.Name, timeout)
}

// Ping reports whether a sender answers PING within 0.4 s.
func Ping(addr string) bool {
	conn, err := net.DialTimeout("tcp", addr, 400*time.Millisecond)
	if err != nil {
		return false
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(400 * time.Millisecond))
	io.WriteString(conn, "*1\r\n$4\r\nPING\r\n")
	line, _ := bufio.NewReader(conn).ReadString('\n')
	return line == "+PONG\r\n"
}

// Signal sends a signal to the process.
func (p *Process) Signal(sig syscall.Signal) error { return p.cmd.Process.Signal(sig) }

// Ended reports whether the process has ended.
func (p *Process) Ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// Done is closed when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// Kill ends the process with SIGKILL and waits for its end.
func (p *Process) Kill() {
	if p == nil {
		return
	}
	p.Signal(syscall.SIGKILL)
	<-p.done
}

// Operator makes one call at the operators' port and returns the answer, empty if there is none within 1 s.
func Operator(addr, call string) string {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return ""
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(time.Second))
	io.WriteString(conn, call+"\n")
	line, _ := bufio.NewReader(conn).ReadString('\n')
	return strings.TrimSpace(line)
}

// FreeAddress returns a loopback address with a free port. The host is one that no connection comes from by itself, so that
// none takes the port meanwhile.
func FreeAddress() (string, error) {
	ln, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 64+rand.IntN(64), rand.IntN(256), 1+rand.IntN(254)))
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}
