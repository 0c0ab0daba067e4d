package node

import (
	"io"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"

	"crossdeal/internal/scale/standin"
)

// connPair is a client and the sender's end of its connection.
type connPair struct {
	*testClient
	served net.Conn // the sender's end
}

// newConnPair opens a connection without the listener of a client table, so that the test decides when it is served.
func newConnPair(t *testing.T) connPair {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	client := dialClient(t, ln.Addr().String())
	served, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	return connPair{client, served}
}

// newAcceptingClients returns a client table with a stand-in for the loop that accepts each message.
func newAcceptingClients(t *testing.T) *clients {
	t.Helper()
	events := make(chan any, 8)
	cfg, err := ParseConfig([]byte(settingsOnlyConfig))
	if err != nil {
		t.Fatal(err)
	}
	c := newClients(cfg, slog.New(slog.DiscardHandler), events)
	go func() {
		for ev := range events {
			ev.(putEvent).answer <- answerOK
		}
	}()
	t.Cleanup(func() { c.wg.Wait(); close(events) })
	return c
}

const settingsOnlyConfig = `{"name":"n","settings":` + testSettings + `}`

// putArgs returns the arguments of a complete request for a message with this id.
func putArgs(id string) []string { return []string{"MSG.PUT", "0", id, "c=safe,d=5000,dest=1", "x"} }

// serveConn adds a connection to the table and starts its reader, as clients.serve does.
func serveConn(c *clients, conn net.Conn, firstRequestBy time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	cc := newClientConn(c, conn, time.Now())
	c.conns[conn] = cc
	c.startConn(cc, firstRequestBy)
}

// Guards against a close without an answer: a connection is evicted when the last byte of its first request has
// arrived and its reader has not recorded that yet. The request must be answered with -BUSY before the close.
func TestEvictedClientGetsAnswerToReceivedRequest(t *testing.T) {
	c, client := newAcceptingClients(t), newConnPair(t)
	serveConn(c, client.served, time.Now().Add(requestReadTimeout))
	request := encodeRequest(putArgs("a")...)
	client.conn.Write([]byte(request[:len(request)-3]))
	time.Sleep(stallTimeout + 100*time.Millisecond) // its first request is stalled
	c.mu.Lock()
	client.conn.Write([]byte(request[len(request)-3:]))
	time.Sleep(50 * time.Millisecond) // the reader has read the rest and waits for the lock
	evicted := c.evict(evictionRankNew)
	c.mu.Unlock()
	if got := client.readLine(); !evicted || !strings.HasPrefix(got, "-BUSY") {
		t.Errorf("evicted %v, answered %q, want -BUSY", evicted, got)
	}
	if got := client.readLine(); got != "" {
		t.Errorf("second answer %q, want a closed connection", got)
	}
}

// Guards against unanswered requests at the end of a shutdown: readUntil is over when the connection's reader
// starts, and two requests have arrived. Both must be answered.
func TestRequestsReceivedAtShutdownEndAreAnswered(t *testing.T) {
	for _, before := range []time.Duration{time.Second, lastRequestTimeout / 2} {
		c, client := newAcceptingClients(t), newConnPair(t)
		client.send(putArgs("a")...)
		client.send(putArgs("b")...)
		c.closing, c.readUntil = true, time.Now().Add(-before)
		serveConn(c, client.served, time.Now().Add(requestReadTimeout))
		for range 2 {
			if got := client.readLine(); got == "" {
				t.Errorf("%v after the end of reading: a request that had arrived has no answer", before)
			}
		}
	}
}

// Guards against dropping a request that is complete when its deadline passes: it must be answered.
func TestCompleteRequestAtItsDeadlineIsAnswered(t *testing.T) {
	c, client := newAcceptingClients(t), newConnPair(t)
	client.send(putArgs("a")...)
	time.Sleep(20 * time.Millisecond)
	serveConn(c, client.served, time.Now().Add(-time.Second))
	if got := client.readLine(); got != "+OK" && !strings.HasPrefix(got, "-BUSY") {
		t.Errorf("answered %q", got)
	}
}

// Guards against the loss of an error line: a close with unread bytes resets the connection, which discards an
// answer that has not arrived yet.
func TestErrorLineArrivesDespiteUnreadBytes(t *testing.T) {
	for range 20 {
		c, client := newAcceptingClients(t), newConnPair(t)
		client.conn.Write([]byte("nonsense\r\n" + strings.Repeat("more of it ", 2000)))
		serveConn(c, client.served, time.Now().Add(requestReadTimeout))
		if got := client.readLine(); !strings.HasPrefix(got, "-ERR") {
			t.Fatalf("answered %q, want an error line", got)
		}
	}
}

// closeHookConn is the sender's end of a connection. It calls beforeCloseWrite during the close, before the sending
// direction is closed.
type closeHookConn struct {
	*net.TCPConn
	beforeCloseWrite func()
}

func (c *closeHookConn) CloseWrite() error {
	c.beforeCloseWrite()
	return c.TCPConn.CloseWrite()
}

// closePaths holds, by name, the ways in which a connection with unread bytes is closed. Each function starts the
// reader in a state that leads to that close.
var closePaths = map[string]func(c *clients, cc *clientConn){
	"no first request in time": func(c *clients, cc *clientConn) { c.startConn(cc, time.Now().Add(-time.Second)) },
	"request not in time":      func(c *clients, cc *clientConn) { c.startConn(cc, time.Now().Add(100*time.Millisecond)) },
	"evicted for another": func(c *clients, cc *clientConn) {
		cc.setState(connClosing)
		c.startConn(cc, time.Time{})
	},
	"shutdown": func(c *clients, cc *clientConn) {
		c.closing = true
		c.startConn(cc, time.Time{})
	},
	"end of a shutdown": func(c *clients, cc *clientConn) {
		c.closing, c.readUntil = true, time.Now().Add(-time.Second)
		c.startConn(cc, time.Time{})
	},
}

// Guards against a close that drops requests which have been read: on each way to a close, all requests that
// have arrived must be answered.
func TestEveryCloseAnswersRequestsRead(t *testing.T) {
	requests := func(ids ...string) (text string) {
		for _, id := range ids {
			text += encodeRequest(putArgs(id)...)
		}
		return text
	}
	halfRequest := requests("h")[:20]
	for path, start := range closePaths {
		for name, tc := range map[string]struct {
			text       string
			want       int
			closeWrite bool // the client closes its sending direction
		}{
			"one":                      {requests("a"), 1, false},
			"several":                  {requests("a", "b", "c"), 3, false},
			"more than a buffer holds": {strings.Repeat(requests("a"), 200), 200, false},
			"one and a half":           {requests("a") + halfRequest, 1, false},
			"one and malformed bytes":  {requests("a") + "nonsense\r\n", 2, false},
			"two, end of stream":       {requests("a", "b"), 2, true},
			"one and a half, the end":  {requests("a") + halfRequest, 1, true},
		} {
			t.Run(path+"/"+name, func(t *testing.T) {
				c, client := newAcceptingClients(t), newConnPair(t)
				io.WriteString(client.conn, tc.text)
				if tc.closeWrite {
					client.conn.(*net.TCPConn).CloseWrite()
				}
				await(t, notifyAvailable(client.served, len(tc.text)), "bytes of the client")
				c.mu.Lock()
				cc := newClientConn(c, client.served, time.Now())
				c.conns[client.served] = cc
				start(c, cc)
				c.mu.Unlock()
				got := 0
				for client.readLine() != "" {
					if got++; got == tc.want { // if the sender keeps the connection open, the client ends it
						client.conn.(*net.TCPConn).CloseWrite()
					}
				}
				if got != tc.want {
					t.Errorf("%d answers, want %d", got, tc.want)
				}
				c.wg.Wait()
				if n := c.guard.violationTotal(); n != 0 {
					t.Errorf("%d violations", n)
				}
			})
		}
	}
}

// Guards against evicting a connection that is answering a request, is parked, or is already being closed.
func TestClosingConnectionIsNotEvicted(t *testing.T) {
	c := newAcceptingClients(t)
	served, client := net.Pipe()
	defer client.Close()
	cc := newClientConn(c, served, time.Now().Add(-time.Minute))
	c.conns[served] = cc
	for _, state := range []connState{connAnswering, connParked, connClosing, connDrained} {
		cc.state = state
		if c.evict(evictionRankNew) {
			t.Errorf("%v: evicted", state)
		}
	}
	if n := c.guard.violationTotal(); n != 0 {
		t.Errorf("%d violations", n)
	}
}

// notifyAvailable returns a channel that receives once count bytes can be read.
func notifyAvailable(conn net.Conn, count int) <-chan bool {
	ch := make(chan bool, 1)
	go func() {
		for availableBytes(conn) < count {
			time.Sleep(time.Millisecond)
		}
		ch <- true
	}()
	return ch
}

// Guards against reading and dropping a request that arrives during the close, on each way to a close: it must
// be left unread, so that its client sees a reset.
func TestRequestSentDuringCloseIsReset(t *testing.T) {
	for path, start := range closePaths {
		t.Run(path, func(t *testing.T) {
			c, client := newAcceptingClients(t), newConnPair(t)
			client.send(putArgs("a")...)
			await(t, notifyAvailable(client.served, 1), "first request")
			lateRequest := encodeRequest(putArgs("late")...)
			served := &closeHookConn{client.served.(*net.TCPConn), func() {
				io.WriteString(client.conn, lateRequest)
				await(t, notifyAvailable(client.served, len(lateRequest)), "request during the close")
			}}
			c.mu.Lock()
			cc := newClientConn(c, served, time.Now())
			c.conns[served] = cc
			start(c, cc)
			c.mu.Unlock()
			if got := client.readLine(); got != "+OK" && !strings.HasPrefix(got, "-BUSY") {
				t.Errorf("first request: %q", got)
			}
			stop := expireReadDeadlines(served)
			if got := client.readLine(); got != "" {
				t.Errorf("second answer %q, want a closed connection", got)
			}
			c.wg.Wait()
			stop()
			time.Sleep(10 * time.Millisecond)
			if standin.PeerReadAll(client.conn) {
				t.Error("the request sent during the close was read")
			}
		})
	}
}

// expireReadDeadlines repeatedly ends the wait for the next request on a connection, until stop is called.
func expireReadDeadlines(conn net.Conn) (stop func()) {
	tick, done := time.NewTicker(time.Millisecond), make(chan bool)
	go func() {
		for {
			select {
			case <-tick.C:
				conn.SetReadDeadline(time.Now())
			case <-done:
				tick.Stop()
				return
			}
		}
	}()
	return func() { close(done) }
}
