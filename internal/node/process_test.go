package node

import (
	"bufio"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"crossdeal/internal/discovery"
	"crossdeal/internal/syscallfault"
)

// buildProgram builds the program once for all tests and returns its path.
var buildProgram = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "cometrack")
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, "cometrack")
	build := exec.Command("go", "build", "-ldflags=-linkmode=external", "-o", path, "../../cmd/cometrack")
	build.Env = append(os.Environ(), "CGO_ENABLED=1")
	out, err := build.CombinedOutput()
	os.Stderr.Write(out)
	return path, err
})

func TestMain(m *testing.M) {
	syscallfault.LaunchIfRequested()
	code := m.Run()
	if path, err := buildProgram(); err == nil {
		os.RemoveAll(filepath.Dir(path))
	}
	os.Exit(code)
}

// process is a running process of the program.
type process struct {
	t          *testing.T
	cmd        *exec.Cmd
	addr       string
	adminAddr  string // address for operators
	configPath string
	done       chan error
	mu         sync.Mutex
	violations []string // its log lines about broken rules
}

// violationLines returns the log lines of the process about broken rules.
func (x *process) violationLines() []string {
	x.mu.Lock()
	defer x.mu.Unlock()
	return slices.Clone(x.violations)
}

// startProcess starts the program with the environment that the platform sets, and waits until it is ready.
func startProcess(t *testing.T, p *testPlatform, dir string, known discovery.List) *process {
	t.Helper()
	return startProcessAt(t, p, dir, known, "127.0.0.1:0")
}

// startProcessAt starts the program with an address for clients, on which another process of the sender may listen.
func startProcessAt(t *testing.T, p *testPlatform, dir string, known discovery.List, listen string) *process {
	t.Helper()
	path, err := buildProgram()
	if err != nil {
		t.Fatal(err)
	}
	return startProcessWithConfig(t, p, dir, configText(p, known), listen, exec.Command(path))
}

// startProcessWithConfig starts the program with a given command and configuration, and waits until it is ready.
func startProcessWithConfig(t *testing.T, p *testPlatform, dir string, text []byte, listen string, cmd *exec.Cmd) *process {
	t.Helper()
	return startProcessBy(t, p, dir, text, listen, cmd, (*exec.Cmd).Start)
}

// startProcessBy is startProcessWithConfig with the function that starts the command.
func startProcessBy(t *testing.T, p *testPlatform, dir string, text []byte, listen string, cmd *exec.Cmd, start func(*exec.Cmd) error) *process {
	t.Helper()
	config := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(config, text, 0o600); err != nil {
		t.Fatal(err)
	}
	cmd.Env = append(cmd.Environ(), "BALANCER_NAME=n0", "BALANCER_LISTEN="+listen, "BALANCER_OPERATOR=127.0.0.1:0",
		"BALANCER_DISCOVERY="+strings.TrimPrefix(p.server.URL, "http://"), "BALANCER_STATE="+dir, "BALANCER_CONFIG="+config)
	logs, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := start(cmd); err != nil {
		t.Fatal(err)
	}
	x := &process{t: t, cmd: cmd, configPath: config, done: make(chan error, 1)}
	t.Cleanup(func() { cmd.Process.Kill() })
	addr := make(chan string, 1)
	go x.readLog(logs, addr)
	select {
	case x.addr = <-addr:
	case err := <-x.done:
		t.Fatalf("the program ended before it was ready: %v", err)
	case <-time.After(testTimeout):
		t.Fatal("timed out waiting for the program to be ready")
	}
	return x
}

// readLog reads the program's log until it ends. It sends the address for clients once the program is ready.
func (x *process) readLog(logs io.Reader, addr chan<- string) {
	addrOf := func(line string) string {
		_, rest, _ := strings.Cut(line, "addr=")
		a, _, _ := strings.Cut(rest, " ")
		return a
	}
	for s := bufio.NewScanner(logs); s.Scan(); {
		switch line := s.Text(); {
		case strings.Contains(line, `msg="admin server" addr=`):
			x.adminAddr = addrOf(line)
		case strings.Contains(line, "msg=ready "):
			addr <- addrOf(line)
		case strings.Contains(line, `msg="rule broken"`):
			x.mu.Lock()
			x.violations = append(x.violations, line)
			x.mu.Unlock()
		}
	}
	x.done <- x.cmd.Wait()
}

func (x *process) kill() {
	x.t.Helper()
	x.cmd.Process.Kill()
	await(x.t, x.done, "end of the program")
}

// terminate sends SIGTERM; awaitExit checks that the program ends by itself.
func (x *process) terminate() { x.cmd.Process.Signal(syscall.SIGTERM) }

func (x *process) awaitExit() {
	x.t.Helper()
	if err := await(x.t, x.done, "end of the program"); err != nil {
		x.t.Errorf("ended with %v", err)
	}
}

// After a crash with a call in flight the message may have run. The client does not submit it again, so the sender must
// send it again if its class allows that, and must not otherwise.
func TestCrashDuringCall(t *testing.T) {
	p, e, dir := newTestPlatform(t), newTestEndpoint(t), t.TempDir()
	known := discovery.List{Generation: 1, Reset: true, Instances: instancesOf(e)}
	p.list = known
	x := startProcess(t, p, dir, known)
	c := dialClient(t, x.addr)
	for _, class := range []string{"safe", "keyed", "unsafe"} {
		c.put("m-"+class, class, "+OK")
		await(t, e.calls, "call")
	}
	x.kill()
	x = startProcess(t, p, dir, known)
	again := map[string]string{}
	for range 2 {
		in := await(t, e.calls, "second call")
		again[in.id()] = in.request.Header.Get("Idempotency-Key") + " " + in.body
		in.reply(200)
	}
	if again["m-safe"] != "key-m-safe body of m-safe" || again["m-keyed"] != "key-m-keyed body of m-keyed" {
		t.Errorf("sent again: %v", again)
	}
	if n := await(t, p.notices, "notice"); n != (Notice{ID: "m-unsafe", State: "failed"}) {
		t.Errorf("notice %+v", n)
	}
	x.terminate()
	x.awaitExit()
	e.expectNoCall(t)
	if ids := journaledIDs(t, dir); ids != nil {
		t.Errorf("messages left in the journal: %v", ids)
	}
}

// Attempts before a crash count: a message that crashes the process each time must not be sent forever.
func TestAttemptsBeforeCrashCount(t *testing.T) {
	p, e, dir := newTestPlatform(t), newTestEndpoint(t), t.TempDir()
	known := discovery.List{Generation: 1, Reset: true, Instances: instancesOf(e)}
	p.list = known
	for i := range 3 { // max_attempts
		x := startProcess(t, p, dir, known)
		if i == 0 {
			dialClient(t, x.addr).putWithTime("a", "safe", 16000, "+OK")
		}
		await(t, e.calls, "call")
		x.kill()
	}
	x := startProcess(t, p, dir, known)
	if n := await(t, p.notices, "notice"); n != (Notice{ID: "a", State: "failed"}) {
		t.Errorf("notice %+v", n)
	}
	x.terminate()
	x.awaitExit()
	e.expectNoCall(t)
}

// A message that was rejected or not sent before a crash is sent after it, even an unsafe one. A message whose deadline
// passed meanwhile is returned, and an unconfirmed notice is sent again.
func TestCrashWithoutCall(t *testing.T) {
	p, e, dir := newTestPlatform(t), newTestEndpoint(t), t.TempDir()
	known := discovery.List{Generation: 1, Reset: true, Instances: instancesOf(e)}
	p.list, p.rejectNotices = known, true
	x := startProcess(t, p, dir, known)
	c := dialClient(t, x.addr)
	c.put("failed", "unsafe", "+OK")
	await(t, e.calls, "call").reply(500)
	await(t, p.rejectedNotices, "notice")
	c.put("refused", "unsafe", "+OK")
	await(t, e.calls, "call").reply(429, "X-Come-Back-Ms: 60000")
	if got := c.do("MSG.PUT", "0", "short", "c=unsafe,d=600,dest=2", "x"); got != "+OK" {
		t.Fatalf("got %q", got)
	}
	expiredAt := time.Now().Add(600 * time.Millisecond)
	for stop := time.Now().Add(testTimeout); ; {
		b, err := os.ReadFile(filepath.Join(dir, journalFileName))
		if err != nil {
			t.Fatal(err)
		}
		if strings.Count(string(b), `"op":3`) >= 2 { // both outcomes
			break
		}
		if time.Now().After(stop) {
			t.Fatal("timed out waiting for the outcomes in the journal")
		}
	}
	c.put("unsent", "unsafe", "+OK") // waits: the endpoint has asked for it
	x.kill()
	time.Sleep(time.Until(expiredAt))
	p.update(func() { p.rejectNotices = false })
	x = startProcess(t, p, dir, known)
	got := map[string]bool{}
	for range 2 {
		in := await(t, e.calls, "call")
		got[in.id()] = true
		in.reply(200)
	}
	if !got["refused"] || !got["unsent"] {
		t.Errorf("sent: %v", got)
	}
	ends := map[string]string{}
	for range 2 {
		n := await(t, p.notices, "notice")
		ends[n.ID] = n.State
	}
	if ends["failed"] != "failed" || ends["short"] != "returned" {
		t.Errorf("notices: %v", ends)
	}
	x.terminate()
	x.awaitExit()
	e.expectNoCall(t)
}

// A planned restart: clients are served for shutdownAcceptTime, then their connections are closed between requests. The
// call in flight ends and is journaled, so that no message is left for the next start.
func TestSIGTERMDuringCall(t *testing.T) {
	for _, class := range []string{"safe", "keyed", "unsafe"} {
		t.Run(class, func(t *testing.T) {
			t.Parallel()
			p, e, dir := newTestPlatform(t), newTestEndpoint(t), t.TempDir()
			known := discovery.List{Generation: 1, Reset: true, Instances: instancesOf(e)}
			p.list = known
			x := startProcess(t, p, dir, known)
			c := dialClient(t, x.addr)
			c.put("a", class, "+OK")
			in := await(t, e.calls, "call")
			x.terminate()
			if got := c.readLine(); got != "" { // the connection is closed between requests
				t.Errorf("got %q", got)
			}
			in.reply(200)
			x.awaitExit()
			if ids := journaledIDs(t, dir); ids != nil {
				t.Errorf("messages left in the journal: %v", ids)
			}
			if len(p.notices) != 0 {
				t.Errorf("notice %+v", <-p.notices)
			}
		})
	}
}

// A call that does not end must not delay the shutdown. Its message stays in the journal as one that may have run.
func TestSIGTERMWithUnresponsiveEndpoint(t *testing.T) {
	p, e, dir := newTestPlatform(t), newTestEndpoint(t), t.TempDir()
	known := discovery.List{Generation: 1, Reset: true, Instances: instancesOf(e)}
	p.list = known
	x := startProcess(t, p, dir, known)
	dialClient(t, x.addr).put("a", "unsafe", "+OK")
	await(t, e.calls, "call")
	terminatedAt := time.Now()
	x.terminate()
	x.awaitExit()
	if d := time.Since(terminatedAt); d > shutdownLoopTimeout+2*time.Second {
		t.Errorf("ended after %v", d)
	}
	if ids := journaledIDs(t, dir); len(ids) != 1 {
		t.Errorf("messages in the journal: %v, want 1", ids)
	}
	x = startProcess(t, p, dir, known)
	if n := await(t, p.notices, "notice"); n != (Notice{ID: "a", State: "failed"}) {
		t.Errorf("notice %+v", n)
	}
	x.kill()
}

// After SIGHUP the list and the notices use the address of discovery in the configuration file, and the program keeps
// running.
func TestSIGHUPMovesDiscovery(t *testing.T) {
	p, q, e, dir := newTestPlatform(t), newTestPlatform(t), newTestEndpoint(t), t.TempDir()
	known := discovery.List{Generation: 7, Reset: true, Instances: instancesOf(e)}
	p.list = known
	x := startProcess(t, p, dir, known)
	awaitListRequestFrom(t, p, 7)
	moved := newTestEndpoint(t)
	q.list = discovery.List{Generation: 3, Reset: true, Instances: instancesOf(moved)} // generations of its own
	if err := os.WriteFile(x.configPath, configText(q, known), 0o600); err != nil {
		t.Fatal(err)
	}
	x.cmd.Process.Signal(syscall.SIGHUP)
	awaitListRequestFrom(t, q, 3)
	c := dialClient(t, x.addr)
	c.put("a", "unsafe", "+OK")
	await(t, moved.calls, "call").reply(500)
	if n := await(t, q.notices, "notice"); n != (Notice{ID: "a", State: "failed"}) {
		t.Errorf("notice %+v", n)
	}
	if len(p.notices) != 0 {
		t.Errorf("old address got %+v", <-p.notices)
	}
	x.terminate()
	x.awaitExit()
	e.expectNoCall(t)
}
