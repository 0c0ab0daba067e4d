package node

import (
	"fmt"
	"io"
	"log/slog"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"crossdeal/internal/discovery"
)

// ask makes an operator's call and returns the whole answer.
func ask(t *testing.T, addr, call string) string {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(patience))
	if _, err := io.WriteString(conn, call); err != nil {
		t.Fatal(err)
	}
	b, err := io.ReadAll(conn)
	if err != nil && len(b) == 0 {
		t.Fatal(err)
	}
	return string(b)
}

func wantAnswer(t *testing.T, addr, call, want string) {
	t.Helper()
	got := ask(t, addr, call+"\n")
	if strings.Count(got, "\n") != 1 || !strings.HasSuffix(got, "\n") || !strings.HasPrefix(got, want) {
		t.Errorf("%s: got %q, want a line that starts with %q", call, got, want)
	}
}

// adminNode is a sender with an admin server.
func adminNode(t *testing.T, p *platform, dir string, known discovery.List) *testNode {
	t.Helper()
	cfg, err := ParseConfig(configText(p, known))
	if err != nil {
		t.Fatal(err)
	}
	cfg.Operator = "127.0.0.1:0"
	return startConfig(t, cfg, dir)
}

// What an operator takes out gets nothing until it is put back: not by a whole list, not by a return to the list,
// not by a restart of the sender.
func TestOperatorTakesOut(t *testing.T) {
	p, dir := newPlatform(t), t.TempDir()
	a, b := newEndpoint(t), newEndpoint(t)
	known := discovery.List{Generation: 1, Reset: true, Instances: instances(a, b)}
	p.list = known
	n := adminNode(t, p, dir, known)
	c := dial(t, n.addr)
	admin := n.admin.address().String()
	round := func(c *client, how string) { // rotation would come to each of the two
		t.Helper()
		for i := range 4 {
			c.put(fmt.Sprintf("%s-%d", how, i), "unsafe", "+OK")
			await(t, b.calls, "call").reply(200)
		}
		a.none(t)
	}
	wantAnswer(t, admin, "ready", "ok")
	wantAnswer(t, admin, "disable-server s-0", "ok")
	round(c, "out")
	wantAnswer(t, admin, "disable-server s-0", "ok") // no second call back will be needed
	for i, list := range []discovery.List{{Reset: true, Instances: instances(a, b)}, {Instances: []discovery.Instance{{ID: "s-0", Dest: 1, Lifecycle: "removed"}}},
		{Instances: instances(a)}} {
		list.Generation = int64(2 + i)
		p.set(func() { p.list = list })
		taken(t, p, 2+i)
		round(c, fmt.Sprintf("list-%d", i))
	}
	n.stop()
	if err := await(t, n.done, "end"); err != nil {
		t.Fatal(err)
	}
	n = adminNode(t, p, dir, known)
	admin, c = n.admin.address().String(), dial(t, n.addr)
	round(c, "again")
	wantAnswer(t, admin, "enable-server s-0", "ok")
	wantAnswer(t, admin, "enable-server s-0", "ok")
	for i := range 2 {
		c.put(fmt.Sprintf("back-%d", i), "unsafe", "+OK")
	}
	await(t, a.calls, "call to the one put back").reply(200)
	await(t, b.calls, "call to the other").reply(200)
}

// Wrong calls get a reason, and callers that are silent or stop midway keep nobody out.
func TestOperatorBadCalls(t *testing.T) {
	p, e := newPlatform(t), newEndpoint(t)
	known := discovery.List{Generation: 1, Reset: true, Instances: instances(e)}
	p.list = known
	n := adminNode(t, p, t.TempDir(), known)
	admin := n.admin.address().String()
	for i := range 2 * orderConns {
		conn, err := net.Dial("tcp", admin)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		if i%2 == 0 {
			io.WriteString(conn, "disable-server s-")
		}
		wantAnswer(t, admin, "ready", "ok")
	}
	for _, call := range []string{"disable-server", "disable-server s-9", "enable-server s-9", "enable-server s-0 s-0", "ready now",
		"reboot", "", "disable-server " + strings.Repeat("x", 2*orderLine)} {
		wantAnswer(t, admin, call, "fail ")
	}
	conn, err := net.Dial("tcp", admin)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	io.WriteString(conn, "disable-server s-0")
	conn.(*net.TCPConn).CloseWrite()
	if b, _ := io.ReadAll(conn); !strings.HasPrefix(string(b), "fail ") {
		t.Errorf("half a call: got %q", b)
	}
	dial(t, n.addr).put("a", "safe", "+OK")
	await(t, e.calls, "call: nothing was taken out").reply(200)
}

// An operator whose call was read in the moment in which it made room for another had no answer.
func TestOperatorCallReadAtAnEvictionIsAnswered(t *testing.T) {
	d, side := newAdminServer(slog.New(slog.DiscardHandler), 64, nil), connect(t)
	if !d.enter(side.served) {
		t.Fatal("not let in")
	}
	d.mu.Lock()
	d.wg.Go(func() {
		d.handle(t.Context(), side.served)
		d.leave(side.served)
	})
	io.WriteString(side.conn, "ready\n")
	time.Sleep(50 * time.Millisecond) // its handler has the line, and has not said so
	evicted := d.makeRoom()
	d.mu.Unlock()
	if got := side.line(); !evicted || !strings.HasPrefix(got, "fail ") {
		t.Errorf("evicted %v, answered %q", evicted, got)
	}
	d.wg.Wait()
}

// A call that still connects when its endpoint is taken out is not written.
func TestOperatorTakesOutHoldsCalls(t *testing.T) {
	n, _, _, _ := world(t, 1)
	n.stop()
	if err := await(t, n.done, "end"); err != nil {
		t.Fatal(err)
	}
	in := &call{ep: 1, state: new(atomic.Int32)}
	stopped := false
	n.held["x"] = &held{msg: &Message{}, call: in, stop: func(error) { stopped = true }}
	answer := make(chan error, 1)
	j := openJournal(t, t.TempDir(), 3e6)
	n.journal = j
	n.obey(order{id: "s-0", answer: answer})
	if err := <-answer; err != nil || in.state.Load() != callHeld || !stopped {
		t.Errorf("answer %v, state %d, stopped %v", err, in.state.Load(), stopped)
	}
}
