package main

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// sender is a sender: its folder, its addresses and its settings. It may have several processes one after the other, or
// two during an upgrade.
type sender struct {
	rec       *record
	root      string // of the repository
	dir       string
	listen    string
	discovery string
	seed      string
	known     list
	settings  map[string]any
	limits    map[string]any
	processes []*process
}

// process is a process of a sender.
type process struct {
	cmd      *exec.Cmd
	name     string
	operator string
	logPath  string
	ended    chan struct{} // closed when the process has ended
	state    string        // how it ended
	signals  []syscall.Signal
}

// running holds the commands of all processes that were started, for the end of the case by a signal.
var running struct {
	sync.Mutex
	commands []*exec.Cmd
}

// endOnSignal ends all processes, and this one, at SIGINT or SIGTERM.
func endOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		running.Lock() // nothing is started any more
		for _, command := range running.commands {
			if command.ProcessState == nil {
				command.Process.Kill()
			}
		}
		os.Exit(2)
	}()
}

func freePort(host string) (string, error) {
	listener, err := net.Listen("tcp", host+":0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

func newSender(rec *record, root, dir string, senders int) (*sender, error) {
	listen, err := freePort("127.0.1.1")
	if err != nil {
		return nil, err
	}
	s := &sender{rec: rec, root: root, dir: dir, listen: listen, seed: "8c1f30d27a5be964", settings: defaultSettings(senders),
		limits: map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3}}
	return s, os.MkdirAll(filepath.Join(dir, "state"), 0o700)
}

// defaultSettings are those of the example in WIRE-crossdeal.md, with a class for each effect.
func defaultSettings(senders int) map[string]any {
	class := func(name, effect string) map[string]any {
		return map[string]any{"aim_s": 2.0, "deadline_s": 20.0, "group": "all", "idempotency": effect, "late_worth": 0.4,
			"name": name, "stream": false, "window_s": 5.0, "worth": 1.0}
	}
	return map[string]any{"balancers": senders, "kind_of_service": "deliver", "counted_by": "request", "me": 0,
		"classes": []any{class("aviso", "retryable"), class("cobranca", "fragile")},
		"charges": map[string]any{"handshake": 0.06, "late_fail": 0.035, "waste": 0.11},
		"clients": map[string]any{"marks_retry": false}, "layers": []string{"parceiros"},
		"limits": map[string]any{"conn_idle_s": 5.0, "connect_timeout_s": 1.0, "cpu_us_per_s": 400000, "max_attempts": 6, "max_open": 225,
			"max_retry_after_s": 2.0, "may_cancel": true, "multiplex": 8, "peers": false, "probing": false, "retry_after": true,
			"second_copies": false},
		"load_info":     map[string]any{"how": "inline", "names": []string{"x0", "x1"}},
		"machine_types": []string{"grandes", "variados", "pequenos"}, "membership_mode": "pushed", "over_share_worth": 0.1,
		"rules": map[string]any{"answer_slack_s": 0.02, "ask_every_s": 10.0, "cold_from": 0.2, "drain_grace_s": 1.0, "fall_multiple": 2.0,
			"fall_s": 2.0, "warm_after_s": 14.0},
		"specifics": map[string]any{"batch_by_kind": []int{1, 1, 1}, "call_slots": 18, "late": "halves",
			"separate_routes": []bool{false, false, false}},
		"tenants": []any{}, "tick_s": 0.005, "tier": 0, "weights": "nominal", "zone": 0, "zones": []string{"recife-1"}}
}

func (s *sender) configPath() string { return filepath.Join(s.dir, "config.json") }

func (s *sender) writeConfig() error {
	text, err := json.Marshal(map[string]any{"name": "n1", "listen": s.listen, "discovery": s.discovery, "seed": s.seed,
		"limits": s.limits, "known": s.known, "settings": s.settings})
	if err != nil {
		return err
	}
	if err := os.WriteFile(s.configPath()+".new", text, 0o600); err != nil {
		return err
	}
	return os.Rename(s.configPath()+".new", s.configPath())
}

// start starts a process by the run command of the deploy file.
func (s *sender) start() (*process, error) {
	if err := s.writeConfig(); err != nil {
		return nil, err
	}
	operator, err := freePort("127.0.2.1")
	if err != nil {
		return nil, err
	}
	run, err := deployCommand(s.root, "run")
	if err != nil {
		return nil, err
	}
	p := &process{name: fmt.Sprintf("process %d", len(s.processes)+1), operator: operator,
		logPath: filepath.Join(s.dir, fmt.Sprintf("log%d", len(s.processes)+1)), ended: make(chan struct{})}
	log, err := os.Create(p.logPath)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	temporary := filepath.Join(s.dir, "tmp")
	if err := os.MkdirAll(temporary, 0o700); err != nil {
		return nil, err
	}
	level := os.Getenv("LOG")
	if level == "" {
		level = "info"
	}
	p.cmd = exec.Command("/bin/sh", "-c", run)
	p.cmd.Dir = s.root
	p.cmd.Env = append(os.Environ(), "BALANCER_NAME=n1", "BALANCER_LISTEN="+s.listen, "BALANCER_DISCOVERY="+s.discovery,
		"BALANCER_STATE="+filepath.Join(s.dir, "state"), "BALANCER_CONFIG="+s.configPath(), "BALANCER_OPERATOR="+operator,
		"BALANCER_LOG="+level, "TMPDIR="+temporary)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	running.Lock()
	defer running.Unlock()
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	running.commands = append(running.commands, p.cmd)
	s.processes = append(s.processes, p)
	s.rec.add("%s: started", p.name)
	go func() {
		p.cmd.Wait()
		p.state = p.cmd.ProcessState.String()
		s.rec.add("%s: ended: %s", p.name, p.state)
		close(p.ended)
	}()
	return p, nil
}

// deployCommand returns a command of the deploy file.
func deployCommand(root, name string) (string, error) {
	text, err := os.ReadFile(filepath.Join(root, "deploy/balancer.toml"))
	if err != nil {
		return "", err
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, name+" = \""); ok {
			command, _, _ := strings.Cut(rest, "\"")
			return command, nil
		}
	}
	return "", fmt.Errorf("the deploy file has no %s", name)
}

// startAndWait starts a process and waits until it answers PING.
func (s *sender) startAndWait() (*process, error) {
	p, err := s.start()
	if err != nil {
		return nil, err
	}
	for deadline := time.Now().Add(30 * time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if p.hasEnded() {
			return p, fmt.Errorf("%s ended before it was ready: %s", p.name, p.state)
		}
		c, err := dialClient(s.listen)
		if err != nil {
			continue
		}
		answer, err := c.call(encodeCommand("PING"))
		c.conn.Close()
		if err == nil && answer == "+PONG" {
			s.rec.add("%s: ready", p.name)
			return p, nil
		}
	}
	return p, fmt.Errorf("%s was not ready within 30 s", p.name)
}

func (p *process) hasEnded() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

func (s *sender) signal(p *process, sig syscall.Signal) {
	p.signals = append(p.signals, sig)
	err := p.cmd.Process.Signal(sig)
	s.rec.add("%s: gets %v (%v)", p.name, sig, err)
}

// ready asks a process over its operators' port whether it can serve.
func (p *process) ready() (string, error) {
	conn, err := net.DialTimeout("tcp", p.operator, time.Second)
	if err != nil {
		return "", err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(time.Second))
	if _, err := fmt.Fprintln(conn, "ready"); err != nil {
		return "", err
	}
	b := make([]byte, 256)
	n, err := conn.Read(b)
	return strings.TrimSpace(string(b[:n])), err
}

// endAll ends all processes that were started.
func (s *sender) endAll() {
	for _, p := range s.processes {
		if !p.hasEnded() {
			p.cmd.Process.Signal(syscall.SIGCONT)
			p.cmd.Process.Kill()
			<-p.ended
		}
	}
}
