package node

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"crossdeal/internal/clock"
	"crossdeal/internal/discovery"
	"crossdeal/logic"
)

// hookReader is a request's body that lets a test act once a connection was chosen, before a byte is written.
type hookReader struct {
	io.Reader
	onFirstRead func()
}

func (g *hookReader) Read(b []byte) (int, error) {
	if g.onFirstRead != nil {
		g.onFirstRead()
		g.onFirstRead = nil
	}
	return g.Reader.Read(b)
}

// An endpoint closes or resets an idle connection just as a request goes out on it: the connection looked good, all of
// the request is written, and it may have run for all that the sender knows. It is not sent again by the caller.
func TestIdleConnectionClosedDuringRequestIsNotRetried(t *testing.T) {
	for _, reset := range []bool{false, true} {
		e, c := newTestEndpoint(t), newTestTransport()
		got := doInBackground(t.Context(), c, newTestCall(t, e.addr(), "hello", testTimeout))
		await(t, e.calls, "call").reply(200)
		await(t, got, "result")
		conn := (<-e.conns).(*net.TCPConn)
		c.mu.Lock()
		kept := c.idle[1][0]
		c.mu.Unlock()
		in := newTestCall(t, e.addr(), "hello", testTimeout)
		in.request.Body = io.NopCloser(&hookReader{strings.NewReader("hello"), func() {
			if reset {
				conn.SetLinger(0)
			}
			conn.Close()
			for stop := time.Now().Add(testTimeout); ; { // until it shows here
				if alive, _ := peekConn(kept.Conn); !alive || time.Now().After(stop) {
					break
				}
			}
		}})
		r := c.do(t.Context(), in)
		if !reset && r.outcome != logic.ConnBroken || reset && r.outcome != logic.ConnRefused {
			t.Errorf("reset %v: got %+v", reset, r) // a reset shows before the write: nothing is written
		}
		e.expectNoCall(t)
		if n := len(e.conns); n != 0 {
			t.Errorf("reset %v: %d further connections", reset, n)
		}
	}
}

// A message was forwarded after its end: its call was decided before and written after, on a kept connection.
func TestCallIsNotSentAfterMessageEnd(t *testing.T) {
	e, c := newTestEndpoint(t), newTestTransport()
	got := doInBackground(t.Context(), c, newTestCall(t, e.addr(), "hello", testTimeout))
	await(t, e.calls, "call").reply(200)
	await(t, got, "result")
	for range 50 {
		in := newTestCall(t, e.addr(), "hello", testTimeout)
		in.reusedConn = c.takeIdle(in.endpoint, in.addr)
		ctx, stop := context.WithCancelCause(t.Context())
		h := &heldMessage{message: &Message{ID: in.id}, call: in, cancelCall: stop}
		n := &Node{held: map[string]*heldMessage{in.id: h}, openMessages: 1, recentIDs: map[string]time.Time{}, clock: clock.New()}
		n.endMessage(in.id, h) // before its goroutine has begun
		if r := c.do(ctx, in); r.outcome != logic.NotSent {
			t.Fatalf("got %+v", r)
		}
	}
	e.expectNoCall(t)
}

// A call was written although it had been called off before its first byte.
func TestCancelledCallIsNotSent(t *testing.T) {
	e, c := newTestEndpoint(t), newTestTransport()
	got := doInBackground(t.Context(), c, newTestCall(t, e.addr(), "hello", testTimeout))
	await(t, e.calls, "call").reply(200)
	await(t, got, "result")
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	for range 50 {
		in := newTestCall(t, e.addr(), "hello", testTimeout)
		in.reusedConn = c.takeIdle(in.endpoint, in.addr)
		if r := c.do(ctx, in); r.outcome != logic.NotSent {
			t.Fatalf("got %+v", r)
		}
	}
	e.expectNoCall(t)
}

// A connection that comes up when the call's time is over is not written to: nothing of it runs late.
func TestConnectionOpenedAfterTimeoutIsNotUsed(t *testing.T) {
	e, c := newTestEndpoint(t), newTestTransport()
	in := newTestCall(t, e.addr(), "hello", 50*time.Millisecond)
	in.mayWrite = func(context.Context) bool { // it is up; leave comes late
		<-time.After(time.Until(in.startedAt.Add(in.timeout + time.Millisecond)))
		return true
	}
	if r := c.do(t.Context(), in); r.outcome != logic.ConnRefused {
		t.Errorf("got %+v, want RefusedConn", r)
	}
	await(t, e.conns, "connection")
	e.expectNoCall(t)
}

// Answers that never end cost their own message a second at most, and the connection.
func TestEndlessAnswersAreCutOff(t *testing.T) {
	e, c := newTestEndpoint(t), newTestTransport()
	for _, x := range []struct {
		begin, on string
		want      logic.Outcome
	}{
		{"HTTP/1.1 200 OK\r\n", "X-More: of it\r\n", logic.Completed},
		{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nmore\r\n", logic.Completed},
		{"HTTP/1.1 200 OK\r\n\r\n", "more", logic.Completed},
		{"HTTP/1.1 503 x\r\n\r\n", "more", logic.Rejected},
		{"HTTP/1.1 503 x\r\n", "X-More: of it\r\n", logic.ConnBroken},
		{"", "HTTP/1.1 100 Continue\r\n\r\n", logic.ConnBroken},
		{"HTTP/1.1 ", "5", logic.ConnBroken},
	} {
		got := doInBackground(t.Context(), c, newTestCall(t, e.addr(), "hello", testTimeout))
		in := await(t, e.calls, "call")
		go func() {
			_, err := io.WriteString(in.conn, x.begin)
			for err == nil {
				_, err = io.WriteString(in.conn, x.on)
			}
			in.keepReading <- false
		}()
		if r := await(t, got, "result"); r.outcome != x.want {
			t.Errorf("%q and on with %q: outcome %d, want %d", x.begin, x.on, r.outcome, x.want)
		}
		if c.idleCount() != 0 {
			t.Errorf("%q: the connection is kept", x.begin)
		}
	}
}

// An endpoint breaks an unsafe message's call after any number of its bytes: it is never seen whole twice, and it ends
// once.
func TestUnsafeMessageIsReceivedAtMostOnceWhenCallBreaks(t *testing.T) {
	for _, after := range []int{0, 1, 60, 1 << 20} {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer ln.Close()
		var mu sync.Mutex
		whole := 0
		go func() {
			for {
				conn, err := ln.Accept()
				if err != nil {
					return
				}
				go func() {
					var seen bytes.Buffer
					for seen.Len() < after {
						b := make([]byte, min(after-seen.Len(), 4096))
						n, err := conn.Read(b)
						if seen.Write(b[:n]); err != nil || strings.HasSuffix(seen.String(), "body of a") {
							break
						}
					}
					if strings.HasSuffix(seen.String(), "body of a") {
						mu.Lock()
						whole++
						mu.Unlock()
					}
					conn.(*net.TCPConn).SetLinger(0)
					conn.Close()
				}()
			}
		}()
		p := newTestPlatform(t)
		known := discovery.List{Generation: 1, Reset: true, Instances: []discovery.Instance{{ID: "s", HostPort: ln.Addr().String(), Zone: "a", Kind: "std",
			Destination: 1, Lifecycle: "up", Weight: 100}}}
		p.list = known
		n := startNode(t, p, t.TempDir(), known)
		dialClient(t, n.addr).put("a", "unsafe", "+OK")
		if x := await(t, p.notices, "notice"); x.ID != "a" {
			t.Errorf("notice %+v", x)
		}
		stopWithNothingOwed(t, n)
		mu.Lock()
		if whole > 1 || len(p.notices) != 0 {
			t.Errorf("broken after %d bytes: seen whole %d times, %d more notices", after, whole, len(p.notices))
		}
		mu.Unlock()
	}
}

// Clients leave at any byte of a request, by an end or a reset; one leaves before its +OK and is back at once with the
// same id on a new connection. Others are served, nothing stays behind, and each message runs once.
func TestClientsDisconnectAtAnyByte(t *testing.T) {
	n, c, _, e := startNodeWithEndpoints(t, 1)
	request := "*5\r\n$7\r\nMSG.PUT\r\n$1\r\n0\r\n$1\r\na\r\n$20\r\nc=safe,d=9000,dest=1\r\n$1\r\nx\r\n"
	for cut := range len(request) {
		gone := dialClient(t, n.addr)
		io.WriteString(gone.conn, request[:cut])
		if cut%2 == 1 {
			gone.conn.(*net.TCPConn).SetLinger(0)
		}
		gone.conn.Close()
	}
	if got := c.do("PING"); got != "+PONG" {
		t.Fatalf("another client got %q", got)
	}
	e[0].expectNoCall(t)
	gone := dialClient(t, n.addr)
	io.WriteString(gone.conn, request)
	gone.conn.(*net.TCPConn).SetLinger(0)
	gone.conn.Close() // before its answer
	again := dialClient(t, n.addr)
	io.WriteString(again.conn, request)
	if got := again.readLine(); got != "+OK" {
		t.Fatalf("back with the same id: %q", got)
	}
	in := await(t, e[0].calls, "call")
	in.reply(200)
	c.put("b", "safe", "+OK")
	if in = await(t, e[0].calls, "next call"); in.id() != "b" {
		t.Errorf("call with %s again", in.id())
	}
	in.reply(200)
	for stop := time.Now().Add(testTimeout); ; {
		n.clients.mu.Lock()
		left := len(n.clients.conns)
		n.clients.mu.Unlock()
		if left == 2 { // those that are open
			break
		}
		if time.Now().After(stop) {
			t.Fatalf("%d connections are left", left)
		}
	}
	stopWithNothingOwed(t, n)
}

// An endpoint goes and comes back under its name and address while a call runs there: the call's answer counts once,
// and the endpoint is used again. An answer for a message that has ended meanwhile does no harm.
func TestRemovedEndpointReturnsDuringCall(t *testing.T) {
	n, c, p, e := startNodeWithEndpoints(t, 1)
	c.put("a", "unsafe", "+OK")
	in := await(t, e[0].calls, "call")
	list := instancesOf(e[0])
	list[0].Lifecycle = "removed"
	p.update(func() { p.list = discovery.List{Generation: 2, Instances: list} })
	awaitListRequestFrom(t, p, 2)
	c.put("b", "unsafe", "+OK") // waits
	e[0].expectNoCall(t)
	p.update(func() { p.list = discovery.List{Generation: 3, Instances: instancesOf(e[0])} })
	second := await(t, e[0].calls, "call of what waited")
	in.reply(200)
	second.reply(200)
	c.putWithTime("c", "unsafe", 200, "+OK")
	late := await(t, e[0].calls, "call")
	if x := await(t, p.notices, "notice"); x != (Notice{ID: "c", State: "failed"}) {
		t.Errorf("notice %+v", x)
	}
	late.awaitClose(t)
	late.reply(200)
	c.put("d", "unsafe", "+OK")
	last := await(t, e[0].calls, "call")
	if last.id() != "d" {
		t.Errorf("call with %s", last.id())
	}
	last.reply(200)
	stopWithNothingOwed(t, n)
	if len(p.notices) != 0 {
		t.Errorf("notice %+v", <-p.notices)
	}
}

// SIGHUP while a sender stops: what it still owes goes to the new address, and it ends in good order.
func TestSIGHUPDuringShutdown(t *testing.T) {
	p, q, e, dir := newTestPlatform(t), newTestPlatform(t), newTestEndpoint(t), t.TempDir()
	known := discovery.List{Generation: 1, Reset: true, Instances: instancesOf(e)}
	p.list, q.list = known, known
	x := startProcess(t, p, dir, known)
	c := dialClient(t, x.addr)
	c.put("a", "unsafe", "+OK")
	in := await(t, e.calls, "call")
	x.terminate()
	if got := c.readLine(); got != "" {
		t.Errorf("got %q", got)
	}
	if err := os.WriteFile(x.configPath, configText(q, known), 0o600); err != nil {
		t.Fatal(err)
	}
	x.cmd.Process.Signal(syscall.SIGHUP)
	await(t, q.listRequests, "call to the new address")
	in.reply(500)
	if got := await(t, q.notices, "notice"); got != (Notice{ID: "a", State: "failed"}) {
		t.Errorf("notice %+v", got)
	}
	x.awaitExit()
	if ids := owedIDs(t, dir); ids != nil || len(p.notices) != 0 {
		t.Errorf("still owed: %v; the old address got %d notices", ids, len(p.notices))
	}
}

// A process that takes over goes on with the watch at once, however many senders there are: it is no first start, whose
// calls are spread.
func TestTakeoverStartsWatchAtOnce(t *testing.T) {
	p := newTestPlatform(t)
	text := strings.Replace(string(configText(p, discovery.List{})), `"balancers":1,`, `"balancers":300,`, 1)
	cfg, err := ParseConfig([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	cfg.StateDir = t.TempDir()
	n, err := New(cfg, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	defer n.close()
	start := recordWatchStart(n)
	n.adopt(t.Context(), &takeover{stateTransfer: stateTransfer{At: time.Now().UnixMicro(), IDs: map[string]logic.EndpointID{}}})
	if !start.restart { // else the client would spread its first call
		t.Error("the watch begins as at a first start")
	}
	n.watchList(t.Context())
	await(t, p.listRequests, "call for the list")
	await(t, n.events, "its answer") // the watch ends with the test
}

// Clients send much at once, read none of it back and go: nobody else waits for them, and nothing of them stays.
func TestFloodingClientsDoNotBlockOthers(t *testing.T) {
	n, c, _, e := startNodeWithEndpoints(t, 1)
	for k, text := range []string{"*1\r\n$4\r\nPING\r\n", "*1\r\n$3\r\nNOT\r\n", "nonsense ", "*9\r\n$1\r\nx\r\n"} {
		flood := dialClient(t, n.addr)
		go func() { // until the sender has had enough, or reads no more for want of a reader
			flood.conn.SetWriteDeadline(time.Now().Add(testTimeout))
			for sent := 0; sent < 8<<20; {
				k, err := io.WriteString(flood.conn, strings.Repeat(text, 1000))
				if sent += k; err != nil {
					break
				}
			}
			flood.conn.(*net.TCPConn).SetLinger(0)
			flood.conn.Close()
		}()
		for i := range 3 {
			if got := c.do("PING"); got != "+PONG" {
				t.Fatalf("%q: another client got %q", text, got)
			}
			c.put(fmt.Sprintf("m%d-%d", k, i), "safe", "+OK")
			await(t, e[0].calls, "call").reply(200)
		}
	}
	for stop := time.Now().Add(testTimeout); ; {
		n.clients.mu.Lock()
		left := len(n.clients.conns)
		n.clients.mu.Unlock()
		if left == 1 {
			break
		}
		if time.Now().After(stop) {
			t.Fatalf("%d connections are left", left)
		}
		time.Sleep(time.Millisecond)
	}
	stopWithNothingOwed(t, n)
}
