package node

import (
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"crossdeal/internal/discovery"
)

// upgradeWorld is a sender with one endpoint, as a process.
func upgradeWorld(t *testing.T) (p *platform, e *endpoint, dir string, known discovery.List, x *process) {
	t.Helper()
	p, e, dir = newPlatform(t), newEndpoint(t), t.TempDir()
	known = discovery.List{Generation: 1, Reset: true, Instances: instances(e)}
	p.list = known
	return p, e, dir, known, startProcess(t, p, dir, known)
}

// A new process takes all over: the client's connection, the unsafe call that is out on its own connection, the told
// wait, what an operator took out, and what is owed. The old one ends by itself.
func TestUpgrade(t *testing.T) {
	p, e, dir, known, old := upgradeWorld(t)
	other := newEndpoint(t)
	list := append(instances(e, other), discovery.Instance{ID: "s-w", HostPort: other.addr(), Zone: "a", Kind: "std", Dest: 2,
		Lifecycle: "up", Weight: 100})
	p.set(func() { p.list = discovery.List{Generation: 2, Reset: true, Instances: list} })
	taken(t, p, 2)
	wantAnswer(t, old.admin, "disable-server s-1", "ok")
	c := dial(t, old.addr)
	if got := c.do("MSG.PUT", "0", "w", "c=unsafe,d=10000,dest=2", "x"); got != "+OK" {
		t.Fatalf("got %q", got)
	}
	await(t, other.calls, "call").reply(429, "X-Come-Back-Ms: 60000") // also what was put in later must wait
	c.put("a", "unsafe", "+OK")
	in := await(t, e.calls, "call")
	half := dial(t, old.addr)
	io.WriteString(half.conn, "*5\r\n$7\r\nMSG.PUT\r\n$1\r\n0\r\n$1\r\nh\r\n$23\r\nc=unsafe,d=10000,dest=1\r\n$4\r\nbo")
	c.do("PING") // by now the half has come too, or comes to whoever reads it

	x := startAt(t, p, dir, known, old.addr)
	if x.addr != old.addr {
		t.Errorf("the new process listens at %s, the old one at %s", x.addr, old.addr)
	}
	wantAnswer(t, x.admin, "ready", "ok")
	if got := ask(t, old.admin, "ready\n"); got == "ok\n" {
		t.Error("the old process is ready still")
	}
	wantAnswer(t, old.admin, "disable-server s-9", "fail no such endpoint")
	c.put("a", "unsafe", "+OK") // known, so not taken on again
	in.reply(200)
	c.put("b", "unsafe", "+OK") // on the connection that the old process had accepted
	second := await(t, e.calls, "call of the new process")
	if second.id() != "b" || second.conn.RemoteAddr().String() != in.conn.RemoteAddr().String() {
		t.Errorf("call with %s from %v, want b on the kept connection %v", second.id(), second.conn.RemoteAddr(), in.conn.RemoteAddr())
	}
	second.reply(200)
	io.WriteString(half.conn, "dy\r\n")
	if got := half.line(); got != "+OK" {
		t.Errorf("half-read request: %q", got)
	}
	last := await(t, e.calls, "call for the half-read request")
	if last.id() != "h" || last.body != "body" {
		t.Errorf("call with %s, body %q", last.id(), last.body)
	}
	last.reply(200)
	old.term()
	old.end()
	if got := c.do("MSG.PUT", "0", "w2", "c=unsafe,d=600,dest=2", "x"); got != "+OK" {
		t.Fatalf("got %q", got)
	}
	if n := await(t, p.notices, "notice"); n.ID != "w2" || n.State != "returned" { // the wait still holds
		t.Errorf("notice %+v", n)
	}
	other.none(t)
	wantAnswer(t, x.admin, "enable-server s-1", "ok")
	x.term()
	x.end()
	e.none(t)
}

// A second process must not listen, write the journal or send while it waits for its turn.
func TestUpgradeWaitsForTheLock(t *testing.T) {
	p, e, dir, known, old := upgradeWorld(t)
	if err := os.Remove(filepath.Join(dir, socketName)); err != nil { // an owner that hands nothing over
		t.Fatal(err)
	}
	c := dial(t, old.addr)
	c.put("a", "safe", "+OK")
	await(t, e.calls, "call")
	cfg, err := ParseConfig(configText(p, known))
	if err != nil {
		t.Fatal(err)
	}
	cfg.Listen, cfg.Operator = old.addr, "127.0.0.1:0"
	ready := make(chan *testNode)
	admins := make(chan *adminServer, 1)
	go func() { ready <- startConfig(t, cfg, dir, func(n *Node) { admins <- n.admin }) }()
	d := await(t, admins, "admin server")
	for d.address() == nil {
		time.Sleep(time.Millisecond)
	}
	wantAnswer(t, d.address().String(), "ready", "fail")
	select {
	case <-ready:
		t.Fatal("ready beside the owner")
	default:
	}
	old.kill()
	n := await(t, ready, "sender after the owner's death")
	wantAnswer(t, n.admin.address().String(), "ready", "ok")
	await(t, e.calls, "call again").reply(200)
}

// askAsSuccessor takes the state as a new process does.
func askAsSuccessor(t *testing.T, dir string) *net.UnixConn {
	t.Helper()
	return askAs(t, dir, handWord)
}

// askAs is the same with the word for a form.
func askAs(t *testing.T, dir, word string) *net.UnixConn {
	t.Helper()
	path, d, err := socketPath(dir)
	if err != nil {
		t.Fatal(err)
	}
	defer d.Close()
	conn, err := net.DialUnix("unix", nil, &net.UnixAddr{Name: path, Net: "unix"})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(conn, word+" -\n"); err != nil {
		t.Fatal(err)
	}
	return conn
}

// A new process that dies before it has taken the state leaves the old one as it was: connections, calls and all.
func TestUpgradeSuccessorDies(t *testing.T) {
	for _, x := range []struct {
		read int
		word string
	}{{0, handWord}, {8, handWord}, {0, handRows}, {8, handRows}} { // at once, or having read the head
		t.Run(fmt.Sprint(x.read, " ", x.word), func(t *testing.T) {
			n, c, _, eps := world(t, 1)
			c.put("a", "unsafe", "+OK")
			in := await(t, eps[0].calls, "call")
			conn := askAs(t, n.cfg.StateDir, x.word)
			if _, err := io.ReadFull(conn, make([]byte, x.read)); err != nil {
				t.Fatal(err)
			}
			conn.Close()
			in.reply(200)
			c.put("b", "unsafe", "+OK")
			second := await(t, eps[0].calls, "call")
			if second.id() != "b" {
				t.Errorf("call with %s", second.id())
			}
			second.reply(200)
			dial(t, n.addr).put("c", "unsafe", "+OK")
			await(t, eps[0].calls, "call").reply(200)
		})
	}
}

// A process that dies with the state sent and not taken: the next start finds all in the journal.
func TestUpgradeOwnerDies(t *testing.T) {
	p, e, dir, known, old := upgradeWorld(t)
	c := dial(t, old.addr)
	c.put("a", "unsafe", "+OK")
	await(t, e.calls, "call")
	conn := askAsSuccessor(t, dir)
	if _, err := io.ReadFull(conn, make([]byte, 8)); err != nil {
		t.Fatal(err)
	}
	old.kill()
	conn.Close()
	x := startAt(t, p, dir, known, old.addr)
	if n := await(t, p.notices, "notice"); n != (Notice{ID: "a", State: "failed"}) {
		t.Errorf("notice %+v", n)
	}
	x.term()
	x.end()
	e.none(t)
}

// An answer of which a part has come goes over with its call: a handover must not wait for the rest.
func TestUpgradeWithHalfAnswer(t *testing.T) {
	p, e, dir, known, old := upgradeWorld(t)
	c := dial(t, old.addr)
	c.put("a", "unsafe", "+OK")
	in := await(t, e.calls, "call")
	io.WriteString(in.conn, "HTTP/1.1 503 x\r\nContent-Le")
	at := time.Now()
	x := startAt(t, p, dir, known, old.addr)
	if took := time.Since(at); took > headTime*3/4 {
		t.Errorf("taken over after %v", took)
	}
	io.WriteString(in.conn, "ngth: 0\r\n\r\n")
	in.done <- true
	again := await(t, e.calls, "call again: the first was turned away, which both halves say together")
	if again.id() != "a" {
		t.Errorf("call with %s", again.id())
	}
	again.reply(200)
	x.term()
	x.end()
}
