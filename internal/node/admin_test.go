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

// callOperator sends a call to the admin server and returns all that it answers.
func callOperator(t *testing.T, addr, call string) string {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(testTimeout))
	if _, err := io.WriteString(conn, call); err != nil {
		t.Fatal(err)
	}
	b, err := io.ReadAll(conn)
	if err != nil && len(b) == 0 {
		t.Fatal(err)
	}
	return string(b)
}

func expectOperatorAnswer(t *testing.T, addr, call, want string) {
	t.Helper()
	got := callOperator(t, addr, call+"\n")
	if strings.Count(got, "\n") != 1 || !strings.HasSuffix(got, "\n") || !strings.HasPrefix(got, want) {
		t.Errorf("%s: got %q, want a line that starts with %q", call, got, want)
	}
}

// startNodeWithAdmin starts a sender with an admin server.
func startNodeWithAdmin(t *testing.T, p *testPlatform, dir string, known discovery.List) *testNode {
	t.Helper()
	cfg, err := ParseConfig(configText(p, known))
	if err != nil {
		t.Fatal(err)
	}
	cfg.OperatorAddr = "127.0.0.1:0"
	return startNodeWithConfig(t, cfg, dir)
}

// A disabled endpoint gets no calls until it is enabled: neither a complete list, nor its removal from the list
// and return, nor a restart of the sender enables it.
func TestDisabledEndpointGetsNothingUntilEnabled(t *testing.T) {
	p, dir := newTestPlatform(t), t.TempDir()
	a, b := newTestEndpoint(t), newTestEndpoint(t)
	known := discovery.List{Generation: 1, Reset: true, Instances: instancesOf(a, b)}
	p.list = known
	n := startNodeWithAdmin(t, p, dir, known)
	c := dialClient(t, n.addr)
	admin := n.admin.address().String()
	expectCallsOnlyAtB := func(c *testClient, how string) { // without the ban, rotation would reach both endpoints
		t.Helper()
		for i := range 4 {
			c.put(fmt.Sprintf("%s-%d", how, i), "unsafe", "+OK")
			await(t, b.calls, "call").reply(200)
		}
		a.expectNoCall(t)
	}
	expectOperatorAnswer(t, admin, "ready", "ok")
	expectOperatorAnswer(t, admin, "disable-server s-0", "ok")
	expectCallsOnlyAtB(c, "out")
	expectOperatorAnswer(t, admin, "disable-server s-0", "ok") // disabling twice needs only one enable-server
	for i, list := range []discovery.List{{Reset: true, Instances: instancesOf(a, b)}, {Instances: []discovery.Instance{{ID: "s-0", Destination: 1, Lifecycle: "removed"}}},
		{Instances: instancesOf(a)}} {
		list.Generation = int64(2 + i)
		p.update(func() { p.list = list })
		awaitListRequestFrom(t, p, 2+i)
		expectCallsOnlyAtB(c, fmt.Sprintf("list-%d", i))
	}
	n.stop()
	if err := await(t, n.done, "end"); err != nil {
		t.Fatal(err)
	}
	n = startNodeWithAdmin(t, p, dir, known)
	admin, c = n.admin.address().String(), dialClient(t, n.addr)
	expectCallsOnlyAtB(c, "again")
	expectOperatorAnswer(t, admin, "enable-server s-0", "ok")
	expectOperatorAnswer(t, admin, "enable-server s-0", "ok")
	for i := range 2 {
		c.put(fmt.Sprintf("back-%d", i), "unsafe", "+OK")
	}
	await(t, a.calls, "call to the enabled endpoint").reply(200)
	await(t, b.calls, "call to the other endpoint").reply(200)
}

// Invalid calls are answered with a reason, and connections that send nothing or an incomplete call do not
// block others.
func TestOperatorBadCalls(t *testing.T) {
	p, e := newTestPlatform(t), newTestEndpoint(t)
	known := discovery.List{Generation: 1, Reset: true, Instances: instancesOf(e)}
	p.list = known
	n := startNodeWithAdmin(t, p, t.TempDir(), known)
	admin := n.admin.address().String()
	for i := range 2 * maxOperatorConns {
		conn, err := net.Dial("tcp", admin)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		if i%2 == 0 {
			io.WriteString(conn, "disable-server s-")
		}
		expectOperatorAnswer(t, admin, "ready", "ok")
	}
	for _, call := range []string{"disable-server", "disable-server s-9", "enable-server s-9", "enable-server s-0 s-0", "ready now",
		"reboot", "", "disable-server " + strings.Repeat("x", 2*maxCommandBytes)} {
		expectOperatorAnswer(t, admin, call, "fail ")
	}
	conn, err := net.Dial("tcp", admin)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	io.WriteString(conn, "disable-server s-0")
	conn.(*net.TCPConn).CloseWrite()
	if b, _ := io.ReadAll(conn); !strings.HasPrefix(string(b), "fail ") {
		t.Errorf("incomplete call: got %q", b)
	}
	dialClient(t, n.addr).put("a", "safe", "+OK")
	await(t, e.calls, "call: no endpoint was disabled").reply(200)
}

// Guards against a close without an answer: a connection of the admin server is evicted when its call has been
// read and its handler has not recorded that yet.
func TestOperatorCallReadDuringEvictionIsAnswered(t *testing.T) {
	s, operator := newAdminServer(slog.New(slog.DiscardHandler), 64, nil), newConnPair(t)
	if !s.addConn(operator.served) {
		t.Fatal("connection was rejected")
	}
	s.mu.Lock()
	s.wg.Go(func() {
		s.handle(t.Context(), operator.served)
		s.closeConn(operator.served)
	})
	io.WriteString(operator.conn, "ready\n")
	time.Sleep(50 * time.Millisecond) // the handler has read the line and waits for the lock
	evicted := s.evictIdle()
	s.mu.Unlock()
	if got := operator.readLine(); !evicted || !strings.HasPrefix(got, "fail ") {
		t.Errorf("evicted %v, answered %q", evicted, got)
	}
	s.wg.Wait()
}

// Guards against operators that are turned away although nobody waits for an answer: connections whose answers are not
// acknowledged yet make room, the one that was answered first before the others, and the table stays within its bound.
func TestAnsweredOperatorsMakeRoom(t *testing.T) {
	for _, sockets := range []int{1024, 64} {
		s := newAdminServer(slog.New(slog.DiscardHandler), sockets, nil)
		var closeNow []<-chan struct{}
		for range s.maxConns {
			conn := newConnPair(t).served
			if !s.addConn(conn) {
				t.Fatal("connection was rejected")
			}
			closeNow = append(closeNow, s.markAnswered(conn))
		}
		for i := range s.maxConns {
			if conn := newConnPair(t).served; !s.addConn(conn) || !s.markReceived(conn) {
				t.Fatalf("%d places: newcomer %d was turned away", s.maxConns, i)
			}
			select {
			case <-closeNow[i]:
			default:
				t.Errorf("%d places: the connection answered first was not told to close", s.maxConns)
			}
		}
		last := newConnPair(t) // all wait for their answers now
		if s.addConn(last.served) || len(s.conns) > s.maxConns {
			t.Errorf("%d connections, want at most %d", len(s.conns), s.maxConns)
		}
		s.turnAway(last.served)
		if got := last.readLine(); !strings.HasPrefix(got, "fail ") {
			t.Errorf("turned away with %q", got)
		}
	}
}

// A call that is still connecting when its endpoint is disabled is not written.
func TestDisablingEndpointWithholdsConnectingCalls(t *testing.T) {
	n, _, _, _ := startNodeWithEndpoints(t, 1)
	n.stop()
	if err := await(t, n.done, "end"); err != nil {
		t.Fatal(err)
	}
	connecting := &call{endpoint: 1, state: new(atomic.Int32)}
	cancelled := false
	n.held["x"] = &heldMessage{message: &Message{}, call: connecting, cancelCall: func(error) { cancelled = true }}
	answer := make(chan error, 1)
	j := openJournal(t, t.TempDir(), 3e6)
	n.journal = j
	n.applyCommand(operatorCommand{endpoint: "s-0", answer: answer})
	if err := <-answer; err != nil || connecting.state.Load() != callWithheld || !cancelled {
		t.Errorf("answer %v, state %d, cancelled %v", err, connecting.state.Load(), cancelled)
	}
}
