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

// clientSide is a connection whose other end is a sender's client table.
type clientSide struct {
	*client
	served net.Conn // the table's end
}

// connect makes a connection to a table without its listener, so that a test decides when it is served.
func connect(t *testing.T) clientSide {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	c := dial(t, ln.Addr().String())
	served, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	return clientSide{c, served}
}

// answeringClients is a table whose messages are all accepted.
func answeringClients(t *testing.T) *clients {
	t.Helper()
	events := make(chan any, 8)
	cfg, err := ParseConfig([]byte(settingsOnly))
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

const settingsOnly = `{"name":"n","settings":` + settings + `}`

// putWords is a whole request with an id.
func putWords(id string) []string { return []string{"MSG.PUT", "0", id, "c=safe,d=5000,dest=1", "x"} }

// serveSide begins to serve a connection as the listener does.
func serveSide(c *clients, conn net.Conn, first time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	x := newClientConn(c, conn, time.Now())
	c.conns[conn] = x
	c.start(x, first)
}

// A client makes room in the moment in which the last byte of its first request has come: the request has been read, so
// it is refused before the connection is closed.
func TestMakingRoomAnswersWhatHasCome(t *testing.T) {
	c, x := answeringClients(t), connect(t)
	serveSide(c, x.served, time.Now().Add(requestTime))
	whole := respText(putWords("a")...)
	x.conn.Write([]byte(whole[:len(whole)-3]))
	time.Sleep(stallTime + 100*time.Millisecond) // it stands still with its first request
	c.mu.Lock()
	x.conn.Write([]byte(whole[len(whole)-3:]))
	time.Sleep(50 * time.Millisecond) // its reader has the rest, and has not said so
	evicted := c.makeRoom(rankNew)
	c.mu.Unlock()
	if got := x.line(); !evicted || !strings.HasPrefix(got, "-BUSY") {
		t.Errorf("evicted %v, answered %q, want a refusal", evicted, got)
	}
	if got := x.line(); got != "" {
		t.Errorf("then %q, want the end", got)
	}
}

// A shutdown is so far on that nothing is read any more: requests that have come along with the last one are refused.
func TestEndOfShutdownAnswersWhatHasCome(t *testing.T) {
	for _, before := range []time.Duration{time.Second, lastRequest / 2} {
		c, x := answeringClients(t), connect(t)
		x.send(putWords("a")...)
		x.send(putWords("b")...)
		c.closing, c.until = true, time.Now().Add(-before)
		serveSide(c, x.served, time.Now().Add(requestTime))
		for range 2 {
			if got := x.line(); got == "" {
				t.Errorf("%v past the last reading: a request that had come has no answer", before)
			}
		}
	}
}

// The time for a request is over in the moment in which it comes: a whole one has its answer.
func TestRequestAtItsDeadline(t *testing.T) {
	c, x := answeringClients(t), connect(t)
	x.send(putWords("a")...)
	time.Sleep(20 * time.Millisecond)
	serveSide(c, x.served, time.Now().Add(-time.Second))
	if got := x.line(); got != "+OK" && !strings.HasPrefix(got, "-BUSY") {
		t.Errorf("answered %q", got)
	}
}

// A close over bytes that nobody reads resets the connection, and an answer that is still on its way would go with it.
func TestErrorLineOutlivesUnreadBytes(t *testing.T) {
	for range 20 {
		c, x := answeringClients(t), connect(t)
		x.conn.Write([]byte("nonsense\r\n" + strings.Repeat("more of it ", 2000)))
		serveSide(c, x.served, time.Now().Add(requestTime))
		if got := x.line(); !strings.HasPrefix(got, "-ERR") {
			t.Fatalf("answered %q, want an error line", got)
		}
	}
}

// crossedConn is the sender's end of a connection on which a request comes while it is closed.
type crossedConn struct {
	*net.TCPConn
	cross func()
}

func (c *crossedConn) CloseWrite() error {
	c.cross()
	return c.TCPConn.CloseWrite()
}

// closePaths are ways in which a connection is closed on which some bytes have come. Each begins to serve it.
var closePaths = map[string]func(c *clients, x *clientConn){
	"no first request in time": func(c *clients, x *clientConn) { c.start(x, time.Now().Add(-time.Second)) },
	"a request not in time":    func(c *clients, x *clientConn) { c.start(x, time.Now().Add(100*time.Millisecond)) },
	"made room": func(c *clients, x *clientConn) {
		x.advance(connClosing)
		c.start(x, time.Time{})
	},
	"shutdown": func(c *clients, x *clientConn) {
		c.closing = true
		c.start(x, time.Time{})
	},
	"end of a shutdown": func(c *clients, x *clientConn) {
		c.closing, c.until = true, time.Now().Add(-time.Second)
		c.start(x, time.Time{})
	},
}

// A connection that was closed under requests that had been read left some of them without an answer.
func TestEachCloseAnswersWhatWasRead(t *testing.T) {
	whole := func(ids ...string) (text string) {
		for _, id := range ids {
			text += respText(putWords(id)...)
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
				c, side := answeringClients(t), connect(t)
				io.WriteString(side.conn, x.text)
				if x.shut {
					side.conn.(*net.TCPConn).CloseWrite()
				}
				await(t, seen(side.served, len(x.text)), "bytes of the client")
				c.mu.Lock()
				conn := newClientConn(c, side.served, time.Now())
				c.conns[side.served] = conn
				begin(c, conn)
				c.mu.Unlock()
				got := 0
				for side.line() != "" {
					if got++; got == x.want { // where the connection goes on, its client ends it
						side.conn.(*net.TCPConn).CloseWrite()
					}
				}
				if got != x.want {
					t.Errorf("%d answers, want %d", got, x.want)
				}
				c.wg.Wait()
				if n := c.guard.violations(); n != 0 {
					t.Errorf("%d violations", n)
				}
			})
		}
	}
}

// A connection whose close was under way was closed again to make room for another.
func TestConnectionThatEndsMakesNoRoom(t *testing.T) {
	c := answeringClients(t)
	mine, theirs := net.Pipe()
	defer theirs.Close()
	x := newClientConn(c, mine, time.Now().Add(-time.Minute))
	c.conns[mine] = x
	for _, state := range []connState{connAnswering, connParked, connClosing, connDrained} {
		x.state = state
		if c.makeRoom(rankNew) {
			t.Errorf("%v: made room", state)
		}
	}
	if n := c.guard.violations(); n != 0 {
		t.Errorf("%d violations", n)
	}
}

// seen tells once so many bytes wait to be read.
func seen(conn net.Conn, count int) <-chan bool {
	ch := make(chan bool, 1)
	go func() {
		for available(conn) < count {
			time.Sleep(time.Millisecond)
		}
		ch <- true
	}()
	return ch
}

// A request that came while its connection was closed was read and dropped, on each way to a close.
func TestRequestThatCrossesACloseIsReset(t *testing.T) {
	for path, begin := range closePaths {
		t.Run(path, func(t *testing.T) {
			c, side := answeringClients(t), connect(t)
			side.send(putWords("a")...)
			await(t, seen(side.served, 1), "first request")
			late := respText(putWords("late")...)
			served := &crossedConn{side.served.(*net.TCPConn), func() {
				io.WriteString(side.conn, late)
				await(t, seen(side.served, len(late)), "request that crosses")
			}}
			c.mu.Lock()
			conn := newClientConn(c, served, time.Now())
			c.conns[served] = conn
			begin(c, conn)
			c.mu.Unlock()
			if got := side.line(); got != "+OK" && !strings.HasPrefix(got, "-BUSY") {
				t.Errorf("first request: %q", got)
			}
			stop := idleTooLong(served)
			if got := side.line(); got != "" {
				t.Errorf("then %q", got)
			}
			c.wg.Wait()
			stop()
			time.Sleep(10 * time.Millisecond)
			if standin.ReadByPeer(side.conn) {
				t.Error("the request that crossed was read")
			}
		})
	}
}

// idleTooLong ends the wait for a next request on a connection that goes on, again and again until it is stopped.
func idleTooLong(conn net.Conn) (stop func()) {
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
