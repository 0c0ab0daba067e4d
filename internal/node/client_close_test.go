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

// connPair is a connection whose other end is a sender's client table.
type connPair struct {
	*testClient
	served net.Conn // the table's end
}

// newConnPair makes a connection to a table without its listener, so that a test decides when it is served.
func newConnPair(t *testing.T) connPair {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	c := dialClient(t, ln.Addr().String())
	served, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	return connPair{c, served}
}

// newAcceptingClients is a table whose messages are all accepted.
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

// putArgs is a whole request with an id.
func putArgs(id string) []string { return []string{"MSG.PUT", "0", id, "c=safe,d=5000,dest=1", "x"} }

// serveConn begins to serve a connection as the listener does.
func serveConn(c *clients, conn net.Conn, first time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	x := newClientConn(c, conn, time.Now())
	c.conns[conn] = x
	c.startConn(x, first)
}

// A client makes room in the moment in which the last byte of its first request has come: the request has been read, so
// it is refused before the connection is closed.
func TestEvictedClientGetsAnswerToReceivedRequest(t *testing.T) {
	c, x := newAcceptingClients(t), newConnPair(t)
	serveConn(c, x.served, time.Now().Add(requestReadTimeout))
	whole := encodeRequest(putArgs("a")...)
	x.conn.Write([]byte(whole[:len(whole)-3]))
	time.Sleep(stallTimeout + 100*time.Millisecond) // it stands still with its first request
	c.mu.Lock()
	x.conn.Write([]byte(whole[len(whole)-3:]))
	time.Sleep(50 * time.Millisecond) // its reader has the rest, and has not said so
	evicted := c.evict(evictionRankNew)
	c.mu.Unlock()
	if got := x.readLine(); !evicted || !strings.HasPrefix(got, "-BUSY") {
		t.Errorf("evicted %v, answered %q, want a refusal", evicted, got)
	}
	if got := x.readLine(); got != "" {
		t.Errorf("then %q, want the end", got)
	}
}

// A shutdown is so far on that nothing is read any more: requests that have come along with the last one are refused.
func TestRequestsReceivedAtShutdownEndAreAnswered(t *testing.T) {
	for _, before := range []time.Duration{time.Second, lastRequestTimeout / 2} {
		c, x := newAcceptingClients(t), newConnPair(t)
		x.send(putArgs("a")...)
		x.send(putArgs("b")...)
		c.closing, c.readUntil = true, time.Now().Add(-before)
		serveConn(c, x.served, time.Now().Add(requestReadTimeout))
		for range 2 {
			if got := x.readLine(); got == "" {
				t.Errorf("%v past the last reading: a request that had come has no answer", before)
			}
		}
	}
}

// The time for a request is over in the moment in which it comes: a whole one has its answer.
func TestCompleteRequestAtItsDeadlineIsAnswered(t *testing.T) {
	c, x := newAcceptingClients(t), newConnPair(t)
	x.send(putArgs("a")...)
	time.Sleep(20 * time.Millisecond)
	serveConn(c, x.served, time.Now().Add(-time.Second))
	if got := x.readLine(); got != "+OK" && !strings.HasPrefix(got, "-BUSY") {
		t.Errorf("answered %q", got)
	}
}

// A close over bytes that nobody reads resets the connection, and an answer that is still on its way would go with it.
func TestErrorLineArrivesDespiteUnreadBytes(t *testing.T) {
	for range 20 {
		c, x := newAcceptingClients(t), newConnPair(t)
		x.conn.Write([]byte("nonsense\r\n" + strings.Repeat("more of it ", 2000)))
		serveConn(c, x.served, time.Now().Add(requestReadTimeout))
		if got := x.readLine(); !strings.HasPrefix(got, "-ERR") {
			t.Fatalf("answered %q, want an error line", got)
		}
	}
}

// closeHookConn is the sender's end of a connection on which a request comes while it is closed.
type closeHookConn struct {
	*net.TCPConn
	beforeCloseWrite func()
}

func (c *closeHookConn) CloseWrite() error {
	c.beforeCloseWrite()
	return c.TCPConn.CloseWrite()
}

// closePaths are ways in which a connection is closed on which some bytes have come. Each begins to serve it.
var closePaths = map[string]func(c *clients, x *clientConn){
	"no first request in time": func(c *clients, x *clientConn) { c.startConn(x, time.Now().Add(-time.Second)) },
	"a request not in time":    func(c *clients, x *clientConn) { c.startConn(x, time.Now().Add(100*time.Millisecond)) },
	"made room": func(c *clients, x *clientConn) {
		x.setState(connClosing)
		c.startConn(x, time.Time{})
	},
	"shutdown": func(c *clients, x *clientConn) {
		c.closing = true
		c.startConn(x, time.Time{})
	},
	"end of a shutdown": func(c *clients, x *clientConn) {
		c.closing, c.readUntil = true, time.Now().Add(-time.Second)
		c.startConn(x, time.Time{})
	},
}

// A connection that was closed under requests that had been read left some of them without an answer.
func TestEveryCloseAnswersRequestsRead(t *testing.T) {
	whole := func(ids ...string) (text string) {
		for _, id := range ids {
			text += encodeRequest(putArgs(id)...)
		}
		return text
	}
	half := whole("h")[:20]
	for path, begin := range closePaths {
		for form, x := range map[string]struct {
			text string
			want int
			shut bool // the client ends its sending
		}{
			"one":                      {whole("a"), 1, false},
			"several":                  {whole("a", "b", "c"), 3, false},
			"more than a buffer holds": {strings.Repeat(whole("a"), 200), 200, false},
			"one and a half":           {whole("a") + half, 1, false},
			"one and no request":       {whole("a") + "nonsense\r\n", 2, false},
			"two, then no more":        {whole("a", "b"), 2, true},
			"one and a half, no more":  {whole("a") + half, 1, true},
		} {
			t.Run(path+"/"+form, func(t *testing.T) {
				c, side := newAcceptingClients(t), newConnPair(t)
				io.WriteString(side.conn, x.text)
				if x.shut {
					side.conn.(*net.TCPConn).CloseWrite()
				}
				await(t, notifyAvailable(side.served, len(x.text)), "bytes of the client")
				c.mu.Lock()
				conn := newClientConn(c, side.served, time.Now())
				c.conns[side.served] = conn
				begin(c, conn)
				c.mu.Unlock()
				got := 0
				for side.readLine() != "" {
					if got++; got == x.want { // where the connection goes on, its client ends it
						side.conn.(*net.TCPConn).CloseWrite()
					}
				}
				if got != x.want {
					t.Errorf("%d answers, want %d", got, x.want)
				}
				c.wg.Wait()
				if n := c.guard.violationTotal(); n != 0 {
					t.Errorf("%d violations", n)
				}
			})
		}
	}
}

// A connection whose close was under way was closed again to make room for another.
func TestClosingConnectionIsNotEvicted(t *testing.T) {
	c := newAcceptingClients(t)
	mine, theirs := net.Pipe()
	defer theirs.Close()
	x := newClientConn(c, mine, time.Now().Add(-time.Minute))
	c.conns[mine] = x
	for _, state := range []connState{connAnswering, connParked, connClosing, connDrained} {
		x.state = state
		if c.evict(evictionRankNew) {
			t.Errorf("%v: made room", state)
		}
	}
	if n := c.guard.violationTotal(); n != 0 {
		t.Errorf("%d violations", n)
	}
}

// notifyAvailable tells once so many bytes wait to be read.
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

// A request that came while its connection was closed was read and dropped, on each way to a close.
func TestRequestSentDuringCloseIsReset(t *testing.T) {
	for path, begin := range closePaths {
		t.Run(path, func(t *testing.T) {
			c, side := newAcceptingClients(t), newConnPair(t)
			side.send(putArgs("a")...)
			await(t, notifyAvailable(side.served, 1), "first request")
			late := encodeRequest(putArgs("late")...)
			served := &closeHookConn{side.served.(*net.TCPConn), func() {
				io.WriteString(side.conn, late)
				await(t, notifyAvailable(side.served, len(late)), "request that crosses")
			}}
			c.mu.Lock()
			conn := newClientConn(c, served, time.Now())
			c.conns[served] = conn
			begin(c, conn)
			c.mu.Unlock()
			if got := side.readLine(); got != "+OK" && !strings.HasPrefix(got, "-BUSY") {
				t.Errorf("first request: %q", got)
			}
			stop := expireReadDeadlines(served)
			if got := side.readLine(); got != "" {
				t.Errorf("then %q", got)
			}
			c.wg.Wait()
			stop()
			time.Sleep(10 * time.Millisecond)
			if standin.PeerReadAll(side.conn) {
				t.Error("the request that crossed was read")
			}
		})
	}
}

// expireReadDeadlines ends the wait for a next request on a connection that goes on, again and again until it is stopped.
func expireReadDeadlines(conn net.Conn) (stop func()) {
	tick, over := time.NewTicker(time.Millisecond), make(chan bool)
	go func() {
		for {
			select {
			case <-tick.C:
				conn.SetReadDeadline(time.Now())
			case <-over:
				tick.Stop()
				return
			}
		}
	}()
	return func() { close(over) }
}
