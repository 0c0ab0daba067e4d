package node

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"
)

// newSmallTable serves clients with room for 16.
func newSmallTable(t *testing.T) (*clients, string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	c := newClients(&Config{Limits: Limits{Sockets: 32}}, slog.New(slog.DiscardHandler), nil)
	go c.serve(ln)
	return c, ln.Addr().String()
}

// A client that opens a connection for every message and leaves each open must not shut itself out.
func TestAnsweredConnectionsAreEvicted(t *testing.T) {
	c, addr := newSmallTable(t)
	for i := range 3 * c.maxConns {
		if got := dialClient(t, addr).do("PING"); got != "+PONG" {
			t.Fatalf("connection %d: got %q", i, got)
		}
	}
}

// A client may connect a while before its first request, which fails with the connection; one that has its answer sends
// a request that crosses once more. So in a full table the answered ones make room first.
func TestAnsweredClientIsEvictedBeforeSilentOne(t *testing.T) {
	c, addr := newSmallTable(t)
	late := dialClient(t, addr)
	time.Sleep(stallTimeout + stallTimeout/4) // the client's pause
	for i := range 2 * c.maxConns {
		if got := dialClient(t, addr).do("PING"); got != "+PONG" {
			t.Fatalf("connection %d: got %q", i, got)
		}
	}
	if got := late.do("PING"); got != "+PONG" {
		t.Errorf("first request after a pause: got %q", got)
	}
}

// A burst of new connections finds room however busy the readers of those are that make it.
func TestConnectionBurstIsAdmitted(t *testing.T) {
	c, _ := newSmallTable(t)
	c.mu.Lock()
	defer c.mu.Unlock() // no reader ends meanwhile
	for i := range 3 * c.maxConns {
		mine, theirs := net.Pipe()
		t.Cleanup(func() { theirs.Close() })
		if len(c.conns) >= c.maxConns && !c.evict(evictionRankNew) {
			t.Fatalf("connection %d is turned away", i)
		}
		c.conns[mine] = newClientConn(c, mine, time.Now())
	}
	if len(c.conns) > c.maxConns {
		t.Errorf("%d connections in a table of %d", len(c.conns), c.maxConns)
	}
}

// In a crowd of peers that say nothing or stop midway, a request that comes on slowly is read to its end, and others
// are served meanwhile.
func TestSlowRequestIsReadWhenTableIsFull(t *testing.T) {
	c, addr := newSmallTable(t)
	slow := dialClient(t, addr)
	text := "*1\r\n$4\r\nPING\r\n"
	for i, part := range strings.Split(text, "") {
		io.WriteString(slow.conn, part)
		for j := range c.maxConns / 4 {
			idle := dialClient(t, addr)
			if j%2 == 0 {
				io.WriteString(idle.conn, "*3\r\n$7\r\nMSG")
			}
		}
		if got := dialClient(t, addr).do("PING", fmt.Sprint(i)); got != "$1" && got != "$2" {
			t.Fatalf("beside the crowd: got %q", got)
		}
		time.Sleep(stallTimeout / 4) // the peer's pace
	}
	if got := slow.readLine(); got != "+PONG" {
		t.Errorf("slow request: got %q", got)
	}
}

// What the connections of clients may hold is a part of the memory that the configuration gives.
func TestClientTableSizeFollowsMemory(t *testing.T) {
	for _, x := range []struct {
		memory float64
		want   int
	}{{0, 512}, {32, 120}, {192, 512}} {
		c := newClients(&Config{Limits: Limits{Sockets: 1024, MemoryMB: x.memory}}, slog.New(slog.DiscardHandler), nil)
		if c.maxConns != x.want {
			t.Errorf("%v MB: %d connections, want %d", x.memory, c.maxConns, x.want)
		}
	}
}

// Calls and clients share the descriptors: a call's connection makes an idle client give way, but not below the third
// that clients may hold, and then idle connections to endpoints give way. Each is given back with its connection.
func TestCallsAndClientsShareDescriptors(t *testing.T) {
	c := newClients(&Config{Limits: Limits{Sockets: 96}}, slog.New(slog.DiscardHandler), nil)
	calls := c.shareDescriptors(96, 0)
	if calls != 96-96/4-32 {
		t.Fatalf("%d calls", calls)
	}
	for range c.maxConns {
		mine, theirs := net.Pipe()
		t.Cleanup(func() { theirs.Close() })
		c.conns[mine] = newClientConn(c, mine, time.Now().Add(-time.Minute))
		c.conns[mine].hasServedRequest = true
	}
	e := newTestEndpoint(t)
	x := newTransport(time.Second, time.Minute, 100, 100)
	x.clients = c
	var conns []*endpointConn
	for range calls {
		conn, err := x.connect(t.Context(), &call{endpoint: 1, addr: e.addr(), mayWrite: func(context.Context) bool { return true }}, time.Now().Add(testTimeout))
		if err != nil {
			t.Fatal(err)
		}
		conns = append(conns, conn)
	}
	if len(c.conns) != 32 || c.descriptors.callConns != calls {
		t.Errorf("%d clients beside %d calls", len(c.conns), c.descriptors.callConns)
	}
	soon, stop := context.WithTimeout(t.Context(), time.Millisecond)
	defer stop()
	if err := x.acquireDescriptor(soon); err != errNoDescriptor {
		t.Errorf("one call too many: %v", err)
	}
	if !x.putIdle(1, conns[0]) {
		t.Fatal("not kept")
	}
	if err := x.acquireDescriptor(t.Context()); err != nil || x.idleCount() != 0 {
		t.Errorf("in place of an idle one: %v", err)
	}
	c.releaseCallDescriptor()
	for _, conn := range conns[1:] {
		conn.Close()
		conn.Close()
	}
	if c.descriptors.callConns != 0 {
		t.Errorf("%d counted, none is open", c.descriptors.callConns)
	}
}
