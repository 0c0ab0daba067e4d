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

	"crossdeal/internal/httpconn"
)

// newSmallTable starts a client table for 16 connections and returns it and its address.
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

// Guards against rejecting a client that opens a connection for each message and leaves all of them open.
func TestAnsweredConnectionsAreEvicted(t *testing.T) {
	c, addr := newSmallTable(t)
	for i := range 3 * c.maxConns {
		if got := dialClient(t, addr).do("PING"); got != "+PONG" {
			t.Fatalf("connection %d: got %q", i, got)
		}
	}
}

// Guards against evicting a client that connects some time before its first request: this request fails if the
// connection is closed, while a client that has had an answer sends its request again. So in a full table the
// answered connections must be evicted first.
func TestAnsweredClientIsEvictedBeforeSilentOne(t *testing.T) {
	c, addr := newSmallTable(t)
	silent := dialClient(t, addr)
	time.Sleep(stallTimeout + stallTimeout/4) // the client's pause
	for i := range 2 * c.maxConns {
		if got := dialClient(t, addr).do("PING"); got != "+PONG" {
			t.Fatalf("connection %d: got %q", i, got)
		}
	}
	if got := silent.do("PING"); got != "+PONG" {
		t.Errorf("first request after a pause: got %q", got)
	}
}

// Guards against rejecting a burst of new connections because the readers of evicted connections have not ended yet.
func TestConnectionBurstIsAdmitted(t *testing.T) {
	c, _ := newSmallTable(t)
	c.mu.Lock()
	defer c.mu.Unlock() // so that no reader can end
	for i := range 3 * c.maxConns {
		served, client := net.Pipe()
		t.Cleanup(func() { client.Close() })
		if len(c.conns) >= c.maxConns && !c.evict(evictionRankNew) {
			t.Fatalf("connection %d is rejected", i)
		}
		c.conns[served] = newClientConn(c, served, time.Now())
	}
	if len(c.conns) > c.maxConns {
		t.Errorf("%d connections in a table of %d", len(c.conns), c.maxConns)
	}
}

// Guards against evicting a client whose first request arrives slowly, while many others connect and send
// nothing or stop in the middle of a request. Complete requests must be answered meanwhile.
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
			t.Fatalf("with the table full: got %q", got)
		}
		time.Sleep(stallTimeout / 4) // between two bytes of the slow client
	}
	if got := slow.readLine(); got != "+PONG" {
		t.Errorf("slow request: got %q", got)
	}
}

// The number of client connections is limited by clientMemoryShare of the configured memory.
func TestClientTableSizeFollowsMemory(t *testing.T) {
	for _, tc := range []struct {
		memory float64
		want   int
	}{{0, 512}, {32, 120}, {192, 512}} {
		c := newClients(&Config{Limits: Limits{Sockets: 1024, MemoryMB: tc.memory}}, slog.New(slog.DiscardHandler), nil)
		if c.maxConns != tc.want {
			t.Errorf("%v MB: %d connections, want %d", tc.memory, c.maxConns, tc.want)
		}
	}
}

// Calls and clients share the descriptors. A call's connection evicts an idle client as long as clients hold
// more than their reserve of a third; after that, it takes the place of an idle connection to an endpoint. Each
// descriptor is given back exactly once, also if its connection is closed twice.
func TestCallsAndClientsShareDescriptors(t *testing.T) {
	c := newClients(&Config{Limits: Limits{Sockets: 96}}, slog.New(slog.DiscardHandler), nil)
	maxCalls := c.shareDescriptors(96, 0)
	if maxCalls != 96-96/4-32 {
		t.Fatalf("%d calls possible", maxCalls)
	}
	for range c.maxConns {
		served, client := net.Pipe()
		t.Cleanup(func() { client.Close() })
		c.conns[served] = newClientConn(c, served, time.Now().Add(-time.Minute))
		c.conns[served].hasServedRequest = true
	}
	e := newTestEndpoint(t)
	tr := newTransport(time.Second, time.Minute, 100, 100, nil)
	tr.clients = c
	var conns []*httpconn.Conn
	for range maxCalls {
		conn, err := tr.connect(t.Context(), &call{endpoint: 1, addr: e.addr(), mayWrite: func(context.Context) bool { return true }}, time.Now().Add(testTimeout))
		if err != nil {
			t.Fatal(err)
		}
		conns = append(conns, conn)
	}
	if len(c.conns) != 32 || c.descriptors.callConns != maxCalls {
		t.Errorf("%d clients and %d calls", len(c.conns), c.descriptors.callConns)
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
	defer cancel()
	if err := tr.acquireDescriptor(ctx); err != errLocalFailure {
		t.Errorf("one call too many: got %v, want errLocalFailure", err)
	}
	if tr.idle.Put(1, conns[0]); tr.idle.Len() != 1 {
		t.Fatal("the connection was not put on the idle list")
	}
	if err := tr.acquireDescriptor(t.Context()); err != nil || tr.idle.Len() != 0 {
		t.Errorf("in place of an idle connection: %v", err)
	}
	c.releaseCallDescriptor()
	for _, conn := range conns[1:] {
		conn.Close()
		conn.Close()
	}
	if c.descriptors.callConns != 0 {
		t.Errorf("%d connections counted, want 0", c.descriptors.callConns)
	}
}
